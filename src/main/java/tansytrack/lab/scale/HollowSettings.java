package tansytrack.lab.scale;

import java.util.List;
import java.util.Map;
import java.util.Set;
import tansytrack.api.QueryClass;
import tansytrack.api.Settings;

/** The settings of hollow managers: shared by all managers except for seed, index and zone. */
final class HollowSettings {

  /** The query class of idempotent statements. */
  static final String READ = "read";

  /** The query class of non-idempotent statements. */
  static final String WRITE = "write";

  static final String KIND = "plain";

  /**
   * The fraction of its capacity that an engine has when it starts. It has all of it after {@link
   * #WARM_AFTER}.
   */
  static final double START_CAPACITY = 0.3;

  static final long WARM_AFTER = 8 * ScalePlan.SECOND;
  static final double COLD_MULTIPLE = 2;
  static final long COLD_WINDOW = ScalePlan.SECOND;
  static final long DRAIN_GRACE = ScalePlan.SECOND;
  static final long CONNECT_TIME = 250 * ScalePlan.MS;

  private static final int MOST_FORWARDS = 3;
  private static final long LONGEST_COME_BACK = 500 * ScalePlan.MS;
  private static final long KEY_REST = 300 * ScalePlan.MS;
  private static final Settings.RetryBudget RATION =
      new Settings.RetryBudget(10, 0.2, 10 * ScalePlan.SECOND);

  private final Settings shared;

  HollowSettings(ScalePlan plan, PlacementChecks checks) {
    shared =
        new Settings(
            0,
            plan.managers(),
            Settings.UNKNOWN_INDEX,
            "",
            List.of(
                grade(READ, QueryClass.RetrySafety.IDEMPOTENT, plan, checks),
                grade(WRITE, QueryClass.RetrySafety.NON_IDEMPOTENT, plan, checks)),
            List.of(),
            Map.of(KIND, new Settings.EngineType(ScalePlan.CORES, 0)),
            new Settings.Capabilities(
                true,
                true,
                false,
                true,
                LONGEST_COME_BACK,
                MOST_FORWARDS,
                false,
                0,
                false,
                true,
                0,
                false,
                CONNECT_TIME),
            DRAIN_GRACE,
            new Settings.ColdStartLimit(START_CAPACITY, WARM_AFTER, COLD_MULTIPLE, COLD_WINDOW),
            KEY_REST,
            RATION);
  }

  private static QueryClass grade(
      String name, QueryClass.RetrySafety repeat, ScalePlan plan, PlacementChecks checks) {
    return new QueryClass(
        name,
        repeat,
        QueryClass.DeduplicationScope.ALL,
        0,
        plan.deadline() / 2,
        2,
        plan.deadline(),
        1,
        0.5,
        false,
        checks,
        Set.of(),
        1,
        false,
        false);
  }

  /** The settings of one manager. */
  Settings of(long seed, int position, String zone) {
    return new Settings(
        seed,
        shared.managerCount(),
        position,
        zone,
        shared.queryClasses(),
        shared.tenants(),
        shared.engineTypes(),
        shared.capabilities(),
        shared.drainGraceNanos(),
        shared.coldStartLimit(),
        shared.keyCooldownNanos(),
        shared.retryBudget());
  }
}

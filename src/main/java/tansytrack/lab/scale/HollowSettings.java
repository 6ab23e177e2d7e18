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

  static final String ENGINE_TYPE = "plain";

  /**
   * The fraction of its capacity that an engine has when it starts. It has all of it after {@link
   * #WARM_UP_NANOS}.
   */
  static final double START_CAPACITY_FRACTION = 0.3;

  static final long WARM_UP_NANOS = 8 * ScalePlan.NANOS_PER_SECOND;
  static final double COLD_OVERLOAD_FACTOR = 2;
  static final long COLD_WINDOW_NANOS = ScalePlan.NANOS_PER_SECOND;
  static final long DRAIN_GRACE_NANOS = ScalePlan.NANOS_PER_SECOND;
  static final long CONNECT_TIMEOUT_NANOS = 250 * ScalePlan.NANOS_PER_MS;

  private static final int MAX_FORWARDS = 3;
  private static final long MAX_RETRY_AFTER_NANOS = 500 * ScalePlan.NANOS_PER_MS;
  private static final long KEY_COOLDOWN_NANOS = 300 * ScalePlan.NANOS_PER_MS;
  private static final Settings.RetryBudget RETRY_BUDGET =
      new Settings.RetryBudget(10, 0.2, 10 * ScalePlan.NANOS_PER_SECOND);

  private final Settings shared;

  HollowSettings(ScalePlan plan, PlacementCheckCounter checks) {
    shared =
        new Settings(
            0,
            plan.managers(),
            Settings.UNKNOWN_INDEX,
            "",
            List.of(
                queryClass(READ, QueryClass.RetrySafety.IDEMPOTENT, plan, checks),
                queryClass(WRITE, QueryClass.RetrySafety.NON_IDEMPOTENT, plan, checks)),
            List.of(),
            Map.of(ENGINE_TYPE, new Settings.EngineType(ScalePlan.CORES_PER_ENGINE, 0)),
            new Settings.Capabilities(
                true,
                true,
                false,
                true,
                MAX_RETRY_AFTER_NANOS,
                MAX_FORWARDS,
                false,
                0,
                false,
                true,
                0,
                false,
                CONNECT_TIMEOUT_NANOS),
            DRAIN_GRACE_NANOS,
            new Settings.ColdStartLimit(
                START_CAPACITY_FRACTION, WARM_UP_NANOS, COLD_OVERLOAD_FACTOR, COLD_WINDOW_NANOS),
            KEY_COOLDOWN_NANOS,
            RETRY_BUDGET);
  }

  private static QueryClass queryClass(
      String name,
      QueryClass.RetrySafety retrySafety,
      ScalePlan plan,
      PlacementCheckCounter checks) {
    return new QueryClass(
        name,
        retrySafety,
        QueryClass.DeduplicationScope.ALL,
        0,
        plan.deadlineNanos() / 2,
        2,
        plan.deadlineNanos(),
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
  Settings forManager(long seed, int managerIndex, String zone) {
    return new Settings(
        seed,
        shared.managerCount(),
        managerIndex,
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

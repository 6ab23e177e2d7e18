package tansytrack.lab.scale;

import java.util.List;
import java.util.Map;
import java.util.Set;
import tansytrack.api.QueryClass;
import tansytrack.api.Settings;

/** The settings of hollow managers: one set shared by all but for seed, position and zone. */
final class HollowSettings {

  static final String READ = "read"; // may run again
  static final String WRITE = "write"; // may not
  static final String ENGINE_TYPE = "plain";

  /** Started engines have this part of their capacity, and all of it after {@link #WARM_AFTER}. */
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

  /** Those of one manager. */
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

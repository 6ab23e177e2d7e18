package tansytrack.api;

import java.util.List;
import java.util.Map;

/**
 * The start-up settings of a workload manager. A rule that is null is off. Times are in
 * nanoseconds. The manager index counts from 0 among the managers that share the engines; it is
 * UNKNOWN_INDEX where the settings tell none.
 */
public record Settings(
    long seed,
    int managerCount,
    int managerIndex,
    String zone,
    List<QueryClass> queryClasses,
    List<Tenant> tenants,
    Map<String, EngineType> engineTypes,
    Capabilities capabilities,
    long drainGraceNanos,
    ColdStartLimit coldStartLimit,
    long keyCooldownNanos,
    RetryBudget retryBudget) {

  /** The manager index where the settings tell none. */
  public static final int UNKNOWN_INDEX = -1;

  /** Returns the same settings with another seed. */
  public Settings withSeed(long other) {
    return new Settings(
        other,
        managerCount,
        managerIndex,
        zone,
        queryClasses,
        tenants,
        engineTypes,
        capabilities,
        drainGraceNanos,
        coldStartLimit,
        keyCooldownNanos,
        retryBudget);
  }

  /** A tenant: its share of the turns in the queues, and its quota of tasks per second. */
  public record Tenant(String name, double share, double tasksPerSecond) {}

  /** The cores and memory of an engine type; 0 where unknown. */
  public record EngineType(int cores, double memoryMb) {}

  /**
   * What the deployment permits, with its limits, and which of the manager's hints its engines
   * honour. The maximum grant is a fraction of an engine's memory.
   */
  public record Capabilities(
      boolean probing,
      boolean cancellation,
      boolean hedging,
      boolean retryAfter,
      long maxRetryAfterNanos,
      int maxForwards,
      boolean memoryGrants,
      double maxGrantFraction,
      boolean priorities,
      boolean reportsCost,
      long progressIntervalNanos,
      boolean crossZonePriced,
      long connectTimeoutNanos) {}

  /**
   * The limit on work for engines that have just started: within any window, a cold engine must not
   * receive more than the overload factor times its present capacity. The capacity grows linearly
   * from the start fraction to the full one during the warm-up time.
   */
  public record ColdStartLimit(
      double startCapacityFraction, long warmUpNanos, double overloadFactor, long windowNanos) {}

  /**
   * The limit on retries: in any window, at most the reserve plus the ratio times the tasks
   * accepted in it.
   */
  public record RetryBudget(int spareAttempts, double extraPerRequest, long windowNanos) {}
}

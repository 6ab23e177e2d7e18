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
    @DigestName("siblings") int managerCount,
    @DigestName("position") int managerIndex,
    @DigestName("place") String zone,
    @DigestName("grades") List<QueryClass> queryClasses,
    List<Tenant> tenants,
    @DigestName("kinds") Map<String, EngineType> engineTypes,
    @DigestName("levers") Capabilities capabilities,
    @DigestName("drainGrace") long drainGraceNanos,
    @DigestName("cold") ColdStartLimit coldStartLimit,
    @DigestName("keyRest") long keyCooldownNanos,
    @DigestName("ration") RetryBudget retryBudget) {

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
  public record Tenant(String name, double share, @DigestName("perSecond") double tasksPerSecond) {}

  /** The cores and memory of an engine type; 0 where unknown. */
  public record EngineType(int cores, double memoryMb) {}

  /**
   * What the deployment permits, with its limits, and which of the manager's hints its engines
   * honour. The maximum grant is a fraction of an engine's memory.
   */
  public record Capabilities(
      @DigestName("probe") boolean probing,
      @DigestName("cancel") boolean cancellation,
      @DigestName("secondCopies") boolean hedging,
      @DigestName("comeBack") boolean retryAfter,
      @DigestName("longestComeBack") long maxRetryAfterNanos,
      @DigestName("mostForwards") int maxForwards,
      @DigestName("grants") boolean memoryGrants,
      @DigestName("grantCap") double maxGrantFraction,
      boolean priorities,
      @DigestName("tellsCost") boolean reportsCost,
      @DigestName("progressEvery") long progressIntervalNanos,
      @DigestName("placesPriced") boolean crossZonePriced,
      @DigestName("connectTime") long connectTimeoutNanos) {}

  /**
   * The limit on work for engines that have just started: within any window, a cold engine must not
   * receive more than the overload factor times its present capacity. The capacity grows linearly
   * from the start fraction to the full one during the warm-up time.
   */
  public record ColdStartLimit(
      @DigestName("startCapacity") double startCapacityFraction,
      @DigestName("warmAfter") long warmUpNanos,
      @DigestName("multiple") double overloadFactor,
      @DigestName("window") long windowNanos) {}

  /**
   * The limit on retries: in any window, at most the spare attempts plus the extra attempts per
   * request times the tasks accepted in it.
   */
  public record RetryBudget(
      @DigestName("spare") int spareAttempts,
      @DigestName("share") double extraPerRequest,
      @DigestName("window") long windowNanos) {}
}

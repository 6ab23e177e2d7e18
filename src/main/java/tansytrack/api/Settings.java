package tansytrack.api;

import java.util.List;
import java.util.Map;

/**
 * What a workload manager is told when it starts; a rule that is null is off. Times in nanoseconds.
 * The position is its index among its siblings, from 0 on; UNKNOWN where it is not told.
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

  public static final int UNKNOWN_INDEX = -1;

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

  public record Tenant(String name, double share, double tasksPerSecond) {}

  public record EngineType(int cores, double memoryMb) {}

  /** What this deployment permits, and what its engines heed. */
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

  /** No cold engine may be sent more than multiple times its present capacity for the window. */
  public record ColdStartLimit(
      double startCapacityFraction, long warmUpNanos, double overloadFactor, long windowNanos) {}

  /** Further forwards in any window: at most spare plus share times the tasks taken in it. */
  public record RetryBudget(int spareAttempts, double extraPerRequest, long windowNanos) {}
}

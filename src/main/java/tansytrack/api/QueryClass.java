package tansytrack.api;

import java.util.Set;

/**
 * A query class as the settings define it. An empty set of zones or engine types allows any. Times
 * are in nanoseconds.
 */
public record QueryClass(
    String name,
    RetrySafety retrySafety,
    DeduplicationScope deduplicationScope,
    long deduplicationWindowNanos,
    long latencyObjectiveNanos,
    double targetStretch,
    long deadlineNanos,
    double earnings,
    double lateEarnings,
    boolean serializedByKey,
    Set<String> allowedZones,
    Set<String> allowedEngineTypes,
    int threads,
    boolean bulkLoad,
    boolean waitsForBulkLoads) {

  /** Whether a task of the class may be executed more than once. */
  public enum RetrySafety {
    /** Repeated execution is harmless. */
    IDEMPOTENT,
    /** Engines drop a repetition within the deduplication window. */
    DEDUPLICATED,
    /** The task must not be sent again once an engine may have executed it. */
    NON_IDEMPOTENT
  }

  /** The engines among which repetitions are dropped: all, those of one zone or of one cell. */
  public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
  }
}

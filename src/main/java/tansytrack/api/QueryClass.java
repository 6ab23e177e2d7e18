package tansytrack.api;

import java.util.Set;

/**
 * A query class as the settings define it. An empty set of zones or engine types allows any. Times
 * are in nanoseconds.
 */
public record QueryClass(
    String name,
    @DigestName("repeat") RetrySafety retrySafety,
    @DigestName("scope") DeduplicationScope deduplicationScope,
    @DigestName("repeatWindow") long deduplicationWindowNanos,
    @DigestName("promisedTime") long latencyObjectiveNanos,
    @DigestName("stretch") double targetStretch,
    @DigestName("cutOff") long deadlineNanos,
    double earnings,
    double lateEarnings,
    @DigestName("inOrder") boolean serializedByKey,
    @DigestName("places") Set<String> allowedZones,
    @DigestName("kinds") Set<String> allowedEngineTypes,
    int threads,
    @DigestName("load") boolean bulkLoad,
    @DigestName("waitsForLoads") boolean waitsForBulkLoads) {

  /** Whether a task of the class may be executed more than once. */
  public enum RetrySafety {
    /** Repeated execution is harmless. */
    @DigestName("HARMLESS")
    IDEMPOTENT,
    /** Engines drop a repetition within the deduplication window. */
    @DigestName("STAMPED")
    DEDUPLICATED,
    /** The task must not be sent again once an engine may have executed it. */
    @DigestName("ONE_SHOT")
    NON_IDEMPOTENT
  }

  /** The engines among which repetitions are dropped: all, those of one zone or of one cell. */
  public enum DeduplicationScope {
    ALL,
    @DigestName("PLACE")
    ZONE,
    CELL
  }
}

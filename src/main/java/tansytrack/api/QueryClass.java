package tansytrack.api;

import java.util.Set;

/**
 * One service grade as the start-up settings give it; an empty set of places or kinds means any.
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

  /** May a task of this grade run again? */
  public enum RetrySafety {
    IDEMPOTENT,
    DEDUPLICATED,
    NON_IDEMPOTENT
  }

  /**
   * Which engines drop the repeats of a stamped task: all, those of one place, those of one cell.
   */
  public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
  }
}

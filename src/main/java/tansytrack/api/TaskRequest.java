package tansytrack.api;

/**
 * A submitted task. The query class and tenant are names, empty where absent; an absent key is
 * null, an absent cost is 0, and an absent data set is -1. Times are in nanoseconds.
 */
public record TaskRequest(
    String id,
    String queryClass,
    String tenant,
    Long key,
    long deadlineNanos,
    long estimatedCostNanos,
    double estimatedMemoryMb,
    long dataSet) {}

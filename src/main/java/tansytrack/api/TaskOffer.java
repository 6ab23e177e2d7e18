package tansytrack.api;

/**
 * A submitted task. The query class and tenant are names, empty where absent; an absent key is
 * null, an absent cost is 0, and an absent data set is -1. Times are in nanoseconds.
 */
public record TaskOffer(
    String id,
    String grade,
    String tenant,
    Long key,
    long cutOffAt,
    long cost,
    double memoryMb,
    long dataSet) {}

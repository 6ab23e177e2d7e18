package tansytrack.api;

/**
 * A task as it comes in; grade and tenant by name, empty where absent; key null, cost 0 and data
 * set -1 likewise.
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

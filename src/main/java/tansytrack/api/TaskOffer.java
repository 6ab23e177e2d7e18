package tansytrack.api;

/**
 * A task as it comes in; grade and tenant by name, empty where absent; key null, cost 0 and data
 * set -1 likewise.
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

package tansytrack.api;

/** A task as it comes in; grade and tenant by name, key -1 where it has none, cost 0 where it is not estimated. */
public record TaskOffer(String id, String grade, String tenant, long key, long cutOffAt, long cost, double memoryMb,
        long dataSet) { }

package tansytrack.api;

/** A task as it comes in; grade and tenant by name, empty where absent; key -1 and cost 0 likewise. */
public record TaskOffer(String id, String grade, String tenant, long key, long cutOffAt, long cost, double memoryMb,
        long dataSet) { }

package tansytrack.lab.load;

/**
 * One intended task: when it is to be sent, in nanoseconds from the start, and what it is. Key 0:
 * none.
 */
public record Arrival(
    long number,
    long atNanos,
    String tenant,
    String queryClass,
    int dataSet,
    double costMs,
    double memoryMb,
    long key) {}

package tansytrack.lab.load;

/**
 * One task of a load.
 *
 * @param number counts the tasks of the load, from 1
 * @param atNanos intended time of sending, in nanoseconds from the start of the load
 * @param tenant the tenant that sends it
 * @param queryClass the name of its query class
 * @param dataSet the data set that it reads
 * @param costMs estimated work, in milliseconds
 * @param memoryMb estimated memory, in MB
 * @param key orders tasks that have the same key; 0: none
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

package tansytrack.api;

/**
 * The status of an engine as the decision module sees it: its open forwards, the age of its last
 * load report (-1 where there is none), and whether it is excluded from new tasks.
 */
public record EngineStatus(String id, int openForwards, long reportAgeNanos, boolean excluded) {}

package tansytrack.api;

/**
 * An engine as the module sees it: forwards out, the age of its last report (-1: none), and whether
 * it gets no tasks.
 */
public record EngineStatus(String id, int openForwards, long reportAgeNanos, boolean excluded) {}

package tansytrack.api;

/**
 * An engine as the module sees it: forwards out, the age of its last report (-1: none), and whether
 * it gets no tasks.
 */
public record EngineView(String id, int forwards, long reportAge, boolean excluded) {}

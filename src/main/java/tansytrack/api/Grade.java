package tansytrack.api;

import java.util.Set;

/**
 * A query class as the settings define it. An empty set of zones or engine types allows any. Times
 * are in nanoseconds.
 */
public record Grade(
    String name,
    Repeat repeat,
    Scope scope,
    long repeatWindow,
    long promisedTime,
    double stretch,
    long cutOff,
    double earnings,
    double lateEarnings,
    boolean inOrder,
    Set<String> places,
    Set<String> kinds,
    int threads,
    boolean load,
    boolean waitsForLoads) {

  /** Whether a task of the class may be executed more than once. */
  public enum Repeat {
    /** Repeated execution is harmless. */
    HARMLESS,
    /** Engines drop a repetition within the deduplication window. */
    STAMPED,
    /** The task must not be sent again once an engine may have executed it. */
    ONE_SHOT
  }

  /** The engines among which repetitions are dropped: all, those of one zone or of one cell. */
  public enum Scope {
    ALL,
    PLACE,
    CELL
  }
}

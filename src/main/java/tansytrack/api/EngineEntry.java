package tansytrack.api;

/**
 * An entry of the engine list. The size counts as the number of cores where the settings tell none
 * for the type; a start time of 0 means long ago.
 */
public record EngineEntry(
    String id, double size, String zone, String type, int cell, State state, long startedAtNanos) {

  /** The state of an engine in the list. */
  public enum State {
    READY,
    DRAINING,
    GONE
  }
}

package tansytrack.api;

/** One engine as the list names it; startedAt 0 means long past. */
public record EngineEntry(
    String id, double size, String zone, String type, int cell, State state, long startedAtNanos) {

  public enum State {
    READY,
    DRAINING,
    GONE
  }
}

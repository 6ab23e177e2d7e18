package tansytrack.api;

/** One engine as the list names it; startedAt 0 means long past. */
public record EngineEntry(
    String id, double size, String place, String kind, int cell, State state, long startedAt) {

  public enum State {
    READY,
    DRAINING,
    GONE
  }
}

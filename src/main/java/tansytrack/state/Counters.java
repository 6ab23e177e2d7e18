package tansytrack.state;

import java.util.Map;
import java.util.TreeMap;

/** What was taken in, sent and answered, by kind. */
public final class Counters {

  private final Map<String, Long> counts = new TreeMap<>();

  /** Adds one to a counter, which begins at 0. */
  public void increment(String kind) {
    counts.merge(kind, 1L, Long::sum);
  }

  /** A counter's value, 0 where nothing was counted. */
  public long get(String kind) {
    return counts.getOrDefault(kind, 0L);
  }

  /** All counters by name, in order. */
  public Map<String, Long> asMap() {
    return counts;
  }
}

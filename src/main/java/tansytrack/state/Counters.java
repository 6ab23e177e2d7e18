package tansytrack.state;

import java.util.Map;
import java.util.TreeMap;

/** Event counters by name, as shown by SHOW STATS. */
public final class Counters {

  private final Map<String, Long> counts = new TreeMap<>();

  /** Increments a counter, which starts at 0. */
  public void increment(String name) {
    counts.merge(name, 1L, Long::sum);
  }

  /** Returns a counter's value, 0 if nothing was counted. */
  public long get(String name) {
    return counts.getOrDefault(name, 0L);
  }

  /** Returns all counters, ordered by name. */
  public Map<String, Long> asMap() {
    return counts;
  }
}

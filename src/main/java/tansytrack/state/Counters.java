package tansytrack.state;

import java.util.Map;
import java.util.TreeMap;

/** What was taken in, sent and answered, by kind. */
public final class Counters {

  private final Map<String, Long> counts = new TreeMap<>();

  public void add(String kind) {
    counts.merge(kind, 1L, Long::sum);
  }

  public long of(String kind) {
    return counts.getOrDefault(kind, 0L);
  }

  public Map<String, Long> all() {
    return counts;
  }
}

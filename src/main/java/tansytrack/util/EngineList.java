package tansytrack.util;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.function.Predicate;
import tansytrack.api.EngineEntry;

/** The engines listed, without those that are gone, by id: a reference for each and no more. */
public final class EngineList {

  private final ArrayList<EngineEntry> entries = new ArrayList<>();
  private final List<EngineCounter> counts = new ArrayList<>();

  /** How many are listed of some kind. */
  public static final class EngineCounter {
    private final Predicate<EngineEntry> counted;
    private int value;

    private EngineCounter(Predicate<EngineEntry> counted) {
      this.counted = counted;
    }

    /** The number at present. */
    public int value() {
      return value;
    }
  }

  /** Counts those from now on; to be asked for while nothing is listed. */
  public EngineCounter count(Predicate<EngineEntry> counted) {
    counts.add(new EngineCounter(counted));
    return counts.get(counts.size() - 1);
  }

  /** All entries by id, as a view that cannot be changed. */
  public List<EngineEntry> all() {
    return Collections.unmodifiableList(entries);
  }

  /** The entry of that id, or null. */
  public EngineEntry find(String id) {
    int at = indexOf(id);
    return at >= 0 ? entries.get(at) : null;
  }

  /** The whole list: by id, each once. */
  public void replaceAll(Collection<EngineEntry> all) {
    entries.clear();
    entries.addAll(all);
    entries.removeIf(entry -> entry.state() == EngineEntry.State.GONE);
    entries.trimToSize();
    counts.forEach(count -> count.value = 0);
    entries.forEach(entry -> count(entry, 1));
  }

  /** One change. */
  public void put(EngineEntry entry) {
    int at = indexOf(entry.id());
    if (at >= 0) {
      count(entries.remove(at), -1);
    }
    if (entry.state() != EngineEntry.State.GONE) {
      entries.add(at >= 0 ? at : -at - 1, entry);
      count(entry, 1);
    }
  }

  private void count(EngineEntry entry, int one) {
    for (EngineCounter count : counts) {
      count.value += count.counted.test(entry) ? one : 0;
    }
  }

  /** Its index, or under 0 where it is not listed: the index that it would take, as -index - 1. */
  private int indexOf(String id) {
    int from = 0;
    int to = entries.size() - 1;
    while (from <= to) {
      int middle = (from + to) >>> 1;
      int order = entries.get(middle).id().compareTo(id);
      if (order == 0) {
        return middle;
      }
      if (order < 0) {
        from = middle + 1;
      } else {
        to = middle - 1;
      }
    }
    return -from - 1;
  }
}

package tansytrack.util;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.function.Predicate;
import tansytrack.api.EngineEntry;

/**
 * The listed engines without those that are gone, sorted by id. It holds one reference per engine,
 * as lists can have many thousands of entries.
 */
public final class EngineList {

  private final ArrayList<EngineEntry> entries = new ArrayList<>();
  private final List<EngineCounter> counters = new ArrayList<>();

  /** Counts the listed engines that match a predicate. */
  public static final class EngineCounter {
    private final Predicate<EngineEntry> predicate;
    private int value;

    private EngineCounter(Predicate<EngineEntry> predicate) {
      this.predicate = predicate;
    }

    /** Returns the present number. */
    public int value() {
      return value;
    }
  }

  /** Adds a counter of matching engines; must be called while the list is empty. */
  public EngineCounter count(Predicate<EngineEntry> predicate) {
    counters.add(new EngineCounter(predicate));
    return counters.get(counters.size() - 1);
  }

  /** Returns all entries, sorted by id, as an unmodifiable view. */
  public List<EngineEntry> all() {
    return Collections.unmodifiableList(entries);
  }

  /** Returns the entry with that id, or null. */
  public EngineEntry find(String id) {
    int index = indexOf(id);
    return index >= 0 ? entries.get(index) : null;
  }

  /** Replaces the whole list by entries that are sorted by id and unique. */
  public void replaceAll(Collection<EngineEntry> sortedEntries) {
    entries.clear();
    entries.addAll(sortedEntries);
    entries.removeIf(entry -> entry.state() == EngineEntry.State.GONE);
    entries.trimToSize();
    counters.forEach(count -> count.value = 0);
    entries.forEach(entry -> count(entry, 1));
  }

  /** Adds, replaces or, if it is gone, removes one entry. */
  public void put(EngineEntry entry) {
    int index = indexOf(entry.id());
    if (index >= 0) {
      count(entries.remove(index), -1);
    }
    if (entry.state() != EngineEntry.State.GONE) {
      entries.add(index >= 0 ? index : -index - 1, entry);
      count(entry, 1);
    }
  }

  private void count(EngineEntry entry, int delta) {
    for (EngineCounter count : counters) {
      count.value += count.predicate.test(entry) ? delta : 0;
    }
  }

  /** Returns the index of the id, or -(insertion point) - 1 where it is not listed. */
  private int indexOf(String id) {
    int low = 0;
    int high = entries.size() - 1;
    while (low <= high) {
      int middle = (low + high) >>> 1;
      int comparison = entries.get(middle).id().compareTo(id);
      if (comparison == 0) {
        return middle;
      }
      if (comparison < 0) {
        low = middle + 1;
      } else {
        high = middle - 1;
      }
    }
    return -low - 1;
  }
}

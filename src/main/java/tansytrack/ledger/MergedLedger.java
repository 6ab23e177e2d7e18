package tansytrack.ledger;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The union of several managers' ledgers. The order in which ledgers and exports are added,
 * repetitions and overlaps make no difference. If two sources have different entries for one task,
 * both are kept and reported as a contradiction.
 */
public final class MergedLedger {

  /** Identifies a task, or a gap, among all managers. */
  public record Key(String manager, long epoch, long sequence) implements Comparable<Key> {
    private static final Comparator<Key> ORDER =
        Comparator.comparing(Key::manager)
            .thenComparingLong(Key::epoch)
            .thenComparingLong(Key::sequence);

    @Override
    public int compareTo(Key other) {
      return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
      return manager + ' ' + epoch + ':' + sequence;
    }
  }

  /** A range of task numbers of one epoch for which there is neither an entry nor a gap. */
  public record MissingRange(String manager, long epoch, long first, long last) {}

  private record ManagerEpoch(String manager, long epoch) {}

  private final TreeMap<Key, Set<Entry>> entries = new TreeMap<>();
  private final TreeMap<Key, Set<Gap>> gaps = new TreeMap<>();

  /** Adds an entry; the same one from several ledgers or exports counts once. */
  public void add(String manager, Entry entry) {
    entries
        .computeIfAbsent(new Key(manager, entry.epoch(), entry.sequence()), key -> new HashSet<>(2))
        .add(entry);
  }

  /** Adds a gap; the same one from several ledgers or exports counts once. */
  public void add(String manager, Gap gap) {
    gaps.computeIfAbsent(new Key(manager, gap.epoch(), gap.number()), key -> new HashSet<>(2))
        .add(gap);
  }

  /** Adds all entries and gaps of another merged ledger. */
  public void add(MergedLedger other) {
    other.entries.forEach(
        (key, said) -> entries.computeIfAbsent(key, one -> new HashSet<>(2)).addAll(said));
    other.gaps.forEach(
        (key, said) -> gaps.computeIfAbsent(key, one -> new HashSet<>(2)).addAll(said));
  }

  /** Entries by their key; several entries under one key contradict each other. */
  public Map<Key, Set<Entry>> entries() {
    return entries;
  }

  /** All gaps, by manager and number. */
  public List<Gap> gaps() {
    return gaps.values().stream().flatMap(Set::stream).toList();
  }

  /** The keys of tasks and gaps for which the sources differ. */
  public List<Key> contradictions() {
    List<Key> against = new ArrayList<>();
    entries.forEach(
        (key, said) -> {
          if (said.size() > 1) {
            against.add(key);
          }
        });
    gaps.forEach(
        (key, said) -> {
          if (said.size() > 1) {
            against.add(key);
          }
        });
    return against;
  }

  /** Ranges of numbers below the last one of their epoch with neither an entry nor a gap. */
  public List<MissingRange> missingRanges() {
    Map<ManagerEpoch, List<Gap>> known = new java.util.HashMap<>();
    gaps.forEach(
        (key, said) ->
            known
                .computeIfAbsent(new ManagerEpoch(key.manager, key.epoch), one -> new ArrayList<>())
                .addAll(said));
    List<MissingRange> holes = new ArrayList<>();
    Key last = null;
    for (Key key : entries.keySet()) {
      boolean same = last != null && last.manager.equals(key.manager) && last.epoch == key.epoch;
      addMissingRanges(
          key,
          same ? last.sequence + 1 : 1,
          known.getOrDefault(new ManagerEpoch(key.manager, key.epoch), List.of()),
          holes);
      last = key;
    }
    return holes;
  }

  private static void addMissingRanges(
      Key until, long from, List<Gap> gaps, List<MissingRange> holes) {
    long first = 0;
    for (long number = from; number <= until.sequence; number++) {
      long at = number;
      boolean missing = number < until.sequence && gaps.stream().noneMatch(gap -> gap.covers(at));
      if (missing && first == 0) {
        first = number;
      } else if (!missing && first > 0) {
        holes.add(new MissingRange(until.manager, until.epoch, first, number - 1));
        first = 0;
      }
    }
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof MergedLedger merged
        && merged.entries.equals(entries)
        && merged.gaps.equals(gaps);
  }

  @Override
  public int hashCode() {
    return entries.hashCode() * 31 + gaps.hashCode();
  }

  @Override
  public String toString() {
    return entries + " " + gaps;
  }
}

package tansytrack.ledger;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Several managers' ledgers as one: the union of what each says, so that order, repetition and
 * overlap make no difference. Where two say different things of one task both are kept, and it is a
 * contradiction.
 */
public final class MergedLedger {

  /** One task among all managers. */
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

  /** Numbers of one epoch that nothing accounts for, from first to last. */
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

  /** Takes in all that the other holds. */
  public void add(MergedLedger other) {
    other.entries.forEach(
        (key, said) -> entries.computeIfAbsent(key, one -> new HashSet<>(2)).addAll(said));
    other.gaps.forEach(
        (key, said) -> gaps.computeIfAbsent(key, one -> new HashSet<>(2)).addAll(said));
  }

  /** Entries by their key; more than one under a key contradict each other. */
  public Map<Key, Set<Entry>> entries() {
    return entries;
  }

  /** All gaps, by manager and number. */
  public List<Gap> gaps() {
    return gaps.values().stream().flatMap(Set::stream).toList();
  }

  /** Tasks, and gaps, of which different things are said. */
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

  /** Numbers missing below the last one of their epoch, where no gap accounts for them. */
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

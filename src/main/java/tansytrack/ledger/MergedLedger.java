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
        (key, versions) ->
            entries.computeIfAbsent(key, absent -> new HashSet<>(2)).addAll(versions));
    other.gaps.forEach(
        (key, versions) -> gaps.computeIfAbsent(key, absent -> new HashSet<>(2)).addAll(versions));
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
    List<Key> contradictions = new ArrayList<>();
    entries.forEach(
        (key, versions) -> {
          if (versions.size() > 1) {
            contradictions.add(key);
          }
        });
    gaps.forEach(
        (key, versions) -> {
          if (versions.size() > 1) {
            contradictions.add(key);
          }
        });
    return contradictions;
  }

  /** Ranges of numbers below the last one of their epoch with neither an entry nor a gap. */
  public List<MissingRange> missingRanges() {
    Map<ManagerEpoch, List<Gap>> gapsByEpoch = new java.util.HashMap<>();
    gaps.forEach(
        (key, versions) ->
            gapsByEpoch
                .computeIfAbsent(
                    new ManagerEpoch(key.manager, key.epoch), absent -> new ArrayList<>())
                .addAll(versions));
    List<MissingRange> ranges = new ArrayList<>();
    Key previous = null;
    for (Key key : entries.keySet()) {
      boolean sameEpoch =
          previous != null && previous.manager.equals(key.manager) && previous.epoch == key.epoch;
      addMissingRanges(
          key,
          sameEpoch ? previous.sequence + 1 : 1,
          gapsByEpoch.getOrDefault(new ManagerEpoch(key.manager, key.epoch), List.of()),
          ranges);
      previous = key;
    }
    return ranges;
  }

  private static void addMissingRanges(
      Key key, long firstNumber, List<Gap> gaps, List<MissingRange> ranges) {
    long firstMissing = 0;
    for (long number = firstNumber; number <= key.sequence; number++) {
      long candidate = number;
      boolean missing =
          number < key.sequence && gaps.stream().noneMatch(gap -> gap.covers(candidate));
      if (missing && firstMissing == 0) {
        firstMissing = number;
      } else if (!missing && firstMissing > 0) {
        ranges.add(new MissingRange(key.manager, key.epoch, firstMissing, number - 1));
        firstMissing = 0;
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

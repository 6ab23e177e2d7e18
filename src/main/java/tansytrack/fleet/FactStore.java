package tansytrack.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What each has seen: its owner's latest fact of each kind and subject. Merging is the join of a
 * lattice (later version, then earlier end), so that order, repetition and grouping of what comes
 * make no difference.
 */
public final class FactStore {

  private final int maxFacts;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final TreeSet<Entry> byExpiry = new TreeSet<>();
  private long refused;

  private record Entry(Fact fact, long expiresAt) implements Comparable<Entry> {
    @Override
    public int compareTo(Entry other) {
      return expiresAt != other.expiresAt
          ? Long.compare(expiresAt, other.expiresAt)
          : fact.key().compareTo(other.fact.key());
    }
  }

  FactStore(int most) {
    this.maxFacts = most;
  }

  /** Takes it if it is later than what is held; true: it is to be passed on. */
  boolean merge(long now, Fact fact) {
    Entry next = new Entry(fact, now + fact.ttlNanos() - fact.ageNanos());
    if (next.expiresAt <= now) {
      return false;
    }
    Entry old = entries.get(fact.key());
    if (old == null && entries.size() >= maxFacts) {
      refused++;
      return false;
    }
    boolean later = old == null || fact.supersedes(old.fact);
    if (later || (fact.isSameVersion(old.fact) && next.expiresAt < old.expiresAt)) {
      if (old != null) {
        byExpiry.remove(old);
      }
      entries.put(fact.key(), next);
      byExpiry.add(next);
    }
    return later;
  }

  /** Drops what has ended. */
  void removeExpired(long now) {
    while (!byExpiry.isEmpty() && byExpiry.first().expiresAt <= now) {
      entries.remove(byExpiry.pollFirst().fact.key());
    }
  }

  /** Its owner is gone. */
  void removeOwnedBy(String owner) {
    Map<String, Entry> theirs = entries(owner);
    theirs.values().forEach(byExpiry::remove);
    theirs.clear();
  }

  private Map<String, Entry> entries(String owner) {
    return entries.subMap(owner + '\n', owner + (char) ('\n' + 1));
  }

  /** How many are held of one owner. */
  public int countOwnedBy(String owner) {
    return entries(owner).size();
  }

  /** Of that kind, by owner and subject, as old as they are by then. */
  public List<Fact> ofKind(long now, String kind) {
    List<Fact> all = new ArrayList<>();
    for (Entry one : entries.values()) {
      if (one.fact.kind().equals(kind) && one.expiresAt > now) {
        all.add(withCurrentAge(now, one));
      }
    }
    return all;
  }

  /** The first one whose key is not before that one; null: none. */
  Fact firstFrom(long now, String key) {
    Map.Entry<String, Entry> next = entries.ceilingEntry(key);
    return next == null ? null : withCurrentAge(now, next.getValue());
  }

  /** As it is to be passed on now. */
  Fact current(long now, Fact fact) {
    Entry one = entries.get(fact.key());
    return one == null || one.expiresAt <= now ? null : withCurrentAge(now, one);
  }

  private static Fact withCurrentAge(long now, Entry one) {
    return one.fact.withAge(Math.max(0, one.fact.ttlNanos() - (one.expiresAt - now)));
  }

  /** How many facts are held. */
  public int size() {
    return entries.size();
  }

  /** How many facts were refused for want of room. */
  public long refused() {
    return refused;
  }
}

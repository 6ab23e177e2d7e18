package tansytrack.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The replicated facts: the latest version for each owner, kind and subject. Merging is the join of
 * a lattice (newer version, then earlier expiry), so the order, repetition and grouping of received
 * facts make no difference.
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

  /** Stores a fact that is newer than the held one; returns whether it must be gossiped. */
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

  /** Removes expired facts. */
  void removeExpired(long now) {
    while (!byExpiry.isEmpty() && byExpiry.first().expiresAt <= now) {
      entries.remove(byExpiry.pollFirst().fact.key());
    }
  }

  /** Removes all facts of an owner that is dead or has left. */
  void removeOwnedBy(String owner) {
    Map<String, Entry> theirs = entries(owner);
    theirs.values().forEach(byExpiry::remove);
    theirs.clear();
  }

  private Map<String, Entry> entries(String owner) {
    return entries.subMap(owner + '\n', owner + (char) ('\n' + 1));
  }

  /** The number of facts held of an owner. */
  public int countOwnedBy(String owner) {
    return entries(owner).size();
  }

  /** All facts of a kind, ordered by owner and subject, with their age at the given time. */
  public List<Fact> ofKind(long now, String kind) {
    List<Fact> all = new ArrayList<>();
    for (Entry one : entries.values()) {
      if (one.fact.kind().equals(kind) && one.expiresAt > now) {
        all.add(withCurrentAge(now, one));
      }
    }
    return all;
  }

  /** The first fact whose key is equal to or greater than the given one, or null. */
  Fact firstFrom(long now, String key) {
    Map.Entry<String, Entry> next = entries.ceilingEntry(key);
    return next == null ? null : withCurrentAge(now, next.getValue());
  }

  /** The held version of a fact with its present age, or null if it has expired. */
  Fact current(long now, Fact fact) {
    Entry one = entries.get(fact.key());
    return one == null || one.expiresAt <= now ? null : withCurrentAge(now, one);
  }

  private static Fact withCurrentAge(long now, Entry one) {
    return one.fact.withAge(Math.max(0, one.fact.ttlNanos() - (one.expiresAt - now)));
  }

  /** The number of facts held. */
  public int size() {
    return entries.size();
  }

  /** The number of facts refused because the store was full. */
  public long refused() {
    return refused;
  }
}

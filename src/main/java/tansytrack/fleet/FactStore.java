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
  private long rejected;

  private record Entry(Fact fact, long expiresAt) implements Comparable<Entry> {
    @Override
    public int compareTo(Entry other) {
      return expiresAt != other.expiresAt
          ? Long.compare(expiresAt, other.expiresAt)
          : fact.key().compareTo(other.fact.key());
    }
  }

  FactStore(int maxFacts) {
    this.maxFacts = maxFacts;
  }

  /** Stores a fact that is newer than the held one; returns whether it must be gossiped. */
  boolean merge(long now, Fact fact) {
    Entry candidate = new Entry(fact, now + fact.ttlNanos() - fact.ageNanos());
    if (candidate.expiresAt <= now) {
      return false;
    }
    Entry held = entries.get(fact.key());
    if (held == null && entries.size() >= maxFacts) {
      rejected++;
      return false;
    }
    boolean newer = held == null || fact.supersedes(held.fact);
    if (newer || (fact.isSameVersion(held.fact) && candidate.expiresAt < held.expiresAt)) {
      if (held != null) {
        byExpiry.remove(held);
      }
      entries.put(fact.key(), candidate);
      byExpiry.add(candidate);
    }
    return newer;
  }

  /** Removes expired facts. */
  void removeExpired(long now) {
    while (!byExpiry.isEmpty() && byExpiry.first().expiresAt <= now) {
      entries.remove(byExpiry.pollFirst().fact.key());
    }
  }

  /** Removes all facts of an owner that is dead or has left. */
  void removeOwnedBy(String owner) {
    Map<String, Entry> owned = entries(owner);
    owned.values().forEach(byExpiry::remove);
    owned.clear();
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
    List<Fact> facts = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.fact.kind().equals(kind) && entry.expiresAt > now) {
        facts.add(withCurrentAge(now, entry));
      }
    }
    return facts;
  }

  /** The first fact whose key is equal to or greater than the given one, or null. */
  Fact firstFrom(long now, String key) {
    Map.Entry<String, Entry> entry = entries.ceilingEntry(key);
    return entry == null ? null : withCurrentAge(now, entry.getValue());
  }

  /** The held version of a fact with its present age, or null if it has expired. */
  Fact current(long now, Fact fact) {
    Entry entry = entries.get(fact.key());
    return entry == null || entry.expiresAt <= now ? null : withCurrentAge(now, entry);
  }

  private static Fact withCurrentAge(long now, Entry entry) {
    return entry.fact.withAge(Math.max(0, entry.fact.ttlNanos() - (entry.expiresAt - now)));
  }

  /** The number of facts held. */
  public int size() {
    return entries.size();
  }

  /** The number of facts rejected because the store was full. */
  public long rejected() {
    return rejected;
  }
}

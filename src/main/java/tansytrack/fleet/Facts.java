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
public final class Facts {

  private final int most;
  private final TreeMap<String, Held> held = new TreeMap<>();
  private final TreeSet<Held> ends = new TreeSet<>();
  private long refused;

  private record Held(Fact fact, long endsAt) implements Comparable<Held> {
    @Override
    public int compareTo(Held other) {
      return endsAt != other.endsAt
          ? Long.compare(endsAt, other.endsAt)
          : fact.key().compareTo(other.fact.key());
    }
  }

  Facts(int most) {
    this.most = most;
  }

  /** Stores a fact that is newer than the held one; returns whether it must be gossiped. */
  boolean merge(long now, Fact fact) {
    Held next = new Held(fact, now + fact.lasts() - fact.age());
    if (next.endsAt <= now) {
      return false;
    }
    Held old = held.get(fact.key());
    if (old == null && held.size() >= most) {
      refused++;
      return false;
    }
    boolean later = old == null || fact.overrules(old.fact);
    if (later || (fact.sameVersion(old.fact) && next.endsAt < old.endsAt)) {
      if (old != null) {
        ends.remove(old);
      }
      held.put(fact.key(), next);
      ends.add(next);
    }
    return later;
  }

  /** Removes expired facts. */
  void end(long now) {
    while (!ends.isEmpty() && ends.first().endsAt <= now) {
      held.remove(ends.pollFirst().fact.key());
    }
  }

  /** Removes all facts of an owner that is dead or has left. */
  void drop(String owner) {
    Map<String, Held> theirs = held(owner);
    theirs.values().forEach(ends::remove);
    theirs.clear();
  }

  private Map<String, Held> held(String owner) {
    return held.subMap(owner + '\n', owner + (char) ('\n' + 1));
  }

  /** The number of facts held of an owner. */
  public int ownedBy(String owner) {
    return held(owner).size();
  }

  /** All facts of a kind, ordered by owner and subject, with their age at the given time. */
  public List<Fact> of(long now, String kind) {
    List<Fact> all = new ArrayList<>();
    for (Held one : held.values()) {
      if (one.fact.kind().equals(kind) && one.endsAt > now) {
        all.add(aged(now, one));
      }
    }
    return all;
  }

  /** The first fact whose key is equal to or greater than the given one, or null. */
  Fact from(long now, String key) {
    Map.Entry<String, Held> next = held.ceilingEntry(key);
    return next == null ? null : aged(now, next.getValue());
  }

  /** The held version of a fact with its present age, or null if it has expired. */
  Fact now(long now, Fact fact) {
    Held one = held.get(fact.key());
    return one == null || one.endsAt <= now ? null : aged(now, one);
  }

  private static Fact aged(long now, Held one) {
    return one.fact.aged(Math.max(0, one.fact.lasts() - (one.endsAt - now)));
  }

  /** The number of facts held. */
  public int size() {
    return held.size();
  }

  /** The number of facts refused because the store was full. */
  public long refused() {
    return refused;
  }
}

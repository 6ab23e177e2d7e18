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

  /** Takes it if it is later than what is held; true: it is to be passed on. */
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

  /** Drops what has ended. */
  void end(long now) {
    while (!ends.isEmpty() && ends.first().endsAt <= now) {
      held.remove(ends.pollFirst().fact.key());
    }
  }

  /** Its owner is gone. */
  void drop(String owner) {
    Map<String, Held> theirs = held(owner);
    theirs.values().forEach(ends::remove);
    theirs.clear();
  }

  private Map<String, Held> held(String owner) {
    return held.subMap(owner + '\n', owner + (char) ('\n' + 1));
  }

  /** How many are held of one owner. */
  public int ownedBy(String owner) {
    return held(owner).size();
  }

  /** Of that kind, by owner and subject, as old as they are by then. */
  public List<Fact> of(long now, String kind) {
    List<Fact> all = new ArrayList<>();
    for (Held one : held.values()) {
      if (one.fact.kind().equals(kind) && one.endsAt > now) {
        all.add(aged(now, one));
      }
    }
    return all;
  }

  /** The first one whose key is not before that one; null: none. */
  Fact from(long now, String key) {
    Map.Entry<String, Held> next = held.ceilingEntry(key);
    return next == null ? null : aged(now, next.getValue());
  }

  /** As it is to be passed on now. */
  Fact now(long now, Fact fact) {
    Held one = held.get(fact.key());
    return one == null || one.endsAt <= now ? null : aged(now, one);
  }

  private static Fact aged(long now, Held one) {
    return one.fact.aged(Math.max(0, one.fact.lasts() - (one.endsAt - now)));
  }

  /** How many facts are held. */
  public int size() {
    return held.size();
  }

  /** How many facts were refused for want of room. */
  public long refused() {
    return refused;
  }
}

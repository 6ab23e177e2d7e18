package tansytrack.policy;

import java.util.*;
import java.util.function.Predicate;
import tansytrack.api.*;
import tansytrack.parts.*;

/**
 * Which of the listed engines one manager uses: deterministic subsetting. At level k the managers'
 * positions fall into blocks of 2^k; of each block an engine takes one, bit by bit from the top,
 * each by a hash of its id. So N / 2^k managers use an engine, or one more; a manager uses about M
 * / 2^k engines. docs/design.md
 */
public final class EngineSubset {

  private static final double BOUND = 128; // of engines in a subset
  private static final int LEAST_USERS = 8; // managers an engine: fewer would load it unevenly
  private static final double STEP_BACK = 0.9; // of the engines that led to a level: then it falls
  private static final int LEVELS = 20;
  private static final double REFILL_UNDER =
      0.55; // of what is used is healthy: others stand in. Over
  private static final double RELEASE_OVER = 2 / 3.0; // half, as suspicion of most keeps none out

  private final long position;
  private final EngineList listed;
  private final List<Group> all = new ArrayList<>(); // the first: those that no task may use

  public EngineSubset(Settings set, EngineList listed) {
    this.listed = listed;
    position =
        set.position() != Settings.UNKNOWN ? set.position() : StableHash.mix(set.seed()) >>> 33;
    group(entry -> !any(group -> group != all.get(0) && group.allowed.test(entry)));
  }

  /** Engines that the same tasks may use: of each group a subset. */
  public final class Group {
    private final Predicate<EngineEntry> allowed;
    private final EngineList.Count engines;
    private final Set<String> standIns = new LinkedHashSet<>();
    private int level;

    private Group(Predicate<EngineEntry> allowed) {
      this.allowed = allowed;
      engines = listed.count(allowed);
    }

    public boolean uses(EngineEntry entry) {
      return allowed.test(entry) && (inSubset(entry.id()) || standIns.contains(entry.id()));
    }

    private boolean inSubset(String id) {
      return level == 0 || depth(id) >= level;
    }

    private boolean settle(int managers) {
      int before = level;
      int highest = levelOf(engines.now() / STEP_BACK, managers);
      level = Math.max(levelOf(engines.now(), managers), Math.min(level, highest));
      standIns.removeIf(id -> inSubset(id) || listed.find(id) == null);
      return level != before;
    }

    /**
     * Called once a sweep with those used that are healthy and warm: the one engine that is now to
     * stand in, or no more, or null. By an order of each manager's own, or all would take the same
     * ones.
     */
    public EngineEntry refill(List<EngineEntry> healthy, Predicate<EngineEntry> free) {
      double usual = engines.now() / (double) (1 << level);
      if (healthy.stream().filter(one -> inSubset(one.id())).count() >= RELEASE_OVER * usual) {
        String first = standIns.stream().findFirst().orElse("");
        return standIns.remove(first) ? listed.find(first) : null;
      }
      boolean enough = healthy.size() >= REFILL_UNDER * (usual + standIns.size());
      if (enough || standIns.size() >= usual) {
        return null;
      }
      EngineEntry next =
          listed.all().stream()
              .filter(
                  one ->
                      allowed.test(one)
                          && !uses(one)
                          && one.state() == EngineEntry.State.READY
                          && free.test(one))
              .min(order())
              .orElse(null);
      if (next != null) {
        standIns.add(next.id());
      }
      return next;
    }
  }

  public Group group(Predicate<EngineEntry> allowed) {
    all.add(new Group(allowed));
    return all.get(all.size() - 1);
  }

  /**
   * When the list or the number of managers has changed. True: any engine may be used, or no more.
   */
  public boolean settle(int managers) {
    return all.stream().filter(group -> group.settle(managers)).count() > 0;
  }

  public boolean uses(EngineEntry entry) {
    return any(group -> group.uses(entry));
  }

  public boolean standsIn(EngineEntry entry) {
    return !any(group -> group.allowed.test(entry) && group.inSubset(entry.id()));
  }

  private boolean any(Predicate<Group> such) {
    for (Group group : all) {
      if (such.test(group)) {
        return true;
      }
    }
    return false;
  }

  /** Of the managers one in 2 to this power uses it: by its own depth, where it only stands in. */
  public int level(EngineEntry entry) {
    return all.stream()
        .filter(group -> group.allowed.test(entry))
        .mapToInt(group -> group.level)
        .reduce(depth(entry.id()), Math::min);
  }

  /** The lowest level that keeps a subset within its bound, and enough managers at an engine. */
  private static int levelOf(double engines, int managers) {
    int level = 0;
    while (engines / (1 << level) > BOUND && managers / (2 << level) >= LEAST_USERS) {
      level++;
    }
    return level;
  }

  /** The levels, from the lowest on, at which an engine takes this manager out of its block. */
  private int depth(String id) {
    long name = StableHash.of(id);
    int k = 0;
    while (k < LEVELS && (position >> k & 1) == StableHash.of(name, position >> k + 1, k) >>> 63) {
      k++;
    }
    return k;
  }

  private Comparator<EngineEntry> order() {
    return Comparator.comparingInt((EngineEntry entry) -> -depth(entry.id()))
        .thenComparingLong(entry -> StableHash.of(StableHash.of(entry.id()), position, LEVELS));
  }
}

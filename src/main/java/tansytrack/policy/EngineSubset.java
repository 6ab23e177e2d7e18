package tansytrack.policy;

import java.util.*;
import java.util.function.Predicate;
import tansytrack.api.*;
import tansytrack.parts.*;

/**
 * Selects which of the listed engines one manager uses, by deterministic subsetting. At level k the
 * manager indexes form blocks of 2^k; each engine takes one manager of each block, choosing bit by
 * bit from the highest one by a hash of its id. So of N managers N / 2^k use an engine, or one more,
 * and of M engines a manager uses about M / 2^k. The reasons for the design are in docs/design.md.
 */
public final class EngineSubset {

  // The size of a subset above which the level rises.
  private static final double BOUND = 128;
  // The lowest number of managers per engine; fewer would load an engine unevenly.
  private static final int LEAST_USERS = 8;
  // The level falls only when the number of engines is below this fraction of what raised it.
  private static final double STEP_BACK = 0.9;
  private static final int LEVELS = 20;
  // Substitutes are added while less than this fraction of the engines in use is healthy. It is
  // over one half, because where most engines are suspected, suspicion excludes none.
  private static final double REFILL_UNDER = 0.55;
  // Substitutes are released while at least this fraction of the subset's usual size is healthy.
  private static final double RELEASE_OVER = 2 / 3.0;

  private final long position;
  private final EngineList listed;
  // The first group holds the engines that no task may use.
  private final List<Group> all = new ArrayList<>();

  /**
   * Creates the subset of one manager. Where the settings tell no manager index, one is derived from
   * the seed.
   */
  public EngineSubset(Settings set, EngineList listed) {
    this.listed = listed;
    position =
        set.position() != Settings.UNKNOWN ? set.position() : StableHash.mix(set.seed()) >>> 33;
    group(entry -> !any(group -> group != all.get(0) && group.allowed.test(entry)));
  }

  /** The engines that the same query classes may use; each group has a subset of its own. */
  public final class Group {
    private final Predicate<EngineEntry> allowed;
    private final EngineList.Count engines;
    private final Set<String> standIns = new LinkedHashSet<>();
    private int level;

    private Group(Predicate<EngineEntry> allowed) {
      this.allowed = allowed;
      engines = listed.count(allowed);
    }

    /** Tells whether the manager uses the engine for this group, also as a substitute. */
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
     * Adds or releases at most one substitute, and returns it, or null. It is called once per sweep
     * with the engines in use that are healthy and warm. Each manager has an order of its own, as
     * otherwise all managers would take the same substitutes.
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

  /** Adds a group of the engines that match the predicate. */
  public Group group(Predicate<EngineEntry> allowed) {
    all.add(new Group(allowed));
    return all.get(all.size() - 1);
  }

  /**
   * Recomputes the levels after the list or the number of managers has changed. Returns true if a
   * level has changed, so that any engine may have entered or left the subset.
   */
  public boolean settle(int managers) {
    return all.stream().filter(group -> group.settle(managers)).count() > 0;
  }

  /** Tells whether the manager uses the engine for any group. */
  public boolean uses(EngineEntry entry) {
    return any(group -> group.uses(entry));
  }

  /** Tells whether the engine is in no group's subset, so that it is at most a substitute. */
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

  /**
   * Returns the level by which the number of the engine's managers is estimated: one in 2^level uses
   * it. For a substitute it is the highest level at which this manager would use the engine.
   */
  public int level(EngineEntry entry) {
    return all.stream()
        .filter(group -> group.allowed.test(entry))
        .mapToInt(group -> group.level)
        .reduce(depth(entry.id()), Math::min);
  }

  /**
   * Returns the lowest level that keeps a subset within its maximum size, or a lower one if too few
   * managers per engine would remain.
   */
  private static int levelOf(double engines, int managers) {
    int level = 0;
    while (engines / (1 << level) > BOUND && managers / (2 << level) >= LEAST_USERS) {
      level++;
    }
    return level;
  }

  /** Returns the highest level up to which the engine selects this manager from its block. */
  private int depth(String id) {
    long name = StableHash.of(id);
    int k = 0;
    while (k < LEVELS && (position >> k & 1) == StableHash.of(name, position >> k + 1, k) >>> 63) {
      k++;
    }
    return k;
  }

  /** Orders substitutes: engines of the highest levels first, then by a hash with the index. */
  private Comparator<EngineEntry> order() {
    return Comparator.comparingInt((EngineEntry entry) -> -depth(entry.id()))
        .thenComparingLong(entry -> StableHash.of(StableHash.of(entry.id()), position, LEVELS));
  }
}

package tansytrack.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import tansytrack.api.EngineEntry;
import tansytrack.api.Settings;
import tansytrack.util.EngineList;
import tansytrack.util.StableHash;

/**
 * Selects which of the listed engines one manager uses, by deterministic subsetting. At level k the
 * manager indexes form blocks of 2^k, and each engine is used by one manager of each block. A hash
 * of the engine's id chooses that manager, one bit of the index after the other, from the highest
 * bit on. At level 1, for example, managers 0 to 3 form the blocks {0, 1} and {2, 3}; one engine
 * may be used by managers 0 and 3, another one by managers 1 and 3. So an engine is used by N / 2^k
 * of N managers, rounded down or up, and a manager uses about M / 2^k of M engines. The reasons for
 * the design are in docs/design.md.
 */
public final class EngineSubset {

  // The size of a subset above which the level rises.
  private static final double MAX_SUBSET_SIZE = 128;
  // The lowest number of managers per engine; fewer would load an engine unevenly.
  private static final int MIN_MANAGERS_PER_ENGINE = 8;
  // The level falls only when the number of engines is below this fraction of the number at which
  // the level rises.
  private static final double LEVEL_HYSTERESIS = 0.9;
  private static final int MAX_LEVEL = 20;
  // Substitutes are added while less than this fraction of the engines in use is healthy. The
  // fraction is over one half, because where most engines are suspected, suspicion excludes none.
  private static final double ADD_SUBSTITUTES_BELOW_FRACTION = 0.55;
  // Substitutes are released while at least this fraction of the subset's usual size is healthy.
  private static final double RELEASE_SUBSTITUTES_FROM_FRACTION = 2 / 3.0;

  private final long managerIndex;
  private final EngineList engineList;
  // The first group holds the engines that no task may use.
  private final List<EngineGroup> groups = new ArrayList<>();

  /**
   * Creates the subset of one manager. Where the settings tell no manager index, one is derived
   * from the seed.
   */
  public EngineSubset(Settings settings, EngineList engineList) {
    this.engineList = engineList;
    managerIndex =
        settings.managerIndex() != Settings.UNKNOWN_INDEX
            ? settings.managerIndex()
            : StableHash.mix(settings.seed()) >>> 33;
    group(entry -> !anyGroup(group -> group != groups.get(0) && group.allowed.test(entry)));
  }

  /** The engines that the same query classes may use; each group has a subset of its own. */
  public final class EngineGroup {
    private final Predicate<EngineEntry> allowed;
    private final EngineList.EngineCounter engineCounter;
    private final Set<String> substitutes = new LinkedHashSet<>();
    private int level;

    private EngineGroup(Predicate<EngineEntry> allowed) {
      this.allowed = allowed;
      engineCounter = engineList.count(allowed);
    }

    /** Tells whether the manager uses the engine for this group, also as a substitute. */
    public boolean uses(EngineEntry entry) {
      return allowed.test(entry) && (inSubset(entry.id()) || substitutes.contains(entry.id()));
    }

    private boolean inSubset(String id) {
      return level == 0 || highestLevel(id) >= level;
    }

    private boolean updateLevel(int managers) {
      int previousLevel = level;
      int levelWithHysteresis = requiredLevel(engineCounter.value() / LEVEL_HYSTERESIS, managers);
      level =
          Math.max(
              requiredLevel(engineCounter.value(), managers), Math.min(level, levelWithHysteresis));
      substitutes.removeIf(id -> inSubset(id) || engineList.find(id) == null);
      return level != previousLevel;
    }

    /**
     * Adds or releases at most one substitute, and returns that engine, or null. This method is
     * called once per sweep. Each manager has an order of its own, as otherwise all managers would
     * take the same substitutes.
     *
     * @param healthy the engines in use that are healthy and warm
     * @param available tells whether a further engine may become a substitute
     */
    public EngineEntry adjustSubstitutes(
        List<EngineEntry> healthy, Predicate<EngineEntry> available) {
      double usualSize = engineCounter.value() / (double) (1 << level);
      if (healthy.stream().filter(engine -> inSubset(engine.id())).count()
          >= RELEASE_SUBSTITUTES_FROM_FRACTION * usualSize) {
        String first = substitutes.stream().findFirst().orElse("");
        return substitutes.remove(first) ? engineList.find(first) : null;
      }
      boolean enough =
          healthy.size() >= ADD_SUBSTITUTES_BELOW_FRACTION * (usualSize + substitutes.size());
      if (enough || substitutes.size() >= usualSize) {
        return null;
      }
      EngineEntry next =
          engineList.all().stream()
              .filter(
                  engine ->
                      allowed.test(engine)
                          && !uses(engine)
                          && engine.state() == EngineEntry.State.READY
                          && available.test(engine))
              .min(substituteOrder())
              .orElse(null);
      if (next != null) {
        substitutes.add(next.id());
      }
      return next;
    }
  }

  /** Adds a group of the engines that match the predicate. */
  public EngineGroup group(Predicate<EngineEntry> allowed) {
    groups.add(new EngineGroup(allowed));
    return groups.get(groups.size() - 1);
  }

  /**
   * Recomputes the levels after the list or the number of managers has changed. Returns true if a
   * level has changed, so that any engine may have entered or left the subset.
   */
  public boolean updateLevels(int managers) {
    return groups.stream().filter(group -> group.updateLevel(managers)).count() > 0;
  }

  /** Tells whether the manager uses the engine for any group. */
  public boolean uses(EngineEntry entry) {
    return anyGroup(group -> group.uses(entry));
  }

  /** Tells whether the engine is in no group's subset, so that it is at most a substitute. */
  public boolean isSubstitute(EngineEntry entry) {
    return !anyGroup(group -> group.allowed.test(entry) && group.inSubset(entry.id()));
  }

  private boolean anyGroup(Predicate<EngineGroup> predicate) {
    for (EngineGroup group : groups) {
      if (predicate.test(group)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the level by which the number of the engine's managers is estimated: one in 2^level
   * uses it. For a substitute it is the highest level at which this manager would use the engine.
   */
  public int level(EngineEntry entry) {
    return groups.stream()
        .filter(group -> group.allowed.test(entry))
        .mapToInt(group -> group.level)
        .reduce(highestLevel(entry.id()), Math::min);
  }

  /**
   * Returns the lowest level that keeps a subset within its maximum size, or a lower one if too few
   * managers per engine would remain.
   */
  private static int requiredLevel(double engines, int managers) {
    int level = 0;
    while (engines / (1 << level) > MAX_SUBSET_SIZE
        && managers / (2 << level) >= MIN_MANAGERS_PER_ENGINE) {
      level++;
    }
    return level;
  }

  /**
   * Returns the highest level k at which the engine is used by this manager, of the manager's block
   * of 2^k indexes.
   */
  private int highestLevel(String id) {
    long idHash = StableHash.of(id);
    int level = 0;
    while (level < MAX_LEVEL
        && ((managerIndex >> level) & 1)
            == StableHash.of(idHash, managerIndex >> (level + 1), level) >>> 63) {
      level++;
    }
    return level;
  }

  /** Orders substitutes by descending highest level, then by a hash with the manager index. */
  private Comparator<EngineEntry> substituteOrder() {
    return Comparator.comparingInt((EngineEntry entry) -> -highestLevel(entry.id()))
        .thenComparingLong(
            entry -> StableHash.of(StableHash.of(entry.id()), managerIndex, MAX_LEVEL));
  }
}

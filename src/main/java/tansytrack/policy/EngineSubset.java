package tansytrack.policy;

import java.util.*;
import java.util.function.Predicate;
import tansytrack.api.*;
import tansytrack.util.*;

/**
 * Which of the listed engines one manager uses: deterministic subsetting. At level k the managers'
 * positions fall into blocks of 2^k; of each block an engine takes one, bit by bit from the top,
 * each by a hash of its id. So N / 2^k managers use an engine, or one more; a manager uses about M
 * / 2^k engines. docs/design.md
 */
public final class EngineSubset {

  private static final double MAX_SUBSET_SIZE = 128; // of engines in a subset
  private static final int MIN_MANAGERS_PER_ENGINE =
      8; // managers an engine: fewer would load it unevenly
  private static final double LEVEL_HYSTERESIS =
      0.9; // of the engines that led to a level: then it falls
  private static final int MAX_LEVEL = 20;
  private static final double REFILL_BELOW_FRACTION =
      0.55; // of what is used is healthy: others stand in. Over
  private static final double RELEASE_ABOVE_FRACTION =
      2 / 3.0; // half, as suspicion of most keeps none out

  private final long managerIndex;
  private final EngineList engineList;
  private final List<EngineGroup> groups =
      new ArrayList<>(); // the first: those that no task may use

  public EngineSubset(Settings set, EngineList listed) {
    this.engineList = listed;
    managerIndex =
        set.managerIndex() != Settings.UNKNOWN_INDEX
            ? set.managerIndex()
            : StableHash.mix(set.seed()) >>> 33;
    group(entry -> !anyGroup(group -> group != groups.get(0) && group.allowed.test(entry)));
  }

  /** Engines that the same tasks may use: of each group a subset. */
  public final class EngineGroup {
    private final Predicate<EngineEntry> allowed;
    private final EngineList.EngineCounter engineCounter;
    private final Set<String> substitutes = new LinkedHashSet<>();
    private int level;

    private EngineGroup(Predicate<EngineEntry> allowed) {
      this.allowed = allowed;
      engineCounter = engineList.count(allowed);
    }

    public boolean uses(EngineEntry entry) {
      return allowed.test(entry) && (inSubset(entry.id()) || substitutes.contains(entry.id()));
    }

    private boolean inSubset(String id) {
      return level == 0 || highestLevel(id) >= level;
    }

    private boolean updateLevel(int managers) {
      int before = level;
      int highest = requiredLevel(engineCounter.value() / LEVEL_HYSTERESIS, managers);
      level = Math.max(requiredLevel(engineCounter.value(), managers), Math.min(level, highest));
      substitutes.removeIf(id -> inSubset(id) || engineList.find(id) == null);
      return level != before;
    }

    /**
     * Called once a sweep with those used that are healthy and warm: the one engine that is now to
     * stand in, or no more, or null. By an order of each manager's own, or all would take the same
     * ones.
     */
    public EngineEntry adjustSubstitutes(List<EngineEntry> healthy, Predicate<EngineEntry> free) {
      double usual = engineCounter.value() / (double) (1 << level);
      if (healthy.stream().filter(one -> inSubset(one.id())).count()
          >= RELEASE_ABOVE_FRACTION * usual) {
        String first = substitutes.stream().findFirst().orElse("");
        return substitutes.remove(first) ? engineList.find(first) : null;
      }
      boolean enough = healthy.size() >= REFILL_BELOW_FRACTION * (usual + substitutes.size());
      if (enough || substitutes.size() >= usual) {
        return null;
      }
      EngineEntry next =
          engineList.all().stream()
              .filter(
                  one ->
                      allowed.test(one)
                          && !uses(one)
                          && one.state() == EngineEntry.State.READY
                          && free.test(one))
              .min(substituteOrder())
              .orElse(null);
      if (next != null) {
        substitutes.add(next.id());
      }
      return next;
    }
  }

  public EngineGroup group(Predicate<EngineEntry> allowed) {
    groups.add(new EngineGroup(allowed));
    return groups.get(groups.size() - 1);
  }

  /**
   * When the list or the number of managers has changed. True: any engine may be used, or no more.
   */
  public boolean updateLevels(int managers) {
    return groups.stream().filter(group -> group.updateLevel(managers)).count() > 0;
  }

  public boolean uses(EngineEntry entry) {
    return anyGroup(group -> group.uses(entry));
  }

  public boolean isSubstitute(EngineEntry entry) {
    return !anyGroup(group -> group.allowed.test(entry) && group.inSubset(entry.id()));
  }

  private boolean anyGroup(Predicate<EngineGroup> such) {
    for (EngineGroup group : groups) {
      if (such.test(group)) {
        return true;
      }
    }
    return false;
  }

  /** Of the managers one in 2 to this power uses it: by its own depth, where it only stands in. */
  public int level(EngineEntry entry) {
    return groups.stream()
        .filter(group -> group.allowed.test(entry))
        .mapToInt(group -> group.level)
        .reduce(highestLevel(entry.id()), Math::min);
  }

  /** The lowest level that keeps a subset within its bound, and enough managers at an engine. */
  private static int requiredLevel(double engines, int managers) {
    int level = 0;
    while (engines / (1 << level) > MAX_SUBSET_SIZE
        && managers / (2 << level) >= MIN_MANAGERS_PER_ENGINE) {
      level++;
    }
    return level;
  }

  /** The levels, from the lowest on, at which an engine takes this manager out of its block. */
  private int highestLevel(String id) {
    long name = StableHash.of(id);
    int k = 0;
    while (k < MAX_LEVEL
        && (managerIndex >> k & 1) == StableHash.of(name, managerIndex >> k + 1, k) >>> 63) {
      k++;
    }
    return k;
  }

  private Comparator<EngineEntry> substituteOrder() {
    return Comparator.comparingInt((EngineEntry entry) -> -highestLevel(entry.id()))
        .thenComparingLong(
            entry -> StableHash.of(StableHash.of(entry.id()), managerIndex, MAX_LEVEL));
  }
}

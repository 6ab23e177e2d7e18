package tansytrack.lab.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import tansytrack.api.EngineEntry;

/**
 * The engine list of a simulation: one immutable copy that all managers share, and the delayed
 * delivery of its changes.
 */
final class EngineList {

  private static final long LEAST_DELAY = 50 * ScalePlan.MS;
  private static final long DELAY_SPREAD = 200 * ScalePlan.MS;

  /** Additional delay for the managers that receive changes late (schedule stale-list). */
  static final long STALE = 5 * ScalePlan.SECOND;

  /**
   * A published change of the list.
   *
   * @param at when the list changed
   * @param heardAt when each manager receives the change, by manager index
   */
  record Change(long at, long[] heardAt) {}

  private final VirtualTime clock;
  private final SplittableRandom chance;
  private final Map<String, EngineEntry> current = new LinkedHashMap<>();
  private List<EngineEntry> whole = List.of();

  EngineList(VirtualTime clock, SplittableRandom chance) {
    this.clock = clock;
    this.chance = chance;
  }

  /** The name of a zone in engine entries and settings. */
  static String zone(int number) {
    return "zone-" + number;
  }

  /** All engines as listed now; the same object until the next change. */
  List<EngineEntry> whole() {
    return whole;
  }

  /** Applies entries to the list without notifying managers. */
  void hold(List<EngineEntry> entries) {
    for (EngineEntry entry : entries) {
      if (entry.state() == EngineEntry.State.GONE) {
        current.remove(entry.id());
      } else {
        current.put(entry.id(), entry);
      }
    }
    whole = List.copyOf(current.values());
  }

  /**
   * Applies entries to the list and delivers them to all managers, each after a random delay; to
   * those that receive the list late, {@link #STALE} later still.
   */
  Change tell(List<EngineEntry> entries, List<HollowManager> managers) {
    hold(entries);
    List<EngineEntry> shared = List.copyOf(entries);
    long[] heardAt = new long[managers.size()];
    for (HollowManager manager : managers) {
      long delay = delay() + (manager.stale ? STALE : 0);
      heardAt[manager.index] = clock.now() + delay;
      manager.shard.timeline.in(delay, () -> manager.hear(false, shared));
    }
    return new Change(clock.now(), heardAt);
  }

  /** A random delivery delay of a list message. */
  long delay() {
    return LEAST_DELAY + chance.nextLong(DELAY_SPREAD);
  }

  /** List entries for these engines in the given state. */
  static List<EngineEntry> entries(List<HollowEngine> engines, EngineEntry.State state) {
    List<EngineEntry> entries = new ArrayList<>();
    engines.forEach(one -> entries.add(one.entry(state)));
    return entries;
  }
}

package tansytrack.lab.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import tansytrack.api.EngineEntry;

/** The list of engines: one immutable copy for all managers, and its changes on their way. */
final class EngineList {

  private static final long LEAST_DELAY = 50 * ScalePlan.MS;
  private static final long DELAY_SPREAD = 200 * ScalePlan.MS;

  /** How much later some managers hear of changes in the schedule of stale lists. */
  static final long STALE = 5 * ScalePlan.SECOND;

  /**
   * A change of the list.
   *
   * @param at when the list held it
   * @param heardAt when each manager heard of it
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

  static String zone(int number) {
    return "zone-" + number;
  }

  /** All engines as listed now: the same object until the next change. */
  List<EngineEntry> whole() {
    return whole;
  }

  /** Changes it, without telling anybody. */
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

  /** Changes it, and tells all managers, each a little later; stale ones much later. */
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

  /** How long a message of the list takes. */
  long delay() {
    return LEAST_DELAY + chance.nextLong(DELAY_SPREAD);
  }

  /** Entries of these engines in that state. */
  static List<EngineEntry> entries(List<HollowEngine> engines, EngineEntry.State state) {
    List<EngineEntry> entries = new ArrayList<>();
    engines.forEach(one -> entries.add(one.entry(state)));
    return entries;
  }
}

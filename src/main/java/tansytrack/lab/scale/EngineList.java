package tansytrack.lab.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import tansytrack.api.EngineEntry;

/** The list of engines: one immutable copy for all managers, and its changes on their way. */
final class EngineList {

  private static final long MIN_DELAY_NANOS = 50 * ScalePlan.NANOS_PER_MS;
  private static final long DELAY_SPREAD_NANOS = 200 * ScalePlan.NANOS_PER_MS;

  /** How much later some managers hear of changes in the schedule of stale lists. */
  static final long LATE_LIST_DELAY_NANOS = 5 * ScalePlan.NANOS_PER_SECOND;

  /**
   * A change of the list.
   *
   * @param atNanos when the list held it
   * @param receivedAtNanos when each manager heard of it
   */
  record Change(long atNanos, long[] receivedAtNanos) {}

  private final VirtualClock clock;
  private final SplittableRandom random;
  private final Map<String, EngineEntry> entriesById = new LinkedHashMap<>();
  private List<EngineEntry> snapshot = List.of();

  EngineList(VirtualClock clock, SplittableRandom random) {
    this.clock = clock;
    this.random = random;
  }

  static String zoneName(int number) {
    return "zone-" + number;
  }

  /** All engines as listed now: the same object until the next change. */
  List<EngineEntry> snapshot() {
    return snapshot;
  }

  /** Changes it, without telling anybody. */
  void apply(List<EngineEntry> entries) {
    for (EngineEntry entry : entries) {
      if (entry.state() == EngineEntry.State.GONE) {
        entriesById.remove(entry.id());
      } else {
        entriesById.put(entry.id(), entry);
      }
    }
    snapshot = List.copyOf(entriesById.values());
  }

  /** Changes it, and tells all managers, each a little later; stale ones much later. */
  Change publish(List<EngineEntry> entries, List<HollowManager> managers) {
    apply(entries);
    List<EngineEntry> shared = List.copyOf(entries);
    long[] receivedAtNanos = new long[managers.size()];
    for (HollowManager manager : managers) {
      long delayNanos = randomDelayNanos() + (manager.receivesListLate ? LATE_LIST_DELAY_NANOS : 0);
      receivedAtNanos[manager.index] = clock.now() + delayNanos;
      manager.shard.events.scheduleAfter(delayNanos, () -> manager.receive(false, shared));
    }
    return new Change(clock.now(), receivedAtNanos);
  }

  /** How long a message of the list takes. */
  long randomDelayNanos() {
    return MIN_DELAY_NANOS + random.nextLong(DELAY_SPREAD_NANOS);
  }

  /** Entries of these engines in that state. */
  static List<EngineEntry> entries(List<HollowEngine> engines, EngineEntry.State state) {
    List<EngineEntry> entries = new ArrayList<>();
    engines.forEach(engine -> entries.add(engine.entry(state)));
    return entries;
  }
}

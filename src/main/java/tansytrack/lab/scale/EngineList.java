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

  private static final long MIN_DELAY_NANOS = 50 * ScalePlan.NANOS_PER_MS;
  private static final long DELAY_SPREAD_NANOS = 200 * ScalePlan.NANOS_PER_MS;

  /** Additional delay for the managers that receive changes late (schedule stale-list). */
  static final long LATE_LIST_DELAY_NANOS = 5 * ScalePlan.NANOS_PER_SECOND;

  /**
   * A published change of the list.
   *
   * @param atNanos when the list changed
   * @param receivedAtNanos when each manager receives the change, by manager index
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

  /** The name of a zone in engine entries and settings. */
  static String zoneName(int number) {
    return "zone-" + number;
  }

  /** All engines as listed now; the same object until the next change. */
  List<EngineEntry> snapshot() {
    return snapshot;
  }

  /** Applies entries to the list without notifying managers. */
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

  /**
   * Applies entries to the list and delivers them to all managers, each after a random delay; to
   * those that receive the list late, {@link #LATE_LIST_DELAY_NANOS} later still.
   */
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

  /** A random delivery delay of a list message. */
  long randomDelayNanos() {
    return MIN_DELAY_NANOS + random.nextLong(DELAY_SPREAD_NANOS);
  }

  /** List entries for these engines in the given state. */
  static List<EngineEntry> entries(List<HollowEngine> engines, EngineEntry.State state) {
    List<EngineEntry> entries = new ArrayList<>();
    engines.forEach(engine -> entries.add(engine.entry(state)));
    return entries;
  }
}

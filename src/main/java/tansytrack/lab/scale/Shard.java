package tansytrack.lab.scale;

import java.util.ArrayList;
import java.util.List;

/**
 * A group of managers whose events run sequentially. Shards share no mutable state during a step
 * and can run in parallel. The messages they send are delivered after the step in the order of the
 * shards, so the result is the same as that of a sequential run.
 */
final class Shard {

  private record DelayedEvent(long atNanos, Runnable event) {}

  /** The events of the managers in this shard. */
  final EventQueue events;

  final RunCounters counters;
  final HollowSettings settings;

  private final VirtualClock clock;
  private final PlacementCheckCounter checks = new PlacementCheckCounter();
  private final List<DelayedEvent> outbox = new ArrayList<>();

  Shard(ScalePlan plan, VirtualClock clock) {
    this.clock = clock;
    events = new EventQueue(clock);
    counters = new RunCounters(plan.seconds());
    settings = new HollowSettings(plan, checks);
  }

  /** The number of zone checks that the modules of this shard have made. */
  long placementChecks() {
    return checks.count();
  }

  /** Posts an event outside of this shard, to happen after the delay. */
  void post(long delayNanos, Runnable event) {
    outbox.add(new DelayedEvent(clock.now() + delayNanos, event));
  }

  /** Moves the events posted since the last call to the queue outside of the shards. */
  void deliver(EventQueue outside) {
    outbox.forEach(posted -> outside.scheduleAt(posted.atNanos(), posted.event()));
    outbox.clear();
  }
}

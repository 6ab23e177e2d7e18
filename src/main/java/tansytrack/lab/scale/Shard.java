package tansytrack.lab.scale;

import java.util.ArrayList;
import java.util.List;

/**
 * A part of the managers, played one after the other. Shards share nothing that changes while they
 * play, so that they may play beside one another; what they send is delivered behind the step,
 * shard by shard, and the outcome is the same as if they had played in turn.
 */
final class Shard {

  private record DelayedEvent(long atNanos, Runnable event) {}

  /** What happens to its managers. */
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

  long placementChecks() {
    return checks.count();
  }

  /** Sets what happens outside of it so much later. */
  void post(long delayNanos, Runnable event) {
    outbox.add(new DelayedEvent(clock.now() + delayNanos, event));
  }

  /** Hands over what it has posted since the last time. */
  void deliver(EventQueue outside) {
    outbox.forEach(posted -> outside.scheduleAt(posted.atNanos(), posted.event()));
    outbox.clear();
  }
}

package tansytrack.lab.scale;

import java.util.ArrayList;
import java.util.List;

/**
 * A group of managers whose events run sequentially. Shards share no mutable state during a step
 * and can run in parallel. The messages they send are delivered after the step in the order of the
 * shards, so the result is the same as that of a sequential run.
 */
final class Shard {

  private record Posted(long time, Runnable event) {}

  /** The events of the managers in this shard. */
  final Timeline timeline;

  final Counts counts;
  final HollowSettings settings;

  private final VirtualTime clock;
  private final PlacementChecks checks = new PlacementChecks();
  private final List<Posted> outbox = new ArrayList<>();

  Shard(ScalePlan plan, VirtualTime clock) {
    this.clock = clock;
    timeline = new Timeline(clock);
    counts = new Counts(plan.seconds());
    settings = new HollowSettings(plan, checks);
  }

  /** The number of zone checks that the modules of this shard have made. */
  long placementChecks() {
    return checks.count();
  }

  /** Posts an event outside of this shard, to happen after the delay. */
  void post(long delay, Runnable event) {
    outbox.add(new Posted(clock.now() + delay, event));
  }

  /** Moves the events posted since the last call to the queue outside of the shards. */
  void deliver(Timeline outside) {
    outbox.forEach(one -> outside.at(one.time(), one.event()));
    outbox.clear();
  }
}

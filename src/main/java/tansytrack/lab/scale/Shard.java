package tansytrack.lab.scale;

import java.util.ArrayList;
import java.util.List;

/**
 * A part of the managers, played one after the other. Shards share nothing that changes while they
 * play, so that they may play beside one another; what they send is delivered behind the step,
 * shard by shard, and the outcome is the same as if they had played in turn.
 */
final class Shard {

  private record Posted(long time, Runnable event) {}

  /** What happens to its managers. */
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

  long placementChecks() {
    return checks.count();
  }

  /** Sets what happens outside of it so much later. */
  void post(long delay, Runnable event) {
    outbox.add(new Posted(clock.now() + delay, event));
  }

  /** Hands over what it has posted since the last time. */
  void deliver(Timeline outside) {
    outbox.forEach(one -> outside.at(one.time(), one.event()));
    outbox.clear();
  }
}

package tansytrack.lab.scale;

import java.util.ArrayList;
import java.util.List;

/** What is to happen at each step, in the order in which it was set. */
final class EventQueue {

  private final VirtualClock clock;
  private final List<List<Runnable>> steps = new ArrayList<>();

  EventQueue(VirtualClock clock) {
    this.clock = clock;
  }

  /** Sets what happens so much later, at the next step at the earliest. */
  void scheduleAfter(long delayNanos, Runnable event) {
    scheduleAt(clock.now() + delayNanos, event);
  }

  /** Sets what happens at that time, or at the next step where that has passed. */
  void scheduleAt(long atNanos, Runnable event) {
    long dueStep =
        (atNanos - VirtualClock.ORIGIN_NANOS + VirtualClock.STEP_NANOS - 1)
            / VirtualClock.STEP_NANOS;
    int step = (int) Math.max(clock.step() + 1, dueStep);
    while (steps.size() <= step) {
      steps.add(null);
    }
    if (steps.get(step) == null) {
      steps.set(step, new ArrayList<>());
    }
    steps.get(step).add(event);
  }

  /** Lets happen what was set for the present step. */
  void runDueEvents() {
    if (clock.step() < steps.size() && steps.get(clock.step()) != null) {
      steps.set(clock.step(), null).forEach(Runnable::run);
    }
  }
}

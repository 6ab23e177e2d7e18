package tansytrack.lab.scale;

import java.util.ArrayList;
import java.util.List;

/** Scheduled events by step; those of one step run in the order in which they were scheduled. */
final class EventQueue {

  private final VirtualClock clock;
  private final List<List<Runnable>> steps = new ArrayList<>();

  EventQueue(VirtualClock clock) {
    this.clock = clock;
  }

  /** Schedules an event after a delay, in the next step at the earliest. */
  void scheduleAfter(long delayNanos, Runnable event) {
    scheduleAt(clock.now() + delayNanos, event);
  }

  /** Schedules an event at a time, or in the next step if that time has passed. */
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

  /** Runs the events of the current step. */
  void runDueEvents() {
    if (clock.step() < steps.size() && steps.get(clock.step()) != null) {
      steps.set(clock.step(), null).forEach(Runnable::run);
    }
  }
}

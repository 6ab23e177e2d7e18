package tansytrack.lab.scale;

import java.util.ArrayList;
import java.util.List;

/** Scheduled events by step; those of one step run in the order in which they were scheduled. */
final class Timeline {

  private final VirtualTime clock;
  private final List<List<Runnable>> steps = new ArrayList<>();

  Timeline(VirtualTime clock) {
    this.clock = clock;
  }

  /** Schedules an event after a delay, in the next step at the earliest. */
  void in(long delay, Runnable event) {
    at(clock.now() + delay, event);
  }

  /** Schedules an event at a time, or in the next step if that time has passed. */
  void at(long time, Runnable event) {
    long due = (time - VirtualTime.ORIGIN + VirtualTime.STEP - 1) / VirtualTime.STEP;
    int step = (int) Math.max(clock.step() + 1, due);
    while (steps.size() <= step) {
      steps.add(null);
    }
    if (steps.get(step) == null) {
      steps.set(step, new ArrayList<>());
    }
    steps.get(step).add(event);
  }

  /** Runs the events of the current step. */
  void play() {
    if (clock.step() < steps.size() && steps.get(clock.step()) != null) {
      steps.set(clock.step(), null).forEach(Runnable::run);
    }
  }
}

package tansytrack.lab.scale;

import java.util.ArrayList;
import java.util.List;

/** What is to happen at each step, in the order in which it was set. */
final class Timeline {

  private final VirtualTime clock;
  private final List<List<Runnable>> steps = new ArrayList<>();

  Timeline(VirtualTime clock) {
    this.clock = clock;
  }

  /** Sets what happens so much later, at the next step at the earliest. */
  void in(long delay, Runnable event) {
    at(clock.now() + delay, event);
  }

  /** Sets what happens at that time, or at the next step where that has passed. */
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

  /** Lets happen what was set for the present step. */
  void play() {
    if (clock.step() < steps.size() && steps.get(clock.step()) != null) {
      steps.set(clock.step(), null).forEach(Runnable::run);
    }
  }
}

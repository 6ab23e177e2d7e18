package tansytrack.lab.scale;

import java.util.ArrayList;
import java.util.List;

/** A clock that moves in equal steps, and what is to happen at each, in the order it was set. */
final class VirtualTime {

  /** The step, in nanoseconds. */
  static final long STEP = 5 * ScalePlan.MS;

  /** The time of the first step: modules take a time of 0 for never. */
  static final long ORIGIN = 100 * ScalePlan.SECOND;

  private final List<List<Runnable>> steps = new ArrayList<>();
  private int current;

  long now() {
    return ORIGIN + current * STEP;
  }

  /** Sets what happens so much later, at the next step at the earliest. */
  void in(long delay, Runnable event) {
    at(now() + delay, event);
  }

  /** Sets what happens at that time, or at the next step where that has passed. */
  void at(long time, Runnable event) {
    int step = (int) Math.max(current + 1, (time - ORIGIN + STEP - 1) / STEP);
    while (steps.size() <= step) {
      steps.add(new ArrayList<>());
    }
    steps.get(step).add(event);
  }

  /** Moves on by one step. */
  void advance() {
    current++;
  }

  /** Lets happen what was set for this step. */
  void play() {
    if (current < steps.size()) {
      steps.set(current, List.of()).forEach(Runnable::run);
    }
  }
}

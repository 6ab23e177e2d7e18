package tansytrack.lab.scale;

/** A clock that moves in equal steps. */
final class VirtualClock {

  /** The step, in nanoseconds. */
  static final long STEP_NANOS = 5 * ScalePlan.NANOS_PER_MS;

  /** The time before the first step: modules take a time of 0 for never. */
  static final long ORIGIN_NANOS = 100 * ScalePlan.NANOS_PER_SECOND;

  private int step;

  int step() {
    return step;
  }

  long now() {
    return ORIGIN_NANOS + step * STEP_NANOS;
  }

  /** Moves on by one step. */
  void advance() {
    step++;
  }
}

package tansytrack.lab.scale;

/** A virtual clock that advances in equal steps. */
final class VirtualClock {

  static final long STEP_NANOS = 5 * ScalePlan.NANOS_PER_MS;

  /** The time before the first step; not 0, because modules take a time of 0 as "never". */
  static final long ORIGIN_NANOS = 100 * ScalePlan.NANOS_PER_SECOND;

  private int step;

  /** The number of steps so far. */
  int step() {
    return step;
  }

  /** The current virtual time in nanoseconds. */
  long now() {
    return ORIGIN_NANOS + step * STEP_NANOS;
  }

  /** Advances by one step. */
  void advance() {
    step++;
  }
}

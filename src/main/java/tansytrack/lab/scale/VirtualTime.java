package tansytrack.lab.scale;

/** A virtual clock that advances in equal steps. */
final class VirtualTime {

  static final long STEP = 5 * ScalePlan.MS;

  /** The time before the first step; not 0, because modules take a time of 0 as "never". */
  static final long ORIGIN = 100 * ScalePlan.SECOND;

  private int step;

  /** The number of steps so far. */
  int step() {
    return step;
  }

  /** The current virtual time in nanoseconds. */
  long now() {
    return ORIGIN + step * STEP;
  }

  /** Advances by one step. */
  void advance() {
    step++;
  }
}

package tansytrack.lab.scale;

/** A clock that moves in equal steps. */
final class VirtualTime {

  /** The step, in nanoseconds. */
  static final long STEP = 5 * ScalePlan.MS;

  /** The time before the first step: modules take a time of 0 for never. */
  static final long ORIGIN = 100 * ScalePlan.SECOND;

  private int step;

  int step() {
    return step;
  }

  long now() {
    return ORIGIN + step * STEP;
  }

  /** Moves on by one step. */
  void advance() {
    step++;
  }
}

package tansytrack.lab.load;

import org.HdrHistogram.Histogram;

/**
 * Delays of the load generator against its schedule. A run in which too many tasks were sent late
 * does not measure the gateway: it is void, and its figures are not reported.
 */
public final class Punctuality {

  private final long allowed;
  private final double part;
  private final Histogram late = new Histogram(3600 * Shape.SECOND, 3);
  private long over;
  private long unsent;

  /**
   * Sets the limits.
   *
   * @param allowedNanos delay from which a task counts as late, in nanoseconds
   * @param allowedLateShare share of the tasks that may be late
   */
  public Punctuality(long allowedNanos, double allowedLateShare) {
    this.allowed = allowedNanos;
    this.part = allowedLateShare;
  }

  /** Records the delay of a task: its intended and its actual time of sending, in nanoseconds. */
  public void sent(long intendedNanos, long sentNanos) {
    long delay = Math.max(0, sentNanos - intendedNanos);
    late.recordValue(Math.min(delay, late.getHighestTrackableValue()));
    over += delay > allowed ? 1 : 0;
  }

  /** Counts a task that was not sent because all allowed connections were in use. */
  public void unsent() {
    unsent++;
  }

  /** Whether a task was not sent, or more than the allowed share of the tasks was late. */
  public boolean isVoid() {
    return unsent > 0 || (late.getTotalCount() > 0 && over > part * late.getTotalCount());
  }

  /** A one-line summary for the console. */
  public String said() {
    return late.getTotalCount()
        + " sent, "
        + over
        + " later than "
        + allowed / 1_000_000
        + " ms, 99% within "
        + late.getValueAtPercentile(99) / 1000
        + " us, most "
        + late.getMaxValue() / 1000
        + " us, "
        + unsent
        + " not sent"
        + (isVoid() ? ": the run is void" : "");
  }
}

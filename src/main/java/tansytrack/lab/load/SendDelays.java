package tansytrack.lab.load;

import org.HdrHistogram.Histogram;

/**
 * Delays of the load generator against its schedule. A run in which too many tasks were sent late
 * does not measure the gateway: it is void, and its figures are not reported.
 */
public final class SendDelays {

  private final long allowedNanos;
  private final double allowedLateShare;
  private final Histogram delays = new Histogram(3600 * RateShape.NANOS_PER_SECOND, 3);
  private long lateCount;
  private long unsent;

  /**
   * Sets the limits.
   *
   * @param allowedNanos delay from which a task counts as late, in nanoseconds
   * @param allowedLateShare share of the tasks that may be late
   */
  public SendDelays(long allowedNanos, double allowedLateShare) {
    this.allowedNanos = allowedNanos;
    this.allowedLateShare = allowedLateShare;
  }

  /** Records the delay of a task: its intended and its actual time of sending, in nanoseconds. */
  public void sent(long intendedNanos, long sentNanos) {
    long delay = Math.max(0, sentNanos - intendedNanos);
    delays.recordValue(Math.min(delay, delays.getHighestTrackableValue()));
    lateCount += delay > allowedNanos ? 1 : 0;
  }

  /** Counts a task that was not sent because all allowed connections were in use. */
  public void unsent() {
    unsent++;
  }

  /** Whether a task was not sent, or more than the allowed share of the tasks was late. */
  public boolean isVoid() {
    return unsent > 0
        || (delays.getTotalCount() > 0 && lateCount > allowedLateShare * delays.getTotalCount());
  }

  /** A one-line summary for the console. */
  public String summary() {
    return delays.getTotalCount()
        + " sent, "
        + lateCount
        + " later than "
        + allowedNanos / 1_000_000
        + " ms, 99% within "
        + delays.getValueAtPercentile(99) / 1000
        + " us, most "
        + delays.getMaxValue() / 1000
        + " us, "
        + unsent
        + " not sent"
        + (isVoid() ? ": the run is void" : "");
  }
}

package tansytrack.lab.load;

import org.HdrHistogram.Histogram;

/**
 * Whether the generator itself kept its times. A run in which it did not says nothing of what it
 * was to measure, and is void: it is not smoothed, and its figures are not shown as if it were
 * whole.
 */
public final class SendDelays {

  private final long allowedNanos;
  private final double allowedLateShare;
  private final Histogram delays = new Histogram(3600 * RateShape.NANOS_PER_SECOND, 3);
  private long lateCount;
  private long unsent;

  /** A send may be late by so much; that part of them may be later. */
  public SendDelays(long allowed, double part) {
    this.allowedNanos = allowed;
    this.allowedLateShare = part;
  }

  /** Counts a task that was sent, by how much later than intended it went out. */
  public void sent(long intended, long at) {
    long by = Math.max(0, at - intended);
    delays.recordValue(Math.min(by, delays.getHighestTrackableValue()));
    lateCount += by > allowedNanos ? 1 : 0;
  }

  /** It had no means to send it, as all connections that it may hold were in use. */
  public void unsent() {
    unsent++;
  }

  /** Whether the generator fell behind so far that the run's figures say nothing of the gateway. */
  public boolean isVoid() {
    return unsent > 0
        || (delays.getTotalCount() > 0 && lateCount > allowedLateShare * delays.getTotalCount());
  }

  /** A summary for people, in one line. */
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

package tansytrack.lab.load;

import org.HdrHistogram.Histogram;

/**
 * Whether the generator itself kept its times. A run in which it did not says nothing of what it
 * was to measure, and is void: it is not smoothed, and its figures are not shown as if it were
 * whole.
 */
public final class Punctuality {

  private final long allowed;
  private final double part;
  private final Histogram late = new Histogram(3600 * Shape.SECOND, 3);
  private long over;
  private long unsent;

  /** A send may be late by so much; that part of them may be later. */
  public Punctuality(long allowed, double part) {
    this.allowed = allowed;
    this.part = part;
  }

  /** Counts a task that was sent, by how much later than intended it went out. */
  public void sent(long intended, long at) {
    long by = Math.max(0, at - intended);
    late.recordValue(Math.min(by, late.getHighestTrackableValue()));
    over += by > allowed ? 1 : 0;
  }

  /** It had no means to send it, as all connections that it may hold were in use. */
  public void unsent() {
    unsent++;
  }

  /** Whether the generator fell behind so far that the run's figures say nothing of the gateway. */
  public boolean isVoid() {
    return unsent > 0 || (late.getTotalCount() > 0 && over > part * late.getTotalCount());
  }

  /** A summary for people, in one line. */
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

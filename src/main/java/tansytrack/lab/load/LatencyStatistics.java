package tansytrack.lab.load;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Latencies counted from the intended time, so that what was sent late because something stalled
 * counts as long; beside them the service time, from the actual sending. By grade, tenant and
 * second of the intended time; and the users' own measure: earnings in time over earnings asked
 * for, where a task's retries are part of its first try.
 */
public final class LatencyStatistics {

  private static final long MAX_LATENCY_NANOS = 3600 * RateShape.NANOS_PER_SECOND;
  private static final int SIGNIFICANT_DIGITS = 3;

  /** One second of intended times. */
  public static final class Totals {
    private final Histogram latency = new Histogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
    private double offered;
    private double earned;
    private long tasks;

    /** The earned part of what was asked for, 1 where nothing was. */
    public double share() {
      return offered == 0 ? 1 : earned / offered;
    }

    /** How many tasks it counts. */
    public long tasks() {
      return tasks;
    }

    /** Latency at a percentile, measured from the intended time of sending. */
    public long latency(double percentile) {
      return latency.getValueAtPercentile(percentile);
    }
  }

  private final Histogram latency = new Histogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
  private final Histogram service = new Histogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
  private final Map<String, Totals> groups = new TreeMap<>();
  private final TreeMap<Long, Totals> seconds = new TreeMap<>();
  private final Totals all = new Totals();

  /**
   * A task's end: intended, sent and over in nanoseconds from the start; what it would have earned
   * in time, and did earn.
   */
  public void record(Arrival arrival, long sent, long over, double worth, double earned) {
    long took = Math.min(MAX_LATENCY_NANOS, Math.max(0, over - arrival.atNanos()));
    latency.recordValue(took);
    service.recordValue(Math.min(MAX_LATENCY_NANOS, Math.max(0, over - sent)));
    for (Totals window :
        new Totals[] {
          all,
          groups.computeIfAbsent("grade " + arrival.queryClass(), name -> new Totals()),
          groups.computeIfAbsent("tenant " + arrival.tenant(), name -> new Totals()),
          seconds.computeIfAbsent(
              arrival.atNanos() / RateShape.NANOS_PER_SECOND, name -> new Totals())
        }) {
      window.latency.recordValue(took);
      window.offered += worth;
      window.earned += earned;
      window.tasks++;
    }
  }

  /** Latency at a percentile over all tasks, measured from the intended time of sending. */
  public long latency(double percentile) {
    return latency.getValueAtPercentile(percentile);
  }

  /** Time from the real sending to the answer at a percentile, over all tasks. */
  public long service(double percentile) {
    return service.getValueAtPercentile(percentile);
  }

  /** How many tasks were counted in all. */
  public long tasks() {
    return all.tasks;
  }

  /** The earned part of all that was asked for. */
  public double share() {
    return all.share();
  }

  /** Counts by group, in the order of their names. */
  public Map<String, Totals> groups() {
    return groups;
  }

  /** Counts by second of the intended sending. */
  public Map<Long, Totals> seconds() {
    return seconds;
  }

  /** The lowest share over so many seconds on end. */
  public double worstShare(int length) {
    double worst = 1;
    for (long from : seconds.keySet()) {
      double asked = 0;
      double earned = 0;
      for (Totals one : seconds.subMap(from, from + length).values()) {
        asked += one.offered;
        earned += one.earned;
      }
      worst = asked > 0 ? Math.min(worst, earned / asked) : worst;
    }
    return worst;
  }
}

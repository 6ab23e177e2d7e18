package tansytrack.lab.load;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Latency and earnings of a load, by query class, by tenant and by second of the intended time of
 * sending. Latency is measured from the intended time, so that a task that was sent late because of
 * a stall counts with its full delay; service time is measured from the actual sending. The share
 * is the earnings of the tasks answered in time over the earnings of all tasks. The retries of a
 * task count as part of the task.
 */
public final class LatencyStatistics {

  private static final long MAX_LATENCY_NANOS = 3600 * RateShape.NANOS_PER_SECOND;
  private static final int SIGNIFICANT_DIGITS = 3;

  /** Latency and earnings of a group of tasks. */
  public static final class Totals {
    private final Histogram latency = new Histogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
    private double offered;
    private double earned;
    private long tasks;

    /** Earnings of tasks answered in time over earnings of all tasks; 1 without tasks. */
    public double share() {
      return offered == 0 ? 1 : earned / offered;
    }

    /** Number of tasks. */
    public long tasks() {
      return tasks;
    }

    /** Latency at a percentile, in nanoseconds from the intended time of sending. */
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
   * Records the end of a task.
   *
   * @param arrival the task
   * @param sent time of the first attempt, in nanoseconds from the start of the load
   * @param ended time of the last answer, in nanoseconds from the start of the load
   * @param earnings what the task earns when it is answered in time
   * @param earned what it earned
   */
  public void record(Arrival arrival, long sent, long ended, double earnings, double earned) {
    long latencyNanos = Math.min(MAX_LATENCY_NANOS, Math.max(0, ended - arrival.atNanos()));
    latency.recordValue(latencyNanos);
    service.recordValue(Math.min(MAX_LATENCY_NANOS, Math.max(0, ended - sent)));
    for (Totals window :
        new Totals[] {
          all,
          groups.computeIfAbsent("grade " + arrival.queryClass(), name -> new Totals()),
          groups.computeIfAbsent("tenant " + arrival.tenant(), name -> new Totals()),
          seconds.computeIfAbsent(
              arrival.atNanos() / RateShape.NANOS_PER_SECOND, name -> new Totals())
        }) {
      window.latency.recordValue(latencyNanos);
      window.offered += earnings;
      window.earned += earned;
      window.tasks++;
    }
  }

  /** Latency of all tasks at a percentile, in nanoseconds from the intended time of sending. */
  public long latency(double percentile) {
    return latency.getValueAtPercentile(percentile);
  }

  /** Service time of all tasks at a percentile, in nanoseconds from the actual sending. */
  public long service(double percentile) {
    return service.getValueAtPercentile(percentile);
  }

  /** Number of tasks. */
  public long tasks() {
    return all.tasks;
  }

  /** Earnings of tasks answered in time over earnings of all tasks; 1 without tasks. */
  public double share() {
    return all.share();
  }

  /** Totals by query class and by tenant, sorted by name. */
  public Map<String, Totals> groups() {
    return groups;
  }

  /** Totals by second of the intended time of sending. */
  public Map<Long, Totals> seconds() {
    return seconds;
  }

  /** The lowest share over any window of that many seconds. */
  public double worstShare(int window) {
    double worst = 1;
    for (long from : seconds.keySet()) {
      double asked = 0;
      double earned = 0;
      for (Totals second : seconds.subMap(from, from + window).values()) {
        asked += second.offered;
        earned += second.earned;
      }
      worst = asked > 0 ? Math.min(worst, earned / asked) : worst;
    }
    return worst;
  }
}

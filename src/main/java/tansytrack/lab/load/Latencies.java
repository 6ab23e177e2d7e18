package tansytrack.lab.load;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Latency and earnings of a load, by query class, by tenant and by second of the intended time of
 * sending. Latency is measured from the intended time, so that a task that was sent late because of
 * a stall counts with its full delay; service time is measured from the actual sending. The share is
 * the earnings of the tasks answered in time over the earnings of all tasks. The retries of a task
 * count as part of the task.
 */
public final class Latencies {

  private static final long LONGEST = 3600 * Shape.SECOND;
  private static final int DIGITS = 3;

  /** Latency and earnings of a group of tasks. */
  public static final class Window {
    private final Histogram latency = new Histogram(LONGEST, DIGITS);
    private double asked;
    private double earned;
    private long tasks;

    /** Earnings of tasks answered in time over earnings of all tasks; 1 without tasks. */
    public double share() {
      return asked == 0 ? 1 : earned / asked;
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

  private final Histogram latency = new Histogram(LONGEST, DIGITS);
  private final Histogram service = new Histogram(LONGEST, DIGITS);
  private final Map<String, Window> groups = new TreeMap<>();
  private final TreeMap<Long, Window> seconds = new TreeMap<>();
  private final Window all = new Window();

  /**
   * Records the end of a task.
   *
   * @param arrival the task
   * @param sent time of the first attempt, in nanoseconds from the start of the load
   * @param ended time of the last answer, in nanoseconds from the start of the load
   * @param earnings what the task earns when it is answered in time
   * @param earned what it earned
   */
  public void over(Arrival arrival, long sent, long ended, double earnings, double earned) {
    long latencyNanos = Math.min(LONGEST, Math.max(0, ended - arrival.at()));
    latency.recordValue(latencyNanos);
    service.recordValue(Math.min(LONGEST, Math.max(0, ended - sent)));
    for (Window window :
        new Window[] {
          all,
          groups.computeIfAbsent("grade " + arrival.grade(), name -> new Window()),
          groups.computeIfAbsent("tenant " + arrival.tenant(), name -> new Window()),
          seconds.computeIfAbsent(arrival.at() / Shape.SECOND, name -> new Window())
        }) {
      window.latency.recordValue(latencyNanos);
      window.asked += earnings;
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
  public Map<String, Window> groups() {
    return groups;
  }

  /** Totals by second of the intended time of sending. */
  public Map<Long, Window> seconds() {
    return seconds;
  }

  /** The lowest share over any window of that many seconds. */
  public double worstShare(int window) {
    double worst = 1;
    for (long from : seconds.keySet()) {
      double asked = 0;
      double earned = 0;
      for (Window second : seconds.subMap(from, from + window).values()) {
        asked += second.asked;
        earned += second.earned;
      }
      worst = asked > 0 ? Math.min(worst, earned / asked) : worst;
    }
    return worst;
  }
}

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
public final class Latencies {

  private static final long LONGEST = 3600 * Shape.SECOND;
  private static final int DIGITS = 3;

  /** One second of intended times. */
  public static final class Window {
    private final Histogram latency = new Histogram(LONGEST, DIGITS);
    private double asked;
    private double earned;
    private long tasks;

    /** The earned part of what was asked for, 1 where nothing was. */
    public double share() {
      return asked == 0 ? 1 : earned / asked;
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

  private final Histogram latency = new Histogram(LONGEST, DIGITS);
  private final Histogram service = new Histogram(LONGEST, DIGITS);
  private final Map<String, Window> groups = new TreeMap<>();
  private final TreeMap<Long, Window> seconds = new TreeMap<>();
  private final Window all = new Window();

  /**
   * A task's end: intended, sent and over in nanoseconds from the start; what it would have earned
   * in time, and did earn.
   */
  public void over(Arrival arrival, long sent, long over, double worth, double earned) {
    long took = Math.min(LONGEST, Math.max(0, over - arrival.at()));
    latency.recordValue(took);
    service.recordValue(Math.min(LONGEST, Math.max(0, over - sent)));
    for (Window window :
        new Window[] {
          all,
          groups.computeIfAbsent("grade " + arrival.grade(), name -> new Window()),
          groups.computeIfAbsent("tenant " + arrival.tenant(), name -> new Window()),
          seconds.computeIfAbsent(arrival.at() / Shape.SECOND, name -> new Window())
        }) {
      window.latency.recordValue(took);
      window.asked += worth;
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
  public Map<String, Window> groups() {
    return groups;
  }

  /** Counts by second of the intended sending. */
  public Map<Long, Window> seconds() {
    return seconds;
  }

  /** The lowest share over so many seconds on end. */
  public double worstShare(int length) {
    double worst = 1;
    for (long from : seconds.keySet()) {
      double asked = 0;
      double earned = 0;
      for (Window one : seconds.subMap(from, from + length).values()) {
        asked += one.asked;
        earned += one.earned;
      }
      worst = asked > 0 ? Math.min(worst, earned / asked) : worst;
    }
    return worst;
  }
}

package tansytrack.lab.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An engine as decisions meet it: cores that all queries share, a start at part of its capacity, a
 * bound on queries, a fall when it is pushed while cold, and slow or failing modes. Without clock
 * or threads, so that processes and virtual time play the same one.
 */
public final class EngineModel {

  private static final long CAPACITY_STEP_NANOS =
      10_000_000L; // within which its capacity counts as steady
  private static final double MIN_WORK_NANOS = 1e6; // of a query, in nanoseconds

  /**
   * What it is.
   *
   * @param cores that work at once
   * @param mostQueries held at a time; more are refused as full
   * @param startCapacity the part that works at the start
   * @param warmAfter until all does, growing evenly; 0: it starts warm
   * @param multiple of its present capacity that makes it fall, where it is sent that for the
   *     window
   * @param window nanoseconds
   */
  public record Spec(
      double cores,
      int maxQueries,
      double startCapacityFraction,
      long warmUpNanos,
      double overloadFactor,
      long windowNanos) {}

  /** What became of a query that came. */
  public enum Admission {
    STARTED,
    FULL,
    DOWN
  }

  private static final class Query {
    final int threads;
    double remainingWork; // nanoseconds of work on one core

    Query(double work, int threads) {
      remainingWork = work;
      this.threads = threads;
    }
  }

  private record Arrival(long at, double work) {}

  private final Spec spec;
  private final long startedAt;
  private final Map<String, Query> queries = new LinkedHashMap<>();
  private final ArrayDeque<Arrival> recentArrivals = new ArrayDeque<>();
  private double recentWork; // the sum of it
  private double totalWork; // all that came, and how many
  private long totalQueries;
  private long now;
  private double slowdown = 1;
  private boolean crashed;

  /** An engine of that make, started cold at that time. */
  public EngineModel(Spec spec, long startedAt) {
    this.spec = spec;
    this.startedAt = startedAt;
    now = startedAt;
  }

  /** The part of its cores that works by then. */
  public double capacityFraction(long at) {
    if (spec.warmUpNanos() <= 0 || at >= startedAt + spec.warmUpNanos()) {
      return 1;
    }
    double age = Math.max(0, at - startedAt) / (double) spec.warmUpNanos();
    return spec.startCapacityFraction() + (1 - spec.startCapacityFraction()) * age;
  }

  /** From now on all takes so many times longer. */
  public void slowdown(long at, double factor) {
    advance(at);
    slowdown = Math.max(1e-3, factor);
  }

  /** Whether it ended for want of memory. */
  public boolean crashed() {
    return crashed;
  }

  /** How many queries it runs or keeps waiting. */
  public int queryCount() {
    return queries.size();
  }

  /** The share of its cores in use, as a report tells it. */
  public double utilization() {
    double threads = 0;
    for (Query one : queries.values()) {
      threads += one.threads;
    }
    return Math.min(1, threads / spec.cores());
  }

  /** A query comes; what comes counts as pressure whether or not it is taken. */
  public Admission start(long at, String id, double work, int threads) {
    if (crashed) {
      return Admission.DOWN;
    }
    totalQueries++;
    totalWork += Math.max(MIN_WORK_NANOS, work);
    if (capacityFraction(at) < 1) {
      recentArrivals.add(new Arrival(at, work));
      recentWork += work;
      while (recentArrivals.peek().at <= at - spec.windowNanos()) {
        recentWork -= recentArrivals.poll().work;
      }
      double mean = totalWork / totalQueries;
      double allowed =
          spec.overloadFactor() * capacityFraction(at) * spec.cores() * spec.windowNanos() / mean;
      if (recentWork / mean > allowed + 3 * Math.sqrt(allowed) + 3) {
        crashed = true;
        queries.clear();
        return Admission.DOWN;
      }
    }
    if (queries.size() >= spec.maxQueries()) {
      return Admission.FULL;
    }
    queries.put(id, new Query(Math.max(MIN_WORK_NANOS, work), Math.max(1, threads)));
    return Admission.STARTED;
  }

  /** Cancels a query, if it is still there. */
  public void cancel(long at, String id) {
    queries.remove(id);
  }

  /** Lets time pass; those that ended meanwhile, in the order in which they came. */
  public List<String> advance(long at) {
    List<String> ended = new ArrayList<>();
    while (now < at && !queries.isEmpty()) {
      double threads = 0;
      for (Query one : queries.values()) {
        threads += one.threads;
      }
      double capacity = spec.cores() * capacityFraction(now) / slowdown;
      double each = Math.min(1 / slowdown, capacity / threads); // of a core, for each thread
      double soonest = Double.MAX_VALUE;
      for (Query one : queries.values()) {
        soonest = Math.min(soonest, one.remainingWork / (each * one.threads));
      }
      double step =
          Math.max(
              1,
              Math.min(
                  (double) (at - now),
                  Math.min(
                      (double) (capacityFraction(now) < 1 ? CAPACITY_STEP_NANOS : Long.MAX_VALUE),
                      Math.ceil(soonest))));
      for (Query one : queries.values()) {
        one.remainingWork -= step * each * one.threads;
      }
      now += (long) step;
      queries
          .entrySet()
          .removeIf(one -> one.getValue().remainingWork <= 1e-3 && ended.add(one.getKey()));
    }
    now = Math.max(now, at);
    return ended;
  }
}

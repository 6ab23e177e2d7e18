package tansytrack.lab.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Models an engine: cores shared by all queries, a start with part of the capacity, a limit of
 * queries, a crash under overload while cold, and a slowdown. The model has neither clock nor
 * threads, so that it serves both in processes and in virtual time.
 */
public final class EngineModel {

  // While the engine warms up, its capacity is taken as constant for this long.
  private static final long CAPACITY_STEP_NANOS = 10_000_000L;
  private static final double MIN_WORK_NANOS = 1e6;

  /**
   * The parameters of an engine.
   *
   * @param cores number of cores
   * @param maxQueries maximum number of queries held at a time; more are refused as full
   * @param startCapacityFraction fraction of the capacity that is available at the start
   * @param warmUpNanos time until the full capacity is available, growing linearly; 0 for an engine
   *     that starts warm
   * @param overloadFactor multiple of its present capacity that crashes the engine if it is sent
   *     that much during a window
   * @param windowNanos length of that window
   */
  public record Spec(
      double cores,
      int maxQueries,
      double startCapacityFraction,
      long warmUpNanos,
      double overloadFactor,
      long windowNanos) {}

  /** The engine's response to a new query. */
  public enum Admission {
    STARTED,
    FULL,
    DOWN
  }

  private static final class Query {
    final int threads;
    // Nanoseconds on one core.
    double remainingWork;

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
  // Sum of the work of the recent arrivals.
  private double recentWork;
  // Sum of the work of all queries received; for the mean.
  private double totalWork;
  private long totalQueries;
  private long now;
  private double slowdown = 1;
  private boolean crashed;

  /** An engine that starts at the given time. */
  public EngineModel(Spec spec, long startedAt) {
    this.spec = spec;
    this.startedAt = startedAt;
    now = startedAt;
  }

  /** The fraction of the capacity that is available at a time. */
  public double capacityFraction(long at) {
    if (spec.warmUpNanos() <= 0 || at >= startedAt + spec.warmUpNanos()) {
      return 1;
    }
    double age = Math.max(0, at - startedAt) / (double) spec.warmUpNanos();
    return spec.startCapacityFraction() + (1 - spec.startCapacityFraction()) * age;
  }

  /** Makes all queries take that many times longer from now on. */
  public void slowdown(long at, double factor) {
    advance(at);
    slowdown = Math.max(1e-3, factor);
  }

  /** Whether the engine has crashed under overload while cold. */
  public boolean crashed() {
    return crashed;
  }

  /** The number of queries running or waiting. */
  public int queryCount() {
    return queries.size();
  }

  /** The share of the cores in use, as a load report has it. */
  public double utilization() {
    double threads = 0;
    for (Query query : queries.values()) {
      threads += query.threads;
    }
    return Math.min(1, threads / spec.cores());
  }

  /** Receives a query; it counts towards the overload of a cold engine even if it is refused. */
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
      if (recentWork / mean > SlowStartThreshold.maxRequests(allowed)) {
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

  /** Cancels a query if it has not ended. */
  public void cancel(long at, String id) {
    queries.remove(id);
  }

  /** Advances time; returns the queries that ended, in the order of their arrival. */
  public List<String> advance(long at) {
    List<String> ended = new ArrayList<>();
    while (now < at && !queries.isEmpty()) {
      double threads = 0;
      for (Query query : queries.values()) {
        threads += query.threads;
      }
      double capacity = spec.cores() * capacityFraction(now) / slowdown;
      // The share of a core that each thread gets.
      double coreShare = Math.min(1 / slowdown, capacity / threads);
      double timeToFirstEnd = Double.MAX_VALUE;
      for (Query query : queries.values()) {
        timeToFirstEnd =
            Math.min(timeToFirstEnd, query.remainingWork / (coreShare * query.threads));
      }
      double step =
          Math.max(
              1,
              Math.min(
                  (double) (at - now),
                  Math.min(
                      (double) (capacityFraction(now) < 1 ? CAPACITY_STEP_NANOS : Long.MAX_VALUE),
                      Math.ceil(timeToFirstEnd))));
      for (Query query : queries.values()) {
        query.remainingWork -= step * coreShare * query.threads;
      }
      now += (long) step;
      queries
          .entrySet()
          .removeIf(query -> query.getValue().remainingWork <= 1e-3 && ended.add(query.getKey()));
    }
    now = Math.max(now, at);
    return ended;
  }
}

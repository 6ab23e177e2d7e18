package tansytrack.lab.world;

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
  private static final long STEP = 10_000_000L;
  private static final double LEAST_WORK = 1e6;

  /**
   * The parameters of an engine.
   *
   * @param cores number of cores
   * @param mostQueries maximum number of queries held at a time; more are refused as full
   * @param startCapacity fraction of the capacity that is available at the start
   * @param warmAfter time until the full capacity is available, growing linearly; 0 for an engine
   *     that starts warm
   * @param multiple multiple of its present capacity that crashes the engine if it is sent that
   *     much during a window
   * @param window length of that window
   */
  public record Spec(
      double cores,
      int mostQueries,
      double startCapacity,
      long warmAfter,
      double multiple,
      long window) {}

  /** The engine's response to a new query. */
  public enum Taken {
    STARTED,
    FULL,
    DOWN
  }

  private static final class Query {
    final int threads;
    // Nanoseconds on one core.
    double left;

    Query(double work, int threads) {
      left = work;
      this.threads = threads;
    }
  }

  private record Sent(long at, double work) {}

  private final Spec spec;
  private final long startedAt;
  private final Map<String, Query> queries = new LinkedHashMap<>();
  private final ArrayDeque<Sent> pressure = new ArrayDeque<>();
  // Sum of the work of the recent arrivals.
  private double pressed;
  // Sum of the work of all queries received; for the mean.
  private double works;
  private long count;
  private long now;
  private double slow = 1;
  private boolean fallen;

  /** An engine that starts at the given time. */
  public EngineModel(Spec spec, long startedAt) {
    this.spec = spec;
    this.startedAt = startedAt;
    now = startedAt;
  }

  /** The fraction of the capacity that is available at a time. */
  public double warmth(long at) {
    if (spec.warmAfter() <= 0 || at >= startedAt + spec.warmAfter()) {
      return 1;
    }
    double age = Math.max(0, at - startedAt) / (double) spec.warmAfter();
    return spec.startCapacity() + (1 - spec.startCapacity()) * age;
  }

  /** Makes all queries take that many times longer from now on. */
  public void slow(long at, double factor) {
    advance(at);
    slow = Math.max(1e-3, factor);
  }

  /** Whether the engine has crashed under overload while cold. */
  public boolean fallen() {
    return fallen;
  }

  /** The number of queries running or waiting. */
  public int held() {
    return queries.size();
  }

  /** The share of the cores in use, as a load report has it. */
  public double busy() {
    double threads = 0;
    for (Query one : queries.values()) {
      threads += one.threads;
    }
    return Math.min(1, threads / spec.cores());
  }

  /** Receives a query; it counts towards the overload of a cold engine even if it is refused. */
  public Taken start(long at, String id, double work, int threads) {
    if (fallen) {
      return Taken.DOWN;
    }
    count++;
    works += Math.max(LEAST_WORK, work);
    if (warmth(at) < 1) {
      pressure.add(new Sent(at, work));
      pressed += work;
      while (pressure.peek().at <= at - spec.window()) {
        pressed -= pressure.poll().work;
      }
      double mean = works / count;
      double allowed = spec.multiple() * warmth(at) * spec.cores() * spec.window() / mean;
      if (pressed / mean > allowed + 3 * Math.sqrt(allowed) + 3) {
        fallen = true;
        queries.clear();
        return Taken.DOWN;
      }
    }
    if (queries.size() >= spec.mostQueries()) {
      return Taken.FULL;
    }
    queries.put(id, new Query(Math.max(LEAST_WORK, work), Math.max(1, threads)));
    return Taken.STARTED;
  }

  /** Cancels a query if it has not ended. */
  public void giveUp(long at, String id) {
    queries.remove(id);
  }

  /** Advances time; returns the queries that ended, in the order of their arrival. */
  public List<String> advance(long at) {
    List<String> ended = new ArrayList<>();
    while (now < at && !queries.isEmpty()) {
      double threads = 0;
      for (Query one : queries.values()) {
        threads += one.threads;
      }
      double capacity = spec.cores() * warmth(now) / slow;
      // The share of a core that each thread gets.
      double each = Math.min(1 / slow, capacity / threads);
      double soonest = Double.MAX_VALUE;
      for (Query one : queries.values()) {
        soonest = Math.min(soonest, one.left / (each * one.threads));
      }
      double step =
          Math.max(
              1,
              Math.min(
                  (double) (at - now),
                  Math.min(
                      (double) (warmth(now) < 1 ? STEP : Long.MAX_VALUE), Math.ceil(soonest))));
      for (Query one : queries.values()) {
        one.left -= step * each * one.threads;
      }
      now += (long) step;
      queries.entrySet().removeIf(one -> one.getValue().left <= 1e-3 && ended.add(one.getKey()));
    }
    now = Math.max(now, at);
    return ended;
  }
}

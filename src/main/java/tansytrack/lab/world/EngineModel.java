package tansytrack.lab.world;

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

  private static final long STEP = 10_000_000L; // within which its capacity counts as steady
  private static final double LEAST_WORK = 1e6; // of a query, in nanoseconds

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
      int mostQueries,
      double startCapacity,
      long warmAfter,
      double multiple,
      long window) {}

  /** What became of a query that came. */
  public enum Taken {
    STARTED,
    FULL,
    DOWN
  }

  private static final class Query {
    final int threads;
    double left; // nanoseconds of work on one core

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
  private double pressed; // the sum of it
  private double works; // all that came, and how many
  private long count;
  private long now;
  private double slow = 1;
  private boolean fallen;

  /** An engine of that make, started cold at that time. */
  public EngineModel(Spec spec, long startedAt) {
    this.spec = spec;
    this.startedAt = startedAt;
    now = startedAt;
  }

  /** The part of its cores that works by then. */
  public double warmth(long at) {
    if (spec.warmAfter() <= 0 || at >= startedAt + spec.warmAfter()) {
      return 1;
    }
    double age = Math.max(0, at - startedAt) / (double) spec.warmAfter();
    return spec.startCapacity() + (1 - spec.startCapacity()) * age;
  }

  /** From now on all takes so many times longer. */
  public void slow(long at, double factor) {
    advance(at);
    slow = Math.max(1e-3, factor);
  }

  /** Whether it ended for want of memory. */
  public boolean fallen() {
    return fallen;
  }

  /** How many queries it runs or keeps waiting. */
  public int held() {
    return queries.size();
  }

  /** The share of its cores in use, as a report tells it. */
  public double busy() {
    double threads = 0;
    for (Query one : queries.values()) {
      threads += one.threads;
    }
    return Math.min(1, threads / spec.cores());
  }

  /** A query comes; what comes counts as pressure whether or not it is taken. */
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

  /** Cancels a query, if it is still there. */
  public void giveUp(long at, String id) {
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
      double capacity = spec.cores() * warmth(now) / slow;
      double each = Math.min(1 / slow, capacity / threads); // of a core, for each thread
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

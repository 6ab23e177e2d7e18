package tansytrack.lab.scale;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tansytrack.api.EngineEntry;
import tansytrack.api.LoadReport;
import tansytrack.lab.simulation.EngineModel;

/**
 * An engine without sockets: the engine model, the attempts that run on it, and counts of the
 * attempts and the work that it received.
 */
final class HollowEngine {

  private static final int MOST_QUERIES = 64;
  private static final EngineModel.Spec SPEC =
      new EngineModel.Spec(
          ScalePlan.CORES,
          MOST_QUERIES,
          HollowSettings.START_CAPACITY,
          HollowSettings.WARM_AFTER,
          HollowSettings.COLD_MULTIPLE,
          HollowSettings.COLD_WINDOW);

  /** How an engine reacts to requests. */
  enum Standing {
    /** Accepts requests. */
    UP,
    /** Requests get no response, and no error either. */
    SILENT,
    /** The process has ended: connections are refused. */
    DOWN
  }

  /** An attempt that arrived while the engine was cold. */
  private record Sent(long at, long work) {}

  final int index;
  final String id;

  /** The position in the fleet, which a replacement takes over. */
  final int slot;

  final int zone;
  final long meanCost;

  Standing standing = Standing.UP;

  /** The list change that marks this engine as draining; null before it is published. */
  EngineList.Change drained;

  private EngineModel model;
  private long startedAt;
  private final Map<String, Attempt> running = new HashMap<>();
  private final ArrayDeque<Sent> coldWindow = new ArrayDeque<>();

  /** The sum of the work in {@link #coldWindow}. */
  private long coldWork;

  /** Whether the cold-start limit has been exceeded since the engine started. */
  private boolean overBudget;

  private long work;
  private long attempts;

  HollowEngine(int index, String id, int slot, int zone, long startedAt, long meanCost) {
    this.index = index;
    this.id = id;
    this.slot = slot;
    this.zone = zone;
    this.meanCost = meanCost;
    start(startedAt);
  }

  /** Starts or restarts the engine. Time 0 stands for a start long ago: the engine is warm. */
  final void start(long at) {
    startedAt = at;
    model = new EngineModel(SPEC, at);
    standing = Standing.UP;
    coldWindow.clear();
    coldWork = 0;
    overBudget = false;
  }

  /** The entry of this engine in the engine list. */
  EngineEntry entry(EngineEntry.State state) {
    return new EngineEntry(
        id, 1, EngineList.zone(zone), HollowSettings.KIND, slot, state, startedAt);
  }

  /** The work of all admitted attempts, in core nanoseconds. */
  long work() {
    return work;
  }

  /** The number of attempts that reached the engine, whether admitted or not. */
  long attempts() {
    return attempts;
  }

  boolean busy() {
    return !running.isEmpty();
  }

  /** Whether the engine has been running without a restart since before the simulation began. */
  boolean old() {
    return startedAt == 0;
  }

  /** Admits or rejects an arriving attempt. Running attempts must have been advanced to now. */
  EngineModel.Admission take(long now, Attempt attempt) {
    if (!busy()) {
      model.advance(now);
    }
    EngineModel.Admission taken = model.start(now, attempt.id, (double) attempt.statement.cost, 1);
    attempts++;
    if (taken == EngineModel.Admission.STARTED) {
      work += attempt.statement.cost;
      running.put(attempt.id, attempt);
    }
    return taken;
  }

  /**
   * Counts an attempt against the cold-start limit, and reports whether it is the first since the
   * engine started that exceeds it. Where the limit allows the work of N mean statements within the
   * window, N + 2 * sqrt(N) + 2 are tolerated, because arrivals are random.
   */
  boolean breaksColdRule(long now, long cost) {
    if (startedAt == 0 || model.capacityFraction(now) >= 1) {
      return false;
    }
    coldWindow.add(new Sent(now, cost));
    coldWork += cost;
    while (coldWindow.peek().at() <= now - HollowSettings.COLD_WINDOW) {
      coldWork -= coldWindow.poll().work();
    }
    double allowed =
        HollowSettings.COLD_MULTIPLE
            * model.capacityFraction(now)
            * ScalePlan.CORES
            * HollowSettings.COLD_WINDOW
            / meanCost;
    boolean over = coldWork / (double) meanCost > allowed + 2 * Math.sqrt(allowed) + 2;
    boolean first = over && !overBudget;
    overBudget |= over;
    return first;
  }

  /** Cancels an attempt; false if it is not running on this engine. */
  boolean giveUp(long now, Attempt attempt) {
    model.cancel(now, attempt.id);
    return running.remove(attempt.id) != null;
  }

  /** Advances the engine to this time and returns the attempts that have completed. */
  List<Attempt> advance(long now) {
    List<Attempt> ended = new ArrayList<>();
    for (String one : model.advance(now)) {
      ended.add(running.remove(one));
    }
    return ended;
  }

  /** Removes all running attempts and returns them in the order of their ids. */
  List<Attempt> dropAll() {
    List<Attempt> lost = new ArrayList<>(running.values());
    lost.sort(Comparator.comparing(one -> one.id));
    running.clear();
    return lost;
  }

  /** The current load of the engine, as it reports it to managers. */
  LoadReport report() {
    return new LoadReport(model.utilization(), model.queryCount(), 0, Double.NaN, Double.NaN);
  }
}

package tansytrack.lab.scale;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tansytrack.api.EngineEntry;
import tansytrack.api.LoadReport;
import tansytrack.lab.simulation.EngineModel;

/** An engine without sockets: the engine model, what runs on it, and what came to it. */
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

  /** How an engine answers to calls. */
  enum Standing {
    UP,
    /** Calls get no answer at all. */
    SILENT,
    /** Its process has ended: calls are refused. */
    DOWN
  }

  private record Sent(long at, long work) {}

  final int index;
  final String id;
  final int slot; // its place in the fleet, which a replacement takes over
  final int zone;
  final long meanCost;

  Standing standing = Standing.UP;

  /** The change by which the list says that it drains; null until then. */
  EngineList.Change drained;

  private EngineModel model;
  private long startedAt;
  private final Map<String, Attempt> running = new HashMap<>();
  private final ArrayDeque<Sent> coldWindow = new ArrayDeque<>();
  private long coldWork; // the sum of the window
  private boolean overBudget; // since it started
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

  /** It starts, or starts anew; at time 0 it started long ago. */
  final void start(long at) {
    startedAt = at;
    model = new EngineModel(SPEC, at);
    standing = Standing.UP;
    coldWindow.clear();
    coldWork = 0;
    overBudget = false;
  }

  /** As the list names it. */
  EngineEntry entry(EngineEntry.State state) {
    return new EngineEntry(
        id, 1, EngineList.zone(zone), HollowSettings.KIND, slot, state, startedAt);
  }

  /** Its work so far, in nanoseconds of a core. */
  long work() {
    return work;
  }

  /** Attempts that came to it. */
  long attempts() {
    return attempts;
  }

  boolean busy() {
    return !running.isEmpty();
  }

  /** Did it run before the play began, and ever since? */
  boolean old() {
    return startedAt == 0;
  }

  /** An attempt comes; what runs has been advanced to that time. */
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
   * Counts an attempt against the cold rule: of N mean statements that are allowed within the
   * window, chance may add two roots of N and two. True where it is the first over that since the
   * engine started.
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

  /** Gives an attempt up; false where it does not run here. */
  boolean giveUp(long now, Attempt attempt) {
    model.cancel(now, attempt.id);
    return running.remove(attempt.id) != null;
  }

  /** Lets time pass; the attempts that ended meanwhile. */
  List<Attempt> advance(long now) {
    List<Attempt> ended = new ArrayList<>();
    for (String one : model.advance(now)) {
      ended.add(running.remove(one));
    }
    return ended;
  }

  /** All that runs is lost; in the order of the attempts' ids. */
  List<Attempt> dropAll() {
    List<Attempt> lost = new ArrayList<>(running.values());
    lost.sort(java.util.Comparator.comparing(one -> one.id));
    running.clear();
    return lost;
  }

  /** Its word on its load. */
  LoadReport report() {
    return new LoadReport(model.utilization(), model.queryCount(), 0, Double.NaN, Double.NaN);
  }
}

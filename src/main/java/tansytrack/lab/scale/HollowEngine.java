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

  private static final int MAX_QUERIES = 64;
  private static final EngineModel.Spec SPEC =
      new EngineModel.Spec(
          ScalePlan.CORES_PER_ENGINE,
          MAX_QUERIES,
          HollowSettings.START_CAPACITY_FRACTION,
          HollowSettings.WARM_UP_NANOS,
          HollowSettings.COLD_OVERLOAD_FACTOR,
          HollowSettings.COLD_WINDOW_NANOS);

  /** How an engine answers to calls. */
  enum Availability {
    UP,
    /** Calls get no answer at all. */
    SILENT,
    /** Its process has ended: calls are refused. */
    DOWN
  }

  private record ColdArrival(long atNanos, long workNanos) {}

  final int index;
  final String id;
  final int slot; // its place in the fleet, which a replacement takes over
  final int zone;
  final long meanCostNanos;

  Availability availability = Availability.UP;

  /** The change by which the list says that it drains; null until then. */
  EngineList.Change drainChange;

  private EngineModel model;
  private long startedAtNanos;
  private final Map<String, Attempt> running = new HashMap<>();
  private final ArrayDeque<ColdArrival> coldWindow = new ArrayDeque<>();
  private long coldWindowWorkNanos; // the sum of the window
  private boolean coldLimitExceeded; // since it started
  private long workNanos;
  private long attemptCount;

  HollowEngine(int index, String id, int slot, int zone, long startedAtNanos, long meanCostNanos) {
    this.index = index;
    this.id = id;
    this.slot = slot;
    this.zone = zone;
    this.meanCostNanos = meanCostNanos;
    start(startedAtNanos);
  }

  /** It starts, or starts anew; at time 0 it started long ago. */
  final void start(long atNanos) {
    startedAtNanos = atNanos;
    model = new EngineModel(SPEC, atNanos);
    availability = Availability.UP;
    coldWindow.clear();
    coldWindowWorkNanos = 0;
    coldLimitExceeded = false;
  }

  /** As the list names it. */
  EngineEntry entry(EngineEntry.State state) {
    return new EngineEntry(
        id, 1, EngineList.zoneName(zone), HollowSettings.ENGINE_TYPE, slot, state, startedAtNanos);
  }

  /** Its work so far, in nanoseconds of a core. */
  long workNanos() {
    return workNanos;
  }

  /** Attempts that came to it. */
  long attemptCount() {
    return attemptCount;
  }

  boolean isBusy() {
    return !running.isEmpty();
  }

  /** Did it run before the play began, and ever since? */
  boolean startedBeforeRun() {
    return startedAtNanos == 0;
  }

  /** An attempt comes; what runs has been advanced to that time. */
  EngineModel.Admission admit(long now, Attempt attempt) {
    if (!isBusy()) {
      model.advance(now);
    }
    EngineModel.Admission admission =
        model.start(now, attempt.id, (double) attempt.statement.costNanos, 1);
    attemptCount++;
    if (admission == EngineModel.Admission.STARTED) {
      workNanos += attempt.statement.costNanos;
      running.put(attempt.id, attempt);
    }
    return admission;
  }

  /**
   * Counts an attempt against the cold rule: of N mean statements that are allowed within the
   * window, chance may add two roots of N and two. True where it is the first over that since the
   * engine started.
   */
  boolean firstExceedsColdLimit(long now, long costNanos) {
    if (startedAtNanos == 0 || model.capacityFraction(now) >= 1) {
      return false;
    }
    coldWindow.add(new ColdArrival(now, costNanos));
    coldWindowWorkNanos += costNanos;
    while (coldWindow.peek().atNanos() <= now - HollowSettings.COLD_WINDOW_NANOS) {
      coldWindowWorkNanos -= coldWindow.poll().workNanos();
    }
    double allowed =
        HollowSettings.COLD_OVERLOAD_FACTOR
            * model.capacityFraction(now)
            * ScalePlan.CORES_PER_ENGINE
            * HollowSettings.COLD_WINDOW_NANOS
            / meanCostNanos;
    boolean exceeded =
        coldWindowWorkNanos / (double) meanCostNanos > allowed + 2 * Math.sqrt(allowed) + 2;
    boolean first = exceeded && !coldLimitExceeded;
    coldLimitExceeded |= exceeded;
    return first;
  }

  /** Gives an attempt up; false where it does not run here. */
  boolean cancel(long now, Attempt attempt) {
    model.cancel(now, attempt.id);
    return running.remove(attempt.id) != null;
  }

  /** Lets time pass; the attempts that ended meanwhile. */
  List<Attempt> advance(long now) {
    List<Attempt> ended = new ArrayList<>();
    for (String attemptId : model.advance(now)) {
      ended.add(running.remove(attemptId));
    }
    return ended;
  }

  /** All that runs is lost; in the order of the attempts' ids. */
  List<Attempt> removeAll() {
    List<Attempt> lost = new ArrayList<>(running.values());
    lost.sort(java.util.Comparator.comparing(attempt -> attempt.id));
    running.clear();
    return lost;
  }

  /** Its word on its load. */
  LoadReport loadReport() {
    return new LoadReport(model.utilization(), model.queryCount(), 0, Double.NaN, Double.NaN);
  }
}

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

  private static final int MAX_QUERIES = 64;
  private static final EngineModel.Spec SPEC =
      new EngineModel.Spec(
          ScalePlan.CORES_PER_ENGINE,
          MAX_QUERIES,
          HollowSettings.START_CAPACITY_FRACTION,
          HollowSettings.WARM_UP_NANOS,
          HollowSettings.COLD_OVERLOAD_FACTOR,
          HollowSettings.COLD_WINDOW_NANOS);

  /** How an engine reacts to requests. */
  enum Availability {
    /** Accepts requests. */
    UP,
    /** Gives no response and no error. */
    SILENT,
    /** Refuses connections, as the process has ended. */
    DOWN
  }

  /** An attempt that arrived while the engine was cold. */
  private record ColdArrival(long atNanos, long workNanos) {}

  final int index;
  final String id;

  /** The position in the fleet, which a replacement takes over; the cell in the engine list. */
  final int slot;

  final int zone;
  final long meanCostNanos;

  Availability availability = Availability.UP;

  /** The list change that marks this engine as draining; null before it is published. */
  EngineList.Change drainChange;

  private EngineModel model;
  private long startedAtNanos;
  private final Map<String, Attempt> running = new HashMap<>();
  private final ArrayDeque<ColdArrival> coldWindow = new ArrayDeque<>();

  /** The sum of the work in {@link #coldWindow}. */
  private long coldWindowWorkNanos;

  /** Whether the cold-start limit has been exceeded since the engine started. */
  private boolean coldLimitExceeded;

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

  /**
   * Starts or restarts the engine. Time 0 stands for a start long before the simulation began, so
   * that the engine is warm.
   */
  final void start(long atNanos) {
    startedAtNanos = atNanos;
    model = new EngineModel(SPEC, atNanos);
    availability = Availability.UP;
    coldWindow.clear();
    coldWindowWorkNanos = 0;
    coldLimitExceeded = false;
  }

  /** Returns the entry of this engine in the engine list. */
  EngineEntry entry(EngineEntry.State state) {
    return new EngineEntry(
        id, 1, EngineList.zoneName(zone), HollowSettings.ENGINE_TYPE, slot, state, startedAtNanos);
  }

  /** The work of all admitted attempts, in core nanoseconds. */
  long workNanos() {
    return workNanos;
  }

  /** The number of attempts that reached the engine, whether admitted or not. */
  long attemptCount() {
    return attemptCount;
  }

  boolean isBusy() {
    return !running.isEmpty();
  }

  /** Whether the engine was started at time 0, see {@link #start}, and not restarted since. */
  boolean startedBeforeRun() {
    return startedAtNanos == 0;
  }

  /** Admits or rejects an arriving attempt. Running attempts must have been advanced to now. */
  EngineModel.Admission admit(long now, Attempt attempt) {
    if (!isBusy()) {
      model.advance(now);
    }
    EngineModel.Admission admission =
        model.start(now, attempt.id, (double) attempt.statement.costNanos, /* threads= */ 1);
    attemptCount++;
    if (admission == EngineModel.Admission.STARTED) {
      workNanos += attempt.statement.costNanos;
      running.put(attempt.id, attempt);
    }
    return admission;
  }

  /**
   * Counts an attempt against the cold-start limit, and reports whether it is the first since the
   * engine started that exceeds it. Where the limit allows the work of N mean statements within the
   * window, N + 2 * sqrt(N) + 2 are tolerated, because arrivals are random: sqrt(N) is the standard
   * deviation of a Poisson count with mean N.
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

  /** Cancels an attempt. Returns false if it is not running on this engine. */
  boolean cancel(long now, Attempt attempt) {
    model.cancel(now, attempt.id);
    return running.remove(attempt.id) != null;
  }

  /** Advances the engine to the given time and returns the attempts that have completed. */
  List<Attempt> advance(long now) {
    List<Attempt> ended = new ArrayList<>();
    for (String attemptId : model.advance(now)) {
      ended.add(running.remove(attemptId));
    }
    return ended;
  }

  /** Removes all running attempts and returns them in the order of their ids. */
  List<Attempt> removeAll() {
    List<Attempt> lost = new ArrayList<>(running.values());
    lost.sort(Comparator.comparing(attempt -> attempt.id));
    running.clear();
    return lost;
  }

  /** The current load of the engine, as it reports it to managers. */
  LoadReport loadReport() {
    return new LoadReport(model.utilization(), model.queryCount(), 0, Double.NaN, Double.NaN);
  }
}

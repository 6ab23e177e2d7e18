package tansytrack.lab.scale;

import java.util.List;
import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;

/**
 * The way between managers and engines: fixed delays, silence, and a region that may be cut off.
 */
final class Network {

  private static final long ONE_WAY_DELAY_NANOS = 5 * ScalePlan.NANOS_PER_MS; // each way

  /** How long a real manager's calls take to find out that an engine with a forward is silent. */
  private static final long SILENCE_TIMEOUT_NANOS = 2 * ScalePlan.NANOS_PER_SECOND;

  private final ScaleSimulation simulation;
  private int regionCount = 1;
  private boolean partitioned;

  Network(ScaleSimulation simulation) {
    this.simulation = simulation;
  }

  /** Zones belong to so many regions in turn. */
  void setRegionCount(int count) {
    regionCount = count;
  }

  /** From now on the first region and the others cannot reach each other, or can again. */
  void setPartitioned(boolean active) {
    partitioned = active;
  }

  private boolean canReach(HollowManager manager, HollowEngine engine) {
    boolean separated =
        partitioned && (manager.zone % regionCount == 0) != (engine.zone % regionCount == 0);
    return !separated && engine.availability != HollowEngine.Availability.SILENT;
  }

  void send(Attempt attempt) {
    attempt.manager.shard.post(ONE_WAY_DELAY_NANOS, () -> onForwardArrival(attempt));
  }

  private void onForwardArrival(Attempt attempt) {
    if (attempt.ended) {
      return;
    }
    HollowEngine engine = attempt.engine;
    if (!canReach(attempt.manager, engine)) {
      reportOutcome(attempt, Outcome.UNREACHED, HollowSettings.CONNECT_TIMEOUT_NANOS);
    } else if (engine.availability == HollowEngine.Availability.DOWN) {
      reportOutcome(attempt, Outcome.UNREACHED, ONE_WAY_DELAY_NANOS);
    } else {
      simulation.onForwardArrival(attempt);
    }
  }

  /** The engine is full: it says so. */
  void replyFull(Attempt attempt) {
    reportOutcome(attempt, Outcome.FULL, ONE_WAY_DELAY_NANOS);
  }

  /** It ran to its end: the answer goes back, if it gets through. */
  void replyResult(Attempt attempt) {
    if (canReach(attempt.manager, attempt.engine)) {
      reportOutcome(attempt, Outcome.OK, ONE_WAY_DELAY_NANOS);
    } else {
      reportOutcome(attempt, Outcome.RESET, SILENCE_TIMEOUT_NANOS);
    }
  }

  /** Attempts lost with an engine that falls silent, or whose process ends. */
  void resetAll(List<Attempt> attempts, boolean silently) {
    attempts.forEach(
        attempt ->
            reportOutcome(
                attempt, Outcome.RESET, silently ? SILENCE_TIMEOUT_NANOS : ONE_WAY_DELAY_NANOS));
  }

  private void reportOutcome(Attempt attempt, Outcome outcome, long delayNanos) {
    attempt.ended = true;
    LoadReport report = outcome == Outcome.OK ? attempt.engine.loadReport() : null;
    HollowManager manager = attempt.manager;
    manager.shard.events.scheduleAfter(delayNanos, () -> manager.receive(attempt, outcome, report));
  }

  void cancel(Attempt attempt) {
    attempt.manager.shard.post(ONE_WAY_DELAY_NANOS, () -> onCancelArrival(attempt));
  }

  private void onCancelArrival(Attempt attempt) {
    if (attempt.ended || !canReach(attempt.manager, attempt.engine)) {
      return;
    }
    attempt.engine.cancel(simulation.now(), attempt);
    reportOutcome(attempt, Outcome.CANCELLED, ONE_WAY_DELAY_NANOS);
  }

  void probe(HollowManager manager, int managerInstanceId, HollowEngine engine) {
    manager.shard.post(
        ONE_WAY_DELAY_NANOS, () -> onProbeArrival(manager, managerInstanceId, engine));
  }

  private void onProbeArrival(HollowManager manager, int managerInstanceId, HollowEngine engine) {
    boolean reached = canReach(manager, engine);
    boolean up = reached && engine.availability == HollowEngine.Availability.UP;
    Outcome outcome = up ? Outcome.OK : Outcome.UNREACHED;
    LoadReport report = up ? engine.loadReport() : null;
    long delayNanos = reached ? ONE_WAY_DELAY_NANOS : HollowSettings.CONNECT_TIMEOUT_NANOS;
    manager.shard.events.scheduleAfter(
        delayNanos,
        () -> manager.receiveProbeResult(managerInstanceId, engine.id, outcome, report));
  }
}

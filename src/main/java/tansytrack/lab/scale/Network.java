package tansytrack.lab.scale;

import java.util.List;
import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;

/**
 * The simulated network between managers and engines: fixed delays, engines that do not respond,
 * and a partition between the first region and the others.
 */
final class Network {

  private static final long ONE_WAY_DELAY_NANOS = 5 * ScalePlan.NANOS_PER_MS;

  /** How long a real manager takes to detect that an engine with a forward no longer responds. */
  private static final long SILENCE_TIMEOUT_NANOS = 2 * ScalePlan.NANOS_PER_SECOND;

  private final ScaleSimulation simulation;
  private int regionCount = 1;
  private boolean partitioned;

  Network(ScaleSimulation simulation) {
    this.simulation = simulation;
  }

  /** Sets the number of regions; zones are assigned to them round-robin. */
  void setRegionCount(int count) {
    regionCount = count;
  }

  /** Begins or ends the partition between the first region and the others. */
  void setPartitioned(boolean active) {
    partitioned = active;
  }

  private boolean canReach(HollowManager manager, HollowEngine engine) {
    boolean separated =
        partitioned && (manager.zone % regionCount == 0) != (engine.zone % regionCount == 0);
    return !separated && engine.availability != HollowEngine.Availability.SILENT;
  }

  /** Sends a forward to its engine. */
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

  /** Sends back that the engine is full. */
  void replyFull(Attempt attempt) {
    reportOutcome(attempt, Outcome.FULL, ONE_WAY_DELAY_NANOS);
  }

  /** Sends back the result of a completed attempt; its manager sees a reset if it is cut off. */
  void replyResult(Attempt attempt) {
    if (canReach(attempt.manager, attempt.engine)) {
      reportOutcome(attempt, Outcome.OK, ONE_WAY_DELAY_NANOS);
    } else {
      reportOutcome(attempt, Outcome.RESET, SILENCE_TIMEOUT_NANOS);
    }
  }

  /**
   * Ends the attempts of an engine that stops responding or whose process ends. Managers detect the
   * former only after a timeout.
   */
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

  /** Sends the cancellation of a forward to its engine. */
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

  /** Sends a probe of a manager instance to an engine. */
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

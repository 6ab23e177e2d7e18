package tansytrack.lab.scale;

import java.util.List;
import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;

/**
 * The simulated network between managers and engines: fixed delays, engines that do not respond,
 * and a partition between the first region and the others.
 */
final class Network {

  private static final long WAY = 5 * ScalePlan.MS;

  /** How long a real manager takes to detect that an engine with a forward no longer responds. */
  private static final long SILENCE = 2 * ScalePlan.SECOND;

  private final ScaleWorld world;
  private int regions = 1;
  private boolean cut;

  Network(ScaleWorld world) {
    this.world = world;
  }

  /** Sets the number of regions; zones are assigned to them round-robin. */
  void regions(int count) {
    regions = count;
  }

  /** Begins or ends the partition between the first region and the others. */
  void cut(boolean on) {
    cut = on;
  }

  private boolean reaches(HollowManager manager, HollowEngine engine) {
    boolean apart = cut && (manager.zone % regions == 0) != (engine.zone % regions == 0);
    return !apart && engine.standing != HollowEngine.Standing.SILENT;
  }

  /** Sends a forward to its engine. */
  void send(Attempt attempt) {
    attempt.manager.shard.post(WAY, () -> arrive(attempt));
  }

  private void arrive(Attempt attempt) {
    if (attempt.ended) {
      return;
    }
    HollowEngine engine = attempt.engine;
    if (!reaches(attempt.manager, engine)) {
      tell(attempt, Outcome.UNREACHED, HollowSettings.CONNECT_TIME);
    } else if (engine.standing == HollowEngine.Standing.DOWN) {
      tell(attempt, Outcome.UNREACHED, WAY);
    } else {
      world.arrived(attempt);
    }
  }

  /** Sends back that the engine is full. */
  void refuse(Attempt attempt) {
    tell(attempt, Outcome.FULL, WAY);
  }

  /** Sends back the result of a completed attempt; its manager sees a reset if it is cut off. */
  void answer(Attempt attempt) {
    if (reaches(attempt.manager, attempt.engine)) {
      tell(attempt, Outcome.OK, WAY);
    } else {
      tell(attempt, Outcome.RESET, SILENCE);
    }
  }

  /**
   * Ends the attempts of an engine that stops responding or whose process ends. Managers detect the
   * former only after a timeout.
   */
  void lose(List<Attempt> attempts, boolean silently) {
    attempts.forEach(one -> tell(one, Outcome.RESET, silently ? SILENCE : WAY));
  }

  private void tell(Attempt attempt, Outcome outcome, long delay) {
    attempt.ended = true;
    LoadReport report = outcome == Outcome.OK ? attempt.engine.report() : null;
    HollowManager manager = attempt.manager;
    manager.shard.timeline.in(delay, () -> manager.hear(attempt, outcome, report));
  }

  /** Sends the cancellation of a forward to its engine. */
  void cancel(Attempt attempt) {
    attempt.manager.shard.post(WAY, () -> stop(attempt));
  }

  private void stop(Attempt attempt) {
    if (attempt.ended || !reaches(attempt.manager, attempt.engine)) {
      return;
    }
    attempt.engine.giveUp(world.now(), attempt);
    tell(attempt, Outcome.CANCELLED, WAY);
  }

  /** Sends a probe of a manager instance to an engine. */
  void probe(HollowManager manager, int life, HollowEngine engine) {
    manager.shard.post(WAY, () -> probed(manager, life, engine));
  }

  private void probed(HollowManager manager, int life, HollowEngine engine) {
    boolean reached = reaches(manager, engine);
    boolean up = reached && engine.standing == HollowEngine.Standing.UP;
    Outcome outcome = up ? Outcome.OK : Outcome.UNREACHED;
    LoadReport report = up ? engine.report() : null;
    long delay = reached ? WAY : HollowSettings.CONNECT_TIME;
    manager.shard.timeline.in(delay, () -> manager.hearProbe(life, engine.id, outcome, report));
  }
}

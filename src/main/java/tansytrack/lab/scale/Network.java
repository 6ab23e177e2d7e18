package tansytrack.lab.scale;

import java.util.List;
import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;

/**
 * The way between managers and engines: fixed delays, silence, and a region that may be cut off.
 */
final class Network {

  private static final long WAY = 5 * ScalePlan.MS; // each way

  /** How long a real manager's calls take to find out that an engine with a forward is silent. */
  private static final long SILENCE = 2 * ScalePlan.SECOND;

  private final ScaleWorld world;
  private int regions = 1;
  private boolean cut;

  Network(ScaleWorld world) {
    this.world = world;
  }

  /** Zones belong to so many regions in turn. */
  void regions(int count) {
    regions = count;
  }

  /** From now on the first region and the others cannot reach each other, or can again. */
  void cut(boolean on) {
    cut = on;
  }

  private boolean reaches(HollowManager manager, HollowEngine engine) {
    boolean apart = cut && (manager.zone % regions == 0) != (engine.zone % regions == 0);
    return !apart && engine.standing != HollowEngine.Standing.SILENT;
  }

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

  /** The engine is full: it says so. */
  void refuse(Attempt attempt) {
    tell(attempt, Outcome.FULL, WAY);
  }

  /** It ran to its end: the answer goes back, if it gets through. */
  void answer(Attempt attempt) {
    if (reaches(attempt.manager, attempt.engine)) {
      tell(attempt, Outcome.OK, WAY);
    } else {
      tell(attempt, Outcome.RESET, SILENCE);
    }
  }

  /** Attempts lost with an engine that falls silent, or whose process ends. */
  void lose(List<Attempt> attempts, boolean silently) {
    attempts.forEach(one -> tell(one, Outcome.RESET, silently ? SILENCE : WAY));
  }

  private void tell(Attempt attempt, Outcome outcome, long delay) {
    attempt.ended = true;
    LoadReport report = outcome == Outcome.OK ? attempt.engine.report() : null;
    HollowManager manager = attempt.manager;
    manager.shard.timeline.in(delay, () -> manager.hear(attempt, outcome, report));
  }

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

package tansytrack.lab.scale;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import tansytrack.api.Actions;
import tansytrack.api.DecisionModule;
import tansytrack.api.EngineEntry;
import tansytrack.api.EngineStatus;
import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;
import tansytrack.api.TaskRequest;

/**
 * A manager without sockets and clients: a real decision module, whose actions are carried out in
 * the simulation.
 */
final class HollowManager implements Actions {

  /** The fraction of the statements that are not idempotent. */
  private static final double WRITES = 0.1;

  final int index;
  final int zone;

  /** Whether this manager receives changes of the engine list late. */
  boolean stale;

  final Shard shard;

  private final ScaleWorld world;
  private final SplittableRandom chance;
  private final Map<String, Statement> open = new HashMap<>();
  private final BitSet used = new BitSet();
  private DecisionModule module;

  /** Increased at each start and kill; results for earlier instances are ignored. */
  private int life;

  private long asked;

  /** When the next statement arrives; 0 before the first one is drawn. */
  private long due;

  HollowManager(int index, int zone, Shard shard, ScaleWorld world, SplittableRandom chance) {
    this.index = index;
    this.zone = zone;
    this.shard = shard;
    this.world = world;
    this.chance = chance;
  }

  /** Starts the manager with a new module, which receives the given complete engine list. */
  void start(ModuleFactory factory, List<EngineEntry> list) {
    life++;
    module =
        factory.create(shard.settings.of(chance.nextLong(), index, EngineList.zone(zone)), this);
    hear(true, list);
  }

  /** Kills the manager; all its open statements are lost. */
  void end() {
    life++;
    module = null;
    open.values().forEach(one -> one.over = true);
    shard.counts.lostWithManager += open.size();
    open.clear();
  }

  boolean running() {
    return module != null;
  }

  int life() {
    return life;
  }

  int unanswered() {
    return open.size();
  }

  /** The indexes of the engines that this manager has forwarded to or probed. */
  BitSet used() {
    return used;
  }

  /** The engines that the module holds; none while the manager is not running. */
  List<EngineStatus> known() {
    return module == null ? List.of() : module.engineStatuses(now());
  }

  /**
   * Draws the arrival time of the next statement. It is counted from the time at which the previous
   * one was due, not from the step in which it arrived, as rounding up to steps would lower the
   * rate.
   */
  long nextDue(double rate) {
    due = due == 0 ? now() : due;
    due += (long) (-Math.log(1 - chance.nextDouble()) * ScalePlan.SECOND / rate);
    return due;
  }

  private long now() {
    return world.now();
  }

  // ---- Events for the module ----

  /** Delivers an engine list, or changes of it, to the module. */
  void hear(boolean complete, List<EngineEntry> entries) {
    if (module != null) {
      long before = shard.placementChecks();
      module.onEngineList(now(), complete, entries);
      module.decide(now());
      shard.counts.listsHeard++;
      shard.counts.listChecks += shard.placementChecks() - before;
    }
  }

  /** Submits a statement with a random cost of 0.5 to 1.5 times the mean. */
  void ask(long meanCost, long deadline) {
    if (module == null) {
      shard.counts.unserved(now());
      return;
    }
    boolean write = chance.nextDouble() < WRITES;
    long cost = (long) (meanCost * (0.5 + chance.nextDouble()));
    Statement statement = new Statement(index + ":" + asked++, now(), now() + deadline, cost);
    open.put(statement.id, statement);
    shard.counts.asked(now());
    module.onTask(
        now(),
        new TaskRequest(
            statement.id,
            write ? HollowSettings.WRITE : HollowSettings.READ,
            "",
            null,
            statement.deadline,
            cost,
            0,
            -1));
    module.decide(now());
  }

  /** Delivers the outcome of an attempt, unless an earlier instance of the manager sent it. */
  void hear(Attempt attempt, Outcome outcome, LoadReport report) {
    if (module == null || life != attempt.life) {
      return;
    }
    Statement statement = attempt.statement;
    if (outcome == Outcome.OK && !statement.over) {
      statement.over = true;
      open.remove(statement.id);
      shard.counts.answered(statement, now());
    }
    long cost = outcome == Outcome.OK ? statement.cost : 0;
    module.onForwardEnd(
        now(),
        statement.id,
        attempt.index,
        attempt.engine.id,
        outcome,
        0,
        statement.over,
        cost,
        0,
        report);
    module.decide(now());
  }

  /** Delivers the outcome of a probe, unless an earlier instance of the manager sent it. */
  void hearProbe(int ofLife, String engine, Outcome outcome, LoadReport report) {
    if (module != null && life == ofLife) {
      module.onProbeEnd(now(), engine, outcome, report);
      module.decide(now());
    }
  }

  private void woken(int ofLife, String token) {
    if (module != null && life == ofLife) {
      long before = shard.placementChecks();
      module.onWakeUp(now(), token);
      module.decide(now());
      shard.counts.sweeps++;
      shard.counts.sweepChecks += shard.placementChecks() - before;
    }
  }

  // ---- Actions of the module ----

  @Override
  public void forward(String task, String engine, long timeOut) {
    Statement statement = open.get(task);
    HollowEngine to = world.engine(engine);
    used.set(to.index);
    Attempt attempt = new Attempt(this, life, statement, statement.attempts.size(), to);
    statement.attempts.add(attempt);
    shard.counts.attempts++;
    world.network().send(attempt);
  }

  @Override
  public void reject(String task, long pause) {
    shard.counts.bounced++;
    finish(task);
  }

  @Override
  public void abort(String task) {
    shard.counts.aborted++;
    finish(task);
  }

  private void finish(String task) {
    open.remove(task).over = true;
  }

  @Override
  public void assignResources(String task, long memoryMb, int priority) {
    // Hollow engines use neither memory grants nor priorities.
  }

  @Override
  public void probe(String engine) {
    HollowEngine to = world.engine(engine);
    used.set(to.index);
    shard.counts.probes++;
    world.network().probe(this, life, to);
  }

  @Override
  public void cancel(String task, int index) {
    Statement statement = open.get(task);
    if (statement != null) {
      world.network().cancel(statement.attempts.get(index));
    }
  }

  @Override
  public void scheduleWakeUp(long in, String token) {
    int ofLife = life;
    shard.timeline.in(in, () -> woken(ofLife, token));
  }

  @Override
  public void log(String text) {
    // Log texts are dropped: results are measured at engines and clients.
  }
}

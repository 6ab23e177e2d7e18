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
  private static final double WRITE_FRACTION = 0.1;

  final int index;
  final int zone;

  /** Whether this manager receives changes of the engine list late. */
  boolean receivesListLate;

  final Shard shard;

  private final ScaleSimulation simulation;
  private final SplittableRandom random;
  private final Map<String, Statement> openStatements = new HashMap<>();
  private final BitSet usedEngines = new BitSet();
  private DecisionModule module;

  /** Increased at each start and kill; results for earlier instances are ignored. */
  private int instanceId;

  private long statementCount;

  /** When the next statement arrives; 0 before the first one is drawn. */
  private long nextDueNanos;

  HollowManager(
      int index, int zone, Shard shard, ScaleSimulation simulation, SplittableRandom random) {
    this.index = index;
    this.zone = zone;
    this.shard = shard;
    this.simulation = simulation;
    this.random = random;
  }

  /** Starts the manager with a new module, which receives the given complete engine list. */
  void start(ModuleFactory factory, List<EngineEntry> list) {
    instanceId++;
    module =
        factory.create(
            shard.settings.forManager(random.nextLong(), index, EngineList.zoneName(zone)), this);
    receive(true, list);
  }

  /** Kills the manager; all its open statements are lost. */
  void kill() {
    instanceId++;
    module = null;
    openStatements.values().forEach(statement -> statement.finished = true);
    shard.counters.lostWithManager += openStatements.size();
    openStatements.clear();
  }

  boolean isRunning() {
    return module != null;
  }

  int instanceId() {
    return instanceId;
  }

  int openStatementCount() {
    return openStatements.size();
  }

  /** The indexes of the engines that this manager has forwarded to or probed. */
  BitSet usedEngines() {
    return usedEngines;
  }

  /** The engines that the module holds; none while the manager is not running. */
  List<EngineStatus> knownEngines() {
    return module == null ? List.of() : module.engineStatuses(now());
  }

  /**
   * Draws the arrival time of the next statement. It is counted from the time at which the previous
   * one was due, not from the step in which it arrived, as rounding up to steps would lower the
   * rate.
   */
  long drawNextDue(double rate) {
    nextDueNanos = nextDueNanos == 0 ? now() : nextDueNanos;
    nextDueNanos += (long) (-Math.log(1 - random.nextDouble()) * ScalePlan.NANOS_PER_SECOND / rate);
    return nextDueNanos;
  }

  private long now() {
    return simulation.now();
  }

  // ---- Events for the module ----

  /** Delivers an engine list, or changes of it, to the module. */
  void receive(boolean complete, List<EngineEntry> entries) {
    if (module != null) {
      long checksBefore = shard.placementChecks();
      module.onEngineList(now(), complete, entries);
      module.decide(now());
      shard.counters.listsReceived++;
      shard.counters.placementChecksOnLists += shard.placementChecks() - checksBefore;
    }
  }

  /** Submits a statement with a random cost of 0.5 to 1.5 times the mean. */
  void submitStatement(long meanCostNanos, long deadlineNanos) {
    if (module == null) {
      shard.counters.countArrivalWithoutManager(now());
      return;
    }
    boolean write = random.nextDouble() < WRITE_FRACTION;
    long costNanos = (long) (meanCostNanos * (0.5 + random.nextDouble()));
    Statement statement =
        new Statement(index + ":" + statementCount++, now(), now() + deadlineNanos, costNanos);
    openStatements.put(statement.id, statement);
    shard.counters.countArrival(now());
    module.onTask(
        now(),
        new TaskRequest(
            statement.id,
            write ? HollowSettings.WRITE : HollowSettings.READ,
            "",
            null,
            statement.deadlineNanos,
            costNanos,
            0,
            -1));
    module.decide(now());
  }

  /** Delivers the outcome of an attempt, unless an earlier instance of the manager sent it. */
  void receive(Attempt attempt, Outcome outcome, LoadReport report) {
    if (module == null || instanceId != attempt.managerInstanceId) {
      return;
    }
    Statement statement = attempt.statement;
    if (outcome == Outcome.OK && !statement.finished) {
      statement.finished = true;
      openStatements.remove(statement.id);
      shard.counters.countAnswer(statement, now());
    }
    long costNanos = outcome == Outcome.OK ? statement.costNanos : 0;
    module.onForwardEnd(
        now(),
        statement.id,
        attempt.index,
        attempt.engine.id,
        outcome,
        0,
        statement.finished,
        costNanos,
        0,
        report);
    module.decide(now());
  }

  /** Delivers the outcome of a probe, unless an earlier instance of the manager sent it. */
  void receiveProbeResult(
      int probingInstanceId, String engine, Outcome outcome, LoadReport report) {
    if (module != null && instanceId == probingInstanceId) {
      module.onProbeEnd(now(), engine, outcome, report);
      module.decide(now());
    }
  }

  private void wakeUp(int scheduledInstanceId, String token) {
    if (module != null && instanceId == scheduledInstanceId) {
      long checksBefore = shard.placementChecks();
      module.onWakeUp(now(), token);
      module.decide(now());
      shard.counters.sweeps++;
      shard.counters.placementChecksInSweeps += shard.placementChecks() - checksBefore;
    }
  }

  // ---- Actions of the module ----

  @Override
  public void forward(String task, String engine, long timeoutNanos) {
    Statement statement = openStatements.get(task);
    HollowEngine target = simulation.engine(engine);
    usedEngines.set(target.index);
    Attempt attempt = new Attempt(this, instanceId, statement, statement.attempts.size(), target);
    statement.attempts.add(attempt);
    shard.counters.attempts++;
    simulation.network().send(attempt);
  }

  @Override
  public void reject(String task, long retryAfterNanos) {
    shard.counters.rejected++;
    finish(task);
  }

  @Override
  public void abort(String task) {
    shard.counters.aborted++;
    finish(task);
  }

  private void finish(String task) {
    openStatements.remove(task).finished = true;
  }

  @Override
  public void assignResources(String task, long memoryMb, int priority) {
    // Hollow engines use neither memory grants nor priorities.
  }

  @Override
  public void probe(String engine) {
    HollowEngine target = simulation.engine(engine);
    usedEngines.set(target.index);
    shard.counters.probes++;
    simulation.network().probe(this, instanceId, target);
  }

  @Override
  public void cancel(String task, int index) {
    Statement statement = openStatements.get(task);
    if (statement != null) {
      simulation.network().cancel(statement.attempts.get(index));
    }
  }

  @Override
  public void scheduleWakeUp(long delayNanos, String token) {
    int scheduledInstanceId = instanceId;
    shard.events.scheduleAfter(delayNanos, () -> wakeUp(scheduledInstanceId, token));
  }

  @Override
  public void log(String text) {
    // Log texts are dropped: results are measured at engines and clients.
  }
}

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

/** A manager without sockets and clients: a real decision module, and what it asked to be done. */
final class HollowManager implements Actions {

  private static final double WRITE_FRACTION = 0.1; // part of the statements that may not run again

  final int index;
  final int zone;

  /** It hears changes of the list late. */
  boolean receivesListLate;

  final Shard shard;

  private final ScaleSimulation simulation;
  private final SplittableRandom random;
  private final Map<String, Statement> openStatements = new HashMap<>();
  private final BitSet usedEngines = new BitSet();
  private DecisionModule module;
  private int instanceId;
  private long statementCount; // statements so far
  private long nextDueNanos; // when the next one comes; 0: none yet

  HollowManager(
      int index, int zone, Shard shard, ScaleSimulation simulation, SplittableRandom random) {
    this.index = index;
    this.zone = zone;
    this.shard = shard;
    this.simulation = simulation;
    this.random = random;
  }

  /** It starts, with a new module that knows nothing, and hears the list as it is. */
  void start(ModuleFactory factory, List<EngineEntry> list) {
    instanceId++;
    module =
        factory.create(
            shard.settings.forManager(random.nextLong(), index, EngineList.zoneName(zone)), this);
    receive(true, list);
  }

  /** It ends at once, with all that it holds. */
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

  /** The engines that it sent to or probed, by their index. */
  BitSet usedEngines() {
    return usedEngines;
  }

  /** The engines that its module holds. */
  List<EngineStatus> knownEngines() {
    return module == null ? List.of() : module.engineStatuses(now());
  }

  /**
   * When the next statement comes to it. Counted on from when the last one was due, not from the
   * step at which it came: else steps would thin the rate.
   */
  long drawNextDue(double rate) {
    nextDueNanos = nextDueNanos == 0 ? now() : nextDueNanos;
    nextDueNanos += (long) (-Math.log(1 - random.nextDouble()) * ScalePlan.NANOS_PER_SECOND / rate);
    return nextDueNanos;
  }

  private long now() {
    return simulation.now();
  }

  // ---- What it hears ----

  void receive(boolean complete, List<EngineEntry> entries) {
    if (module != null) {
      long checksBefore = shard.placementChecks();
      module.onEngineList(now(), complete, entries);
      module.decide(now());
      shard.counters.listsReceived++;
      shard.counters.placementChecksOnLists += shard.placementChecks() - checksBefore;
    }
  }

  /** A statement comes, with work between half and one and a half of the mean. */
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

  /** An attempt has ended. */
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

  /** A probe has ended. */
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

  // ---- What its module asks for ----

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
    // Hollow engines heed neither.
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
    // What the lab judges is what it sees at engines and clients.
  }
}

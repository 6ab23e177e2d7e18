package tansytrack.lab.scale;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import tansytrack.api.EngineEntry;
import tansytrack.lab.simulation.EngineModel;

/**
 * A deterministic simulation in virtual time of many managers, with real decision modules, and many
 * hollow engines. The same plan and seed give the same events, whatever the number of threads.
 */
public final class ScaleSimulation {

  /** The steps over which the starts of managers are spread. */
  private static final int MANAGER_START_STEPS = 10;

  /**
   * The number of shards does not depend on the number of threads, as the order of events within a
   * step depends on the shards.
   */
  private static final int SHARD_COUNT = 64;

  /** Receives the progress of a run. */
  @FunctionalInterface
  public interface ProgressListener {
    /** Called after each step with the fraction of the virtual time that has passed, 0 to 1. */
    void onProgress(double fraction);
  }

  private final ScalePlan plan;
  private final ModuleFactory factory;
  private final Workers workers;
  private final VirtualClock clock = new VirtualClock();
  private final EventQueue events = new EventQueue(clock);
  private final List<Shard> shards = new ArrayList<>();

  /** Counts events at the engines; events at the managers are counted by their shards. */
  private final RunCounters engineCounters;

  private final Network network = new Network(this);
  private final EngineList engineList;
  private final List<HollowEngine> engines = new ArrayList<>();
  private final Map<String, HollowEngine> engineById = new HashMap<>();
  private final List<HollowManager> managers = new ArrayList<>();

  /** Counts the pairs of a manager and an engine that changes of the list add and remove. */
  private final PairChanges pairChanges;

  /** The work of each shard in a step, in the order of the shards. */
  private final List<Runnable> shardTasks = new ArrayList<>();

  /** Creates a simulation that has not started. Its result does not depend on the workers. */
  public ScaleSimulation(ScalePlan plan, ModuleFactory factory, Workers workers) {
    this.plan = plan;
    this.workers = workers;
    this.factory = factory;
    SplittableRandom random = new SplittableRandom(plan.seed());
    engineCounters = new RunCounters(plan.seconds());
    engineList = new EngineList(clock, random.split());
    for (int i = 0; i < plan.engines(); i++) {
      addEngine("e" + i, i, /* startedAtNanos= */ 0);
    }
    engineList.apply(EngineList.entries(engines, EngineEntry.State.READY));
    for (int i = 0; i < SHARD_COUNT; i++) {
      Shard shard = new Shard(plan, clock);
      shards.add(shard);
      shardTasks.add(shard.events::runDueEvents);
    }
    for (int i = 0; i < plan.managers(); i++) {
      Shard shard = shards.get(i % SHARD_COUNT);
      managers.add(new HollowManager(i, i % plan.zones(), shard, this, random.split()));
    }
    pairChanges = new PairChanges(managers, this::engine);
  }

  /** Returns the engine list that the managers of a plan receive first. */
  static List<EngineEntry> initialList(ScalePlan plan) {
    List<EngineEntry> entries = new ArrayList<>();
    for (int slot = 0; slot < plan.engines(); slot++) {
      entries.add(
          new HollowEngine(slot, "e" + slot, slot, slot % plan.zones(), 0, plan.meanCostNanos())
              .entry(EngineEntry.State.READY));
    }
    return entries;
  }

  /** Adds an engine. */
  private HollowEngine addEngine(String id, int slot, long startedAtNanos) {
    HollowEngine engine =
        new HollowEngine(
            engines.size(), id, slot, slot % plan.zones(), startedAtNanos, plan.meanCostNanos());
    engines.add(engine);
    engineById.put(id, engine);
    return engine;
  }

  /**
   * Runs until all statements have arrived, and each is finished or the deadline of the last
   * arrival has passed.
   */
  public void run(ProgressListener progress) {
    for (HollowManager manager : managers) {
      EventQueue shardEvents = manager.shard.events;
      shardEvents.scheduleAfter(
          (1 + manager.index % MANAGER_START_STEPS) * VirtualClock.STEP_NANOS,
          () -> {
            startManager(manager);
            shardEvents.scheduleAt(
                manager.drawNextDue(plan.rate()), () -> submitDueStatements(manager));
          });
    }
    new FailureInjector(plan, this).scheduleAll();
    long lastArrivalNanos = VirtualClock.ORIGIN_NANOS + plan.durationNanos();
    long endNanos = lastArrivalNanos + plan.deadlineNanos();
    while (clock.now() < endNanos && (clock.now() < lastArrivalNanos || hasOpenStatements())) {
      runStep();
      progress.onProgress(
          Math.min(1, (clock.now() - VirtualClock.ORIGIN_NANOS) / (double) plan.durationNanos()));
    }
    pairChanges.countChanges();
  }

  private boolean hasOpenStatements() {
    return managers.stream().anyMatch(manager -> manager.openStatementCount() > 0);
  }

  private void runStep() {
    clock.advance();
    for (HollowEngine engine : engines) {
      if (engine.isBusy()) {
        engine.advance(clock.now()).forEach(network::replyResult);
      }
    }
    events.runDueEvents();
    workers.run(shardTasks);
    shards.forEach(shard -> shard.deliver(events));
  }

  /** Submits all statements of a manager that are due by this step, and schedules the next one. */
  private void submitDueStatements(HollowManager manager) {
    long dueNanos = clock.now();
    while (dueNanos <= clock.now()
        && clock.now() < VirtualClock.ORIGIN_NANOS + plan.durationNanos()) {
      manager.submitStatement(plan.meanCostNanos(), plan.deadlineNanos());
      dueNanos = manager.drawNextDue(plan.rate());
    }
    if (dueNanos > clock.now()) {
      manager.shard.events.scheduleAt(dueNanos, () -> submitDueStatements(manager));
    }
  }

  // ---- Access for the other classes of this package ----

  long now() {
    return clock.now();
  }

  /** Returns the queue of the events that do not belong to a shard. */
  EventQueue events() {
    return events;
  }

  /** Returns the sums of the counters of engines and shards. */
  RunCounters totalCounters() {
    RunCounters total = new RunCounters(plan.seconds());
    total.add(engineCounters);
    shards.forEach(shard -> total.add(shard.counters));
    return total;
  }

  Network network() {
    return network;
  }

  EngineList engineList() {
    return engineList;
  }

  PairChanges pairChanges() {
    return pairChanges;
  }

  ScalePlan plan() {
    return plan;
  }

  List<HollowEngine> engines() {
    return Collections.unmodifiableList(engines);
  }

  List<HollowManager> managers() {
    return Collections.unmodifiableList(managers);
  }

  /** Returns the engine with the given id, or null if there is none. */
  HollowEngine engine(String id) {
    return engineById.get(id);
  }

  /** Starts or restarts a manager with the engine list as it is now. */
  void startManager(HollowManager manager) {
    manager.start(factory, engineList.snapshot());
  }

  /** Applies a change to the engine list and delivers it to all managers. */
  EngineList.Change publish(List<EngineEntry> entries) {
    pairChanges.captureBaseline();
    return engineList.publish(entries, managers);
  }

  /** Adds a new, cold engine in the slot of the given one. */
  HollowEngine addReplacement(HollowEngine replaced) {
    return addEngine(replaced.id + "-next", replaced.slot, clock.now());
  }

  /** Makes an engine stop responding; its running attempts are lost. */
  void silence(HollowEngine engine) {
    engine.availability = HollowEngine.Availability.SILENT;
    network.resetAll(engine.removeAll(), /* silently= */ true);
  }

  /** Ends the process of an engine; its running attempts are lost. */
  void endProcess(HollowEngine engine) {
    engine.availability = HollowEngine.Availability.DOWN;
    network.resetAll(engine.removeAll(), /* silently= */ false);
  }

  /** Handles an attempt that has reached an engine which is up. */
  void onForwardArrival(Attempt attempt) {
    HollowEngine engine = attempt.engine;
    long now = clock.now();
    checkDrain(attempt, now);
    engineCounters.coldLimitViolations +=
        engine.firstExceedsColdLimit(now, attempt.statement.costNanos) ? 1 : 0;
    EngineModel.Admission admission = engine.admit(now, attempt);
    if (admission == EngineModel.Admission.FULL) {
      network.replyFull(attempt);
    } else if (admission == EngineModel.Admission.DOWN) {
      engineCounters.coldEngineFailures++;
      endProcess(engine);
      network.resetAll(List.of(attempt), /* silently= */ false);
    }
  }

  /**
   * Counts an attempt that reaches an engine after the drain grace: as a violation if its manager
   * has known of the drain for longer than the grace, and as a permitted forward otherwise.
   */
  private void checkDrain(Attempt attempt, long now) {
    EngineList.Change drainChange = attempt.engine.drainChange;
    if (drainChange == null || now <= drainChange.atNanos() + HollowSettings.DRAIN_GRACE_NANOS) {
      return;
    }
    long receivedAtNanos = drainChange.receivedAtNanos()[attempt.manager.index];
    if (now > receivedAtNanos + HollowSettings.DRAIN_GRACE_NANOS) {
      engineCounters.drainViolations++;
    } else {
      engineCounters.forwardsBeforeDrainNotice++;
    }
  }
}

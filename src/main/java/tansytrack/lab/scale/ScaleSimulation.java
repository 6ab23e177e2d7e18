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
 * Many managers' real decision modules before many hollow engines, on virtual time. Same plan and
 * seed, same events.
 */
public final class ScaleSimulation {

  private static final int MANAGER_START_STEPS = 10; // steps over which managers start
  private static final int SHARD_COUNT =
      64; // a constant, as what happens at one step goes by shard

  /** Hears how far a run is. */
  @FunctionalInterface
  public interface ProgressListener {
    /** That part of the virtual time has passed, from 0 to 1. */
    void onProgress(double fraction);
  }

  private final ScalePlan plan;
  private final ModuleFactory factory;
  private final Workers workers;
  private final VirtualClock clock = new VirtualClock();
  private final EventQueue events = new EventQueue(clock);
  private final List<Shard> shards = new ArrayList<>();
  private final RunCounters engineCounters; // of what engines see
  private final Network network = new Network(this);
  private final EngineList engineList;
  private final List<HollowEngine> engines = new ArrayList<>();
  private final Map<String, HollowEngine> engineById = new HashMap<>();
  private final List<HollowManager> managers = new ArrayList<>();
  private final PairChanges pairChanges;
  private final List<Runnable> shardTasks = new ArrayList<>(); // of the shards, at each step

  /** The world, with nothing started. What comes of it does not depend on the workers. */
  public ScaleSimulation(ScalePlan plan, ModuleFactory factory, Workers workers) {
    this.plan = plan;
    this.workers = workers;
    this.factory = factory;
    SplittableRandom random = new SplittableRandom(plan.seed());
    engineCounters = new RunCounters(plan.seconds());
    engineList = new EngineList(clock, random.split());
    for (int i = 0; i < plan.engines(); i++) {
      engine("e" + i, i, 0);
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

  /** The list that the managers of a plan are told first. */
  static List<EngineEntry> initialList(ScalePlan plan) {
    List<EngineEntry> entries = new ArrayList<>();
    for (int slot = 0; slot < plan.engines(); slot++) {
      entries.add(
          new HollowEngine(slot, "e" + slot, slot, slot % plan.zones(), 0, plan.meanCostNanos())
              .entry(EngineEntry.State.READY));
    }
    return entries;
  }

  private HollowEngine engine(String id, int slot, long startedAtNanos) {
    HollowEngine engine =
        new HollowEngine(
            engines.size(), id, slot, slot % plan.zones(), startedAtNanos, plan.meanCostNanos());
    engines.add(engine);
    engineById.put(id, engine);
    return engine;
  }

  /** Plays it to its end: all statements come, and those that are open may end. */
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

  /** All statements come that are due by this step, and the next one is set. */
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

  // ---- For the parts of this package ----

  long now() {
    return clock.now();
  }

  /** What happens outside of the managers. */
  EventQueue events() {
    return events;
  }

  /** Of the whole world. */
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

  HollowEngine engine(String id) {
    return engineById.get(id);
  }

  void startManager(HollowManager manager) {
    manager.start(factory, engineList.snapshot());
  }

  /** Tells all managers of a change of the list. */
  EngineList.Change publish(List<EngineEntry> entries) {
    pairChanges.captureBaseline();
    return engineList.publish(entries, managers);
  }

  /** A new engine at the place of that one. */
  HollowEngine addReplacement(HollowEngine replaced) {
    return engine(replaced.id + "-next", replaced.slot, clock.now());
  }

  void silence(HollowEngine engine) {
    engine.availability = HollowEngine.Availability.SILENT;
    network.resetAll(engine.removeAll(), true);
  }

  void endProcess(HollowEngine engine) {
    engine.availability = HollowEngine.Availability.DOWN;
    network.resetAll(engine.removeAll(), false);
  }

  /** An attempt has come whole to an engine that is up. */
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
      network.resetAll(List.of(attempt), false);
    }
  }

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

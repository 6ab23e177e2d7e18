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
public final class ScaleWorld {

  /** The steps over which the starts of managers are spread. */
  private static final int STARTS = 10;

  /**
   * Independent of the number of threads, as the order of events within a step depends on the
   * shards.
   */
  private static final int SHARDS = 64;

  /** Receives the progress of a run. */
  @FunctionalInterface
  public interface Progress {
    /** Called after each step with the fraction of the virtual time that has passed, 0 to 1. */
    void at(double part);
  }

  private final ScalePlan plan;
  private final ModuleFactory factory;
  private final Workers workers;
  private final VirtualTime clock = new VirtualTime();
  private final Timeline timeline = new Timeline(clock);
  private final List<Shard> shards = new ArrayList<>();

  /** What is counted at the engines; each shard counts what happens at its managers. */
  private final Counts counts;

  private final Network network = new Network(this);
  private final EngineList list;
  private final List<HollowEngine> engines = new ArrayList<>();
  private final Map<String, HollowEngine> engineById = new HashMap<>();
  private final List<HollowManager> managers = new ArrayList<>();
  private final PairChanges pairChanges;

  /** The work of each shard in a step, in the order of the shards. */
  private final List<Runnable> turns = new ArrayList<>();

  /** Creates a simulation that has not started. Its result does not depend on the workers. */
  public ScaleWorld(ScalePlan plan, ModuleFactory factory, Workers workers) {
    this.plan = plan;
    this.workers = workers;
    this.factory = factory;
    SplittableRandom chance = new SplittableRandom(plan.seed());
    counts = new Counts(plan.seconds());
    list = new EngineList(clock, chance.split());
    for (int i = 0; i < plan.engines(); i++) {
      engine("e" + i, i, 0);
    }
    list.hold(EngineList.entries(engines, EngineEntry.State.READY));
    for (int i = 0; i < SHARDS; i++) {
      Shard shard = new Shard(plan, clock);
      shards.add(shard);
      turns.add(shard.timeline::play);
    }
    for (int i = 0; i < plan.managers(); i++) {
      Shard shard = shards.get(i % SHARDS);
      managers.add(new HollowManager(i, i % plan.zones(), shard, this, chance.split()));
    }
    pairChanges = new PairChanges(managers, this::engine);
  }

  /** The engine list that the managers of a plan receive first. */
  static List<EngineEntry> firstList(ScalePlan plan) {
    List<EngineEntry> entries = new ArrayList<>();
    for (int slot = 0; slot < plan.engines(); slot++) {
      entries.add(
          new HollowEngine(slot, "e" + slot, slot, slot % plan.zones(), 0, plan.meanCost())
              .entry(EngineEntry.State.READY));
    }
    return entries;
  }

  /** Adds an engine. */
  private HollowEngine engine(String id, int slot, long startedAt) {
    HollowEngine engine =
        new HollowEngine(engines.size(), id, slot, slot % plan.zones(), startedAt, plan.meanCost());
    engines.add(engine);
    engineById.put(id, engine);
    return engine;
  }

  /** Runs until all statements have arrived and are finished or past their deadlines. */
  public void play(Progress progress) {
    for (HollowManager manager : managers) {
      Timeline own = manager.shard.timeline;
      own.in(
          (1 + manager.index % STARTS) * VirtualTime.STEP,
          () -> {
            start(manager);
            own.at(manager.nextDue(plan.rate()), () -> ask(manager));
          });
    }
    new Failures(plan, this).set();
    long asking = VirtualTime.ORIGIN + plan.duration();
    long end = asking + plan.deadline();
    while (clock.now() < end && (clock.now() < asking || unanswered())) {
      step();
      progress.at(Math.min(1, (clock.now() - VirtualTime.ORIGIN) / (double) plan.duration()));
    }
    pairChanges.end();
  }

  private boolean unanswered() {
    return managers.stream().anyMatch(manager -> manager.unanswered() > 0);
  }

  private void step() {
    clock.advance();
    for (HollowEngine engine : engines) {
      if (engine.busy()) {
        engine.advance(clock.now()).forEach(network::answer);
      }
    }
    timeline.play();
    workers.run(turns);
    shards.forEach(shard -> shard.deliver(timeline));
  }

  /** Submits all statements of a manager that are due by this step, and schedules the next one. */
  private void ask(HollowManager manager) {
    long due = clock.now();
    while (due <= clock.now() && clock.now() < VirtualTime.ORIGIN + plan.duration()) {
      manager.ask(plan.meanCost(), plan.deadline());
      due = manager.nextDue(plan.rate());
    }
    if (due > clock.now()) {
      manager.shard.timeline.at(due, () -> ask(manager));
    }
  }

  // ---- Access for the other classes of this package ----

  long now() {
    return clock.now();
  }

  /** The events that do not belong to a shard. */
  Timeline timeline() {
    return timeline;
  }

  /** The sums of the counters of engines and shards. */
  Counts counts() {
    Counts all = new Counts(plan.seconds());
    all.add(counts);
    shards.forEach(shard -> all.add(shard.counts));
    return all;
  }

  Network network() {
    return network;
  }

  EngineList list() {
    return list;
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

  /** The engine with this id. */
  HollowEngine engine(String id) {
    return engineById.get(id);
  }

  /** Starts or restarts a manager with the engine list as it is now. */
  void start(HollowManager manager) {
    manager.start(factory, list.whole());
  }

  /** Applies a change to the engine list and delivers it to all managers. */
  EngineList.Change tell(List<EngineEntry> entries) {
    pairChanges.begin();
    return list.tell(entries, managers);
  }

  /** Adds a new, cold engine in the slot of the given one. */
  HollowEngine replacement(HollowEngine of) {
    return engine(of.id + "-next", of.slot, clock.now());
  }

  /** Makes an engine stop responding; its running attempts are lost. */
  void silence(HollowEngine engine) {
    engine.standing = HollowEngine.Standing.SILENT;
    network.lose(engine.dropAll(), true);
  }

  /** Ends the process of an engine; its running attempts are lost. */
  void endProcess(HollowEngine engine) {
    engine.standing = HollowEngine.Standing.DOWN;
    network.lose(engine.dropAll(), false);
  }

  /** Handles an attempt that has reached an engine which is up. */
  void arrived(Attempt attempt) {
    HollowEngine engine = attempt.engine;
    long now = clock.now();
    drainRule(attempt, now);
    counts.coldOver += engine.breaksColdRule(now, attempt.statement.cost) ? 1 : 0;
    EngineModel.Admission taken = engine.take(now, attempt);
    if (taken == EngineModel.Admission.FULL) {
      network.refuse(attempt);
    } else if (taken == EngineModel.Admission.DOWN) {
      counts.coldFallen++;
      endProcess(engine);
      network.lose(List.of(attempt), false);
    }
  }

  /** Counts an attempt that reaches an engine after the drain grace. */
  private void drainRule(Attempt attempt, long now) {
    EngineList.Change drained = attempt.engine.drained;
    if (drained == null || now <= drained.at() + HollowSettings.DRAIN_GRACE) {
      return;
    }
    long heardAt = drained.heardAt()[attempt.manager.index];
    if (now > heardAt + HollowSettings.DRAIN_GRACE) {
      counts.drainBroken++;
    } else {
      counts.drainUnheard++;
    }
  }
}

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
public final class ScaleWorld {

  private static final int STARTS = 10; // steps over which managers start
  private static final int SHARDS = 64; // a constant, as what happens at one step goes by shard

  /** Hears how far a run is. */
  @FunctionalInterface
  public interface Progress {
    /** That part of the virtual time has passed, from 0 to 1. */
    void at(double part);
  }

  private final ScalePlan plan;
  private final ModuleFactory factory;
  private final Workers workers;
  private final VirtualTime clock = new VirtualTime();
  private final Timeline timeline = new Timeline(clock);
  private final List<Shard> shards = new ArrayList<>();
  private final Counts counts; // of what engines see
  private final Network network = new Network(this);
  private final EngineList list;
  private final List<HollowEngine> engines = new ArrayList<>();
  private final Map<String, HollowEngine> engineById = new HashMap<>();
  private final List<HollowManager> managers = new ArrayList<>();
  private final PairChanges pairChanges;
  private final List<Runnable> turns = new ArrayList<>(); // of the shards, at each step

  /** The world, with nothing started. What comes of it does not depend on the workers. */
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

  /** The list that the managers of a plan are told first. */
  static List<EngineEntry> firstList(ScalePlan plan) {
    List<EngineEntry> entries = new ArrayList<>();
    for (int slot = 0; slot < plan.engines(); slot++) {
      entries.add(
          new HollowEngine(slot, "e" + slot, slot, slot % plan.zones(), 0, plan.meanCost())
              .entry(EngineEntry.State.READY));
    }
    return entries;
  }

  private HollowEngine engine(String id, int slot, long startedAt) {
    HollowEngine engine =
        new HollowEngine(engines.size(), id, slot, slot % plan.zones(), startedAt, plan.meanCost());
    engines.add(engine);
    engineById.put(id, engine);
    return engine;
  }

  /** Plays it to its end: all statements come, and those that are open may end. */
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

  /** All statements come that are due by this step, and the next one is set. */
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

  // ---- For the parts of this package ----

  long now() {
    return clock.now();
  }

  /** What happens outside of the managers. */
  Timeline timeline() {
    return timeline;
  }

  /** Of the whole world. */
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

  HollowEngine engine(String id) {
    return engineById.get(id);
  }

  void start(HollowManager manager) {
    manager.start(factory, list.whole());
  }

  /** Tells all managers of a change of the list. */
  EngineList.Change tell(List<EngineEntry> entries) {
    pairChanges.begin();
    return list.tell(entries, managers);
  }

  /** A new engine at the place of that one. */
  HollowEngine replacement(HollowEngine of) {
    return engine(of.id + "-next", of.slot, clock.now());
  }

  void silence(HollowEngine engine) {
    engine.standing = HollowEngine.Standing.SILENT;
    network.lose(engine.dropAll(), true);
  }

  void endProcess(HollowEngine engine) {
    engine.standing = HollowEngine.Standing.DOWN;
    network.lose(engine.dropAll(), false);
  }

  /** An attempt has come whole to an engine that is up. */
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

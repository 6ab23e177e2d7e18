package tansytrack.lab.scale;

import java.util.ArrayList;
import java.util.List;
import tansytrack.api.EngineEntry;

/** Plays a schedule of failures on a world. Times are parts of the run's length. */
final class Failures {

  private static final double BEGIN = 0.3;
  private static final double LASTS = 0.2;
  private static final long LONGEST = 5 * ScalePlan.SECOND;
  private static final int REGIONS = 6;
  private static final int BATCHES = 10; // of engines replaced one after the other
  private static final double REPLACED = 0.5; // of all engines
  private static final double RESTARTED = 0.2; // of all managers
  private static final double MISTOLD = 0.1; // of all managers: stale or empty lists
  private static final long RESTART_SPREAD = ScalePlan.SECOND;
  private static final long AWAY = ScalePlan.SECOND;
  private static final long EMPTY = ScalePlan.SECOND;
  private static final long PROCESS_ENDS = 2 * ScalePlan.SECOND; // behind the drain's grace

  private final ScalePlan plan;
  private final ScaleWorld world;
  private final long begin;
  private final long lasts;

  Failures(ScalePlan plan, ScaleWorld world) {
    this.plan = plan;
    this.world = world;
    begin = VirtualTime.ORIGIN + (long) (BEGIN * plan.duration());
    lasts = Math.min(LONGEST, (long) (LASTS * plan.duration()));
  }

  /** Sets all that is to happen. */
  void set() {
    switch (plan.schedule()) {
      case REST -> {}
      case ZONE_LOST -> zoneLost();
      case REGION_CUT -> regionCut();
      case ONE_REPLACED -> replace(begin, List.of(world.engines().get(0)));
      case ENGINES_REPLACED -> replaceHalf();
      case STALE_LIST -> {
        every(MISTOLD).forEach(one -> one.stale = true);
        replaceHalf();
      }
      case MANAGERS_RESTARTED -> restart();
      case EMPTY_LIST -> emptyList();
    }
  }

  /** An even part of the managers. */
  private List<HollowManager> every(double part) {
    int step = (int) Math.round(1 / part);
    List<HollowManager> some = new ArrayList<>();
    for (int i = 0; i < plan.managers(); i += step) {
      some.add(world.managers().get(i));
    }
    return some;
  }

  private void zoneLost() {
    List<HollowEngine> lost = world.engines().stream().filter(engine -> engine.zone == 0).toList();
    Timeline timeline = world.timeline();
    timeline.at(begin, () -> lost.forEach(world::silence));
    timeline.at(
        begin + lasts,
        () -> {
          lost.forEach(engine -> engine.start(world.now()));
          world.tell(EngineList.entries(lost, EngineEntry.State.READY));
        });
  }

  private void regionCut() {
    world.network().regions(Math.min(REGIONS, plan.zones()));
    world.timeline().at(begin, () -> world.network().cut(true));
    world.timeline().at(begin + lasts, () -> world.network().cut(false));
  }

  private void replaceHalf() {
    int count = (int) Math.ceil(plan.engines() * REPLACED);
    List<List<HollowEngine>> batches = new ArrayList<>();
    for (int i = 0; i < Math.min(BATCHES, count); i++) {
      batches.add(new ArrayList<>());
    }
    for (int i = 0; i < count; i++) {
      // Every second engine, so that all zones take part.
      int slot = (int) (i / REPLACED) % plan.engines();
      batches.get(i * batches.size() / count).add(world.engines().get(slot));
    }
    for (int i = 0; i < batches.size(); i++) {
      replace(begin + i * lasts / batches.size(), batches.get(i));
    }
  }

  /** New engines take the places of these, which drain, and end once their grace is over. */
  private void replace(long at, List<HollowEngine> old) {
    Timeline timeline = world.timeline();
    timeline.at(
        at,
        () -> {
          List<EngineEntry> changes =
              new ArrayList<>(EngineList.entries(old, EngineEntry.State.DRAINING));
          for (HollowEngine engine : old) {
            changes.add(world.replacement(engine).entry(EngineEntry.State.READY));
          }
          EngineList.Change change = world.tell(changes);
          old.forEach(engine -> engine.drained = change);
        });
    timeline.at(
        at + HollowSettings.DRAIN_GRACE + PROCESS_ENDS,
        () -> {
          old.forEach(world::endProcess);
          world.tell(EngineList.entries(old, EngineEntry.State.GONE));
        });
  }

  private void restart() {
    List<HollowManager> some = every(RESTARTED);
    for (int i = 0; i < some.size(); i++) {
      HollowManager manager = some.get(i);
      long at = begin + i * RESTART_SPREAD / some.size();
      world.timeline().at(at, manager::end);
      world.timeline().at(at + AWAY, () -> world.start(manager));
    }
  }

  private void emptyList() {
    for (HollowManager manager : every(MISTOLD)) {
      world.timeline().at(begin, () -> manager.hear(true, List.of()));
      world.timeline().at(begin + EMPTY, () -> manager.hear(true, world.list().whole()));
    }
  }
}

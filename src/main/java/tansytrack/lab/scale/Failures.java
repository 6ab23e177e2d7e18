package tansytrack.lab.scale;

import java.util.ArrayList;
import java.util.List;
import tansytrack.api.EngineEntry;

/**
 * Injects the failures of a schedule into a simulation. Begin and duration are fractions of the
 * duration of the run.
 */
final class Failures {

  private static final double BEGIN = 0.3;
  private static final double LASTS = 0.2;
  private static final long LONGEST = 5 * ScalePlan.SECOND;
  private static final int REGIONS = 6;

  /** Batches in which engines are replaced, one after another. */
  private static final int BATCHES = 10;

  private static final double REPLACED = 0.5;
  private static final double RESTARTED = 0.2;

  /** The fraction of managers that receive a late or an empty list. */
  private static final double MISTOLD = 0.1;

  private static final long RESTART_SPREAD = ScalePlan.SECOND;
  private static final long AWAY = ScalePlan.SECOND;
  private static final long EMPTY = ScalePlan.SECOND;

  /** How long after the drain grace the process of a replaced engine ends. */
  private static final long PROCESS_ENDS = 2 * ScalePlan.SECOND;

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

  /** Schedules all events of the failure schedule. */
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

  /** An evenly spaced sample of this fraction of the managers. */
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
      // Every second engine, so that engines of all zones are replaced.
      int slot = (int) (i / REPLACED) % plan.engines();
      batches.get(i * batches.size() / count).add(world.engines().get(slot));
    }
    for (int i = 0; i < batches.size(); i++) {
      replace(begin + i * lasts / batches.size(), batches.get(i));
    }
  }

  /**
   * Replaces engines by new ones in the same slots. The replaced ones drain; their processes end
   * {@link #PROCESS_ENDS} after the drain grace.
   */
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

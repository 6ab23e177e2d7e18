package tansytrack.lab.scale;

import java.util.ArrayList;
import java.util.List;
import tansytrack.api.EngineEntry;

/**
 * Injects the failures of a schedule into a simulation. Begin and duration are fractions of the
 * duration of the run.
 */
final class FailureInjector {

  private static final double BEGIN_FRACTION = 0.3;
  private static final double DURATION_FRACTION = 0.2;
  private static final long MAX_DURATION_NANOS = 5 * ScalePlan.NANOS_PER_SECOND;
  private static final int MAX_REGIONS = 6;

  /** Batches in which engines are replaced, one after another. */
  private static final int REPLACEMENT_BATCHES = 10;

  private static final double REPLACED_ENGINE_FRACTION = 0.5;
  private static final double RESTARTED_MANAGER_FRACTION = 0.2;

  /** The fraction of managers that receive a late or an empty list. */
  private static final double WRONG_LIST_MANAGER_FRACTION = 0.1;

  private static final long RESTART_SPREAD_NANOS = ScalePlan.NANOS_PER_SECOND;
  private static final long RESTART_DOWNTIME_NANOS = ScalePlan.NANOS_PER_SECOND;
  private static final long EMPTY_LIST_NANOS = ScalePlan.NANOS_PER_SECOND;

  /** How long after the drain grace the process of a replaced engine ends. */
  private static final long PROCESS_END_DELAY_NANOS = 2 * ScalePlan.NANOS_PER_SECOND;

  private final ScalePlan plan;
  private final ScaleSimulation simulation;
  private final long beginNanos;
  private final long durationNanos;

  FailureInjector(ScalePlan plan, ScaleSimulation simulation) {
    this.plan = plan;
    this.simulation = simulation;
    beginNanos = VirtualClock.ORIGIN_NANOS + (long) (BEGIN_FRACTION * plan.durationNanos());
    durationNanos = Math.min(MAX_DURATION_NANOS, (long) (DURATION_FRACTION * plan.durationNanos()));
  }

  /** Schedules all events of the failure schedule. */
  void scheduleAll() {
    switch (plan.schedule()) {
      case NO_FAILURE -> {}
      case ZONE_LOST -> scheduleZoneLoss();
      case REGION_CUT -> scheduleRegionPartition();
      case ONE_REPLACED -> scheduleReplacement(beginNanos, List.of(simulation.engines().get(0)));
      case ENGINES_REPLACED -> scheduleHalfReplacement();
      case STALE_LIST -> {
        evenSample(WRONG_LIST_MANAGER_FRACTION).forEach(manager -> manager.receivesListLate = true);
        scheduleHalfReplacement();
      }
      case MANAGERS_RESTARTED -> scheduleManagerRestarts();
      case EMPTY_LIST -> scheduleEmptyList();
    }
  }

  /** An evenly spaced sample of this fraction of the managers. */
  private List<HollowManager> evenSample(double fraction) {
    int step = (int) Math.round(1 / fraction);
    List<HollowManager> sample = new ArrayList<>();
    for (int i = 0; i < plan.managers(); i += step) {
      sample.add(simulation.managers().get(i));
    }
    return sample;
  }

  private void scheduleZoneLoss() {
    List<HollowEngine> lost =
        simulation.engines().stream().filter(engine -> engine.zone == 0).toList();
    EventQueue events = simulation.events();
    events.scheduleAt(beginNanos, () -> lost.forEach(simulation::silence));
    events.scheduleAt(
        beginNanos + durationNanos,
        () -> {
          lost.forEach(engine -> engine.start(simulation.now()));
          simulation.publish(EngineList.entries(lost, EngineEntry.State.READY));
        });
  }

  private void scheduleRegionPartition() {
    simulation.network().setRegionCount(Math.min(MAX_REGIONS, plan.zones()));
    simulation.events().scheduleAt(beginNanos, () -> simulation.network().setPartitioned(true));
    simulation
        .events()
        .scheduleAt(beginNanos + durationNanos, () -> simulation.network().setPartitioned(false));
  }

  private void scheduleHalfReplacement() {
    int count = (int) Math.ceil(plan.engines() * REPLACED_ENGINE_FRACTION);
    List<List<HollowEngine>> batches = new ArrayList<>();
    for (int i = 0; i < Math.min(REPLACEMENT_BATCHES, count); i++) {
      batches.add(new ArrayList<>());
    }
    for (int i = 0; i < count; i++) {
      // Every second engine, so that engines of all zones are replaced.
      int slot = (int) (i / REPLACED_ENGINE_FRACTION) % plan.engines();
      batches.get(i * batches.size() / count).add(simulation.engines().get(slot));
    }
    for (int i = 0; i < batches.size(); i++) {
      scheduleReplacement(beginNanos + i * durationNanos / batches.size(), batches.get(i));
    }
  }

  /**
   * Replaces engines by new ones in the same slots. The replaced ones drain; their processes end
   * {@link #PROCESS_END_DELAY_NANOS} after the drain grace.
   */
  private void scheduleReplacement(long atNanos, List<HollowEngine> replaced) {
    EventQueue events = simulation.events();
    events.scheduleAt(
        atNanos,
        () -> {
          List<EngineEntry> changes =
              new ArrayList<>(EngineList.entries(replaced, EngineEntry.State.DRAINING));
          for (HollowEngine engine : replaced) {
            changes.add(simulation.addReplacement(engine).entry(EngineEntry.State.READY));
          }
          EngineList.Change change = simulation.publish(changes);
          replaced.forEach(engine -> engine.drainChange = change);
        });
    events.scheduleAt(
        atNanos + HollowSettings.DRAIN_GRACE_NANOS + PROCESS_END_DELAY_NANOS,
        () -> {
          replaced.forEach(simulation::endProcess);
          simulation.publish(EngineList.entries(replaced, EngineEntry.State.GONE));
        });
  }

  private void scheduleManagerRestarts() {
    List<HollowManager> restarted = evenSample(RESTARTED_MANAGER_FRACTION);
    for (int i = 0; i < restarted.size(); i++) {
      HollowManager manager = restarted.get(i);
      long atNanos = beginNanos + i * RESTART_SPREAD_NANOS / restarted.size();
      simulation.events().scheduleAt(atNanos, manager::kill);
      simulation
          .events()
          .scheduleAt(atNanos + RESTART_DOWNTIME_NANOS, () -> simulation.startManager(manager));
    }
  }

  private void scheduleEmptyList() {
    for (HollowManager manager : evenSample(WRONG_LIST_MANAGER_FRACTION)) {
      simulation.events().scheduleAt(beginNanos, () -> manager.receive(true, List.of()));
      simulation
          .events()
          .scheduleAt(
              beginNanos + EMPTY_LIST_NANOS,
              () -> manager.receive(true, simulation.engineList().snapshot()));
    }
  }
}

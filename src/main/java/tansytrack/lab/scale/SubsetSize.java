package tansytrack.lab.scale;

import tansytrack.api.Actions;
import tansytrack.api.DecisionModule;

/** Determines how many engines one manager of a plan holds, with a single decision module. */
public final class SubsetSize {

  private SubsetSize() {}

  /** The number of engines that the first manager holds after it received the engine list. */
  public static int enginesPerManager(ScalePlan plan, ModuleFactory factory) {
    HollowSettings settings = new HollowSettings(plan, new PlacementCheckCounter());
    DecisionModule module =
        factory.create(
            settings.forManager(plan.seed(), 0, EngineList.zoneName(0)), new NoOpActions());
    module.onEngineList(VirtualClock.ORIGIN_NANOS, true, ScaleSimulation.initialList(plan));
    module.decide(VirtualClock.ORIGIN_NANOS);
    return module.engineStatuses(VirtualClock.ORIGIN_NANOS).size();
  }

  /** Ignores all actions. */
  private static final class NoOpActions implements Actions {
    @Override
    public void forward(String task, String engine, long timeoutNanos) {}

    @Override
    public void reject(String task, long retryAfterNanos) {}

    @Override
    public void abort(String task) {}

    @Override
    public void assignResources(String task, long memoryMb, int priority) {}

    @Override
    public void probe(String engine) {}

    @Override
    public void cancel(String task, int index) {}

    @Override
    public void scheduleWakeUp(long delayNanos, String token) {}

    @Override
    public void log(String text) {}
  }
}

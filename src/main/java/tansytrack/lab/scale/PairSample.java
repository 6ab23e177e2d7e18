package tansytrack.lab.scale;

import tansytrack.api.Actions;
import tansytrack.api.DecisionModule;

/** Determines how many engines one manager of a plan holds, with a single decision module. */
public final class PairSample {

  private PairSample() {}

  /** The number of engines that the first manager holds after it received the engine list. */
  public static int enginesPerManager(ScalePlan plan, ModuleFactory factory) {
    HollowSettings settings = new HollowSettings(plan, new PlacementChecks());
    DecisionModule module =
        factory.create(settings.of(plan.seed(), 0, EngineList.zone(0)), new Ignored());
    module.onEngineList(VirtualTime.ORIGIN, true, ScaleWorld.firstList(plan));
    module.decide(VirtualTime.ORIGIN);
    return module.engineStatuses(VirtualTime.ORIGIN).size();
  }

  /** Ignores all actions. */
  private static final class Ignored implements Actions {
    @Override
    public void forward(String task, String engine, long timeOut) {}

    @Override
    public void reject(String task, long pause) {}

    @Override
    public void abort(String task) {}

    @Override
    public void assignResources(String task, long memoryMb, int priority) {}

    @Override
    public void probe(String engine) {}

    @Override
    public void cancel(String task, int index) {}

    @Override
    public void scheduleWakeUp(long in, String token) {}

    @Override
    public void log(String text) {}
  }
}

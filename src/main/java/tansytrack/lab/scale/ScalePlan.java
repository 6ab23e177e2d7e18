package tansytrack.lab.scale;

/**
 * The parameters of a scale run.
 *
 * @param managers number of hollow managers, each with a real decision module
 * @param engines number of hollow engines
 * @param zones number of zones, to which managers and engines are assigned round-robin
 * @param seconds virtual time during which statements arrive
 * @param rate statements a second that arrive at each manager
 * @param schedule the failures to inject
 * @param seed of all random numbers
 */
public record ScalePlan(
    int managers,
    int engines,
    int zones,
    int seconds,
    double rate,
    FailureSchedule schedule,
    long seed) {

  static final long NANOS_PER_MS = 1_000_000L;
  static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MS;

  static final int CORES_PER_ENGINE = 4;

  /** The fraction of all cores that the statements use on average. */
  public static final double TARGET_UTILIZATION = 0.5;

  /**
   * The minimum mean cost of a statement. Costs start at half the mean, and the engine model counts
   * work below 1 ms as 1 ms.
   */
  public static final long MIN_MEAN_COST_NANOS = 2 * NANOS_PER_MS;

  private static final long BASE_DEADLINE_NANOS = 2 * NANOS_PER_SECOND;
  private static final int DEADLINE_MEAN_COSTS = 10;

  /**
   * The mean work of a statement in core nanoseconds. It is chosen so that engines reach {@link
   * #TARGET_UTILIZATION} at the reduced statement rate of the simulation.
   */
  public long meanCostNanos() {
    return (long)
        (TARGET_UTILIZATION * CORES_PER_ENGINE * engines / (managers * rate) * NANOS_PER_SECOND);
  }

  /** The time from the arrival of a statement until its deadline. */
  public long deadlineNanos() {
    return BASE_DEADLINE_NANOS + DEADLINE_MEAN_COSTS * meanCostNanos();
  }

  /** The time from the start during which statements arrive. */
  long durationNanos() {
    return seconds * NANOS_PER_SECOND;
  }

  /** The mean number of statements for each engine over the run. */
  public double statementsPerEngine() {
    return managers * rate * seconds / engines;
  }

  /** The same plan with other numbers of managers and engines. */
  public ScalePlan withSize(int otherManagers, int otherEngines) {
    return new ScalePlan(otherManagers, otherEngines, zones, seconds, rate, schedule, seed);
  }
}

package tansytrack.lab.scale;

/**
 * What a scale run plays.
 *
 * @param managers real decision modules
 * @param engines hollow engines
 * @param zones that managers and engines are spread over in turn
 * @param seconds in which statements come, in virtual time
 * @param rate statements a second that come to each manager
 * @param schedule of failures
 * @param seed of all chance
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

  /** Cores of each engine. */
  static final int CORES_PER_ENGINE = 4;

  /** The part of all cores that the statements take together on average. */
  public static final double TARGET_UTILIZATION = 0.5;

  /** The least mean work of a statement, as engines count less as so much. */
  public static final long MIN_MEAN_COST_NANOS = 2 * NANOS_PER_MS;

  private static final long BASE_DEADLINE_NANOS = 2 * NANOS_PER_SECOND;
  private static final int DEADLINE_MEAN_COSTS = 10;

  /** The mean work of a statement, such that the thinned rate loads engines like the full one. */
  public long meanCostNanos() {
    return (long)
        (TARGET_UTILIZATION * CORES_PER_ENGINE * engines / (managers * rate) * NANOS_PER_SECOND);
  }

  /** How long after it came a statement has to be answered. */
  public long deadlineNanos() {
    return BASE_DEADLINE_NANOS + DEADLINE_MEAN_COSTS * meanCostNanos();
  }

  /** When the last statements come, from the start. */
  long durationNanos() {
    return seconds * NANOS_PER_SECOND;
  }

  /** Statements that come to an engine on average. */
  public double statementsPerEngine() {
    return managers * rate * seconds / engines;
  }

  /** The same at another size. */
  public ScalePlan withSize(int otherManagers, int otherEngines) {
    return new ScalePlan(otherManagers, otherEngines, zones, seconds, rate, schedule, seed);
  }
}

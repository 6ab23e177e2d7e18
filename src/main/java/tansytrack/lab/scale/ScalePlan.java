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

  static final long MS = 1_000_000L;
  static final long SECOND = 1000 * MS;

  /** Cores of each engine. */
  static final int CORES = 4;

  /** The part of all cores that the statements take together on average. */
  public static final double UTILISATION = 0.5;

  /** The least mean work of a statement, as engines count less as so much. */
  public static final long LEAST_COST = 2 * MS;

  private static final long DEADLINE = 2 * SECOND;
  private static final int DEADLINE_IN_COSTS = 10;

  /** The mean work of a statement, such that the thinned rate loads engines like the full one. */
  public long meanCost() {
    return (long) (UTILISATION * CORES * engines / (managers * rate) * SECOND);
  }

  /** How long after it came a statement has to be answered. */
  public long deadline() {
    return DEADLINE + DEADLINE_IN_COSTS * meanCost();
  }

  /** When the last statements come, from the start. */
  long duration() {
    return seconds * SECOND;
  }

  /** Statements that come to an engine on average. */
  public double statementsPerEngine() {
    return managers * rate * seconds / engines;
  }

  /** The same at another size. */
  public ScalePlan sized(int otherManagers, int otherEngines) {
    return new ScalePlan(otherManagers, otherEngines, zones, seconds, rate, schedule, seed);
  }
}

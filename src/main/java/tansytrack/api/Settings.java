package tansytrack.api;

import java.util.List;
import java.util.Map;

/**
 * The start-up settings of a workload manager. A rule that is null is off. Times are in
 * nanoseconds. The manager index counts from 0 among the managers that share the engines; it is
 * UNKNOWN_INDEX where the settings tell none.
 */
public record Settings(
    long seed,
    int siblings,
    int position,
    String place,
    List<Grade> grades,
    List<Tenant> tenants,
    Map<String, Kind> kinds,
    Levers levers,
    long drainGrace,
    ColdRule cold,
    long keyRest,
    RationRule ration) {

  /** The manager index where the settings tell none. */
  public static final int UNKNOWN = -1;

  /** Returns the same settings with another seed. */
  public Settings withSeed(long other) {
    return new Settings(
        other,
        siblings,
        position,
        place,
        grades,
        tenants,
        kinds,
        levers,
        drainGrace,
        cold,
        keyRest,
        ration);
  }

  /** A tenant: its share of the turns in the queues, and its quota of tasks per second. */
  public record Tenant(String name, double share, double perSecond) {}

  /** The cores and memory of an engine type; 0 where unknown. */
  public record Kind(int cores, double memoryMb) {}

  /**
   * What the deployment permits, with its limits, and which of the manager's hints its engines
   * honour. The maximum grant is a fraction of an engine's memory.
   */
  public record Levers(
      boolean probe,
      boolean cancel,
      boolean secondCopies,
      boolean comeBack,
      long longestComeBack,
      int mostForwards,
      boolean grants,
      double grantCap,
      boolean priorities,
      boolean tellsCost,
      long progressEvery,
      boolean placesPriced,
      long connectTime) {}

  /**
   * The limit on work for engines that have just started: within any window, a cold engine must not
   * receive more than the overload factor times its present capacity. The capacity grows linearly
   * from the start fraction to the full one during the warm-up time.
   */
  public record ColdRule(double startCapacity, long warmAfter, double multiple, long window) {}

  /**
   * The limit on retries: in any window, at most the reserve plus the ratio times the tasks accepted
   * in it.
   */
  public record RationRule(int spare, double share, long window) {}
}

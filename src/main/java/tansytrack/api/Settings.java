package tansytrack.api;

import java.util.List;
import java.util.Map;

/**
 * What a workload manager is told when it starts; a rule that is null is off. Times in nanoseconds.
 * The position is its index among its siblings, from 0 on; UNKNOWN where it is not told.
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

  public static final int UNKNOWN = -1;

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

  public record Tenant(String name, double share, double perSecond) {}

  public record Kind(int cores, double memoryMb) {}

  /** What this deployment permits, and what its engines heed. */
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

  /** No cold engine may be sent more than multiple times its present capacity for the window. */
  public record ColdRule(double startCapacity, long warmAfter, double multiple, long window) {}

  /** Further forwards in any window: at most spare plus share times the tasks taken in it. */
  public record RationRule(int spare, double share, long window) {}
}

package tansytrack.lab.load;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Draws the tasks of a load: tenant and query class by weight, data set by Zipf's law with popular
 * data sets that change over time, cost from a lognormal distribution, key uniformly.
 */
public final class TaskMix {

  /** A name with its weight. */
  public record Weighted(String name, double weight) {}

  /**
   * The tasks of a query class.
   *
   * @param name name of the query class
   * @param weight share of the tasks, relative to the other query classes
   * @param medianMs median cost, in milliseconds
   * @param spread standard deviation of the cost's logarithm
   * @param memoryMb estimated memory of a task, in MB
   * @param keys number of distinct keys; 0: tasks have no key
   */
  public record ClassLoad(
      String name, double weight, double medianMs, double spread, double memoryMb, int keys) {}

  private final List<Weighted> tenants;
  private final List<ClassLoad> queryClasses;

  // Cumulative weights of the ranks.
  private final double[] zipfCumulative;

  // Time after which each rank moves on by one data set; 0: never.
  private final long hotShiftNanos;

  private final double tenantWeight;
  private final double classWeight;

  /**
   * Creates a mix.
   *
   * @param tenants tenants with their weights
   * @param queryClasses query classes with their weights and costs
   * @param dataSets number of data sets
   * @param exponent exponent of Zipf's law for the popularity of data sets
   * @param hotShiftNanos time after which each popularity rank moves on by one data set, in
   *     nanoseconds; 0: never
   */
  public TaskMix(
      List<Weighted> tenants,
      List<ClassLoad> queryClasses,
      int dataSets,
      double exponent,
      long hotShiftNanos) {
    this.tenants = List.copyOf(tenants);
    this.queryClasses = List.copyOf(queryClasses);
    this.hotShiftNanos = hotShiftNanos;
    tenantWeight = tenants.stream().mapToDouble(Weighted::weight).sum();
    classWeight = queryClasses.stream().mapToDouble(ClassLoad::weight).sum();
    zipfCumulative = new double[dataSets];
    double sum = 0;
    for (int i = 0; i < dataSets; i++) {
      sum += Math.pow(i + 1, -exponent);
      zipfCumulative[i] = sum;
    }
    if (tenants.isEmpty()
        || queryClasses.isEmpty()
        || dataSets < 1
        || !(tenantWeight > 0)
        || !(classWeight > 0)) {
      throw new IllegalArgumentException(
          "a mix needs tenants, query classes and data sets, with weights over 0");
    }
  }

  /**
   * Draws the next task. Takes the same number of random values for every task, so that a changed
   * setting does not alter unrelated draws of later tasks.
   */
  public Arrival draw(long number, long timeNanos, UniformRandomProvider random) {
    double tenantDraw = random.nextDouble() * tenantWeight;
    double classDraw = random.nextDouble() * classWeight;
    double dataSetDraw = random.nextDouble() * zipfCumulative[zipfCumulative.length - 1];
    double normal =
        Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
            * Math.cos(2 * Math.PI * random.nextDouble());
    long keyDraw = random.nextLong();
    Weighted tenant = tenants.get(tenants.size() - 1);
    for (Weighted candidate : tenants) {
      tenantDraw -= candidate.weight;
      if (tenantDraw < 0) {
        tenant = candidate;
        break;
      }
    }
    ClassLoad queryClass = queryClasses.get(queryClasses.size() - 1);
    for (ClassLoad candidate : queryClasses) {
      classDraw -= candidate.weight;
      if (classDraw < 0) {
        queryClass = candidate;
        break;
      }
    }
    int rank = java.util.Arrays.binarySearch(zipfCumulative, dataSetDraw);
    rank = Math.min(zipfCumulative.length - 1, rank >= 0 ? rank + 1 : -rank - 1);
    long shift = hotShiftNanos == 0 ? 0 : timeNanos / hotShiftNanos;
    return new Arrival(
        number,
        timeNanos,
        tenant.name,
        queryClass.name,
        (int) Math.floorMod(rank + shift, (long) zipfCumulative.length),
        queryClass.medianMs * Math.exp(queryClass.spread * normal),
        queryClass.memoryMb,
        queryClass.keys == 0 ? 0 : 1 + Math.floorMod(keyDraw, (long) queryClass.keys));
  }
}

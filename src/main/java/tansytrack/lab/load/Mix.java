package tansytrack.lab.load;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Draws the tasks of a load: tenant and query class by weight, data set by Zipf's law with popular
 * data sets that change over time, cost from a lognormal distribution, key uniformly.
 */
public final class Mix {

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
  public record GradeLoad(
      String name, double weight, double medianMs, double spread, double memoryMb, int keys) {}

  private final List<Weighted> tenants;
  private final List<GradeLoad> grades;

  // Cumulative weights of the ranks.
  private final double[] zipf;

  // Time after which each rank moves on by one data set; 0: never.
  private final long moves;

  private final double tenantWeight;
  private final double gradeWeight;

  /**
   * Creates a mix.
   *
   * @param tenants tenants with their weights
   * @param grades query classes with their weights and costs
   * @param dataSets number of data sets
   * @param exponent exponent of Zipf's law for the popularity of data sets
   * @param moves time after which each popularity rank moves on by one data set, in nanoseconds; 0:
   *     never
   */
  public Mix(
      List<Weighted> tenants, List<GradeLoad> grades, int dataSets, double exponent, long moves) {
    this.tenants = List.copyOf(tenants);
    this.grades = List.copyOf(grades);
    this.moves = moves;
    tenantWeight = tenants.stream().mapToDouble(Weighted::weight).sum();
    gradeWeight = grades.stream().mapToDouble(GradeLoad::weight).sum();
    zipf = new double[dataSets];
    double sum = 0;
    for (int i = 0; i < dataSets; i++) {
      sum += Math.pow(i + 1, -exponent);
      zipf[i] = sum;
    }
    if (tenants.isEmpty()
        || grades.isEmpty()
        || dataSets < 1
        || !(tenantWeight > 0)
        || !(gradeWeight > 0)) {
      throw new IllegalArgumentException(
          "a mix needs tenants, query classes and data sets, with weights over 0");
    }
  }

  /**
   * Draws the next task. Takes the same number of random values for every task, so that a changed
   * setting does not alter unrelated draws of later tasks.
   */
  public Arrival draw(long number, long at, UniformRandomProvider chance) {
    double ofTenant = chance.nextDouble() * tenantWeight;
    double ofGrade = chance.nextDouble() * gradeWeight;
    double ofSet = chance.nextDouble() * zipf[zipf.length - 1];
    double normal =
        Math.sqrt(-2 * Math.log(1 - chance.nextDouble()))
            * Math.cos(2 * Math.PI * chance.nextDouble());
    long ofKey = chance.nextLong();
    Weighted tenant = tenants.get(tenants.size() - 1);
    for (Weighted one : tenants) {
      ofTenant -= one.weight;
      if (ofTenant < 0) {
        tenant = one;
        break;
      }
    }
    GradeLoad grade = grades.get(grades.size() - 1);
    for (GradeLoad one : grades) {
      ofGrade -= one.weight;
      if (ofGrade < 0) {
        grade = one;
        break;
      }
    }
    int rank = java.util.Arrays.binarySearch(zipf, ofSet);
    rank = Math.min(zipf.length - 1, rank >= 0 ? rank + 1 : -rank - 1);
    long shift = moves == 0 ? 0 : at / moves;
    return new Arrival(
        number,
        at,
        tenant.name,
        grade.name,
        (int) Math.floorMod(rank + shift, (long) zipf.length),
        grade.medianMs * Math.exp(grade.spread * normal),
        grade.memoryMb,
        grade.keys == 0 ? 0 : 1 + Math.floorMod(ofKey, (long) grade.keys));
  }
}

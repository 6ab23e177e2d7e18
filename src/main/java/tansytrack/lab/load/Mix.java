package tansytrack.lab.load;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * What arrives: tenants and grades by weight, data sets by Zipf's law with a hot end that moves,
 * costs drawn lognormal, keys.
 */
public final class Mix {

  /** A name with its weight. */
  public record Weighted(String name, double weight) {}

  /**
   * A grade: its weight, the median and spread (the deviation of the logarithm) of its cost, and
   * how many keys; 0: none.
   */
  public record GradeLoad(
      String name, double weight, double medianMs, double spread, double memoryMb, int keys) {}

  private final List<Weighted> tenants;
  private final List<GradeLoad> grades;
  private final double[] zipf; // summed up
  private final long moves; // ns after which the hot end has moved by one set; 0: never
  private final double tenantWeight;
  private final double gradeWeight;

  /**
   * The choice of tenants, query classes and data sets; the popular data sets move on after a time.
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
          "a mix needs tenants, grades and data sets, with weights over 0");
    }
  }

  /**
   * The next task; draws the same number of times whatever comes out, so that one change does not
   * shift all the rest.
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

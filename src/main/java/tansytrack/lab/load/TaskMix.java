package tansytrack.lab.load;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * What arrives: tenants and grades by weight, data sets by Zipf's law with a hot end that moves,
 * costs drawn lognormal, keys.
 */
public final class TaskMix {

  /** A name with its weight. */
  public record Weighted(String name, double weight) {}

  /**
   * A grade: its weight, the median and spread (the deviation of the logarithm) of its cost, and
   * how many keys; 0: none.
   */
  public record ClassLoad(
      String name, double weight, double medianMs, double spread, double memoryMb, int keys) {}

  private final List<Weighted> tenants;
  private final List<ClassLoad> queryClasses;
  private final double[] zipfCumulative; // summed up
  private final long hotShiftNanos; // ns after which the hot end has moved by one set; 0: never
  private final double tenantWeight;
  private final double classWeight;

  /**
   * The choice of tenants, query classes and data sets; the popular data sets move on after a time.
   */
  public TaskMix(
      List<Weighted> tenants, List<ClassLoad> grades, int dataSets, double exponent, long moves) {
    this.tenants = List.copyOf(tenants);
    this.queryClasses = List.copyOf(grades);
    this.hotShiftNanos = moves;
    tenantWeight = tenants.stream().mapToDouble(Weighted::weight).sum();
    classWeight = grades.stream().mapToDouble(ClassLoad::weight).sum();
    zipfCumulative = new double[dataSets];
    double sum = 0;
    for (int i = 0; i < dataSets; i++) {
      sum += Math.pow(i + 1, -exponent);
      zipfCumulative[i] = sum;
    }
    if (tenants.isEmpty()
        || grades.isEmpty()
        || dataSets < 1
        || !(tenantWeight > 0)
        || !(classWeight > 0)) {
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
    double ofGrade = chance.nextDouble() * classWeight;
    double ofSet = chance.nextDouble() * zipfCumulative[zipfCumulative.length - 1];
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
    ClassLoad grade = queryClasses.get(queryClasses.size() - 1);
    for (ClassLoad one : queryClasses) {
      ofGrade -= one.weight;
      if (ofGrade < 0) {
        grade = one;
        break;
      }
    }
    int rank = java.util.Arrays.binarySearch(zipfCumulative, ofSet);
    rank = Math.min(zipfCumulative.length - 1, rank >= 0 ? rank + 1 : -rank - 1);
    long shift = hotShiftNanos == 0 ? 0 : at / hotShiftNanos;
    return new Arrival(
        number,
        at,
        tenant.name,
        grade.name,
        (int) Math.floorMod(rank + shift, (long) zipfCumulative.length),
        grade.medianMs * Math.exp(grade.spread * normal),
        grade.memoryMb,
        grade.keys == 0 ? 0 : 1 + Math.floorMod(ofKey, (long) grade.keys));
  }
}

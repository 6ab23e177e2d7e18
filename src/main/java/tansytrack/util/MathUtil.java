package tansytrack.util;

/** Arithmetic that several parts share. */
public final class MathUtil {

  private MathUtil() {}

  /** A running mean after one more sample; NaN until the first. */
  public static double movingAverage(double old, double sample, double weight) {
    return Double.isNaN(old) ? sample : old + weight * (sample - old);
  }

  /** The value, or the nearer bound where it lies outside. */
  public static double clamp(double value, double least, double most) {
    return Math.max(least, Math.min(most, value));
  }

  /** The index that a point between 0 and 1 falls on when each takes room by its weight. */
  public static int pickWeighted(double[] weights, double point) {
    double total = 0;
    for (double weight : weights) {
      total += weight;
    }
    double left = point * total;
    int at = 0;
    while (at < weights.length - 1 && left >= weights[at]) {
      left -= weights[at++];
    }
    return at;
  }
}

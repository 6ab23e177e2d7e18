package tansytrack.util;

/** Shared arithmetic functions. */
public final class MathUtil {

  private MathUtil() {}

  /** Returns the exponential moving average after one more sample; NaN stands for no sample yet. */
  public static double movingAverage(double old, double sample, double weight) {
    return Double.isNaN(old) ? sample : old + weight * (sample - old);
  }

  /** Returns the value, or the nearer bound if it lies outside. */
  public static double clamp(double value, double least, double most) {
    return Math.max(least, Math.min(most, value));
  }

  /** Returns the index that a point in [0, 1) selects, with probabilities by weight. */
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

package tansytrack.util;

/** Shared arithmetic functions. */
public final class MathUtil {

  private MathUtil() {}

  /** Returns the exponential moving average after one more sample; NaN stands for no sample yet. */
  public static double movingAverage(double average, double sample, double weight) {
    return Double.isNaN(average) ? sample : average + weight * (sample - average);
  }

  /** Returns the value, or the nearer bound if it lies outside. */
  public static double clamp(double value, double min, double max) {
    return Math.max(min, Math.min(max, value));
  }

  /** Returns the index that a point in [0, 1) selects, with probabilities by weight. */
  public static int pickWeighted(double[] weights, double point) {
    double total = 0;
    for (double weight : weights) {
      total += weight;
    }
    double remaining = point * total;
    int index = 0;
    while (index < weights.length - 1 && remaining >= weights[index]) {
      remaining -= weights[index++];
    }
    return index;
  }
}

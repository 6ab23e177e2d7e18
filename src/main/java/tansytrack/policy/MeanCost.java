package tansytrack.policy;

/**
 * The mean cost of accepted tasks, over the last several hundred of them. The estimate lies one
 * standard error above the mean, as a budget counted in mean tasks must not be overestimated.
 */
final class MeanCost {

  // Weight of one new sample once there are many.
  private static final double MIN_WEIGHT = 1 / 400.0;
  // The number of independent samples that such a moving average is worth.
  private static final double MAX_EFFECTIVE_SAMPLES = 2 / MIN_WEIGHT;

  private long samples;
  private double mean;
  private double variance;

  void add(double cost) {
    samples++;
    double weight = Math.max(MIN_WEIGHT, 1.0 / samples);
    double deviation = cost - mean;
    mean += weight * deviation;
    variance = (1 - weight) * (variance + weight * deviation * deviation);
  }

  /** Returns the estimate; 0 until the first task. */
  double estimate() {
    double effectiveSamples = Math.min((double) Math.max(samples, 1), MAX_EFFECTIVE_SAMPLES);
    return mean + Math.sqrt(variance / effectiveSamples);
  }
}

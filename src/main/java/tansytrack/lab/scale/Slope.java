package tansytrack.lab.scale;

import java.util.Arrays;

/**
 * How a figure grows with size: a power law fitted to all sizes except the largest, and checked
 * against the figure at the largest.
 *
 * @param law the fitted power law
 * @param predicted the figure that the law predicts at the largest size
 * @param measured the measured figure at the largest size
 */
public record Slope(PowerLaw law, double predicted, double measured) {

  /** The minimum number of sizes for a fit. */
  public static final int MIN_SIZES = 5;

  /** The maximum relative error at the largest size for a usable fit. */
  public static final double MAX_RELATIVE_ERROR = 0.15;

  /** Fits positive figures at increasing, positive sizes. */
  public static Slope of(double[] sizes, double[] figures) {
    int last = sizes.length - 1;
    PowerLaw law = PowerLaw.fit(Arrays.copyOf(sizes, last), Arrays.copyOf(figures, last));
    return new Slope(law, law.predict(sizes[last]), figures[last]);
  }

  /** The absolute error of the prediction as a fraction of the measured figure. */
  public double relativeError() {
    return Math.abs(predicted - measured) / measured;
  }

  /** Whether the error is at most {@link #MAX_RELATIVE_ERROR}. */
  public boolean usable() {
    return relativeError() <= MAX_RELATIVE_ERROR;
  }
}

package tansytrack.lab.scale;

import java.util.Arrays;

/**
 * How a figure grows with size: fitted without the largest size, which is predicted.
 *
 * @param law fitted
 * @param predicted the figure at the largest size by it
 * @param measured the figure there
 */
public record Slope(PowerLaw law, double predicted, double measured) {

  /** Sizes that a slope takes at least. */
  public static final int MIN_SIZES = 5;

  /** A fit that is further off than this at the largest size is not used. */
  public static final double MAX_RELATIVE_ERROR = 0.15;

  /** Of figures at sizes that grow, all over 0. */
  public static Slope of(double[] sizes, double[] figures) {
    int last = sizes.length - 1;
    PowerLaw law = PowerLaw.fit(Arrays.copyOf(sizes, last), Arrays.copyOf(figures, last));
    return new Slope(law, law.predict(sizes[last]), figures[last]);
  }

  /** How far off the prediction is, as a part of what was measured. */
  public double relativeError() {
    return Math.abs(predicted - measured) / measured;
  }

  public boolean usable() {
    return relativeError() <= MAX_RELATIVE_ERROR;
  }
}

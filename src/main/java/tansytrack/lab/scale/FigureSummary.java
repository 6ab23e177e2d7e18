package tansytrack.lab.scale;

import java.util.Arrays;

/** The minimum, mean and maximum of a series of figures. */
record FigureSummary(double min, double mean, double max) {

  /** Summarizes figures; all values are 0 if there are none. */
  static FigureSummary of(double[] figures) {
    return new FigureSummary(
        Arrays.stream(figures).min().orElse(0),
        Arrays.stream(figures).average().orElse(0),
        Arrays.stream(figures).max().orElse(0));
  }

  /** The maximum divided by the mean; 0 if the mean is 0. */
  double maxOverMean() {
    return mean == 0 ? 0 : max / mean;
  }
}

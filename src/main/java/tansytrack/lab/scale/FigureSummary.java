package tansytrack.lab.scale;

import java.util.Arrays;

/** Least, mean and most of some figures. */
record FigureSummary(double min, double mean, double max) {

  static FigureSummary of(double[] figures) {
    return new FigureSummary(
        Arrays.stream(figures).min().orElse(0),
        Arrays.stream(figures).average().orElse(0),
        Arrays.stream(figures).max().orElse(0));
  }

  /** The most over the mean; 0 where there is nothing. */
  double maxOverMean() {
    return mean == 0 ? 0 : max / mean;
  }
}

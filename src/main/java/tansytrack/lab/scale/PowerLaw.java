package tansytrack.lab.scale;

/**
 * A power law {@code factor * size ^ exponent}, fitted to figures at several sizes by linear least
 * squares on the logarithms.
 *
 * @param factor the figure at size 1
 * @param exponent the power of the size
 */
public record PowerLaw(double factor, double exponent) {

  /** Fits a power law to points; all values must be positive, and at least two sizes differ. */
  public static PowerLaw fit(double[] sizes, double[] figures) {
    double meanSize = 0;
    double meanFigure = 0;
    for (int i = 0; i < sizes.length; i++) {
      meanSize += Math.log(sizes[i]) / sizes.length;
      meanFigure += Math.log(figures[i]) / sizes.length;
    }
    double covariance = 0;
    double variance = 0;
    for (int i = 0; i < sizes.length; i++) {
      double sizeDeviation = Math.log(sizes[i]) - meanSize;
      covariance += sizeDeviation * (Math.log(figures[i]) - meanFigure);
      variance += sizeDeviation * sizeDeviation;
    }
    double exponent = covariance / variance;
    return new PowerLaw(Math.exp(meanFigure - exponent * meanSize), exponent);
  }

  /** The predicted figure at a size. */
  public double predict(double size) {
    return factor * Math.pow(size, exponent);
  }
}

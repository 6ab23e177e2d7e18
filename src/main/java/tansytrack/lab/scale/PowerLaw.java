package tansytrack.lab.scale;

/**
 * A power law fitted to figures at several sizes: a straight line through the logarithms by least
 * squares.
 *
 * @param factor before the power
 * @param exponent of the size
 */
public record PowerLaw(double factor, double exponent) {

  /** The law through these points; all have to be over 0, and at least two sizes differ. */
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

  /** The figure that it predicts at a size. */
  public double predict(double size) {
    return factor * Math.pow(size, exponent);
  }
}

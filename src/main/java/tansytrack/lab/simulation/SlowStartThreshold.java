package tansytrack.lab.simulation;

/**
 * The load under which an engine that has just started fails. The settings allow it a number of
 * requests of mean work in a window; chance may bring somewhat more.
 */
final class SlowStartThreshold {

  // Below this number of requests, three standard deviations are tolerated instead of two.
  private static final double FEW_REQUESTS = 30;

  private SlowStartThreshold() {}

  /** Returns the largest load that the engine bears, for an allowed number of requests. */
  static double maxRequests(double allowedRequests) {
    double deviations = allowedRequests < FEW_REQUESTS ? 3 : 2;
    return allowedRequests + deviations * Math.sqrt(allowedRequests) + deviations;
  }
}

package tansytrack.lab.simulation;

/**
 * The conditions of a link. With a mean burst length above 1, losses come in bursts, in which all
 * messages are lost (Gilbert model); {@code loss} is the long-term share in either case.
 *
 * @param loss share of messages lost, 0 to 1
 * @param meanBurstLength mean length of a burst of losses, in messages
 * @param duplication share of messages delivered twice
 * @param minDelayNanos shortest delay
 * @param meanExtraDelayNanos mean of the exponentially distributed additional delay, which reorders
 *     messages
 */
public record LinkConditions(
    double loss,
    double meanBurstLength,
    double duplication,
    long minDelayNanos,
    long meanExtraDelayNanos) {

  /** No loss and a delay of 1 ms on average. */
  public static final LinkConditions GOOD = new LinkConditions(0, 1, 0, 500_000L, 500_000L);

  /** The same conditions with another share of lost messages. */
  public LinkConditions withLoss(double share) {
    return new LinkConditions(
        share, meanBurstLength, duplication, minDelayNanos, meanExtraDelayNanos);
  }
}

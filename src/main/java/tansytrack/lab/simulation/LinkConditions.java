package tansytrack.lab.simulation;

/**
 * What links do to letters at one time. Loss comes in bursts where {@code burst} is over 1: a link
 * is then good or bad, and loses all while bad; {@code loss} is the long run's share in any case.
 *
 * @param loss share of letters lost, 0 to 1
 * @param burst mean length of a bad stretch, in letters
 * @param doubled share that comes twice
 * @param least shortest way, in nanoseconds
 * @param spread the mean of what comes on top, exponential: letters overtake each other by it
 */
public record LinkConditions(
    double loss,
    double meanBurstLength,
    double duplication,
    long minDelayNanos,
    long meanExtraDelayNanos) {

  public static final LinkConditions GOOD = new LinkConditions(0, 1, 0, 500_000L, 500_000L);

  /** The same weather with another share of lost datagrams. */
  public LinkConditions withLoss(double share) {
    return new LinkConditions(
        share, meanBurstLength, duplication, minDelayNanos, meanExtraDelayNanos);
  }
}

package tansytrack.lab.simulation;

import java.util.SplittableRandom;

/** Models one direction of a link: loss, duplication and delay of messages, from its own seed. */
public final class LinkModel {

  private final SplittableRandom random;
  private boolean inLossBurst;

  /** A link whose losses and delays depend on the seed. */
  public LinkModel(long seed) {
    random = new SplittableRandom(seed);
  }

  /** The delay of each copy of the next message, in nanoseconds; none if it is lost. */
  public long[] deliveryDelays(LinkConditions conditions) {
    if (isLost(conditions)) {
      return new long[0];
    }
    long[] copies = new long[random.nextDouble() < conditions.duplication() ? 2 : 1];
    for (int i = 0; i < copies.length; i++) {
      copies[i] =
          conditions.minDelayNanos()
              + (long) (-Math.log(1 - random.nextDouble()) * conditions.meanExtraDelayNanos());
    }
    return copies;
  }

  private boolean isLost(LinkConditions conditions) {
    if (conditions.loss() >= 1 || conditions.meanBurstLength() <= 1) {
      return random.nextDouble() < conditions.loss();
    }
    double toGood = 1 / conditions.meanBurstLength();
    double toBad = toGood * conditions.loss() / (1 - conditions.loss());
    inLossBurst = random.nextDouble() < (inLossBurst ? 1 - toGood : toBad);
    return inLossBurst;
  }
}

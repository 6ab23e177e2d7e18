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
  public long[] deliveryDelays(LinkConditions weather) {
    if (lost(weather)) {
      return new long[0];
    }
    long[] copies = new long[random.nextDouble() < weather.duplication() ? 2 : 1];
    for (int i = 0; i < copies.length; i++) {
      copies[i] =
          weather.minDelayNanos()
              + (long) (-Math.log(1 - random.nextDouble()) * weather.meanExtraDelayNanos());
    }
    return copies;
  }

  private boolean lost(LinkConditions weather) {
    if (weather.loss() >= 1 || weather.meanBurstLength() <= 1) {
      return random.nextDouble() < weather.loss();
    }
    double toGood = 1 / weather.meanBurstLength();
    double toBad = toGood * weather.loss() / (1 - weather.loss());
    inLossBurst = random.nextDouble() < (inLossBurst ? 1 - toGood : toBad);
    return inLossBurst;
  }
}

package tansytrack.lab.simulation;

import java.util.SplittableRandom;

/**
 * One link one way: what becomes of the next letter on it, by the weather and a seed of its own.
 */
public final class LinkModel {

  private final SplittableRandom random;
  private boolean inLossBurst; // in a bad stretch

  /** A link whose losses and delays are drawn from the seed. */
  public LinkModel(long seed) {
    random = new SplittableRandom(seed);
  }

  /** How long each copy of it takes, in nanoseconds; none: it is lost. */
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

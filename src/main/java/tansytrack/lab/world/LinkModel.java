package tansytrack.lab.world;

import java.util.SplittableRandom;

/**
 * One link one way: what becomes of the next letter on it, by the weather and a seed of its own.
 */
public final class LinkModel {

  private final SplittableRandom chance;
  private boolean bad; // in a bad stretch

  /** A link whose losses and delays are drawn from the seed. */
  public LinkModel(long seed) {
    chance = new SplittableRandom(seed);
  }

  /** How long each copy of it takes, in nanoseconds; none: it is lost. */
  public long[] next(Weather weather) {
    if (lost(weather)) {
      return new long[0];
    }
    long[] copies = new long[chance.nextDouble() < weather.doubled() ? 2 : 1];
    for (int i = 0; i < copies.length; i++) {
      copies[i] = weather.least() + (long) (-Math.log(1 - chance.nextDouble()) * weather.spread());
    }
    return copies;
  }

  private boolean lost(Weather weather) {
    if (weather.loss() >= 1 || weather.burst() <= 1) {
      return chance.nextDouble() < weather.loss();
    }
    double toGood = 1 / weather.burst();
    double toBad = toGood * weather.loss() / (1 - weather.loss());
    bad = chance.nextDouble() < (bad ? 1 - toGood : toBad);
    return bad;
  }
}

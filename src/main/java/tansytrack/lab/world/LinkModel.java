package tansytrack.lab.world;

import java.util.SplittableRandom;

/** Models one direction of a link: loss, duplication and delay of messages, from its own seed. */
public final class LinkModel {

  private final SplittableRandom chance;
  private boolean bad;

  /** A link whose losses and delays depend on the seed. */
  public LinkModel(long seed) {
    chance = new SplittableRandom(seed);
  }

  /** The delay of each copy of the next message, in nanoseconds; none if it is lost. */
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

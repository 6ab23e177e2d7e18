package tansytrack.fleet;

/**
 * Which letters of one life have come. Guards against doubled and replayed ones: each counts once,
 * and one that is older than the last 64 not at all.
 */
final class ReplayWindow {

  private static final int WINDOW_SIZE = 64;
  private long instanceId;
  private long highest;
  private long seenBits; // a bit each for the highest and those below it

  /** Is it the first time that this letter comes? */
  boolean accept(long ofLife, long number) {
    if (ofLife != instanceId) {
      instanceId = ofLife;
      highest = number;
      seenBits = 1;
      return true;
    }
    if (number > highest) {
      long by = number - highest;
      seenBits = by >= WINDOW_SIZE ? 1 : seenBits << by | 1;
      highest = number;
      return true;
    }
    long back = highest - number;
    if (back >= WINDOW_SIZE || (seenBits >>> back & 1) != 0) {
      return false;
    }
    seenBits |= 1L << back;
    return true;
  }
}

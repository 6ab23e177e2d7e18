package tansytrack.fleet;

/**
 * Which letters of one life have come. Guards against doubled and replayed ones: each counts once,
 * and one that is older than the last 64 not at all.
 */
final class Numbers {

  private static final int KEPT = 64;
  private long life;
  private long highest;
  private long seen; // a bit each for the highest and those below it

  /** Is it the first time that this letter comes? */
  boolean fresh(long ofLife, long number) {
    if (ofLife != life) {
      life = ofLife;
      highest = number;
      seen = 1;
      return true;
    }
    if (number > highest) {
      long by = number - highest;
      seen = by >= KEPT ? 1 : seen << by | 1;
      highest = number;
      return true;
    }
    long back = highest - number;
    if (back >= KEPT || (seen >>> back & 1) != 0) {
      return false;
    }
    seen |= 1L << back;
    return true;
  }
}

package tansytrack.fleet;

/**
 * Detects duplicated and replayed messages of one sender. Each message number of an instance is
 * accepted once; numbers 64 or more below the highest one are rejected.
 */
final class Numbers {

  private static final int KEPT = 64;
  private long life;
  private long highest;
  // Bit n is set if the message number highest - n has been received.
  private long seen;

  /** Whether a message is received for the first time; then it is recorded. */
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

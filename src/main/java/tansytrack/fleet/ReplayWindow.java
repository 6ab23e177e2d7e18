package tansytrack.fleet;

/**
 * Detects duplicated and replayed messages of one sender. Each message number of an instance is
 * accepted once; numbers 64 or more below the highest one are rejected.
 */
final class ReplayWindow {

  private static final int WINDOW_SIZE = 64;
  private long instanceId;
  private long highest;
  // Bit n is set if the message number highest - n has been received.
  private long seenBits;

  /** Whether a message is received for the first time; then it is recorded. */
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

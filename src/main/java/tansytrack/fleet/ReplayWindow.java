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
  boolean accept(long sender, long number) {
    if (sender != instanceId) {
      instanceId = sender;
      highest = number;
      seenBits = 1;
      return true;
    }
    if (number > highest) {
      long shift = number - highest;
      seenBits = shift >= WINDOW_SIZE ? 1 : seenBits << shift | 1;
      highest = number;
      return true;
    }
    long distance = highest - number;
    if (distance >= WINDOW_SIZE || (seenBits >>> distance & 1) != 0) {
      return false;
    }
    seenBits |= 1L << distance;
    return true;
  }
}

package tansytrack.ledger;

import java.math.BigDecimal;

/**
 * What one forward used: times in nanoseconds of the Unix clock (ended 0: still out), work in
 * nanoseconds on one core as the engine told it, memory in MB. Wasted: nobody got what it made. The
 * outcome is the forward's, or UNKNOWN where its manager died meanwhile.
 */
public record Use(
    int index,
    String engine,
    long sentAt,
    long endedAt,
    String outcome,
    long work,
    long neededMb,
    long grantedMb,
    boolean wasted) {

  public static final String UNKNOWN_OUTCOME = "UNKNOWN";

  /** Whether the engine has not ended it yet. */
  public boolean inFlight() {
    return outcome.isEmpty();
  }

  /**
   * Memory granted times the time that it was, in MB-nanoseconds; an end that nobody knows counts
   * for nothing.
   */
  public BigDecimal memoryMbNanos() {
    return endedAt == 0
        ? BigDecimal.ZERO
        : BigDecimal.valueOf(grantedMb).multiply(BigDecimal.valueOf(endedAt - sentAt));
  }
}

package tansytrack.ledger;

import java.math.BigDecimal;

/**
 * The resource usage of one forward. The component names are part of the output of {@code ledger
 * merge}, see {@link Entry}.
 *
 * @param sentAt the time of sending in nanoseconds of the Unix clock
 * @param endedAt the time of the end; 0 while the forward is in flight, or if its end is unknown
 * @param outcome the outcome of the forward; empty while it is in flight, {@link #UNKNOWN_OUTCOME}
 *     if its manager died meanwhile
 * @param work the work that the engine reported, in nanoseconds on one core
 * @param wasted whether the result went to no client
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

  /** The outcome of a forward whose manager died while it was in flight; stored in ledgers. */
  public static final String UNKNOWN_OUTCOME = "UNKNOWN";

  /** Whether the forward has not ended yet. */
  public boolean inFlight() {
    return outcome.isEmpty();
  }

  /** Granted memory multiplied by its duration, in MB-nanoseconds; 0 if the end is unknown. */
  public BigDecimal memoryMbNanos() {
    return endedAt == 0
        ? BigDecimal.ZERO
        : BigDecimal.valueOf(grantedMb).multiply(BigDecimal.valueOf(endedAt - sentAt));
  }
}

package tansytrack.service;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * Unix time in nanoseconds that advances evenly: the monotonic clock plus an offset, which is
 * slewed toward the Unix clock in small steps.
 */
final class SlewedClock implements LongSupplier {

  private static final long SLEW_INTERVAL_NANOS = 1_000_000_000L;

  /** Limit of the correction in one interval. */
  private static final long MAX_SLEW_NANOS = 1_000_000L;

  private volatile long offsetNanos = unixNanos() - System.nanoTime();
  private long slewedAtNanos = System.nanoTime();

  private static long unixNanos() {
    Instant now = Instant.now();
    return now.getEpochSecond() * 1_000_000_000L + now.getNano();
  }

  @Override
  public long getAsLong() {
    return System.nanoTime() + offsetNanos;
  }

  /** Corrects the offset if the interval has passed; called only by the event loop. */
  void slew() {
    long monotonicNanos = System.nanoTime();
    if (monotonicNanos - slewedAtNanos >= SLEW_INTERVAL_NANOS) {
      slewedAtNanos = monotonicNanos;
      long errorNanos = unixNanos() - monotonicNanos - offsetNanos;
      long correctedNanos =
          offsetNanos + Math.max(-MAX_SLEW_NANOS, Math.min(MAX_SLEW_NANOS, errorNanos));
      offsetNanos = correctedNanos;
    }
  }
}

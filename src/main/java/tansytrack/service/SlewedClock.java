package tansytrack.service;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * Nanoseconds of the Unix clock, going forward evenly: the machine's steady clock, led after the
 * Unix clock in steps too small to matter.
 */
final class SlewedClock implements LongSupplier {

  private static final long SLEW_INTERVAL_NANOS = 1_000_000_000L;
  private static final long MAX_SLEW_NANOS = 1_000_000L; // at most, each time

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

  /** Called by the loop alone. */
  void slew() {
    long steady = System.nanoTime();
    if (steady - slewedAtNanos >= SLEW_INTERVAL_NANOS) {
      slewedAtNanos = steady;
      long off = unixNanos() - steady - offsetNanos;
      long led = offsetNanos + Math.max(-MAX_SLEW_NANOS, Math.min(MAX_SLEW_NANOS, off));
      offsetNanos = led;
    }
  }
}

package tansytrack.service;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * Nanoseconds of the Unix clock, going forward evenly: the machine's steady clock, led after the
 * Unix clock in steps too small to matter.
 */
final class Clock implements LongSupplier {

  private static final long LED_EVERY = 1_000_000_000L;
  private static final long STEP = 1_000_000L; // at most, each time

  private volatile long offset = unix() - System.nanoTime();
  private long ledAt = System.nanoTime();

  private static long unix() {
    Instant now = Instant.now();
    return now.getEpochSecond() * 1_000_000_000L + now.getNano();
  }

  @Override
  public long getAsLong() {
    return System.nanoTime() + offset;
  }

  /** Called by the loop alone. */
  void lead() {
    long steady = System.nanoTime();
    if (steady - ledAt >= LED_EVERY) {
      ledAt = steady;
      long off = unix() - steady - offset;
      long led = offset + Math.max(-STEP, Math.min(STEP, off));
      offset = led;
    }
  }
}

package tansytrack.service;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * Unix time in nanoseconds that advances evenly: the monotonic clock plus an offset, which is
 * slewed toward the Unix clock in small steps.
 */
final class Clock implements LongSupplier {

  private static final long LED_EVERY = 1_000_000_000L;

  /** Limit of the correction in one interval. */
  private static final long STEP = 1_000_000L;

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

  /** Corrects the offset if the interval has passed; called only by the event loop. */
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

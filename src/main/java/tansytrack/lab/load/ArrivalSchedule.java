package tansytrack.lab.load;

import java.util.Iterator;
import java.util.NoSuchElementException;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The arrivals of a load in the order of their intended times. They depend only on rate, mix and
 * seed, and not on the answers. Poisson arrivals at a varying rate are drawn by thinning:
 * candidates come at the maximum rate, and each is kept with the probability current rate / maximum
 * rate. Even arrivals come whenever the integral of the rate passes a whole number.
 */
public final class ArrivalSchedule implements Iterator<Arrival> {

  // Step of the numeric integration for even arrivals.
  private static final long STEP_NANOS = RateShape.NANOS_PER_SECOND / 1000;

  private final RateShape shape;
  private final TaskMix mix;
  private final long lengthNanos;
  private final boolean even;
  private final UniformRandomProvider timeRandom;
  private final UniformRandomProvider taskRandom;
  private double timeNanos;
  private double accumulated;
  private long lastNumber;
  private Arrival next;

  /**
   * Creates a schedule.
   *
   * @param shape arrival rate over time
   * @param mix draws the tasks
   * @param lengthNanos length in nanoseconds
   * @param evenlySpaced whether arrivals are evenly spaced; else they are a Poisson process
   * @param seed seed of arrival times and tasks
   */
  public ArrivalSchedule(
      RateShape shape, TaskMix mix, long lengthNanos, boolean evenlySpaced, long seed) {
    this.shape = shape;
    this.mix = mix;
    this.lengthNanos = lengthNanos;
    this.even = evenlySpaced;
    timeRandom = RandomSource.XO_SHI_RO_256_PP.create(seed);
    taskRandom = RandomSource.XO_SHI_RO_256_PP.create(seed ^ 0x9E3779B97F4A7C15L);
    advance();
  }

  private void advance() {
    next = null;
    if (shape.maxRate() <= 0) {
      return;
    }
    while (timeNanos < lengthNanos) {
      if (even) {
        accumulated += shape.rate((long) timeNanos) * STEP_NANOS / RateShape.NANOS_PER_SECOND;
        double now = timeNanos;
        timeNanos += STEP_NANOS;
        if (accumulated >= 1) {
          // The sum passed a whole number within this step; the remainder is kept.
          accumulated -= 1;
          next = mix.draw(++lastNumber, (long) now, taskRandom);
          timeNanos -= accumulated >= 1 ? STEP_NANOS : 0;
          accumulated -=
              accumulated >= 1
                  ? shape.rate((long) timeNanos) * STEP_NANOS / RateShape.NANOS_PER_SECOND
                  : 0;
          return;
        }
      } else {
        timeNanos +=
            -Math.log(1 - timeRandom.nextDouble()) / shape.maxRate() * RateShape.NANOS_PER_SECOND;
        if (timeNanos < lengthNanos
            && timeRandom.nextDouble() * shape.maxRate() < shape.rate((long) timeNanos)) {
          next = mix.draw(++lastNumber, (long) timeNanos, taskRandom);
          return;
        }
      }
    }
  }

  @Override
  public boolean hasNext() {
    return next != null;
  }

  @Override
  public Arrival next() {
    if (next == null) {
      throw new NoSuchElementException();
    }
    Arrival given = next;
    advance();
    return given;
  }
}

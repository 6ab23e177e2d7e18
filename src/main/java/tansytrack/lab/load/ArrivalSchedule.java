package tansytrack.lab.load;

import java.util.Iterator;
import java.util.NoSuchElementException;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The arrivals of a load in the order of their intended times, made beforehand from shape, mix and
 * seed: nothing that happens while it is played changes it. Poisson arrivals at a rate that varies
 * come by thinning: candidates at the highest rate, of which each is kept with the part that the
 * rate then is of it. Even arrivals come as the summed-up rate passes each whole number.
 */
public final class ArrivalSchedule implements Iterator<Arrival> {

  private static final long STEP_NANOS =
      RateShape.NANOS_PER_SECOND / 1000; // of the sum for even arrivals

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
   * A schedule of the given length; evenly spaced tasks, or Poisson arrivals drawn from the seed.
   */
  public ArrivalSchedule(RateShape shape, TaskMix mix, long length, boolean even, long seed) {
    this.shape = shape;
    this.mix = mix;
    this.lengthNanos = length;
    this.even = even;
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
          // Within the step, where the sum passed the whole number; what is over stays owed.
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

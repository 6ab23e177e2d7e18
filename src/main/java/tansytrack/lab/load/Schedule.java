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
public final class Schedule implements Iterator<Arrival> {

  private static final long STEP = Shape.SECOND / 1000; // of the sum for even arrivals

  private final Shape shape;
  private final Mix mix;
  private final long length;
  private final boolean even;
  private final UniformRandomProvider times;
  private final UniformRandomProvider kinds;
  private double at;
  private double owed;
  private long number;
  private Arrival next;

  /**
   * A schedule of the given length; evenly spaced tasks, or Poisson arrivals drawn from the seed.
   */
  public Schedule(Shape shape, Mix mix, long length, boolean even, long seed) {
    this.shape = shape;
    this.mix = mix;
    this.length = length;
    this.even = even;
    times = RandomSource.XO_SHI_RO_256_PP.create(seed);
    kinds = RandomSource.XO_SHI_RO_256_PP.create(seed ^ 0x9E3779B97F4A7C15L);
    advance();
  }

  private void advance() {
    next = null;
    if (shape.most() <= 0) {
      return;
    }
    while (at < length) {
      if (even) {
        owed += shape.rate((long) at) * STEP / Shape.SECOND;
        double now = at;
        at += STEP;
        if (owed >= 1) {
          // Within the step, where the sum passed the whole number; what is over stays owed.
          owed -= 1;
          next = mix.draw(++number, (long) now, kinds);
          at -= owed >= 1 ? STEP : 0;
          owed -= owed >= 1 ? shape.rate((long) at) * STEP / Shape.SECOND : 0;
          return;
        }
      } else {
        at += -Math.log(1 - times.nextDouble()) / shape.most() * Shape.SECOND;
        if (at < length && times.nextDouble() * shape.most() < shape.rate((long) at)) {
          next = mix.draw(++number, (long) at, kinds);
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

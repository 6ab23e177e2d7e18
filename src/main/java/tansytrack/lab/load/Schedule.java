package tansytrack.lab.load;

import java.util.Iterator;
import java.util.NoSuchElementException;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The arrivals of a load in the order of their intended times. They depend only on rate, mix and
 * seed, and not on the answers. Poisson arrivals at a varying rate are drawn by thinning: candidates
 * come at the maximum rate, and each is kept with the probability current rate / maximum rate. Even
 * arrivals come whenever the integral of the rate passes a whole number.
 */
public final class Schedule implements Iterator<Arrival> {

  // Step of the numeric integration for even arrivals.
  private static final long STEP = Shape.SECOND / 1000;

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
   * Creates a schedule.
   *
   * @param shape arrival rate over time
   * @param mix draws the tasks
   * @param lengthNanos length in nanoseconds
   * @param evenlySpaced whether arrivals are evenly spaced; else they are a Poisson process
   * @param seed seed of arrival times and tasks
   */
  public Schedule(Shape shape, Mix mix, long lengthNanos, boolean evenlySpaced, long seed) {
    this.shape = shape;
    this.mix = mix;
    this.length = lengthNanos;
    this.even = evenlySpaced;
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
          // The sum passed a whole number within this step; the remainder is kept.
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

package tansytrack.lab.load;

import java.util.List;

/**
 * The arrival rate of a load over time: a pure function of the nanoseconds since its start. Shapes
 * can be added and multiplied, for instance to model a day.
 */
public sealed interface Shape {

  /** Nanoseconds in a second. */
  long SECOND = 1_000_000_000L;

  /** Arrivals a second at that time. */
  double rate(long at);

  /** An upper bound of the rate, in arrivals a second. */
  double most();

  /** A constant rate. */
  record Constant(double perSecond) implements Shape {
    @Override
    public double rate(long at) {
      return perSecond;
    }

    @Override
    public double most() {
      return perSecond;
    }
  }

  /** A linear change from one rate to another between two times; constant before and after. */
  record Ramp(double from, double to, long begins, long ends) implements Shape {
    @Override
    public double rate(long at) {
      double fraction =
          ends <= begins
              ? at < begins ? 0 : 1
              : Math.max(0, Math.min(1, (double) (at - begins) / (ends - begins)));
      return from + (to - from) * fraction;
    }

    @Override
    public double most() {
      return Math.max(from, to);
    }
  }

  /** Constant rates one after the other, each for the same time; the last one has no end. */
  record Steps(List<Double> rates, long each) implements Shape {
    @Override
    public double rate(long at) {
      return rates.get((int) Math.max(0, Math.min(rates.size() - 1, at / each)));
    }

    @Override
    public double most() {
      return rates.stream().mapToDouble(Double::doubleValue).max().orElse(0);
    }
  }

  /** A constant rate for a while at the start of each interval, and 0 in the rest of it. */
  record Bursts(double perSecond, long every, long lasts, long first) implements Shape {
    @Override
    public double rate(long at) {
      return at >= first && Math.floorMod(at - first, every) < lasts ? perSecond : 0;
    }

    @Override
    public double most() {
      return perSecond;
    }
  }

  /** A cosine wave between two rates: lowest at the start of each period, highest in its middle. */
  record Wave(double least, double most, long day) implements Shape {
    @Override
    public double rate(long at) {
      return least
          + (most - least) * (1 - Math.cos(2 * Math.PI * Math.floorMod(at, day) / day)) / 2;
    }
  }

  /**
   * A surge: a constant base rate, a quadratic rise to the peak, then an exponential decay back to
   * the base rate with the given half-life.
   */
  record Festival(double calm, double peak, long opens, long fullest, long halves)
      implements Shape {
    @Override
    public double rate(long at) {
      if (at < opens) {
        return calm;
      }
      if (at < fullest) {
        double fraction = (double) (at - opens) / (fullest - opens);
        return calm + (peak - calm) * fraction * fraction;
      }
      return calm + (peak - calm) * Math.pow(0.5, (double) (at - fullest) / halves);
    }

    @Override
    public double most() {
      return Math.max(calm, peak);
    }
  }

  /**
   * A rate that is switched off and on at the given times, in ascending order; on at the start. The
   * caller draws the times, for instance from a heavy-tailed distribution.
   */
  record OnOff(double perSecond, long[] switches) implements Shape {
    @Override
    public double rate(long at) {
      int index = java.util.Arrays.binarySearch(switches, at);
      int passed = index >= 0 ? index + 1 : -index - 1;
      return passed % 2 == 0 ? perSecond : 0;
    }

    @Override
    public double most() {
      return perSecond;
    }
  }

  /** The sum of several shapes. */
  record Sum(List<Shape> parts) implements Shape {
    @Override
    public double rate(long at) {
      return parts.stream().mapToDouble(one -> one.rate(at)).sum();
    }

    @Override
    public double most() {
      return parts.stream().mapToDouble(Shape::most).sum();
    }
  }

  /** The product of two shapes. */
  record Product(Shape one, Shape other) implements Shape {
    @Override
    public double rate(long at) {
      return one.rate(at) * other.rate(at);
    }

    @Override
    public double most() {
      return one.most() * other.most();
    }
  }
}

package tansytrack.lab.load;

import java.util.List;

/**
 * The arrival rate of a load over time: a pure function of the nanoseconds since its start. Shapes
 * can be added and multiplied, for instance to model a day.
 */
public sealed interface RateShape {

  /** Nanoseconds in a second. */
  long NANOS_PER_SECOND = 1_000_000_000L;

  /** Arrivals a second at that time. */
  double rate(long at);

  /** An upper bound of the rate, in arrivals a second. */
  double maxRate();

  /** A constant rate. */
  record Constant(double perSecond) implements RateShape {
    @Override
    public double rate(long at) {
      return perSecond;
    }

    @Override
    public double maxRate() {
      return perSecond;
    }
  }

  /** A linear change from one rate to another between two times; constant before and after. */
  record Ramp(double from, double to, long beginNanos, long endNanos) implements RateShape {
    @Override
    public double rate(long at) {
      double fraction =
          endNanos <= beginNanos
              ? at < beginNanos ? 0 : 1
              : Math.max(0, Math.min(1, (double) (at - beginNanos) / (endNanos - beginNanos)));
      return from + (to - from) * fraction;
    }

    @Override
    public double maxRate() {
      return Math.max(from, to);
    }
  }

  /** Constant rates one after the other, each for the same time; the last one has no end. */
  record Steps(List<Double> rates, long stepNanos) implements RateShape {
    @Override
    public double rate(long at) {
      return rates.get((int) Math.max(0, Math.min(rates.size() - 1, at / stepNanos)));
    }

    @Override
    public double maxRate() {
      return rates.stream().mapToDouble(Double::doubleValue).max().orElse(0);
    }
  }

  /** A constant rate for a while at the start of each interval, and 0 in the rest of it. */
  record Bursts(double perSecond, long intervalNanos, long durationNanos, long firstNanos)
      implements RateShape {
    @Override
    public double rate(long at) {
      return at >= firstNanos && Math.floorMod(at - firstNanos, intervalNanos) < durationNanos
          ? perSecond
          : 0;
    }

    @Override
    public double maxRate() {
      return perSecond;
    }
  }

  /** A cosine wave between two rates: lowest at the start of each period, highest in its middle. */
  record Wave(double minRate, double maxRate, long periodNanos) implements RateShape {
    @Override
    public double rate(long at) {
      return minRate
          + (maxRate - minRate)
              * (1 - Math.cos(2 * Math.PI * Math.floorMod(at, periodNanos) / periodNanos))
              / 2;
    }
  }

  /**
   * A surge: a constant base rate, a quadratic rise to the peak, then an exponential decay back to
   * the base rate with the given half-life.
   */
  record Festival(double calm, double peak, long openNanos, long peakNanos, long halfLifeNanos)
      implements RateShape {
    @Override
    public double rate(long at) {
      if (at < openNanos) {
        return calm;
      }
      if (at < peakNanos) {
        double fraction = (double) (at - openNanos) / (peakNanos - openNanos);
        return calm + (peak - calm) * fraction * fraction;
      }
      return calm + (peak - calm) * Math.pow(0.5, (double) (at - peakNanos) / halfLifeNanos);
    }

    @Override
    public double maxRate() {
      return Math.max(calm, peak);
    }
  }

  /**
   * A rate that is switched off and on at the given times, in ascending order; on at the start. The
   * caller draws the times, for instance from a heavy-tailed distribution.
   */
  record OnOff(double perSecond, long[] switchNanos) implements RateShape {
    @Override
    public double rate(long at) {
      int index = java.util.Arrays.binarySearch(switchNanos, at);
      int passed = index >= 0 ? index + 1 : -index - 1;
      return passed % 2 == 0 ? perSecond : 0;
    }

    @Override
    public double maxRate() {
      return perSecond;
    }
  }

  /** The sum of several shapes. */
  record Sum(List<RateShape> parts) implements RateShape {
    @Override
    public double rate(long at) {
      return parts.stream().mapToDouble(one -> one.rate(at)).sum();
    }

    @Override
    public double maxRate() {
      return parts.stream().mapToDouble(RateShape::maxRate).sum();
    }
  }

  /** The product of two shapes. */
  record Product(RateShape one, RateShape other) implements RateShape {
    @Override
    public double rate(long at) {
      return one.rate(at) * other.rate(at);
    }

    @Override
    public double maxRate() {
      return one.maxRate() * other.maxRate();
    }
  }
}

package tansytrack.lab.load;

import java.util.List;

/**
 * The arrival rate of a load over time: a pure function of the nanoseconds since its start. Shapes
 * can be added and multiplied, for instance to model a day.
 */
public sealed interface RateShape {

  /** Nanoseconds in a second. */
  long NANOS_PER_SECOND = 1_000_000_000L;

  /** Returns the rate in arrivals a second, at a time in nanoseconds since the start. */
  double rate(long nanosSinceStart);

  /** Returns an upper bound of the rate, in arrivals a second. */
  double maxRate();

  /** A constant rate. */
  record Constant(double arrivalsPerSecond) implements RateShape {
    @Override
    public double rate(long nanosSinceStart) {
      return arrivalsPerSecond;
    }

    @Override
    public double maxRate() {
      return arrivalsPerSecond;
    }
  }

  /** A linear change from one rate to another between two times; constant before and after. */
  record Ramp(double startRate, double endRate, long beginNanos, long endNanos)
      implements RateShape {
    @Override
    public double rate(long nanosSinceStart) {
      double fraction =
          endNanos <= beginNanos
              ? nanosSinceStart < beginNanos ? 0 : 1
              : Math.max(
                  0,
                  Math.min(1, (double) (nanosSinceStart - beginNanos) / (endNanos - beginNanos)));
      return startRate + (endRate - startRate) * fraction;
    }

    @Override
    public double maxRate() {
      return Math.max(startRate, endRate);
    }
  }

  /** Constant rates one after the other, each for the same time; the last one has no end. */
  record Steps(List<Double> rates, long stepNanos) implements RateShape {
    @Override
    public double rate(long nanosSinceStart) {
      return rates.get((int) Math.max(0, Math.min(rates.size() - 1, nanosSinceStart / stepNanos)));
    }

    @Override
    public double maxRate() {
      return rates.stream().mapToDouble(Double::doubleValue).max().orElse(0);
    }
  }

  /**
   * A constant rate for a while at the start of each interval, and 0 in the rest of it. The first
   * interval starts at {@code firstNanos}; until then the rate is 0.
   */
  record Bursts(double arrivalsPerSecond, long intervalNanos, long durationNanos, long firstNanos)
      implements RateShape {
    @Override
    public double rate(long nanosSinceStart) {
      return nanosSinceStart >= firstNanos
              && Math.floorMod(nanosSinceStart - firstNanos, intervalNanos) < durationNanos
          ? arrivalsPerSecond
          : 0;
    }

    @Override
    public double maxRate() {
      return arrivalsPerSecond;
    }
  }

  /** A cosine wave between two rates: lowest at the start of each period, highest in its middle. */
  record Wave(double minRate, double maxRate, long periodNanos) implements RateShape {
    @Override
    public double rate(long nanosSinceStart) {
      return minRate
          + (maxRate - minRate)
              * (1
                  - Math.cos(
                      2 * Math.PI * Math.floorMod(nanosSinceStart, periodNanos) / periodNanos))
              / 2;
    }
  }

  /**
   * A surge of load, as at a public festival: a constant base rate, a quadratic rise to the peak,
   * then an exponential decay back to the base rate with the given half-life.
   */
  record Festival(
      double baseRate, double peakRate, long riseStartNanos, long peakNanos, long halfLifeNanos)
      implements RateShape {
    @Override
    public double rate(long nanosSinceStart) {
      if (nanosSinceStart < riseStartNanos) {
        return baseRate;
      }
      if (nanosSinceStart < peakNanos) {
        double fraction =
            (double) (nanosSinceStart - riseStartNanos) / (peakNanos - riseStartNanos);
        return baseRate + (peakRate - baseRate) * fraction * fraction;
      }
      return baseRate
          + (peakRate - baseRate)
              * Math.pow(0.5, (double) (nanosSinceStart - peakNanos) / halfLifeNanos);
    }

    @Override
    public double maxRate() {
      return Math.max(baseRate, peakRate);
    }
  }

  /**
   * A rate that is on at the start, and is switched off and on at the given times, in ascending
   * order. The caller samples the times, for instance from a heavy-tailed distribution.
   */
  record OnOff(double arrivalsPerSecond, long[] switchNanos) implements RateShape {
    @Override
    public double rate(long nanosSinceStart) {
      int index = java.util.Arrays.binarySearch(switchNanos, nanosSinceStart);
      int passed = index >= 0 ? index + 1 : -index - 1;
      return passed % 2 == 0 ? arrivalsPerSecond : 0;
    }

    @Override
    public double maxRate() {
      return arrivalsPerSecond;
    }
  }

  /** The sum of several shapes. */
  record Sum(List<RateShape> parts) implements RateShape {
    @Override
    public double rate(long nanosSinceStart) {
      return parts.stream().mapToDouble(part -> part.rate(nanosSinceStart)).sum();
    }

    @Override
    public double maxRate() {
      return parts.stream().mapToDouble(RateShape::maxRate).sum();
    }
  }

  /** The product of two shapes. */
  record Product(RateShape first, RateShape second) implements RateShape {
    @Override
    public double rate(long nanosSinceStart) {
      return first.rate(nanosSinceStart) * second.rate(nanosSinceStart);
    }

    @Override
    public double maxRate() {
      return first.maxRate() * second.maxRate();
    }
  }
}

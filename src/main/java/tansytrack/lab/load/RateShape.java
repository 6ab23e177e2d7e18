package tansytrack.lab.load;

import java.util.List;

/**
 * How many arrivals a second a load intends, over time; nanoseconds from its start. Shapes add and
 * multiply, so a day is made of parts. Pure: the same time, the same rate.
 */
public sealed interface RateShape {

  long NANOS_PER_SECOND = 1_000_000_000L;

  /** Arrivals a second at that time. */
  double rate(long at);

  /** What the rate never passes. */
  double maxRate();

  /** Always the same. */
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

  /** Evenly from one rate to another between two times, and flat outside. */
  record Ramp(double from, double to, long beginNanos, long endNanos) implements RateShape {
    @Override
    public double rate(long at) {
      double part =
          endNanos <= beginNanos
              ? at < beginNanos ? 0 : 1
              : Math.max(0, Math.min(1, (double) (at - beginNanos) / (endNanos - beginNanos)));
      return from + (to - from) * part;
    }

    @Override
    public double maxRate() {
      return Math.max(from, to);
    }
  }

  /** One rate after the other, each for the same time; the last stays. */
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

  /** So much for a while at the start of each interval, nothing in the rest of it. */
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

  /** A day's wave between two rates: lowest at its start, highest at the middle. */
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
   * A festival morning: calm, then people come ever faster up to the peak, and leave more slowly
   * than they came. Between calm and peak it rises with the square of the part of the way and falls
   * by halves.
   */
  record Festival(double calm, double peak, long openNanos, long peakNanos, long halfLifeNanos)
      implements RateShape {
    @Override
    public double rate(long at) {
      if (at < openNanos) {
        return calm;
      }
      if (at < peakNanos) {
        double part = (double) (at - openNanos) / (peakNanos - openNanos);
        return calm + (peak - calm) * part * part;
      }
      return calm + (peak - calm) * Math.pow(0.5, (double) (at - peakNanos) / halfLifeNanos);
    }

    @Override
    public double maxRate() {
      return Math.max(calm, peak);
    }
  }

  /** On and off for times drawn beforehand with heavy tails; begins on. */
  record OnOff(double perSecond, long[] switchNanos) implements RateShape {
    @Override
    public double rate(long at) {
      int place = java.util.Arrays.binarySearch(switchNanos, at);
      int passed = place >= 0 ? place + 1 : -place - 1;
      return passed % 2 == 0 ? perSecond : 0;
    }

    @Override
    public double maxRate() {
      return perSecond;
    }
  }

  /** All of them together. */
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

  /** One times the other. */
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

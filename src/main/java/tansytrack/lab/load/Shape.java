package tansytrack.lab.load;

import java.util.List;

/**
 * How many arrivals a second a load intends, over time; nanoseconds from its start. Shapes add and
 * multiply, so a day is made of parts. Pure: the same time, the same rate.
 */
public sealed interface Shape {

  long SECOND = 1_000_000_000L;

  /** Arrivals a second at that time. */
  double rate(long at);

  /** What the rate never passes. */
  double most();

  /** Always the same. */
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

  /** Evenly from one rate to another between two times, and flat outside. */
  record Ramp(double from, double to, long begins, long ends) implements Shape {
    @Override
    public double rate(long at) {
      double part =
          ends <= begins
              ? at < begins ? 0 : 1
              : Math.max(0, Math.min(1, (double) (at - begins) / (ends - begins)));
      return from + (to - from) * part;
    }

    @Override
    public double most() {
      return Math.max(from, to);
    }
  }

  /** One rate after the other, each for the same time; the last stays. */
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

  /** So much for a while at the start of each interval, nothing in the rest of it. */
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

  /** A day's wave between two rates: lowest at its start, highest at the middle. */
  record Wave(double least, double most, long day) implements Shape {
    @Override
    public double rate(long at) {
      return least
          + (most - least) * (1 - Math.cos(2 * Math.PI * Math.floorMod(at, day) / day)) / 2;
    }
  }

  /**
   * A festival morning: calm, then people come ever faster up to the peak, and leave more slowly
   * than they came. Between calm and peak it rises with the square of the part of the way and falls
   * by halves.
   */
  record Festival(double calm, double peak, long opens, long fullest, long halves)
      implements Shape {
    @Override
    public double rate(long at) {
      if (at < opens) {
        return calm;
      }
      if (at < fullest) {
        double part = (double) (at - opens) / (fullest - opens);
        return calm + (peak - calm) * part * part;
      }
      return calm + (peak - calm) * Math.pow(0.5, (double) (at - fullest) / halves);
    }

    @Override
    public double most() {
      return Math.max(calm, peak);
    }
  }

  /** On and off for times drawn beforehand with heavy tails; begins on. */
  record OnOff(double perSecond, long[] switches) implements Shape {
    @Override
    public double rate(long at) {
      int place = java.util.Arrays.binarySearch(switches, at);
      int passed = place >= 0 ? place + 1 : -place - 1;
      return passed % 2 == 0 ? perSecond : 0;
    }

    @Override
    public double most() {
      return perSecond;
    }
  }

  /** All of them together. */
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

  /** One times the other. */
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

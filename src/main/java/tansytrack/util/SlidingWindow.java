package tansytrack.util;

import java.util.ArrayDeque;

/** What happened of late: times and amounts, forgotten from the oldest on. */
public final class SlidingWindow {

  private final ArrayDeque<long[]> happened = new ArrayDeque<>();

  /** Adds something that happened, with its amount. */
  public void add(long at, long amount) {
    happened.add(new long[] {at, amount});
  }

  /** Forgets what happened before that time. */
  public void evictBefore(long before) {
    while (!happened.isEmpty() && happened.peek()[0] < before) {
      happened.poll();
    }
  }

  /** How many happened within the window. */
  public int count() {
    return happened.size();
  }

  /** The sum of the amounts within the window. */
  public long sum() {
    long sum = 0;
    for (long[] one : happened) {
      sum += one[1];
    }
    return sum;
  }
}

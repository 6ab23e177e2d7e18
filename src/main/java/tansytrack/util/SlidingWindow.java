package tansytrack.util;

import java.util.ArrayDeque;

/** A sliding window of events, each with its time and an amount. */
public final class SlidingWindow {

  private final ArrayDeque<long[]> events = new ArrayDeque<>();

  /** Adds an event with its amount. */
  public void add(long at, long amount) {
    events.add(new long[] {at, amount});
  }

  /** Removes the events before that time. */
  public void evictBefore(long before) {
    while (!events.isEmpty() && events.peek()[0] < before) {
      events.poll();
    }
  }

  /** Returns the number of events in the window. */
  public int count() {
    return events.size();
  }

  /** Returns the sum of the amounts in the window. */
  public long sum() {
    long sum = 0;
    for (long[] one : events) {
      sum += one[1];
    }
    return sum;
  }
}

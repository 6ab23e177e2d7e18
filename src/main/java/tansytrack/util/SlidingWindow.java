package tansytrack.util;

import java.util.ArrayDeque;

/** A sliding window of events, each with its time and an amount. */
public final class SlidingWindow {

  private final ArrayDeque<long[]> events = new ArrayDeque<>();

  /** Adds an event with its amount. */
  public void add(long time, long amount) {
    events.add(new long[] {time, amount});
  }

  /** Removes the events before that time. */
  public void evictBefore(long time) {
    while (!events.isEmpty() && events.peek()[0] < time) {
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
    for (long[] event : events) {
      sum += event[1];
    }
    return sum;
  }
}

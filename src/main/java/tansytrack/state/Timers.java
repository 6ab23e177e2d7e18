package tansytrack.state;

import java.util.TreeSet;

/** The event loop's clock, read once in each iteration, and its queue of timers. */
public final class Timers {

  // A gap of this length between two readings of the clock, beyond sleep, counts as a stall.
  private static final long STALL = 10_000_000L;

  private final TreeSet<Timer> waiting = new TreeSet<>();
  private long now;
  private long calmSince;
  private long count;

  /** An action to be run at a given time unless it is cancelled before. */
  public final class Timer implements Comparable<Timer> {
    private final long at;
    private final long number = count++;
    private final Runnable what;

    private Timer(long at, Runnable what) {
      this.at = at;
      this.what = what;
    }

    /** Cancels the timer; has no effect if it has run. */
    public void cancel() {
      waiting.remove(this);
    }

    @Override
    public int compareTo(Timer other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
    }
  }

  /** Returns the time of the loop's current iteration, in nanoseconds. */
  public long now() {
    return now;
  }

  /** Sets the time; the loop has not slept since the previous reading. */
  public void now(long time) {
    slept(time, 0);
  }

  /** Sets the time after the loop has slept for up to the given time since the previous reading. */
  public void slept(long time, long nap) {
    calmSince = time - now - nap >= STALL ? time : calmSince;
    now = time;
  }

  /**
   * Returns the end of the last stall of the loop. During a stall, other threads of the process may
   * have got no processor time either.
   */
  long calmSince() {
    return calmSince;
  }

  /** Schedules an action to run on the loop at the given time. */
  public Timer at(long time, Runnable what) {
    Timer timer = new Timer(time, what);
    waiting.add(timer);
    return timer;
  }

  /** Returns the time until the next timer is due, at most the given time. */
  public long idle(long most) {
    return waiting.isEmpty() ? most : Math.max(0, Math.min(most, waiting.first().at - now));
  }

  /**
   * Runs all timers that are due. Timers that are added meanwhile wait for the next iteration of the
   * loop.
   */
  public void run() {
    long last = count;
    while (!waiting.isEmpty() && waiting.first().at <= now && waiting.first().number < last) {
      waiting.pollFirst().what.run();
    }
  }
}

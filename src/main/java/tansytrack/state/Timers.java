package tansytrack.state;

import java.util.TreeSet;

/** The event loop's clock, read once in each iteration, and its queue of timers. */
public final class Timers {

  // A gap of this length between two readings of the clock, beyond sleep, counts as a stall.
  private static final long STALL_NANOS = 10_000_000L;

  private final TreeSet<Timer> queue = new TreeSet<>();
  private long now;
  private long lastStallEnd;
  private long nextSequence;

  /** An action to be run at a given time unless it is cancelled before. */
  public final class Timer implements Comparable<Timer> {
    private final long dueAt;
    private final long sequence = nextSequence++;
    private final Runnable action;

    private Timer(long dueAt, Runnable action) {
      this.dueAt = dueAt;
      this.action = action;
    }

    /** Cancels the timer; has no effect if it has run. */
    public void cancel() {
      queue.remove(this);
    }

    @Override
    public int compareTo(Timer other) {
      return dueAt != other.dueAt
          ? Long.compare(dueAt, other.dueAt)
          : Long.compare(sequence, other.sequence);
    }
  }

  /** Returns the time of the loop's current iteration, in nanoseconds. */
  public long now() {
    return now;
  }

  /** Sets the time; the loop has not slept since the previous reading. */
  public void now(long time) {
    advanceAfterSleep(time, 0);
  }

  /** Sets the time after the loop has slept for up to the given time since the previous reading. */
  public void advanceAfterSleep(long time, long maxSleep) {
    lastStallEnd = time - now - maxSleep >= STALL_NANOS ? time : lastStallEnd;
    now = time;
  }

  /**
   * Returns the end of the last stall of the loop. During a stall, other threads of the process may
   * have got no processor time either.
   */
  long lastStallEnd() {
    return lastStallEnd;
  }

  /** Schedules an action to run on the loop at the given time. */
  public Timer schedule(long time, Runnable action) {
    Timer timer = new Timer(time, action);
    queue.add(timer);
    return timer;
  }

  /** Returns the time until the next timer is due, at most the given time. */
  public long nanosUntilNext(long max) {
    return queue.isEmpty() ? max : Math.max(0, Math.min(max, queue.first().dueAt - now));
  }

  /**
   * Runs all timers that are due. Timers that are added meanwhile wait for the next iteration of
   * the loop.
   */
  public void runDue() {
    long endSequence = nextSequence;
    while (!queue.isEmpty() && queue.first().dueAt <= now && queue.first().sequence < endSequence) {
      queue.pollFirst().action.run();
    }
  }
}

package tansytrack.state;

import java.util.TreeSet;

/** The present time, as the loop last read it, and all that is to happen later, in one order. */
public final class Timers {

  private static final long STALL_NANOS = 10_000_000L;

  private final TreeSet<Timer> queue = new TreeSet<>();
  private long now;
  private long lastStallEnd;
  private long nextSequence;

  /** Something to be done at a time, unless it is cancelled first. */
  public final class Timer implements Comparable<Timer> {
    private final long dueAt;
    private final long sequence = nextSequence++;
    private final Runnable action;

    private Timer(long at, Runnable what) {
      this.dueAt = at;
      this.action = what;
    }

    /** Takes the timer back; nothing happens if it has run. */
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

  /** The time of the loop's current round. */
  public long now() {
    return now;
  }

  /** The loop has been at work since it read the time before. */
  public void now(long time) {
    advanceAfterSleep(time, 0);
  }

  /** Or it wanted to sleep so long since then. */
  public void advanceAfterSleep(long time, long nap) {
    lastStallEnd = time - now - nap >= STALL_NANOS ? time : lastStallEnd;
    now = time;
  }

  /**
   * Since when the loop has got the time that it needs; what else runs beside it may have got none
   * before that either.
   */
  long lastStallEnd() {
    return lastStallEnd;
  }

  /** Runs something on the loop once that time has come. */
  public Timer schedule(long time, Runnable what) {
    Timer timer = new Timer(time, what);
    queue.add(timer);
    return timer;
  }

  /** How long until the next one is due, at most the given time. */
  public long nanosUntilNext(long most) {
    return queue.isEmpty() ? most : Math.max(0, Math.min(most, queue.first().dueAt - now));
  }

  /** Does all that is due by now; what is added meanwhile waits for the next turn of the loop. */
  public void runDue() {
    long last = nextSequence;
    while (!queue.isEmpty() && queue.first().dueAt <= now && queue.first().sequence < last) {
      queue.pollFirst().action.run();
    }
  }
}

package tansytrack.state;

import java.util.TreeSet;

/** The present time, as the loop last read it, and all that is to happen later, in one order. */
public final class Timers {

  private static final long STALL = 10_000_000L;

  private final TreeSet<Timer> waiting = new TreeSet<>();
  private long now;
  private long calmSince;
  private long count;

  /** Something to be done at a time, unless it is cancelled first. */
  public final class Timer implements Comparable<Timer> {
    private final long at;
    private final long number = count++;
    private final Runnable what;

    private Timer(long at, Runnable what) {
      this.at = at;
      this.what = what;
    }

    /** Takes the timer back; nothing happens if it has run. */
    public void cancel() {
      waiting.remove(this);
    }

    @Override
    public int compareTo(Timer other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
    }
  }

  /** The time of the loop's current round. */
  public long now() {
    return now;
  }

  /** The loop has been at work since it read the time before. */
  public void now(long time) {
    slept(time, 0);
  }

  /** Or it wanted to sleep so long since then. */
  public void slept(long time, long nap) {
    calmSince = time - now - nap >= STALL ? time : calmSince;
    now = time;
  }

  /**
   * Since when the loop has got the time that it needs; what else runs beside it may have got none
   * before that either.
   */
  long calmSince() {
    return calmSince;
  }

  /** Runs something on the loop once that time has come. */
  public Timer at(long time, Runnable what) {
    Timer timer = new Timer(time, what);
    waiting.add(timer);
    return timer;
  }

  /** How long until the next one is due, at most the given time. */
  public long idle(long most) {
    return waiting.isEmpty() ? most : Math.max(0, Math.min(most, waiting.first().at - now));
  }

  /** Does all that is due by now; what is added meanwhile waits for the next turn of the loop. */
  public void run() {
    long last = count;
    while (!waiting.isEmpty() && waiting.first().at <= now && waiting.first().number < last) {
      waiting.pollFirst().what.run();
    }
  }
}

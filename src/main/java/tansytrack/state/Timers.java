package tansytrack.state;

import java.util.TreeSet;

/** The present time, as the loop last read it, and all that is to happen later, in one order. */
public final class Timers {

    private final TreeSet<Timer> waiting = new TreeSet<>();
    private long now;
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

        public void cancel() {
            waiting.remove(this);
        }

        @Override
        public int compareTo(Timer other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    public long now() {
        return now;
    }

    public void now(long time) {
        now = time;
    }

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

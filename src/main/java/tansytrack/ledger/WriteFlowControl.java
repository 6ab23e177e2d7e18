package tansytrack.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides what leaves the loop for the disk, and when an answer that waits for the disk may go.
 * Lines on their way are bounded; what finds no room is counted into one gap, which goes out,
 * numbered, ahead of the next line that does. An answer waits for the commit of its line, for the
 * patience at most: guards against clients that hear nothing because a disk is slow or dead. Harm:
 * what is answered then may be lost in a crash, and is counted as such. Pure.
 */
public final class WriteFlowControl {

  /** One answer that waits, by the number of its line. */
  private record Held(long number, long since, Runnable say) {}

  private static final int LINES_A_TASK = 5; // two forwards out and in, and the answer

  private final long epoch;
  private final int mostUnwritten;
  private final long patience;
  private final ArrayDeque<Held> held = new ArrayDeque<>();
  private long handed; // lines, ever
  private long durable;
  private long gaps;
  private long gapFirst;
  private long gapLast;
  private long gapFrom;
  private long gapLines;
  private long answeredUndurable;

  /**
   * A hand-over that refuses lines above a bound, and gives up waiting for the disk after a time.
   */
  public WriteFlowControl(long epoch, int mostUnwritten, long patience) {
    this.epoch = epoch;
    this.mostUnwritten = mostUnwritten;
    this.patience = patience;
  }

  /** The lines to hand over now: this one, with a gap before it where one is open, or none. */
  public List<Line> offer(long now, Line line) {
    return offer(now, line, 0);
  }

  /**
   * The same for a line that must leave the room which so many open tasks may yet need: that of one
   * which was bounced.
   */
  public List<Line> offer(long now, Line line, int openTasks) {
    boolean gap = gapLines > 0;
    if (handed - durable + (gap ? 2 : 1) + (long) LINES_A_TASK * openTasks > mostUnwritten) {
      if (!gap) {
        gapFrom = now;
        gapFirst = 0;
        gapLast = 0;
      }
      if (line.sequence() > 0) { // what is told of an earlier life has no number in this one
        gapFirst = gapFirst == 0 ? line.sequence() : Math.min(gapFirst, line.sequence());
        gapLast = Math.max(gapLast, line.sequence());
      }
      gapLines++;
      return List.of();
    }
    if (!gap) {
      handed++;
      return List.of(line);
    }
    List<Line> both = new ArrayList<>(2);
    both.add(closeGap(now));
    both.add(line);
    handed += 2;
    return both;
  }

  /**
   * Is there room for a further task beside those open? Each may bring some lines yet, and no line
   * of a task that was let in is to be lost. Guards against work that nobody can be billed for; the
   * harm is that tasks are refused.
   */
  public boolean admits(int openTasks) {
    return gapLines == 0
        && handed - durable + (long) LINES_A_TASK * (openTasks + 1) <= mostUnwritten;
  }

  /** The open gap, where there is room for it now: it must not wait for another task. */
  public List<Line> idle(long now) {
    if (gapLines == 0 || handed - durable >= mostUnwritten) {
      return List.of();
    }
    handed++;
    return List.of(closeGap(now));
  }

  private Line closeGap(long now) {
    Line.Missing missing =
        new Line.Missing(
            new Gap(
                epoch,
                ++gaps,
                gapFirst,
                gapLast,
                gapFrom,
                now,
                gapLines,
                "the disk did not keep up"));
    gapLines = 0;
    return missing;
  }

  /**
   * An answer that may go once all handed over so far is durable; given back at once where it need
   * not wait.
   */
  public void hold(long now, Runnable say) {
    if (gapLines > 0 || handed == durable || patience == 0) {
      answeredUndurable += handed > durable || gapLines > 0 ? 1 : 0;
      say.run();
    } else {
      held.add(new Held(handed, now, say));
    }
  }

  /** So many lines are on the disk; answers that waited for them go, in order. */
  public void durable(long lines) {
    durable = Math.max(durable, lines);
    while (!held.isEmpty() && held.peek().number <= durable) {
      held.poll().say.run();
    }
  }

  /** Lets go what has waited for too long, and says when to ask again: 0 where nothing waits. */
  public long overdue(long now) {
    while (!held.isEmpty() && now - held.peek().since >= patience) {
      answeredUndurable++;
      held.poll().say.run();
    }
    return held.isEmpty() ? 0 : held.peek().since + patience;
  }

  /** The manager ends: nothing waits any more. */
  public void release() {
    while (!held.isEmpty()) {
      held.poll().say.run();
    }
  }

  /** Lines handed over that are not durable yet. */
  public long unwritten() {
    return handed - durable;
  }

  /** Lines that the gap now open leaves out. */
  public long uncounted() {
    return gapLines;
  }

  /** How many gaps were opened so far. */
  public long gaps() {
    return gaps;
  }

  /** How many clients were answered before their entry was durable. */
  public long answeredUndurable() {
    return answeredUndurable;
  }
}

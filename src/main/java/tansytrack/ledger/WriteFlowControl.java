package tansytrack.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Bounds the updates on their way from the event loop to the disk, and decides when an answer or
 * forward that waits for the disk is released. Updates that exceed the bound are lost and counted in
 * one gap, which is handed over, with a number, before the next accepted update. An answer waits
 * until the updates before it are committed, but no longer than a maximum time, so that clients get
 * answers even if the disk is slow or fails. The cost is that an answer released early may be missing
 * from the ledger after a crash; such releases are counted. Does no I/O and gets the time from its
 * caller.
 */
public final class WriteFlowControl {

  /** An answer or forward that waits until the update with this number is durable. */
  private record Held(long number, long since, Runnable say) {}

  // Two forwards with an update for sending and for the end each, and the answer.
  private static final int LINES_A_TASK = 5;

  private final long epoch;
  private final int mostUnwritten;
  private final long patience;
  private final ArrayDeque<Held> held = new ArrayDeque<>();
  // The number of updates handed over since the start.
  private long handed;
  private long durable;
  private long gaps;
  private long gapFirst;
  private long gapLast;
  private long gapFrom;
  private long gapLines;
  private long answeredUndurable;

  /**
   * Creates a flow control for one epoch.
   *
   * @param mostUnwritten the maximum number of updates handed over and not yet durable
   * @param patience the maximum time that an answer or forward is held, in nanoseconds
   */
  public WriteFlowControl(long epoch, int mostUnwritten, long patience) {
    this.epoch = epoch;
    this.mostUnwritten = mostUnwritten;
    this.patience = patience;
  }

  /**
   * Returns the updates to hand over now: the given one, preceded by a gap if one is open, or none if
   * the update is lost.
   */
  public List<Line> offer(long now, Line line) {
    return offer(now, line, 0);
  }

  /**
   * Like {@link #offer(long, Line)}, but keeps room for the updates that this many open tasks may
   * still need. Used for the updates of rejected tasks.
   */
  public List<Line> offer(long now, Line line, int openTasks) {
    boolean gap = gapLines > 0;
    if (handed - durable + (gap ? 2 : 1) + (long) LINES_A_TASK * openTasks > mostUnwritten) {
      if (!gap) {
        gapFrom = now;
        gapFirst = 0;
        gapLast = 0;
      }
      // A report on a forward of an earlier epoch has no number in this one.
      if (line.sequence() > 0) {
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
   * Whether there is room for all updates of a further task and of the open ones, so that no update
   * of an accepted task is lost. This prevents work that cannot be billed, at the cost of rejected
   * tasks.
   */
  public boolean admits(int openTasks) {
    return gapLines == 0
        && handed - durable + (long) LINES_A_TASK * (openTasks + 1) <= mostUnwritten;
  }

  /**
   * Returns the open gap if there is room for it now. A gap must not wait for the update of another
   * task.
   */
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
   * Runs an action once all updates handed over so far are durable; at once if it need not wait, and
   * also if a gap is open.
   */
  public void hold(long now, Runnable say) {
    if (gapLines > 0 || handed == durable || patience == 0) {
      answeredUndurable += handed > durable || gapLines > 0 ? 1 : 0;
      say.run();
    } else {
      held.add(new Held(handed, now, say));
    }
  }

  /**
   * Notes that this many updates since the start are durable, and releases in order what waited for
   * them.
   */
  public void durable(long lines) {
    durable = Math.max(durable, lines);
    while (!held.isEmpty() && held.peek().number <= durable) {
      held.poll().say.run();
    }
  }

  /**
   * Releases what has waited for the maximum time, and returns the time of the next call; 0 if
   * nothing waits.
   */
  public long overdue(long now) {
    while (!held.isEmpty() && now - held.peek().since >= patience) {
      answeredUndurable++;
      held.poll().say.run();
    }
    return held.isEmpty() ? 0 : held.peek().since + patience;
  }

  /** Releases everything; called when the manager ends. */
  public void release() {
    while (!held.isEmpty()) {
      held.poll().say.run();
    }
  }

  /** The number of updates handed over that are not durable yet. */
  public long unwritten() {
    return handed - durable;
  }

  /** The number of updates lost in the gap that is open. */
  public long uncounted() {
    return gapLines;
  }

  /** The number of gaps handed over so far. */
  public long gaps() {
    return gaps;
  }

  /** The number of answers and forwards released before the updates before them were durable. */
  public long answeredUndurable() {
    return answeredUndurable;
  }
}

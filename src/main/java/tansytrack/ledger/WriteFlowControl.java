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
  private record HeldAction(long updateNumber, long since, Runnable action) {}

  private static final int MAX_UPDATES_PER_TASK = 5; // two forwards out and in, and the answer

  private final long epoch;
  private final int maxUnwritten;
  private final long maxHoldNanos;
  private final ArrayDeque<HeldAction> held = new ArrayDeque<>();
  private long handedOver; // lines, ever
  private long markDurable;
  private long gapCount;
  private long gapFirst;
  private long gapLast;
  private long gapFrom;
  private long gapUpdates;
  private long releasedBeforeCommit;

  /**
   * A hand-over that refuses lines above a bound, and gives up waiting for the disk after a time.
   */
  public WriteFlowControl(long epoch, int mostUnwritten, long patience) {
    this.epoch = epoch;
    this.maxUnwritten = mostUnwritten;
    this.maxHoldNanos = patience;
  }

  /** The lines to hand over now: this one, with a gap before it where one is open, or none. */
  public List<LedgerUpdate> offer(long now, LedgerUpdate line) {
    return offer(now, line, 0);
  }

  /**
   * The same for a line that must leave the room which so many open tasks may yet need: that of one
   * which was bounced.
   */
  public List<LedgerUpdate> offer(long now, LedgerUpdate line, int openTasks) {
    boolean gap = gapUpdates > 0;
    if (handedOver - markDurable + (gap ? 2 : 1) + (long) MAX_UPDATES_PER_TASK * openTasks
        > maxUnwritten) {
      if (!gap) {
        gapFrom = now;
        gapFirst = 0;
        gapLast = 0;
      }
      if (line.sequence() > 0) { // what is told of an earlier life has no number in this one
        gapFirst = gapFirst == 0 ? line.sequence() : Math.min(gapFirst, line.sequence());
        gapLast = Math.max(gapLast, line.sequence());
      }
      gapUpdates++;
      return List.of();
    }
    if (!gap) {
      handedOver++;
      return List.of(line);
    }
    List<LedgerUpdate> both = new ArrayList<>(2);
    both.add(closeGap(now));
    both.add(line);
    handedOver += 2;
    return both;
  }

  /**
   * Is there room for a further task beside those open? Each may bring some lines yet, and no line
   * of a task that was let in is to be lost. Guards against work that nobody can be billed for; the
   * harm is that tasks are refused.
   */
  public boolean admits(int openTasks) {
    return gapUpdates == 0
        && handedOver - markDurable + (long) MAX_UPDATES_PER_TASK * (openTasks + 1) <= maxUnwritten;
  }

  /** The open gap, where there is room for it now: it must not wait for another task. */
  public List<LedgerUpdate> flushGap(long now) {
    if (gapUpdates == 0 || handedOver - markDurable >= maxUnwritten) {
      return List.of();
    }
    handedOver++;
    return List.of(closeGap(now));
  }

  private LedgerUpdate closeGap(long now) {
    LedgerUpdate.UpdatesLost missing =
        new LedgerUpdate.UpdatesLost(
            new Gap(
                epoch,
                ++gapCount,
                gapFirst,
                gapLast,
                gapFrom,
                now,
                gapUpdates,
                "the disk did not keep up"));
    gapUpdates = 0;
    return missing;
  }

  /**
   * An answer that may go once all handed over so far is durable; given back at once where it need
   * not wait.
   */
  public void hold(long now, Runnable say) {
    if (gapUpdates > 0 || handedOver == markDurable || maxHoldNanos == 0) {
      releasedBeforeCommit += handedOver > markDurable || gapUpdates > 0 ? 1 : 0;
      say.run();
    } else {
      held.add(new HeldAction(handedOver, now, say));
    }
  }

  /** So many lines are on the disk; answers that waited for them go, in order. */
  public void markDurable(long lines) {
    markDurable = Math.max(markDurable, lines);
    while (!held.isEmpty() && held.peek().updateNumber <= markDurable) {
      held.poll().action.run();
    }
  }

  /** Lets go what has waited for too long, and says when to ask again: 0 where nothing waits. */
  public long releaseOverdue(long now) {
    while (!held.isEmpty() && now - held.peek().since >= maxHoldNanos) {
      releasedBeforeCommit++;
      held.poll().action.run();
    }
    return held.isEmpty() ? 0 : held.peek().since + maxHoldNanos;
  }

  /** The manager ends: nothing waits any more. */
  public void releaseAll() {
    while (!held.isEmpty()) {
      held.poll().action.run();
    }
  }

  /** Lines handed over that are not durable yet. */
  public long unwritten() {
    return handedOver - markDurable;
  }

  /** Lines that the gap now open leaves out. */
  public long openGapUpdates() {
    return gapUpdates;
  }

  /** How many gaps were opened so far. */
  public long gapCount() {
    return gapCount;
  }

  /** How many clients were answered before their entry was durable. */
  public long releasedBeforeCommit() {
    return releasedBeforeCommit;
  }
}

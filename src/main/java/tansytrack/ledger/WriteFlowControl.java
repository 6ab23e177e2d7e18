package tansytrack.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Bounds the updates on their way from the event loop to the disk, and decides when an answer or
 * forward that waits for the disk is released. Updates that exceed the bound are lost and counted
 * in one gap, which is handed over, with a number, before the next accepted update. An answer waits
 * until the updates before it are committed, but no longer than a maximum time, so that clients get
 * answers even if the disk is slow or fails. The cost is that an answer released early may be
 * missing from the ledger after a crash; such releases are counted. Does no I/O and gets the time
 * from its caller.
 */
public final class WriteFlowControl {

  /** An answer or forward that waits until the update with this number is durable. */
  private record HeldAction(long updateNumber, long since, Runnable action) {}

  // Two forwards with an update for sending and for the end each, and the answer.
  private static final int MAX_UPDATES_PER_TASK = 5;

  private final long epoch;
  private final int maxUnwritten;
  private final long maxHoldNanos;
  private final ArrayDeque<HeldAction> held = new ArrayDeque<>();
  // The number of updates handed over since the start.
  private long handedOver;
  private long durableUpdates;
  private long gapCount;
  private long gapFirst;
  private long gapLast;
  private long gapFrom;
  private long gapUpdates;
  private long releasedBeforeCommit;

  /**
   * Creates a flow control for one epoch.
   *
   * @param maxUnwritten the maximum number of updates handed over and not yet durable
   * @param maxHoldNanos the maximum time that an answer or forward is held, in nanoseconds
   */
  public WriteFlowControl(long epoch, int maxUnwritten, long maxHoldNanos) {
    this.epoch = epoch;
    this.maxUnwritten = maxUnwritten;
    this.maxHoldNanos = maxHoldNanos;
  }

  /**
   * Returns the updates to hand over now: the given one, preceded by a gap if one is open, or none
   * if the update is lost.
   */
  public List<LedgerUpdate> offer(long now, LedgerUpdate update) {
    return offer(now, update, 0);
  }

  /**
   * Like {@link #offer(long, LedgerUpdate)}, but keeps room for the updates that this many open
   * tasks may still need. Used for the updates of rejected tasks.
   */
  public List<LedgerUpdate> offer(long now, LedgerUpdate update, int openTasks) {
    boolean gapOpen = gapUpdates > 0;
    if (handedOver - durableUpdates + (gapOpen ? 2 : 1) + (long) MAX_UPDATES_PER_TASK * openTasks
        > maxUnwritten) {
      if (!gapOpen) {
        gapFrom = now;
        gapFirst = 0;
        gapLast = 0;
      }
      // A report on a forward of an earlier epoch has no number in this one.
      if (update.sequence() > 0) {
        gapFirst = gapFirst == 0 ? update.sequence() : Math.min(gapFirst, update.sequence());
        gapLast = Math.max(gapLast, update.sequence());
      }
      gapUpdates++;
      return List.of();
    }
    if (!gapOpen) {
      handedOver++;
      return List.of(update);
    }
    List<LedgerUpdate> gapAndUpdate = new ArrayList<>(2);
    gapAndUpdate.add(closeGap(now));
    gapAndUpdate.add(update);
    handedOver += 2;
    return gapAndUpdate;
  }

  /**
   * Whether there is room for all updates of a further task and of the open ones, so that no update
   * of an accepted task is lost. This prevents work that cannot be billed, at the cost of rejected
   * tasks.
   */
  public boolean acceptsTask(int openTasks) {
    return gapUpdates == 0
        && handedOver - durableUpdates + (long) MAX_UPDATES_PER_TASK * (openTasks + 1)
            <= maxUnwritten;
  }

  /**
   * Returns the open gap if there is room for it now. A gap must not wait for the update of another
   * task.
   */
  public List<LedgerUpdate> flushGap(long now) {
    if (gapUpdates == 0 || handedOver - durableUpdates >= maxUnwritten) {
      return List.of();
    }
    handedOver++;
    return List.of(closeGap(now));
  }

  private LedgerUpdate closeGap(long now) {
    LedgerUpdate.UpdatesLost updatesLost =
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
    return updatesLost;
  }

  /**
   * Runs an action once all updates handed over so far are durable; at once if it need not wait,
   * and also if a gap is open.
   */
  public void hold(long now, Runnable action) {
    if (gapUpdates > 0 || handedOver == durableUpdates || maxHoldNanos == 0) {
      releasedBeforeCommit += handedOver > durableUpdates || gapUpdates > 0 ? 1 : 0;
      action.run();
    } else {
      held.add(new HeldAction(handedOver, now, action));
    }
  }

  /**
   * Notes that this many updates since the start are durable, and releases in order what waited for
   * them.
   */
  public void markDurable(long updates) {
    durableUpdates = Math.max(durableUpdates, updates);
    while (!held.isEmpty() && held.peek().updateNumber <= durableUpdates) {
      held.poll().action.run();
    }
  }

  /**
   * Releases what has waited for the maximum time, and returns the time of the next call; 0 if
   * nothing waits.
   */
  public long releaseOverdue(long now) {
    while (!held.isEmpty() && now - held.peek().since >= maxHoldNanos) {
      releasedBeforeCommit++;
      held.poll().action.run();
    }
    return held.isEmpty() ? 0 : held.peek().since + maxHoldNanos;
  }

  /** Releases everything; called when the manager ends. */
  public void releaseAll() {
    while (!held.isEmpty()) {
      held.poll().action.run();
    }
  }

  /** The number of updates handed over that are not durable yet. */
  public long unwritten() {
    return handedOver - durableUpdates;
  }

  /** The number of updates lost in the gap that is open. */
  public long openGapUpdates() {
    return gapUpdates;
  }

  /** The number of gaps handed over so far. */
  public long gapCount() {
    return gapCount;
  }

  /** The number of answers and forwards released before the updates before them were durable. */
  public long releasedBeforeCommit() {
    return releasedBeforeCommit;
  }
}

package tansytrack.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Turns the events of tasks into ledger updates: numbers each task as it is accepted and keeps
 * track of its forwards in flight. Does no I/O and gets the time from its caller. Its memory grows
 * with the number of open tasks.
 */
public final class EntryTracker {

  /** A task that is not answered yet or has forwards in flight. */
  private static final class OpenEntry {
    final long sequence;
    final String tenant;
    final String grade;
    final long takenAt;
    final List<Use> uses = new ArrayList<>(2);
    int inFlight;
    boolean answered;

    OpenEntry(long sequence, String tenant, String grade, long takenAt) {
      this.sequence = sequence;
      this.tenant = tenant;
      this.grade = grade;
      this.takenAt = takenAt;
    }
  }

  /** Computes what a task earned. */
  public interface EarningsFunction {
    /**
     * Returns the earnings of a task in thousandths.
     *
     * @param grade the query class
     * @param durationNanos the time from acceptance to answer in nanoseconds
     */
    long earningsMilli(String grade, TaskEnd end, long durationNanos);
  }

  private final EarningsFunction earnings;
  private final Map<String, OpenEntry> openEntries = new HashMap<>();
  private long lastSequence;

  /** Creates a tracker that computes earnings with the given function. */
  public EntryTracker(EarningsFunction earnings) {
    this.earnings = earnings;
  }

  /** Registers an accepted task and returns its number in this epoch. */
  public long taskAccepted(long now, String task, String tenant, String grade) {
    openEntries.put(task, new OpenEntry(++lastSequence, tenant, grade, now));
    return lastSequence;
  }

  /** Records a forward that is about to be sent. */
  public LedgerUpdate forwardSent(long now, String task, int index, String engine, long grantedMb) {
    OpenEntry entry = openEntries.get(task);
    Use use = new Use(index, engine, now, 0, "", 0, 0, grantedMb, false);
    entry.uses.add(use);
    entry.inFlight++;
    return new LedgerUpdate.ForwardSent(
        entry.sequence, task, entry.tenant, entry.grade, entry.takenAt, use);
  }

  /**
   * Records the end of a forward.
   *
   * @param served whether its result goes to the client
   * @return the update, or null if the forward is not known to be in flight
   */
  public LedgerUpdate forwardEnded(
      long now,
      String task,
      int index,
      String outcome,
      long workNanos,
      double neededMb,
      boolean served) {
    OpenEntry entry = openEntries.get(task);
    if (entry == null || index >= entry.uses.size() || !entry.uses.get(index).inFlight()) {
      return null;
    }
    Use sent = entry.uses.get(index);
    Use use =
        new Use(
            index,
            sent.engine(),
            sent.sentAt(),
            now,
            outcome,
            workNanos,
            Math.round(neededMb),
            sent.grantedMb(),
            !served);
    entry.uses.set(index, use);
    entry.inFlight--;
    return new LedgerUpdate.ForwardEnded(entry.sequence, use, removeIfComplete(task, entry));
  }

  /** Records that the client was answered; forwards may still be in flight. */
  public LedgerUpdate taskAnswered(long now, String task, TaskEnd end, long bytes) {
    OpenEntry entry = openEntries.get(task);
    entry.answered = true;
    boolean complete = removeIfComplete(task, entry);
    return new LedgerUpdate.TaskAnswered(
        entry.sequence,
        task,
        entry.tenant,
        entry.grade,
        entry.takenAt,
        now,
        end,
        bytes,
        earnings.earningsMilli(entry.grade, end, now - entry.takenAt),
        complete);
  }

  private boolean removeIfComplete(String task, OpenEntry entry) {
    boolean complete = entry.answered && entry.inFlight == 0;
    if (complete) {
      openEntries.remove(task, entry);
    }
    return complete;
  }

  /** The number of tasks that are not complete yet. */
  public int openTasks() {
    return openEntries.size();
  }
}

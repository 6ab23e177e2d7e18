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
     * @param time the time from acceptance to answer in nanoseconds
     */
    long earningsMilli(String grade, TaskEnd end, long time);
  }

  private final EarningsFunction earnings;
  private final Map<String, OpenEntry> openEntries = new HashMap<>();
  private long lastSequence;

  /** Creates a tracker that computes earnings with the given function. */
  public EntryTracker(EarningsFunction earnings) {
    this.earnings = earnings;
  }

  /** Registers an accepted task and returns its number in this epoch. */
  public long taskTaken(long now, String task, String tenant, String grade) {
    openEntries.put(task, new OpenEntry(++lastSequence, tenant, grade, now));
    return lastSequence;
  }

  /** Records a forward that is about to be sent. */
  public LedgerUpdate forwardSent(long now, String task, int index, String engine, long grantedMb) {
    OpenEntry one = openEntries.get(task);
    Use use = new Use(index, engine, now, 0, "", 0, 0, grantedMb, false);
    one.uses.add(use);
    one.inFlight++;
    return new LedgerUpdate.ForwardSent(
        one.sequence, task, one.tenant, one.grade, one.takenAt, use);
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
      long work,
      double neededMb,
      boolean served) {
    OpenEntry one = openEntries.get(task);
    if (one == null || index >= one.uses.size() || !one.uses.get(index).inFlight()) {
      return null;
    }
    Use sent = one.uses.get(index);
    Use use =
        new Use(
            index,
            sent.engine(),
            sent.sentAt(),
            now,
            outcome,
            work,
            Math.round(neededMb),
            sent.grantedMb(),
            !served);
    one.uses.set(index, use);
    one.inFlight--;
    return new LedgerUpdate.ForwardEnded(one.sequence, use, removeIfComplete(task, one));
  }

  /** Records that the client was answered; forwards may still be in flight. */
  public LedgerUpdate taskAnswered(long now, String task, TaskEnd end, long bytes) {
    OpenEntry one = openEntries.get(task);
    one.answered = true;
    boolean complete = removeIfComplete(task, one);
    return new LedgerUpdate.TaskAnswered(
        one.sequence,
        task,
        one.tenant,
        one.grade,
        one.takenAt,
        now,
        end,
        bytes,
        earnings.earningsMilli(one.grade, end, now - one.takenAt),
        complete);
  }

  private boolean removeIfComplete(String task, OpenEntry one) {
    boolean complete = one.answered && one.inFlight == 0;
    if (complete) {
      openEntries.remove(task, one);
    }
    return complete;
  }

  /** The number of tasks that are not complete yet. */
  public int openTasks() {
    return openEntries.size();
  }
}

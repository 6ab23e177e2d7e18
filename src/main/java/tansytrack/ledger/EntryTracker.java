package tansytrack.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Makes lines of what tasks do: numbers each task as it is taken, and knows which forwards are out.
 * Pure: it is told the time, and gives lines back. It holds as much as there are open tasks.
 */
public final class EntryTracker {

  /** One open task. */
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

  /** What a task of that grade earned in thousandths, by its end and the time that it took. */
  public interface EarningsFunction {
    /** Earnings in thousandths, by query class, end and time to the answer. */
    long earningsMilli(String grade, TaskEnd end, long time);
  }

  private final EarningsFunction earnings;
  private final Map<String, OpenEntry> openEntries = new HashMap<>();
  private long lastSequence;

  /** Entries whose earnings are computed by the given function. */
  public EntryTracker(EarningsFunction earnings) {
    this.earnings = earnings;
  }

  /** A task was taken in; gives its number in this epoch. */
  public long taskTaken(long now, String task, String tenant, String grade) {
    openEntries.put(task, new OpenEntry(++lastSequence, tenant, grade, now));
    return lastSequence;
  }

  /** A forward is about to go out. */
  public LedgerUpdate forwardSent(long now, String task, int index, String engine, long grantedMb) {
    OpenEntry one = openEntries.get(task);
    Use use = new Use(index, engine, now, 0, "", 0, 0, grantedMb, false);
    one.uses.add(use);
    one.inFlight++;
    return new LedgerUpdate.ForwardSent(
        one.sequence, task, one.tenant, one.grade, one.takenAt, use);
  }

  /**
   * A forward's end; served: its result went to the client. Null where the forward is not known to
   * be out.
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

  /** The client was answered; forwards may still be out. */
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

  /** How many tasks are not complete yet. */
  public int openTasks() {
    return openEntries.size();
  }
}

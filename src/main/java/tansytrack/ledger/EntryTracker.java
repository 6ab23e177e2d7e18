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
  private static final class Open {
    final long sequence;
    final String tenant;
    final String grade;
    final long takenAt;
    final List<Use> uses = new ArrayList<>(2);
    int out;
    boolean answered;

    Open(long sequence, String tenant, String grade, long takenAt) {
      this.sequence = sequence;
      this.tenant = tenant;
      this.grade = grade;
      this.takenAt = takenAt;
    }
  }

  /** What a task of that grade earned in thousandths, by its end and the time that it took. */
  public interface Earnings {
    /** Earnings in thousandths, by query class, end and time to the answer. */
    long milli(String grade, End end, long time);
  }

  private final Earnings earnings;
  private final Map<String, Open> open = new HashMap<>();
  private long sequence;

  /** Entries whose earnings are computed by the given function. */
  public EntryTracker(Earnings earnings) {
    this.earnings = earnings;
  }

  /** A task was taken in; gives its number in this epoch. */
  public long taken(long now, String task, String tenant, String grade) {
    open.put(task, new Open(++sequence, tenant, grade, now));
    return sequence;
  }

  /** A forward is about to go out. */
  public Line sent(long now, String task, int index, String engine, long grantedMb) {
    Open one = open.get(task);
    Use use = new Use(index, engine, now, 0, "", 0, 0, grantedMb, false);
    one.uses.add(use);
    one.out++;
    return new Line.Sent(one.sequence, task, one.tenant, one.grade, one.takenAt, use);
  }

  /**
   * A forward's end; served: its result went to the client. Null where the forward is not known to
   * be out.
   */
  public Line ended(
      long now,
      String task,
      int index,
      String outcome,
      long work,
      double neededMb,
      boolean served) {
    Open one = open.get(task);
    if (one == null || index >= one.uses.size() || !one.uses.get(index).out()) {
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
    one.out--;
    return new Line.Ended(one.sequence, use, forget(task, one));
  }

  /** The client was answered; forwards may still be out. */
  public Line answered(long now, String task, End end, long bytes) {
    Open one = open.get(task);
    one.answered = true;
    boolean complete = forget(task, one);
    return new Line.Answered(
        one.sequence,
        task,
        one.tenant,
        one.grade,
        one.takenAt,
        now,
        end,
        bytes,
        earnings.milli(one.grade, end, now - one.takenAt),
        complete);
  }

  private boolean forget(String task, Open one) {
    boolean complete = one.answered && one.out == 0;
    if (complete) {
      open.remove(task, one);
    }
    return complete;
  }

  /** How many tasks are not complete yet. */
  public int openTasks() {
    return open.size();
  }
}

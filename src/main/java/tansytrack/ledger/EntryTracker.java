package tansytrack.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Turns the events of tasks into ledger updates: numbers each task as it is accepted and keeps track
 * of its forwards in flight. Does no I/O and gets the time from its caller. Its memory grows with the
 * number of open tasks.
 */
public final class EntryTracker {

  /** A task that is not answered yet or has forwards in flight. */
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

  /** Computes what a task earned. */
  public interface Earnings {
    /**
     * Returns the earnings of a task in thousandths.
     *
     * @param grade the query class
     * @param time the time from acceptance to answer in nanoseconds
     */
    long milli(String grade, End end, long time);
  }

  private final Earnings earnings;
  private final Map<String, Open> open = new HashMap<>();
  private long sequence;

  /** Creates a tracker that computes earnings with the given function. */
  public EntryTracker(Earnings earnings) {
    this.earnings = earnings;
  }

  /** Registers an accepted task and returns its number in this epoch. */
  public long taken(long now, String task, String tenant, String grade) {
    open.put(task, new Open(++sequence, tenant, grade, now));
    return sequence;
  }

  /** Records a forward that is about to be sent. */
  public Line sent(long now, String task, int index, String engine, long grantedMb) {
    Open one = open.get(task);
    Use use = new Use(index, engine, now, 0, "", 0, 0, grantedMb, false);
    one.uses.add(use);
    one.out++;
    return new Line.Sent(one.sequence, task, one.tenant, one.grade, one.takenAt, use);
  }

  /**
   * Records the end of a forward.
   *
   * @param served whether its result goes to the client
   * @return the update, or null if the forward is not known to be in flight
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

  /** Records that the client was answered; forwards may still be in flight. */
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

  /** The number of tasks that are not complete yet. */
  public int openTasks() {
    return open.size();
  }
}

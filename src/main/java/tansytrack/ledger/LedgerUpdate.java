package tansytrack.ledger;

/**
 * What goes from the loop to the disk, in order. Each says whether the task's entry is complete
 * with it.
 */
public sealed interface LedgerUpdate {

  /** The number of the task in its epoch; 0 where the line is about no task. */
  long sequence();

  /** Whether the entry of the task is complete with this line. */
  boolean complete();

  /** A forward is about to go out. */
  record ForwardSent(long sequence, String task, String tenant, String grade, long takenAt, Use use)
      implements LedgerUpdate {
    @Override
    public boolean complete() {
      return false;
    }
  }

  /** A forward ended. */
  record ForwardEnded(long sequence, Use use, boolean complete) implements LedgerUpdate {}

  /** The task is owed no answer any more. */
  record TaskAnswered(
      long sequence,
      String task,
      String tenant,
      String grade,
      long takenAt,
      long endedAt,
      TaskEnd end,
      long bytes,
      long earningsMilli,
      boolean complete)
      implements LedgerUpdate {}

  /** What an engine said, after a start, of a forward that the life before left out. */
  record RunReported(Reconciliation.Run run) implements LedgerUpdate {
    @Override
    public long sequence() {
      return 0;
    }

    @Override
    public boolean complete() {
      return false;
    }
  }

  /** What was not kept before this line. */
  record UpdatesLost(Gap gap) implements LedgerUpdate {
    @Override
    public long sequence() {
      return gap.lastSequence();
    }

    @Override
    public boolean complete() {
      return false;
    }
  }
}

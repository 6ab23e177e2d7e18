package tansytrack.ledger;

/**
 * What goes from the loop to the disk, in order. Each says whether the task's entry is complete
 * with it.
 */
public sealed interface Line {

  /** The number of the task in its epoch; 0 where the line is about no task. */
  long sequence();

  /** Whether the entry of the task is complete with this line. */
  boolean complete();

  /** A forward is about to go out. */
  record Sent(long sequence, String task, String tenant, String grade, long takenAt, Use use)
      implements Line {
    @Override
    public boolean complete() {
      return false;
    }
  }

  /** A forward ended. */
  record Ended(long sequence, Use use, boolean complete) implements Line {}

  /** The task is owed no answer any more. */
  record Answered(
      long sequence,
      String task,
      String tenant,
      String grade,
      long takenAt,
      long endedAt,
      End end,
      long bytes,
      long earningsMilli,
      boolean complete)
      implements Line {}

  /** What an engine said, after a start, of a forward that the life before left out. */
  record Told(Reconciliation.Run run) implements Line {
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
  record Missing(Gap gap) implements Line {
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

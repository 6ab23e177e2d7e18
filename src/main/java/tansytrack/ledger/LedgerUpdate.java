package tansytrack.ledger;

/**
 * An update of the ledger that the event loop hands over to the writer thread. Updates are written
 * in their order.
 */
public sealed interface LedgerUpdate {

  /** The number of the task in its epoch; 0 if the update belongs to no task of this epoch. */
  long sequence();

  /** Whether this update completes the entry of the task. */
  boolean complete();

  /** A forward is about to be sent. */
  record ForwardSent(long sequence, String task, String tenant, String grade, long takenAt, Use use)
      implements LedgerUpdate {
    @Override
    public boolean complete() {
      return false;
    }
  }

  /** A forward ended. */
  record ForwardEnded(long sequence, Use use, boolean complete) implements LedgerUpdate {}

  /** The client of a task was answered or is no longer waiting. */
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

  /** An engine reported on a forward that an earlier epoch left unresolved. */
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

  /** Earlier updates were lost. */
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

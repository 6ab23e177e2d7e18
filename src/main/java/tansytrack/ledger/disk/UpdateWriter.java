package tansytrack.ledger.disk;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.SQLException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import tansytrack.ledger.Gap;
import tansytrack.ledger.LedgerUpdate;
import tansytrack.ledger.Use;

/**
 * Writes a batch of updates of one epoch within a transaction that the caller began. A forward that
 * is sent and ends within the batch is written only once, with its end; likewise a task that is
 * answered within the batch.
 */
final class UpdateWriter implements AutoCloseable {

  /** One forward of this epoch. */
  private record ForwardKey(long sequence, int index) {}

  private final long epoch;
  private final Set<Long> answeredInBatch = new HashSet<>();
  private final Set<ForwardKey> endedInBatch = new HashSet<>();
  private final PreparedStatement insertEntry;
  private final PreparedStatement insertForward;
  private final PreparedStatement upsertForward;
  private final PreparedStatement upsertEntry;
  private final PreparedStatement completeEntry;
  private final PreparedStatement insertReportedRun;
  private final PreparedStatement insertGap;
  private long lastPosition;

  UpdateWriter(Connection db, long epoch) throws SQLException {
    this.epoch = epoch;
    lastPosition = Sql.lastPosition(db);
    insertEntry =
        db.prepareStatement(
            "INSERT INTO entry(epoch, seq, task, tenant, grade, taken_at)"
                + " VALUES(?, ?, ?, ?, ?, ?) ON CONFLICT DO NOTHING");
    insertForward =
        db.prepareStatement(
            "INSERT INTO forward(epoch, seq, idx, engine, sent_at,"
                + " granted) VALUES(?, ?, ?, ?, ?, ?) ON CONFLICT DO NOTHING");
    upsertForward =
        db.prepareStatement(
            "INSERT INTO forward VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?) ON CONFLICT DO"
                + " UPDATE SET ended_at = excluded.ended_at, outcome = excluded.outcome,"
                + " work = excluded.work, needed = excluded.needed, wasted ="
                + " excluded.wasted");
    upsertEntry =
        db.prepareStatement(
            "INSERT INTO entry VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?) ON CONFLICT DO"
                + " UPDATE SET ended_at = excluded.ended_at, ended = excluded.ended,"
                + " bytes = excluded.bytes, earnings = excluded.earnings, pos ="
                + " excluded.pos");
    completeEntry =
        db.prepareStatement(
            "UPDATE entry SET pos = ? WHERE epoch = ? AND seq = ?"
                + " AND pos IS NULL AND ended IS NOT NULL");
    insertReportedRun = db.prepareStatement("INSERT OR IGNORE INTO told VALUES(?, ?, ?, ?)");
    insertGap = db.prepareStatement("INSERT INTO gap VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?)");
  }

  /** Writes all updates in order and returns the last position assigned. */
  long write(List<LedgerUpdate> updates) throws SQLException {
    collectEnded(updates);
    for (LedgerUpdate update : updates) {
      write(update);
    }
    return lastPosition;
  }

  private void collectEnded(List<LedgerUpdate> updates) {
    for (LedgerUpdate update : updates) {
      if (update instanceof LedgerUpdate.TaskAnswered) {
        answeredInBatch.add(update.sequence());
      } else if (update instanceof LedgerUpdate.ForwardEnded forwardEnded) {
        endedInBatch.add(new ForwardKey(forwardEnded.sequence(), forwardEnded.use().index()));
      }
    }
  }

  private void write(LedgerUpdate update) throws SQLException {
    if (update instanceof LedgerUpdate.ForwardSent forwardSent) {
      writeForwardSent(forwardSent);
    } else if (update instanceof LedgerUpdate.ForwardEnded forwardEnded) {
      writeForwardEnded(forwardEnded);
    } else if (update instanceof LedgerUpdate.TaskAnswered taskAnswered) {
      writeTaskAnswered(taskAnswered);
    } else if (update instanceof LedgerUpdate.RunReported runReported) {
      writeRunReported(runReported);
    } else if (update instanceof LedgerUpdate.UpdatesLost updatesLost) {
      writeGap(updatesLost.gap());
    }
  }

  private void writeForwardSent(LedgerUpdate.ForwardSent update) throws SQLException {
    Use use = update.use();
    if (!answeredInBatch.contains(update.sequence())) {
      Sql.bind(
              insertEntry,
              epoch,
              update.sequence(),
              update.task(),
              update.tenant(),
              update.grade(),
              update.takenAt())
          .executeUpdate();
    }
    if (!endedInBatch.contains(new ForwardKey(update.sequence(), use.index()))) {
      Sql.bind(
              insertForward,
              epoch,
              update.sequence(),
              use.index(),
              use.engine(),
              use.sentAt(),
              use.grantedMb())
          .executeUpdate();
    }
  }

  private void writeForwardEnded(LedgerUpdate.ForwardEnded update) throws SQLException {
    Use use = update.use();
    Sql.bind(
            upsertForward,
            epoch,
            update.sequence(),
            use.index(),
            use.engine(),
            use.sentAt(),
            use.endedAt(),
            use.outcome(),
            use.work(),
            use.neededMb(),
            use.grantedMb(),
            use.wasted() ? 1 : 0)
        .executeUpdate();
    if (update.complete()) {
      lastPosition +=
          Sql.bind(completeEntry, lastPosition + 1, epoch, update.sequence()).executeUpdate();
    }
  }

  private void writeTaskAnswered(LedgerUpdate.TaskAnswered update) throws SQLException {
    Sql.bind(
            upsertEntry,
            epoch,
            update.sequence(),
            update.task(),
            update.tenant(),
            update.grade(),
            update.takenAt(),
            update.endedAt(),
            update.end().name(),
            update.bytes(),
            update.earningsMilli(),
            update.complete() ? (Long) (lastPosition + 1) : null)
        .executeUpdate();
    lastPosition += update.complete() ? 1 : 0;
  }

  private void writeRunReported(LedgerUpdate.RunReported update) throws SQLException {
    Sql.bind(
            insertReportedRun,
            update.run().engine(),
            update.run().task(),
            update.run().work(),
            update.run().done() ? 1 : 0)
        .executeUpdate();
  }

  private void writeGap(Gap gap) throws SQLException {
    Sql.bind(
            insertGap,
            epoch,
            gap.number(),
            gap.firstSequence(),
            gap.lastSequence(),
            gap.from(),
            gap.until(),
            gap.lines(),
            gap.cause(),
            ++lastPosition)
        .executeUpdate();
  }

  @Override
  public void close() throws SQLException {
    for (PreparedStatement statement :
        List.of(
            insertEntry,
            insertForward,
            upsertForward,
            upsertEntry,
            completeEntry,
            insertReportedRun,
            insertGap)) {
      statement.close();
    }
  }
}

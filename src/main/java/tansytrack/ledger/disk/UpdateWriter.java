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
  private final PreparedStatement writeForwardSent;
  private final PreparedStatement writeForwardEnded;
  private final PreparedStatement writeTaskAnswered;
  private final PreparedStatement completeEntry;
  private final PreparedStatement writeRunReported;
  private final PreparedStatement writeGap;
  private long lastPosition;

  UpdateWriter(Connection db, long epoch) throws SQLException {
    this.epoch = epoch;
    lastPosition = Sql.lastPosition(db);
    insertEntry =
        db.prepareStatement(
            "INSERT INTO entry(epoch, seq, task, tenant, grade, taken_at)"
                + " VALUES(?, ?, ?, ?, ?, ?) ON CONFLICT DO NOTHING");
    writeForwardSent =
        db.prepareStatement(
            "INSERT INTO forward(epoch, seq, idx, engine, sent_at,"
                + " granted) VALUES(?, ?, ?, ?, ?, ?) ON CONFLICT DO NOTHING");
    writeForwardEnded =
        db.prepareStatement(
            "INSERT INTO forward VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?) ON CONFLICT DO"
                + " UPDATE SET ended_at = excluded.ended_at, outcome = excluded.outcome,"
                + " work = excluded.work, needed = excluded.needed, wasted ="
                + " excluded.wasted");
    writeTaskAnswered =
        db.prepareStatement(
            "INSERT INTO entry VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?) ON CONFLICT DO"
                + " UPDATE SET ended_at = excluded.ended_at, ended = excluded.ended,"
                + " bytes = excluded.bytes, earnings = excluded.earnings, pos ="
                + " excluded.pos");
    completeEntry =
        db.prepareStatement(
            "UPDATE entry SET pos = ? WHERE epoch = ? AND seq = ?"
                + " AND pos IS NULL AND ended IS NOT NULL");
    writeRunReported = db.prepareStatement("INSERT OR IGNORE INTO told VALUES(?, ?, ?, ?)");
    writeGap = db.prepareStatement("INSERT INTO gap VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?)");
  }

  /** Writes all updates in order and returns the last position assigned. */
  long write(List<LedgerUpdate> lines) throws SQLException {
    collectEnded(lines);
    for (LedgerUpdate line : lines) {
      write(line);
    }
    return lastPosition;
  }

  private void collectEnded(List<LedgerUpdate> lines) {
    for (LedgerUpdate line : lines) {
      if (line instanceof LedgerUpdate.TaskAnswered) {
        answeredInBatch.add(line.sequence());
      } else if (line instanceof LedgerUpdate.ForwardEnded end) {
        endedInBatch.add(new ForwardKey(end.sequence(), end.use().index()));
      }
    }
  }

  private void write(LedgerUpdate line) throws SQLException {
    if (line instanceof LedgerUpdate.ForwardSent start) {
      writeForwardSent(start);
    } else if (line instanceof LedgerUpdate.ForwardEnded end) {
      writeForwardEnded(end);
    } else if (line instanceof LedgerUpdate.TaskAnswered answer) {
      writeTaskAnswered(answer);
    } else if (line instanceof LedgerUpdate.RunReported report) {
      writeRunReported(report);
    } else if (line instanceof LedgerUpdate.UpdatesLost gap) {
      writeGap(gap.gap());
    }
  }

  private void writeForwardSent(LedgerUpdate.ForwardSent line) throws SQLException {
    Use use = line.use();
    if (!answeredInBatch.contains(line.sequence())) {
      Sql.bind(
              insertEntry,
              epoch,
              line.sequence(),
              line.task(),
              line.tenant(),
              line.grade(),
              line.takenAt())
          .executeUpdate();
    }
    if (!endedInBatch.contains(new ForwardKey(line.sequence(), use.index()))) {
      Sql.bind(
              writeForwardSent,
              epoch,
              line.sequence(),
              use.index(),
              use.engine(),
              use.sentAt(),
              use.grantedMb())
          .executeUpdate();
    }
  }

  private void writeForwardEnded(LedgerUpdate.ForwardEnded line) throws SQLException {
    Use use = line.use();
    Sql.bind(
            writeForwardEnded,
            epoch,
            line.sequence(),
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
    if (line.complete()) {
      lastPosition +=
          Sql.bind(completeEntry, lastPosition + 1, epoch, line.sequence()).executeUpdate();
    }
  }

  private void writeTaskAnswered(LedgerUpdate.TaskAnswered line) throws SQLException {
    Sql.bind(
            writeTaskAnswered,
            epoch,
            line.sequence(),
            line.task(),
            line.tenant(),
            line.grade(),
            line.takenAt(),
            line.endedAt(),
            line.end().name(),
            line.bytes(),
            line.earningsMilli(),
            line.complete() ? (Long) (lastPosition + 1) : null)
        .executeUpdate();
    lastPosition += line.complete() ? 1 : 0;
  }

  private void writeRunReported(LedgerUpdate.RunReported line) throws SQLException {
    Sql.bind(
            writeRunReported,
            line.run().engine(),
            line.run().task(),
            line.run().work(),
            line.run().done() ? 1 : 0)
        .executeUpdate();
  }

  private void writeGap(Gap gap) throws SQLException {
    Sql.bind(
            writeGap,
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
            writeForwardSent,
            writeForwardEnded,
            writeTaskAnswered,
            completeEntry,
            writeRunReported,
            writeGap)) {
      statement.close();
    }
  }
}

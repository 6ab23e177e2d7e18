package tansytrack.ledger.disk;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.SQLException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import tansytrack.ledger.Gap;
import tansytrack.ledger.Line;
import tansytrack.ledger.Use;

/**
 * Writes a batch of updates of one epoch within a transaction that the caller began. A forward that
 * is sent and ends within the batch is written only once, with its end; likewise a task that is
 * answered within the batch.
 */
final class LineWriter implements AutoCloseable {

  /** One forward of this epoch. */
  private record Place(long sequence, int index) {}

  private final long epoch;
  private final Set<Long> answeredHere = new HashSet<>();
  private final Set<Place> endedHere = new HashSet<>();
  private final PreparedStatement intent;
  private final PreparedStatement sent;
  private final PreparedStatement ended;
  private final PreparedStatement answered;
  private final PreparedStatement complete;
  private final PreparedStatement told;
  private final PreparedStatement missing;
  private long position;

  LineWriter(Connection db, long epoch) throws SQLException {
    this.epoch = epoch;
    position = Sql.position(db);
    intent =
        db.prepareStatement(
            "INSERT INTO entry(epoch, seq, task, tenant, grade, taken_at)"
                + " VALUES(?, ?, ?, ?, ?, ?) ON CONFLICT DO NOTHING");
    sent =
        db.prepareStatement(
            "INSERT INTO forward(epoch, seq, idx, engine, sent_at,"
                + " granted) VALUES(?, ?, ?, ?, ?, ?) ON CONFLICT DO NOTHING");
    ended =
        db.prepareStatement(
            "INSERT INTO forward VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?) ON CONFLICT DO"
                + " UPDATE SET ended_at = excluded.ended_at, outcome = excluded.outcome,"
                + " work = excluded.work, needed = excluded.needed, wasted ="
                + " excluded.wasted");
    answered =
        db.prepareStatement(
            "INSERT INTO entry VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?) ON CONFLICT DO"
                + " UPDATE SET ended_at = excluded.ended_at, ended = excluded.ended,"
                + " bytes = excluded.bytes, earnings = excluded.earnings, pos ="
                + " excluded.pos");
    complete =
        db.prepareStatement(
            "UPDATE entry SET pos = ? WHERE epoch = ? AND seq = ?"
                + " AND pos IS NULL AND ended IS NOT NULL");
    told = db.prepareStatement("INSERT OR IGNORE INTO told VALUES(?, ?, ?, ?)");
    missing = db.prepareStatement("INSERT INTO gap VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?)");
  }

  /** Writes all updates in order and returns the last position assigned. */
  long write(List<Line> lines) throws SQLException {
    note(lines);
    for (Line line : lines) {
      write(line);
    }
    return position;
  }

  private void note(List<Line> lines) {
    for (Line line : lines) {
      if (line instanceof Line.Answered) {
        answeredHere.add(line.sequence());
      } else if (line instanceof Line.Ended end) {
        endedHere.add(new Place(end.sequence(), end.use().index()));
      }
    }
  }

  private void write(Line line) throws SQLException {
    if (line instanceof Line.Sent start) {
      sent(start);
    } else if (line instanceof Line.Ended end) {
      ended(end);
    } else if (line instanceof Line.Answered answer) {
      answered(answer);
    } else if (line instanceof Line.Told report) {
      told(report);
    } else if (line instanceof Line.Missing gap) {
      missing(gap.gap());
    }
  }

  private void sent(Line.Sent line) throws SQLException {
    Use use = line.use();
    if (!answeredHere.contains(line.sequence())) {
      Sql.set(
              intent,
              epoch,
              line.sequence(),
              line.task(),
              line.tenant(),
              line.grade(),
              line.takenAt())
          .executeUpdate();
    }
    if (!endedHere.contains(new Place(line.sequence(), use.index()))) {
      Sql.set(
              sent,
              epoch,
              line.sequence(),
              use.index(),
              use.engine(),
              use.sentAt(),
              use.grantedMb())
          .executeUpdate();
    }
  }

  private void ended(Line.Ended line) throws SQLException {
    Use use = line.use();
    Sql.set(
            ended,
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
      position += Sql.set(complete, position + 1, epoch, line.sequence()).executeUpdate();
    }
  }

  private void answered(Line.Answered line) throws SQLException {
    Sql.set(
            answered,
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
            line.complete() ? (Long) (position + 1) : null)
        .executeUpdate();
    position += line.complete() ? 1 : 0;
  }

  private void told(Line.Told line) throws SQLException {
    Sql.set(
            told,
            line.run().engine(),
            line.run().task(),
            line.run().work(),
            line.run().done() ? 1 : 0)
        .executeUpdate();
  }

  private void missing(Gap gap) throws SQLException {
    Sql.set(
            missing,
            epoch,
            gap.number(),
            gap.firstSequence(),
            gap.lastSequence(),
            gap.from(),
            gap.until(),
            gap.lines(),
            gap.cause(),
            ++position)
        .executeUpdate();
  }

  @Override
  public void close() throws SQLException {
    for (PreparedStatement statement :
        List.of(intent, sent, ended, answered, complete, told, missing)) {
      statement.close();
    }
  }
}

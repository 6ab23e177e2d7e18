package tansytrack.ledger.disk;

import java.io.IOException;
import java.math.BigDecimal;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import tansytrack.ledger.Amendment;
import tansytrack.ledger.Entry;
import tansytrack.ledger.Gap;
import tansytrack.ledger.TaskEnd;
import tansytrack.ledger.Use;

/** Reads the lines of a ledger in the order of their positions. */
final class LineReader {

  private static final int FETCH_SIZE_ROWS = 512;

  private final Connection connection;

  LineReader(Connection connection) {
    this.connection = connection;
  }

  /** Passes all lines from one position to another (inclusive) to a visitor. */
  void read(long first, long last, LedgerStore.LineVisitor visitor)
      throws SQLException, IOException {
    NavigableMap<Long, Object> others = new TreeMap<>(amendments(first, last));
    others.putAll(gaps(first, last));
    entries(first, last, others, visitor);
  }

  private NavigableMap<Long, Gap> gaps(long first, long last) throws SQLException {
    NavigableMap<Long, Gap> gaps = new TreeMap<>();
    try (PreparedStatement query =
            connection.prepareStatement(
                "SELECT epoch, number, first, last, from_at, until_at, lines, cause,"
                    + " pos FROM gap WHERE pos BETWEEN ? AND ?");
        ResultSet row = Sql.bind(query, first, last).executeQuery()) {
      while (row.next()) {
        gaps.put(
            row.getLong(9),
            new Gap(
                row.getLong(1),
                row.getLong(2),
                row.getLong(3),
                row.getLong(4),
                row.getLong(5),
                row.getLong(6),
                row.getLong(7),
                row.getString(8)));
      }
    }
    return gaps;
  }

  private void entries(
      long first, long last, NavigableMap<Long, Object> others, LedgerStore.LineVisitor visitor)
      throws SQLException, IOException {
    try (PreparedStatement query =
        connection.prepareStatement(
            "SELECT e.pos, e.epoch, e.seq, e.task, e.tenant, e.grade, e.taken_at, e.ended_at,"
                + " e.ended, e.bytes, e.earnings, f.idx, f.engine, f.sent_at, f.ended_at,"
                + " f.outcome, f.work, f.needed, f.granted, f.wasted FROM entry e INDEXED BY"
                + " entry_position LEFT JOIN forward f ON f.epoch = e.epoch AND f.seq = e.seq WHERE"
                + " e.pos BETWEEN ? AND ? ORDER BY e.pos, f.idx")) {
      query.setFetchSize(FETCH_SIZE_ROWS);
      try (ResultSet row = Sql.bind(query, first, last).executeQuery()) {
        long position = 0;
        Entry entry = null;
        while (row.next()) {
          if (entry == null || row.getLong(1) != position) {
            emit(position, entry, others, visitor);
            position = row.getLong(1);
            entry = entry(row);
          }
          if (row.getString(13) != null) {
            entry.uses().add(use(row));
          }
        }
        emit(position, entry, others, visitor);
        emit(Long.MAX_VALUE, null, others, visitor);
      }
    }
  }

  private static Entry entry(ResultSet row) throws SQLException {
    return new Entry(
        row.getLong(2),
        row.getLong(3),
        row.getString(4),
        row.getString(5),
        row.getString(6),
        row.getLong(7),
        row.getLong(8),
        row.getString(9) == null ? null : TaskEnd.valueOf(row.getString(9)),
        row.getLong(10),
        row.getLong(11),
        new ArrayList<>(1));
  }

  private static Use use(ResultSet row) throws SQLException {
    return new Use(
        row.getInt(12),
        row.getString(13),
        row.getLong(14),
        row.getLong(15),
        row.getString(16),
        row.getLong(17),
        row.getLong(18),
        row.getLong(19),
        row.getInt(20) != 0);
  }

  /** Visits the amendments and gaps before a position, then the entry at it, if there is one. */
  private static void emit(
      long position,
      Entry entry,
      NavigableMap<Long, Object> others,
      LedgerStore.LineVisitor visitor)
      throws IOException {
    while (!others.isEmpty() && others.firstKey() < position) {
      Map.Entry<Long, Object> line = others.pollFirstEntry();
      if (line.getValue() instanceof Amendment amendment) {
        visitor.amendment(line.getKey(), amendment);
      } else {
        visitor.gap(line.getKey(), (Gap) line.getValue());
      }
    }
    if (entry != null) {
      visitor.entry(position, entry);
    }
  }

  /** Returns amendments by position, which is also the order of their numbers. */
  NavigableMap<Long, Amendment> amendments(long first, long last) throws SQLException {
    TreeMap<Long, Amendment> amendments = new TreeMap<>();
    try (PreparedStatement query =
            connection.prepareStatement(
                "SELECT number, period, tenant, amount, author, reason, corrects, at,"
                    + " withdraws, pos FROM amendment WHERE pos BETWEEN ? AND ?");
        ResultSet row = Sql.bind(query, first, last).executeQuery()) {
      while (row.next()) {
        amendments.put(
            row.getLong(10),
            new Amendment(
                row.getLong(1),
                row.getString(2),
                row.getString(3),
                new BigDecimal(row.getString(4)),
                row.getString(5),
                row.getString(6),
                row.getString(7),
                row.getLong(8),
                row.getInt(9) != 0));
      }
    }
    return amendments;
  }
}

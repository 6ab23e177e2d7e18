package tansytrack.ledger.disk;

import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;

/** Reads the closed periods and the sealed batches of a ledger. */
final class BillingReader {

  private final Connection connection;

  BillingReader(Connection connection) {
    this.connection = connection;
  }

  /** The closed periods, sorted by name. */
  List<LedgerStore.ClosedPeriod> closedPeriods() throws SQLException {
    List<LedgerStore.ClosedPeriod> closedPeriods = new ArrayList<>();
    try (Statement statement = connection.createStatement();
        ResultSet row =
            statement.executeQuery(
                "SELECT period, upto, at, author, sha, billing FROM closed ORDER BY period")) {
      while (row.next()) {
        closedPeriods.add(
            new LedgerStore.ClosedPeriod(
                row.getString(1),
                row.getLong(2),
                row.getLong(3),
                row.getString(4),
                row.getString(5),
                row.getString(6)));
      }
    }
    return closedPeriods;
  }

  /** The sealed batches, sorted by number. */
  List<LedgerStore.Batch> batches() throws SQLException {
    List<LedgerStore.Batch> batches = new ArrayList<>();
    try (Statement statement = connection.createStatement();
        ResultSet row =
            statement.executeQuery(
                "SELECT number, first, last, form, sha, size, sealed_at, placed_at, acked_at"
                    + " FROM batch ORDER BY number")) {
      while (row.next()) {
        batches.add(
            new LedgerStore.Batch(
                row.getLong(1),
                row.getLong(2),
                row.getLong(3),
                row.getString(4),
                row.getString(5),
                row.getLong(6),
                row.getLong(7),
                row.getLong(8),
                row.getLong(9)));
      }
    }
    return batches;
  }
}

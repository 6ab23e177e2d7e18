package tansytrack.ledger.disk;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;

/** Helpers for SQL statements on the ledger's tables. */
final class Sql {

  private Sql() {}

  /** Returns the number in the first row of a query; 0 if there is none. */
  static int queryInt(Statement run, String query) throws SQLException {
    try (ResultSet found = run.executeQuery(query)) {
      return found.next() ? found.getInt(1) : 0;
    }
  }

  /** Returns the last position that was assigned. */
  static long lastPosition(Connection on) throws SQLException {
    try (Statement run = on.createStatement();
        ResultSet found = run.executeQuery("SELECT value FROM meta WHERE name = 'position'")) {
      found.next();
      return found.getLong(1);
    }
  }

  /** Stores the last position that was assigned. */
  static void lastPosition(Connection db, long at) throws SQLException {
    try (PreparedStatement put =
        db.prepareStatement("UPDATE meta SET value = ? WHERE name = 'position'")) {
      put.setLong(1, at);
      put.executeUpdate();
    }
  }

  /** Sets the parameters of a statement in order and returns the statement. */
  static PreparedStatement bind(PreparedStatement put, Object... values) throws SQLException {
    for (int i = 0; i < values.length; i++) {
      put.setObject(i + 1, values[i]);
    }
    return put;
  }
}

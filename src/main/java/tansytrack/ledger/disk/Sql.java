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
  static int queryInt(Statement statement, String query) throws SQLException {
    try (ResultSet rows = statement.executeQuery(query)) {
      return rows.next() ? rows.getInt(1) : 0;
    }
  }

  /** Returns the last position that was assigned. */
  static long lastPosition(Connection connection) throws SQLException {
    try (Statement statement = connection.createStatement();
        ResultSet rows = statement.executeQuery("SELECT value FROM meta WHERE name = 'position'")) {
      rows.next();
      return rows.getLong(1);
    }
  }

  /** Stores the last position that was assigned. */
  static void lastPosition(Connection connection, long position) throws SQLException {
    try (PreparedStatement update =
        connection.prepareStatement("UPDATE meta SET value = ? WHERE name = 'position'")) {
      update.setLong(1, position);
      update.executeUpdate();
    }
  }

  /** Sets the parameters of a statement in order and returns the statement. */
  static PreparedStatement bind(PreparedStatement statement, Object... values) throws SQLException {
    for (int i = 0; i < values.length; i++) {
      statement.setObject(i + 1, values[i]);
    }
    return statement;
  }
}

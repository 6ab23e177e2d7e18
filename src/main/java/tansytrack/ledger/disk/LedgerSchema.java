package tansytrack.ledger.disk;

import java.io.IOException;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;

/** The tables of a ledger, the version of the schema, and the manager that owns the ledger. */
final class LedgerSchema {

  /** The version that this program writes; ledgers with an earlier one are upgraded. */
  static final int VERSION = 3;

  private static final String CREATE_TOLD =
      "CREATE TABLE told(engine TEXT, task TEXT, work INTEGER, done INTEGER, PRIMARY KEY(engine,"
          + " task)) WITHOUT ROWID";
  private static final String[] CREATE_STATEMENTS = {
    "CREATE TABLE meta(name TEXT PRIMARY KEY, value) WITHOUT ROWID",
    "CREATE TABLE epoch(number INTEGER PRIMARY KEY, started_at INTEGER NOT NULL)",
    "CREATE TABLE entry(epoch INTEGER, seq INTEGER, task TEXT NOT NULL, tenant TEXT NOT NULL, grade"
        + " TEXT NOT NULL, taken_at INTEGER NOT NULL, ended_at INTEGER NOT NULL DEFAULT 0, ended"
        + " TEXT, bytes INTEGER NOT NULL DEFAULT 0, earnings INTEGER NOT NULL DEFAULT 0, pos"
        + " INTEGER, PRIMARY KEY(epoch, seq)) WITHOUT ROWID",
    "CREATE TABLE forward(epoch INTEGER, seq INTEGER, idx INTEGER, engine TEXT NOT NULL, sent_at"
        + " INTEGER NOT NULL, ended_at INTEGER NOT NULL DEFAULT 0, outcome TEXT NOT NULL DEFAULT"
        + " '', work INTEGER NOT NULL DEFAULT 0, needed INTEGER NOT NULL DEFAULT 0, granted INTEGER"
        + " NOT NULL DEFAULT 0, wasted INTEGER NOT NULL DEFAULT 0, PRIMARY KEY(epoch, seq, idx))"
        + " WITHOUT ROWID",
    "CREATE UNIQUE INDEX entry_position ON entry(pos) WHERE pos IS NOT NULL",
    "CREATE INDEX entry_open ON entry(epoch, seq) WHERE pos IS NULL",
    "CREATE TABLE gap(epoch INTEGER, number INTEGER, first INTEGER, last INTEGER, from_at INTEGER,"
        + " until_at INTEGER, lines INTEGER, cause TEXT, pos INTEGER UNIQUE NOT NULL, PRIMARY"
        + " KEY(epoch, number))",
    "CREATE TABLE amendment(number INTEGER PRIMARY KEY, period TEXT, tenant TEXT, amount TEXT,"
        + " author TEXT, reason TEXT, corrects TEXT, at INTEGER, withdraws INTEGER, pos INTEGER"
        + " UNIQUE NOT NULL)",
    CREATE_TOLD,
    "CREATE TABLE closed(period TEXT PRIMARY KEY, upto INTEGER, at INTEGER, author TEXT, sha TEXT,"
        + " billing TEXT)",
    "CREATE TABLE batch(number INTEGER PRIMARY KEY, first INTEGER, last INTEGER, form TEXT, sha"
        + " TEXT, size INTEGER, sealed_at INTEGER, placed_at INTEGER, acked_at INTEGER)"
  };

  private LedgerSchema() {}

  /**
   * Creates or upgrades the schema in one transaction, and returns the manager that owns the
   * ledger.
   *
   * @param manager the manager that opens the ledger; null to open only an existing ledger
   */
  static String prepare(Connection db, String manager, Path folder)
      throws SQLException, IOException {
    upgrade(db, manager, folder);
    return owner(db, manager, folder);
  }

  private static void upgrade(Connection db, String manager, Path folder)
      throws SQLException, IOException {
    try (Statement statement = db.createStatement()) {
      int version = Sql.queryInt(statement, "PRAGMA user_version");
      if (version > VERSION) {
        throw new IOException(
            folder
                + " has schema "
                + version
                + "; this program supports versions up to "
                + VERSION);
      }
      if (version < VERSION) {
        if (manager == null && version == 0) {
          throw new IOException(folder + " holds no ledger (its file has no schema)");
        }
        statement.execute("BEGIN IMMEDIATE");
        if (version == 0) {
          for (String sql : CREATE_STATEMENTS) {
            statement.execute(sql);
          }
          statement.execute("INSERT INTO meta VALUES('position', 0)");
        } else {
          if (version == 1) {
            // Version 1 did not store the billing section with which a period was closed.
            statement.execute("ALTER TABLE closed ADD COLUMN billing TEXT");
          }
          statement.execute(CREATE_TOLD);
        }
        statement.execute("PRAGMA user_version = " + VERSION);
        statement.execute("COMMIT");
      }
    }
  }

  private static String owner(Connection db, String manager, Path folder)
      throws SQLException, IOException {
    String owner = null;
    try (Statement statement = db.createStatement();
        ResultSet rows = statement.executeQuery("SELECT value FROM meta WHERE name = 'manager'")) {
      owner = rows.next() ? rows.getString(1) : null;
    }
    if (owner == null && manager != null) {
      try (PreparedStatement insert =
          db.prepareStatement("INSERT INTO meta VALUES('manager', ?)")) {
        insert.setString(1, manager);
        insert.execute();
      }
      return manager;
    }
    if (manager != null && !owner.equals(manager)) {
      throw new IOException(folder + " is the ledger of " + owner + ", not of " + manager);
    }
    return owner;
  }
}

package tansytrack.ledger.disk;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import tansytrack.ledger.TaskEnd;
import tansytrack.ledger.Use;

/**
 * Begins a new epoch at the start of a manager and ends the tasks that earlier epochs left open.
 * Works within a transaction that the caller began.
 */
final class EpochStart {

  /** A task, identified by its epoch and its number in it. */
  private record Task(long epoch, long sequence) {}

  private final Connection db;

  EpochStart(Connection db) {
    this.db = db;
  }

  /** Inserts the next epoch and returns its number. */
  long begin(long now) throws SQLException {
    try (Statement statement = db.createStatement();
        PreparedStatement insert = db.prepareStatement("INSERT INTO epoch VALUES(?, ?)")) {
      long epoch = 1L + Sql.queryInt(statement, "SELECT max(number) FROM epoch");
      Sql.bind(insert, epoch, now).executeUpdate();
      return epoch;
    }
  }

  /**
   * Marks all open tasks as unresolved and returns their number.
   *
   * @param openForwards receives the task and the engine of each forward that was in flight
   */
  long endOpenTasks(BiConsumer<String, String> openForwards) throws SQLException {
    List<Task> open = findOpenTasks();
    reportOpenForwards(open, openForwards);
    markUnresolved(open);
    return open.size();
  }

  private List<Task> findOpenTasks() throws SQLException {
    List<Task> open = new ArrayList<>();
    try (Statement statement = db.createStatement();
        ResultSet row =
            statement.executeQuery(
                "SELECT epoch, seq FROM entry INDEXED BY entry_open WHERE pos IS NULL ORDER BY"
                    + " epoch, seq")) {
      while (row.next()) {
        open.add(new Task(row.getLong(1), row.getLong(2)));
      }
    }
    return open;
  }

  private void reportOpenForwards(List<Task> open, BiConsumer<String, String> openForwards)
      throws SQLException {
    try (PreparedStatement query =
        db.prepareStatement(
            "SELECT e.task, f.engine FROM forward f JOIN entry e ON e.epoch = f.epoch AND"
                + " e.seq = f.seq WHERE f.epoch = ? AND f.seq = ? AND f.outcome = ''")) {
      for (Task task : open) {
        try (ResultSet row = Sql.bind(query, task.epoch(), task.sequence()).executeQuery()) {
          while (row.next()) {
            openForwards.accept(row.getString(1), row.getString(2));
          }
        }
      }
    }
  }

  private void markUnresolved(List<Task> open) throws SQLException {
    long position = Sql.lastPosition(db);
    try (PreparedStatement updateForward =
            db.prepareStatement(
                "UPDATE forward SET outcome = '"
                    + Use.UNKNOWN_OUTCOME
                    + "', wasted = 1 WHERE epoch = ? AND seq = ? AND outcome = ''");
        PreparedStatement updateEntry =
            db.prepareStatement(
                "UPDATE entry SET ended = coalesce(ended, '"
                    + TaskEnd.UNRESOLVED
                    + "'), pos = ? WHERE epoch = ? AND seq = ?")) {
      for (Task task : open) {
        Sql.bind(updateForward, task.epoch(), task.sequence()).executeUpdate();
        Sql.bind(updateEntry, ++position, task.epoch(), task.sequence()).executeUpdate();
      }
    }
    Sql.lastPosition(db, position);
  }
}

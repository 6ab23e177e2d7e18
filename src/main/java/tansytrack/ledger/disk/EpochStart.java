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
    try (Statement run = db.createStatement();
        PreparedStatement put = db.prepareStatement("INSERT INTO epoch VALUES(?, ?)")) {
      long epoch = 1L + Sql.queryInt(run, "SELECT max(number) FROM epoch");
      Sql.bind(put, epoch, now).executeUpdate();
      return epoch;
    }
  }

  /**
   * Marks all open tasks as unresolved and returns their number.
   *
   * @param left receives the task and the engine of each forward that was in flight
   */
  long endOpenTasks(BiConsumer<String, String> left) throws SQLException {
    List<Task> open = findOpenTasks();
    reportOpenForwards(open, left);
    markUnresolved(open);
    return open.size();
  }

  private List<Task> findOpenTasks() throws SQLException {
    List<Task> open = new ArrayList<>();
    try (Statement run = db.createStatement();
        ResultSet found =
            run.executeQuery(
                "SELECT epoch, seq FROM entry INDEXED BY entry_open WHERE pos IS NULL ORDER BY"
                    + " epoch, seq")) {
      while (found.next()) {
        open.add(new Task(found.getLong(1), found.getLong(2)));
      }
    }
    return open;
  }

  private void reportOpenForwards(List<Task> open, BiConsumer<String, String> left)
      throws SQLException {
    try (PreparedStatement out =
        db.prepareStatement(
            "SELECT e.task, f.engine FROM forward f JOIN entry e ON e.epoch = f.epoch AND"
                + " e.seq = f.seq WHERE f.epoch = ? AND f.seq = ? AND f.outcome = ''")) {
      for (Task task : open) {
        try (ResultSet found = Sql.bind(out, task.epoch(), task.sequence()).executeQuery()) {
          while (found.next()) {
            left.accept(found.getString(1), found.getString(2));
          }
        }
      }
    }
  }

  private void markUnresolved(List<Task> open) throws SQLException {
    long at = Sql.lastPosition(db);
    try (PreparedStatement forward =
            db.prepareStatement(
                "UPDATE forward SET outcome = '"
                    + Use.UNKNOWN_OUTCOME
                    + "', wasted = 1 WHERE epoch = ? AND seq = ? AND outcome = ''");
        PreparedStatement entry =
            db.prepareStatement(
                "UPDATE entry SET ended = coalesce(ended, '"
                    + TaskEnd.UNRESOLVED
                    + "'), pos = ? WHERE epoch = ? AND seq = ?")) {
      for (Task task : open) {
        Sql.bind(forward, task.epoch(), task.sequence()).executeUpdate();
        Sql.bind(entry, ++at, task.epoch(), task.sequence()).executeUpdate();
      }
    }
    Sql.lastPosition(db, at);
  }
}

package tansytrack.ledger.disk;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.sqlite.JDBC;
import org.sqlite.SQLiteConfig;
import tansytrack.ledger.Amendment;
import tansytrack.ledger.Entry;
import tansytrack.ledger.Gap;
import tansytrack.ledger.LedgerUpdate;
import tansytrack.ledger.Reconciliation;

/**
 * One manager's ledger in an SQLite database with a write-ahead log that is synchronized at each
 * commit. Complete entries, amendments and gaps (the lines of the ledger) get consecutive positions
 * from one counter, in the order in which they are completed. Bills and batches refer to lines by
 * position. Opening a ledger does not read all of it, as the open tasks have an index of their own.
 */
public final class LedgerStore implements AutoCloseable {

  private static final String DATABASE_FILE = "ledger.sqlite";
  // Commands may write while the manager is running, so a writer may have to wait for the other.
  private static final int BUSY_TIMEOUT_MS = 5000;
  // Pages of 4 KB in the write-ahead log before SQLite copies them into the database.
  private static final int WAL_CHECKPOINT_PAGES = 16384;

  /**
   * A closed period.
   *
   * @param lastPosition the last position whose entries are in its subtotals
   * @param author who closed it
   * @param sha256 the hash of its subtotals
   * @param billing the text of the billing section of the operator file with which it was closed
   */
  public record ClosedPeriod(
      String period,
      long lastPosition,
      long closedAt,
      String author,
      String sha256,
      String billing) {}

  /**
   * A sealed batch; {@code placedAt} is 0 until it is placed in the export folder, and {@code
   * ackedAt} is 0 until it is acknowledged.
   */
  public record Batch(
      long number,
      long firstPosition,
      long lastPosition,
      String format,
      String sha256,
      long size,
      long sealedAt,
      long placedAt,
      long ackedAt) {}

  /** Visits lines in the order of their positions. By default a line is ignored. */
  public interface LineVisitor {
    /** Visits the complete entry of a task. */
    default void entry(long position, Entry entry) throws IOException {}

    /** Visits an amendment. */
    default void amendment(long position, Amendment amendment) throws IOException {}

    /** Visits a gap. */
    default void gap(long position, Gap gap) throws IOException {}
  }

  private final Path folder;
  private final FaultInjector faults;
  // Transactions of this connection acquire the write lock when they begin.
  private final Connection writeConnection;
  // Transactions of this connection read a snapshot and block no other transaction.
  private final Connection readConnection;
  private final LineReader lineReader;
  private final BillingReader billingReader;
  private final FileChannel lock;
  private final String manager;
  private long epoch;

  private LedgerStore(
      Path folder,
      FaultInjector faults,
      Connection writeConnection,
      Connection readConnection,
      FileChannel lock,
      String manager) {
    this.folder = folder;
    this.faults = faults;
    this.writeConnection = writeConnection;
    this.readConnection = readConnection;
    lineReader = new LineReader(readConnection);
    billingReader = new BillingReader(readConnection);
    this.lock = lock;
    this.manager = manager;
  }

  // ---- Opening ----

  /** Opens or creates a ledger for its manager; fails if another process holds its lock. */
  static LedgerStore openForManager(Path folder, String manager, FaultInjector faults)
      throws IOException {
    Files.createDirectories(folder);
    FileChannel lock = LedgerLock.acquire(folder, manager);
    try {
      return open(folder, manager, faults, lock);
    } catch (IOException e) {
      lock.close();
      throw e;
    }
  }

  /** Opens an existing ledger for a command; its manager may be running. */
  public static LedgerStore openForCommand(Path folder, FaultInjector faults) throws IOException {
    if (!Files.exists(folder.resolve(DATABASE_FILE))) {
      throw new IOException(folder + " holds no ledger (" + DATABASE_FILE + " is missing)");
    }
    return open(folder, null, faults, null);
  }

  private static LedgerStore open(
      Path folder, String manager, FaultInjector faults, FileChannel lock) throws IOException {
    SQLiteConfig config = new SQLiteConfig();
    config.setJournalMode(SQLiteConfig.JournalMode.WAL);
    config.setSynchronous(SQLiteConfig.SynchronousMode.FULL);
    config.setBusyTimeout(BUSY_TIMEOUT_MS);
    Connection writeConnection = null;
    Connection readConnection = null;
    try {
      faults.beforeStep("open");
      writeConnection =
          JDBC.createConnection(
              "jdbc:sqlite:" + folder.resolve(DATABASE_FILE), config.toProperties());
      try (Statement statement = writeConnection.createStatement()) {
        statement.execute("PRAGMA wal_autocheckpoint = " + WAL_CHECKPOINT_PAGES);
      }
      String owner = LedgerSchema.prepare(writeConnection, manager, folder);
      readConnection =
          JDBC.createConnection(
              "jdbc:sqlite:" + folder.resolve(DATABASE_FILE), config.toProperties());
      return new LedgerStore(folder, faults, writeConnection, readConnection, lock, owner);
    } catch (SQLException | IOException e) {
      close(writeConnection);
      close(readConnection);
      throw e instanceof IOException io ? io : toIoException(folder, (SQLException) e);
    }
  }

  private static IOException toIoException(Path folder, SQLException cause) {
    return new IOException(folder.resolve(DATABASE_FILE) + ": " + cause.getMessage(), cause);
  }

  private static void close(Connection connection) {
    try {
      if (connection != null) {
        connection.close();
      }
    } catch (SQLException e) {
      // Ignored: the caller reports the failure that made it close the connection.
    }
  }

  /** The manager that owns this ledger. */
  public String manager() {
    return manager;
  }

  /** The folder of this ledger. */
  public Path folder() {
    return folder;
  }

  /** The epoch begun by {@link #beginEpoch}; 0 before. */
  public long epoch() {
    return epoch;
  }

  // ---- Transactions ----

  /** The body of a transaction. */
  private interface TransactionBody<T> {
    T run() throws SQLException, IOException;
  }

  private <T> T inTransaction(String step, TransactionBody<T> body) throws IOException {
    return inTransaction(step, writeConnection, "BEGIN IMMEDIATE", body);
  }

  private <T> T inReadTransaction(TransactionBody<T> body) throws IOException {
    return inTransaction("read", readConnection, "BEGIN", body);
  }

  /**
   * Runs a transaction with explicit BEGIN and COMMIT statements. The commit of the JDBC driver
   * would begin the next transaction at once and with it acquire the write lock again.
   */
  private <T> T inTransaction(
      String step, Connection connection, String beginSql, TransactionBody<T> body)
      throws IOException {
    try (Statement statement = connection.createStatement()) {
      faults.beforeStep(step);
      statement.execute(beginSql);
      try {
        T result = body.run();
        faults.beforeStep(step + " commit");
        statement.execute("COMMIT");
        return result;
      } catch (SQLException | IOException | RuntimeException e) {
        try {
          statement.execute("ROLLBACK");
        } catch (SQLException rollbackFailure) {
          // Also thrown if the database has already rolled back by itself.
          e.addSuppressed(rollbackFailure);
        }
        throw e;
      }
    } catch (SQLException e) {
      throw toIoException(folder, e);
    }
  }

  // ---- Operations of the running manager ----

  /**
   * Begins a new epoch, marks the tasks that earlier epochs left open as unresolved, and returns
   * the number of such tasks.
   *
   * @param unresolvedForwardConsumer receives the task and the engine of each forward that is
   *     unresolved
   */
  long beginEpoch(long nowNanos, BiConsumer<String, String> unresolvedForwardConsumer)
      throws IOException {
    return inTransaction(
        "epoch",
        () -> {
          EpochStart start = new EpochStart(writeConnection);
          epoch = start.begin(nowNanos);
          return start.endOpenTasks(unresolvedForwardConsumer);
        });
  }

  /** Writes updates of this epoch in one transaction. */
  void write(List<LedgerUpdate> updates) throws IOException {
    inTransaction(
        "lines",
        () -> {
          try (UpdateWriter writer = new UpdateWriter(writeConnection, epoch)) {
            Sql.lastPosition(writeConnection, writer.write(updates));
          }
          return null;
        });
  }

  // ---- Reading ----

  /** The position of the last line. */
  public long lastPosition() throws IOException {
    return inReadTransaction(() -> Sql.lastPosition(readConnection));
  }

  /** The number of tasks that are not complete. */
  public long openTasks() throws IOException {
    return inReadTransaction(
        () -> {
          try (Statement statement = readConnection.createStatement()) {
            return (long)
                Sql.queryInt(
                    statement,
                    "SELECT count(*) FROM entry INDEXED BY entry_open WHERE pos IS NULL");
          }
        });
  }

  /** The number of open tasks that were accepted in a time span (end exclusive). */
  public long openTasks(long startNanos, long endNanos) throws IOException {
    return inReadTransaction(
        () -> {
          try (PreparedStatement query =
                  readConnection.prepareStatement(
                      "SELECT count(*) FROM entry INDEXED BY entry_open WHERE pos IS NULL AND"
                          + " taken_at >= ? AND taken_at < ?");
              ResultSet rows = Sql.bind(query, startNanos, endNanos).executeQuery()) {
            rows.next();
            return rows.getLong(1);
          }
        });
  }

  /** Whether there is a complete or open entry with that epoch and sequence. */
  public boolean containsEntry(long entryEpoch, long sequence) throws IOException {
    return inReadTransaction(
        () -> {
          try (PreparedStatement query =
                  readConnection.prepareStatement(
                      "SELECT 1 FROM entry WHERE epoch = ? AND seq = ?");
              ResultSet rows = Sql.bind(query, entryEpoch, sequence).executeQuery()) {
            return rows.next();
          }
        });
  }

  /** Passes all lines from one position to another (inclusive) to a visitor, in order. */
  public void read(long first, long last, LineVisitor visitor) throws IOException {
    inReadTransaction(
        () -> {
          lineReader.read(first, last, visitor);
          return null;
        });
  }

  /** All amendments, sorted by number. */
  public List<Amendment> amendments() throws IOException {
    return inReadTransaction(() -> List.copyOf(lineReader.amendments(0, Long.MAX_VALUE).values()));
  }

  /**
   * Runs that engines reported when the manager, after a start, asked about unresolved forwards.
   */
  public List<Reconciliation.Run> reportedRuns() throws IOException {
    return inReadTransaction(
        () -> {
          List<Reconciliation.Run> runs = new ArrayList<>();
          try (Statement statement = readConnection.createStatement();
              ResultSet row = statement.executeQuery("SELECT engine, task, work, done FROM told")) {
            while (row.next()) {
              runs.add(
                  new Reconciliation.Run(
                      row.getString(1), row.getString(2), row.getLong(3), row.getInt(4) != 0));
            }
          }
          return runs;
        });
  }

  /** The closed periods, sorted by name. */
  public List<ClosedPeriod> closedPeriods() throws IOException {
    return inReadTransaction(billingReader::closedPeriods);
  }

  /** The sealed batches, sorted by number. */
  public List<Batch> batches() throws IOException {
    return inReadTransaction(billingReader::batches);
  }

  // ---- Operations of commands ----

  /** Stores an amendment under the next number, and returns it with that number. */
  public Amendment addAmendment(Amendment amendment) throws IOException {
    return inTransaction(
        "amendment",
        () -> {
          long position = Sql.lastPosition(writeConnection) + 1;
          long number;
          try (Statement statement = writeConnection.createStatement()) {
            number = 1L + Sql.queryInt(statement, "SELECT max(number) FROM amendment");
          }
          try (PreparedStatement insert =
              writeConnection.prepareStatement(
                  "INSERT INTO amendment VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?)")) {
            Sql.bind(
                    insert,
                    number,
                    amendment.period(),
                    amendment.tenant(),
                    amendment.amount().toPlainString(),
                    amendment.author(),
                    amendment.reason(),
                    amendment.corrects(),
                    amendment.createdAt(),
                    amendment.withdraws() ? 1 : 0,
                    position)
                .executeUpdate();
          }
          Sql.lastPosition(writeConnection, position);
          return new Amendment(
              number,
              amendment.period(),
              amendment.tenant(),
              amendment.amount(),
              amendment.author(),
              amendment.reason(),
              amendment.corrects(),
              amendment.createdAt(),
              amendment.withdraws());
        });
  }

  /** Stores that a period is closed. */
  public void close(ClosedPeriod period) throws IOException {
    inTransaction(
        "close",
        () -> {
          try (PreparedStatement insert =
              writeConnection.prepareStatement("INSERT INTO closed VALUES(?, ?, ?, ?, ?, ?)")) {
            Sql.bind(
                    insert,
                    period.period(),
                    period.lastPosition(),
                    period.closedAt(),
                    period.author(),
                    period.sha256(),
                    period.billing())
                .executeUpdate();
          }
          return null;
        });
  }

  /** Stores a sealed batch; its range, format and hash are fixed from then on. */
  public void addBatch(Batch batch) throws IOException {
    inTransaction(
        "seal",
        () -> {
          try (PreparedStatement insert =
              writeConnection.prepareStatement(
                  "INSERT INTO batch VALUES(?, ?, ?, ?, ?, ?, ?, 0, 0)")) {
            Sql.bind(
                    insert,
                    batch.number(),
                    batch.firstPosition(),
                    batch.lastPosition(),
                    batch.format(),
                    batch.sha256(),
                    batch.size(),
                    batch.sealedAt())
                .executeUpdate();
          }
          return null;
        });
  }

  /** Stores the time at which a batch was placed in the export folder, unless it has one. */
  public void markPlaced(long number, long timeNanos) throws IOException {
    setTimeOnce("placed_at", number, timeNanos);
  }

  /** Stores the time at which the consumer acknowledged a batch, unless it has one. */
  public void markAcknowledged(long number, long timeNanos) throws IOException {
    setTimeOnce("acked_at", number, timeNanos);
  }

  private void setTimeOnce(String column, long number, long timeNanos) throws IOException {
    inTransaction(
        column,
        () -> {
          try (PreparedStatement update =
              writeConnection.prepareStatement(
                  "UPDATE batch SET " + column + " = ? WHERE number = ? AND " + column + " = 0")) {
            Sql.bind(update, timeNanos, number).executeUpdate();
          }
          return null;
        });
  }

  /** Runs a quick check of the database and returns the first damage found, or null. */
  public String findDamage() throws IOException {
    return inReadTransaction(
        () -> {
          try (Statement statement = readConnection.createStatement();
              ResultSet rows = statement.executeQuery("PRAGMA quick_check(1)")) {
            String result = rows.next() ? rows.getString(1) : "no answer";
            return result.equals("ok") ? null : result;
          }
        });
  }

  @Override
  public void close() throws IOException {
    try {
      readConnection.close();
      writeConnection.close();
    } catch (SQLException e) {
      throw toIoException(folder, e);
    } finally {
      if (lock != null) {
        lock.close();
      }
    }
  }
}

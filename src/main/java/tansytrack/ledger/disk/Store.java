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
import tansytrack.ledger.Line;
import tansytrack.ledger.Reconciliation;

/**
 * One manager's ledger in an SQLite database with a write-ahead log that is synchronized at each
 * commit. Complete entries, amendments and gaps (the lines of the ledger) get consecutive positions
 * from one counter, in the order in which they are completed. Bills and batches refer to lines by
 * position. Opening a ledger does not read all of it, because an index contains just the open tasks.
 */
public final class Store implements AutoCloseable {

  private static final String FILE = "ledger.sqlite";
  // Commands may write while the manager is running, so a writer may have to wait for the other.
  private static final int BUSY_MS = 5000;
  // Pages of 4 KB in the write-ahead log before SQLite copies them into the database.
  private static final int LOG_PAGES = 16384;

  /**
   * A closed period.
   *
   * @param upTo the last position whose entries are in its subtotals
   * @param author who closed it
   * @param sha the hash of its subtotals
   * @param billing the text of the billing section with which it was closed
   */
  public record Closed(
      String period, long upTo, long at, String author, String sha, String billing) {}

  /** A sealed batch; {@code placedAt} and {@code ackedAt} are 0 until then. */
  public record Batch(
      long number,
      long first,
      long last,
      String form,
      String sha,
      long size,
      long sealedAt,
      long placedAt,
      long ackedAt) {}

  /** Visits lines in the order of their positions; ignores those without an overridden method. */
  public interface Lines {
    /** Visits the complete entry of a task. */
    default void entry(long position, Entry entry) throws IOException {}

    /** Visits an amendment. */
    default void amendment(long position, Amendment amendment) throws IOException {}

    /** Visits a gap. */
    default void gap(long position, Gap gap) throws IOException {}
  }

  private final Path folder;
  private final Faults faults;
  // Its transactions acquire the write lock when they begin.
  private final Connection db;
  // Its transactions read a snapshot and block nobody.
  private final Connection reader;
  private final LineReader lines;
  private final FileChannel lock;
  private final String manager;
  private long epoch;

  private Store(
      Path folder,
      Faults faults,
      Connection db,
      Connection reader,
      FileChannel lock,
      String manager) {
    this.folder = folder;
    this.faults = faults;
    this.db = db;
    this.reader = reader;
    lines = new LineReader(reader);
    this.lock = lock;
    this.manager = manager;
  }

  // ---- Opening ----

  /** Opens or creates a ledger for its manager; fails if another process holds its lock. */
  static Store forManager(Path folder, String manager, Faults faults) throws IOException {
    Files.createDirectories(folder);
    FileChannel lock = LedgerLock.take(folder, manager);
    try {
      return open(folder, manager, faults, lock);
    } catch (IOException e) {
      lock.close();
      throw e;
    }
  }

  /** Opens an existing ledger for a command; its manager may be running. */
  public static Store forCommand(Path folder, Faults faults) throws IOException {
    if (!Files.exists(folder.resolve(FILE))) {
      throw new IOException(folder + " holds no ledger (" + FILE + " is missing)");
    }
    return open(folder, null, faults, null);
  }

  private static Store open(Path folder, String manager, Faults faults, FileChannel lock)
      throws IOException {
    SQLiteConfig config = new SQLiteConfig();
    config.setJournalMode(SQLiteConfig.JournalMode.WAL);
    config.setSynchronous(SQLiteConfig.SynchronousMode.FULL);
    config.setBusyTimeout(BUSY_MS);
    Connection db = null;
    Connection reader = null;
    try {
      faults.before("open");
      db = JDBC.createConnection("jdbc:sqlite:" + folder.resolve(FILE), config.toProperties());
      try (Statement run = db.createStatement()) {
        run.execute("PRAGMA wal_autocheckpoint = " + LOG_PAGES);
      }
      String owner = LedgerSchema.prepare(db, manager, folder);
      reader = JDBC.createConnection("jdbc:sqlite:" + folder.resolve(FILE), config.toProperties());
      return new Store(folder, faults, db, reader, lock, owner);
    } catch (SQLException | IOException e) {
      close(db);
      close(reader);
      throw e instanceof IOException io ? io : said(folder, (SQLException) e);
    }
  }

  private static IOException said(Path folder, SQLException cause) {
    return new IOException(folder.resolve(FILE) + ": " + cause.getMessage(), cause);
  }

  private static void close(Connection db) {
    try {
      if (db != null) {
        db.close();
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
  private interface Work<T> {
    T run() throws SQLException, IOException;
  }

  private <T> T atomically(String step, Work<T> work) throws IOException {
    return atomically(step, db, "BEGIN IMMEDIATE", work);
  }

  private <T> T reading(Work<T> work) throws IOException {
    return atomically("read", reader, "BEGIN", work);
  }

  /**
   * Runs a transaction with explicit BEGIN and COMMIT statements. The commit of the JDBC driver would
   * begin the next transaction at once and with it acquire the write lock again.
   */
  private <T> T atomically(String step, Connection on, String begin, Work<T> work)
      throws IOException {
    try (Statement run = on.createStatement()) {
      faults.before(step);
      run.execute(begin);
      try {
        T made = work.run();
        faults.before(step + " commit");
        run.execute("COMMIT");
        return made;
      } catch (SQLException | IOException | RuntimeException e) {
        try {
          run.execute("ROLLBACK");
        } catch (SQLException again) {
          // Also thrown if the database has already rolled back by itself.
          e.addSuppressed(again);
        }
        throw e;
      }
    } catch (SQLException e) {
      throw said(folder, e);
    }
  }

  // ---- Operations of the running manager ----

  /**
   * Begins a new epoch, marks the tasks that earlier epochs left open as unresolved, and returns the
   * number of such tasks.
   *
   * @param left receives the task and the engine of each forward that was in flight
   */
  long beginEpoch(long now, BiConsumer<String, String> left) throws IOException {
    return atomically(
        "epoch",
        () -> {
          EpochStart start = new EpochStart(db);
          epoch = start.next(now);
          return start.endOpen(left);
        });
  }

  /** Writes updates of this epoch in one transaction. */
  void write(List<Line> lines) throws IOException {
    atomically(
        "lines",
        () -> {
          try (LineWriter writer = new LineWriter(db, epoch)) {
            Sql.position(db, writer.write(lines));
          }
          return null;
        });
  }

  // ---- Reading ----

  /** The position of the last line. */
  public long last() throws IOException {
    return reading(() -> Sql.position(reader));
  }

  /** The number of tasks that are not complete. */
  public long openTasks() throws IOException {
    return reading(
        () -> {
          try (Statement run = reader.createStatement()) {
            return (long)
                Sql.number(
                    run, "SELECT count(*) FROM entry INDEXED BY entry_open WHERE pos IS NULL");
          }
        });
  }

  /** The number of open tasks that were accepted in a time span (end exclusive). */
  public long openTasks(long from, long until) throws IOException {
    return reading(
        () -> {
          try (PreparedStatement ask =
                  reader.prepareStatement(
                      "SELECT count(*) FROM entry INDEXED BY entry_open WHERE pos IS NULL AND"
                          + " taken_at >= ? AND taken_at < ?");
              ResultSet found = Sql.set(ask, from, until).executeQuery()) {
            found.next();
            return found.getLong(1);
          }
        });
  }

  /** Whether there is a complete or open entry with that epoch and number. */
  public boolean holds(long ofEpoch, long sequence) throws IOException {
    return reading(
        () -> {
          try (PreparedStatement ask =
                  reader.prepareStatement("SELECT 1 FROM entry WHERE epoch = ? AND seq = ?");
              ResultSet found = Sql.set(ask, ofEpoch, sequence).executeQuery()) {
            return found.next();
          }
        });
  }

  /** Passes all lines from one position to another (inclusive) to a visitor, in order. */
  public void read(long first, long last, Lines to) throws IOException {
    reading(
        () -> {
          lines.read(first, last, to);
          return null;
        });
  }

  /** All amendments, sorted by number. */
  public List<Amendment> amendments() throws IOException {
    return reading(() -> List.copyOf(lines.amendments(0, Long.MAX_VALUE).values()));
  }

  /** Runs that engines reported when a manager asked after its start about forwards in flight. */
  public List<Reconciliation.Run> told() throws IOException {
    return reading(
        () -> {
          List<Reconciliation.Run> all = new ArrayList<>();
          try (Statement run = reader.createStatement();
              ResultSet found = run.executeQuery("SELECT engine, task, work, done FROM told")) {
            while (found.next()) {
              all.add(
                  new Reconciliation.Run(
                      found.getString(1),
                      found.getString(2),
                      found.getLong(3),
                      found.getInt(4) != 0));
            }
          }
          return all;
        });
  }

  /** The closed periods, sorted by name. */
  public List<Closed> closed() throws IOException {
    return reading(
        () -> {
          List<Closed> all = new ArrayList<>();
          try (Statement run = reader.createStatement();
              ResultSet found =
                  run.executeQuery(
                      "SELECT period, upto, at, author, sha, billing FROM closed ORDER BY"
                          + " period")) {
            while (found.next()) {
              all.add(
                  new Closed(
                      found.getString(1),
                      found.getLong(2),
                      found.getLong(3),
                      found.getString(4),
                      found.getString(5),
                      found.getString(6)));
            }
          }
          return all;
        });
  }

  /** The sealed batches, sorted by number. */
  public List<Batch> batches() throws IOException {
    return reading(
        () -> {
          List<Batch> all = new ArrayList<>();
          try (Statement run = reader.createStatement();
              ResultSet found =
                  run.executeQuery(
                      "SELECT number, first, last, form, sha, size, sealed_at, placed_at, acked_at"
                          + " FROM batch ORDER BY number")) {
            while (found.next()) {
              all.add(
                  new Batch(
                      found.getLong(1),
                      found.getLong(2),
                      found.getLong(3),
                      found.getString(4),
                      found.getString(5),
                      found.getLong(6),
                      found.getLong(7),
                      found.getLong(8),
                      found.getLong(9)));
            }
          }
          return all;
        });
  }

  // ---- Operations of commands ----

  /** Stores an amendment under the next number, and returns it with that number. */
  public Amendment amend(Amendment wanted) throws IOException {
    return atomically(
        "amendment",
        () -> {
          long at = Sql.position(db) + 1;
          long number;
          try (Statement run = db.createStatement()) {
            number = 1L + Sql.number(run, "SELECT max(number) FROM amendment");
          }
          try (PreparedStatement put =
              db.prepareStatement("INSERT INTO amendment VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?)")) {
            Sql.set(
                    put,
                    number,
                    wanted.period(),
                    wanted.tenant(),
                    wanted.amount().toPlainString(),
                    wanted.author(),
                    wanted.reason(),
                    wanted.corrects(),
                    wanted.at(),
                    wanted.withdraws() ? 1 : 0,
                    at)
                .executeUpdate();
          }
          Sql.position(db, at);
          return new Amendment(
              number,
              wanted.period(),
              wanted.tenant(),
              wanted.amount(),
              wanted.author(),
              wanted.reason(),
              wanted.corrects(),
              wanted.at(),
              wanted.withdraws());
        });
  }

  /** Stores that a period is closed. */
  public void close(Closed period) throws IOException {
    atomically(
        "close",
        () -> {
          try (PreparedStatement put =
              db.prepareStatement("INSERT INTO closed VALUES(?, ?, ?, ?, ?, ?)")) {
            Sql.set(
                    put,
                    period.period(),
                    period.upTo(),
                    period.at(),
                    period.author(),
                    period.sha(),
                    period.billing())
                .executeUpdate();
          }
          return null;
        });
  }

  /** Stores a sealed batch; its range, format and hash are fixed from then on. */
  public void seal(Batch batch) throws IOException {
    atomically(
        "seal",
        () -> {
          try (PreparedStatement put =
              db.prepareStatement("INSERT INTO batch VALUES(?, ?, ?, ?, ?, ?, ?, 0, 0)")) {
            Sql.set(
                    put,
                    batch.number(),
                    batch.first(),
                    batch.last(),
                    batch.form(),
                    batch.sha(),
                    batch.size(),
                    batch.sealedAt())
                .executeUpdate();
          }
          return null;
        });
  }

  /** Stores the time at which a batch was placed, unless it has one. */
  public void placed(long number, long at) throws IOException {
    mark("placed_at", number, at);
  }

  /** Stores the time at which the consumer acknowledged a batch, unless it has one. */
  public void acked(long number, long at) throws IOException {
    mark("acked_at", number, at);
  }

  private void mark(String column, long number, long at) throws IOException {
    atomically(
        column,
        () -> {
          try (PreparedStatement put =
              db.prepareStatement(
                  "UPDATE batch SET " + column + " = ? WHERE number = ? AND " + column + " = 0")) {
            Sql.set(put, at, number).executeUpdate();
          }
          return null;
        });
  }

  /** Runs a quick check of the database and returns the first damage found, or null. */
  public String damage() throws IOException {
    return reading(
        () -> {
          try (Statement run = reader.createStatement();
              ResultSet found = run.executeQuery("PRAGMA quick_check(1)")) {
            String said = found.next() ? found.getString(1) : "no answer";
            return said.equals("ok") ? null : said;
          }
        });
  }

  @Override
  public void close() throws IOException {
    try {
      reader.close();
      db.close();
    } catch (SQLException e) {
      throw said(folder, e);
    } finally {
      if (lock != null) {
        lock.close();
      }
    }
  }
}

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
 * One manager's ledger in SQLite: a write-ahead log, made durable at each commit. Complete entries,
 * amendments and gaps get a position in the order in which they became so, from one counter;
 * everything later (bills, batches) goes by positions. Opening it reads the tail alone: what is
 * open is found by an index of just that.
 */
public final class LedgerStore implements AutoCloseable {

  private static final String DATABASE_FILE = "ledger.sqlite";
  private static final int BUSY_TIMEOUT_MILLIS =
      5000; // for a command that writes beside a running manager
  private static final int WAL_CHECKPOINT_PAGES =
      16384; // of 4 KB, before the log is taken over into the file

  /** A period as it was closed; the sums hold entries up to that position. */
  public record ClosedPeriod(
      String period,
      long lastPosition,
      long closedAt,
      String author,
      String sha256,
      String billing) {}

  /** A sealed batch; placed and acknowledged 0: not yet. */
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

  /** Reads lines in the order of their positions; what is not overridden is passed over. */
  public interface LineVisitor {
    /** A task's complete entry. */
    default void entry(long position, Entry entry) throws IOException {}

    /** A correction of a bill. */
    default void amendment(long position, Amendment amendment) throws IOException {}

    /** Lines that the manager could not write. */
    default void gap(long position, Gap gap) throws IOException {}
  }

  private final Path folder;
  private final FaultInjector faults;
  private final Connection db; // its transactions take the right to write as they begin
  private final Connection reader; // sees the ledger as it was then, and holds up nobody
  private final LineReader lineReader;
  private final FileChannel lock;
  private final String manager;
  private long epoch;

  private LedgerStore(
      Path folder,
      FaultInjector faults,
      Connection db,
      Connection reader,
      FileChannel lock,
      String manager) {
    this.folder = folder;
    this.faults = faults;
    this.db = db;
    this.reader = reader;
    lineReader = new LineReader(reader);
    this.lock = lock;
    this.manager = manager;
  }

  // ---- Opening ----

  /** For the manager that writes it, and makes it where there is none; one at a time. */
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

  /** For a command, beside a manager or without one. */
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
    config.setBusyTimeout(BUSY_TIMEOUT_MILLIS);
    Connection db = null;
    Connection reader = null;
    try {
      faults.beforeStep("open");
      db =
          JDBC.createConnection(
              "jdbc:sqlite:" + folder.resolve(DATABASE_FILE), config.toProperties());
      try (Statement run = db.createStatement()) {
        run.execute("PRAGMA wal_autocheckpoint = " + WAL_CHECKPOINT_PAGES);
      }
      String owner = LedgerSchema.prepare(db, manager, folder);
      reader =
          JDBC.createConnection(
              "jdbc:sqlite:" + folder.resolve(DATABASE_FILE), config.toProperties());
      return new LedgerStore(folder, faults, db, reader, lock, owner);
    } catch (SQLException | IOException e) {
      close(db);
      close(reader);
      throw e instanceof IOException io ? io : toIoException(folder, (SQLException) e);
    }
  }

  private static IOException toIoException(Path folder, SQLException cause) {
    return new IOException(folder.resolve(DATABASE_FILE) + ": " + cause.getMessage(), cause);
  }

  private static void close(Connection db) {
    try {
      if (db != null) {
        db.close();
      }
    } catch (SQLException e) {
      // it is given up for the reason that is being said
    }
  }

  /** The manager that owns this ledger. */
  public String manager() {
    return manager;
  }

  /** The folder that it lies in. */
  public Path folder() {
    return folder;
  }

  /** The epoch that was begun last by this process; 0 before. */
  public long epoch() {
    return epoch;
  }

  // ---- Transactions ----

  /** What is done in one transaction. */
  private interface TransactionBody<T> {
    T run() throws SQLException, IOException;
  }

  private <T> T inTransaction(String step, TransactionBody<T> work) throws IOException {
    return inTransaction(step, db, "BEGIN IMMEDIATE", work);
  }

  private <T> T inReadTransaction(TransactionBody<T> work) throws IOException {
    return inTransaction("read", reader, "BEGIN", work);
  }

  /**
   * Begun and ended by hand: the driver's own commit begins the next transaction, and with it the
   * right to write, at once.
   */
  private <T> T inTransaction(String step, Connection on, String begin, TransactionBody<T> work)
      throws IOException {
    try (Statement run = on.createStatement()) {
      faults.beforeStep(step);
      run.execute(begin);
      try {
        T made = work.run();
        faults.beforeStep(step + " commit");
        run.execute("COMMIT");
        return made;
      } catch (SQLException | IOException | RuntimeException e) {
        try {
          run.execute("ROLLBACK");
        } catch (SQLException again) {
          e.addSuppressed(again); // as where the database has rolled back by itself
        }
        throw e;
      }
    } catch (SQLException e) {
      throw toIoException(folder, e);
    }
  }

  // ---- The running manager's side ----

  /**
   * Begins a new epoch: what earlier ones left open has no end that anybody told. Gives the number
   * of such tasks, and tells each forward that was left out, by task and engine.
   */
  long beginEpoch(long now, BiConsumer<String, String> left) throws IOException {
    return inTransaction(
        "epoch",
        () -> {
          EpochStart start = new EpochStart(db);
          epoch = start.begin(now);
          return start.endOpenTasks(left);
        });
  }

  /** Writes lines of this epoch, in one transaction. */
  void write(List<LedgerUpdate> lines) throws IOException {
    inTransaction(
        "lines",
        () -> {
          try (UpdateWriter writer = new UpdateWriter(db, epoch)) {
            Sql.lastPosition(db, writer.write(lines));
          }
          return null;
        });
  }

  // ---- Reading ----

  /** The last position. */
  public long lastPosition() throws IOException {
    return inReadTransaction(() -> Sql.lastPosition(reader));
  }

  /** How many tasks have no complete entry yet. */
  public long openTasks() throws IOException {
    return inReadTransaction(
        () -> {
          try (Statement run = reader.createStatement()) {
            return (long)
                Sql.queryInt(
                    run, "SELECT count(*) FROM entry INDEXED BY entry_open WHERE pos IS NULL");
          }
        });
  }

  /** Open tasks that were taken in a stretch of time. */
  public long openTasks(long from, long until) throws IOException {
    return inReadTransaction(
        () -> {
          try (PreparedStatement ask =
                  reader.prepareStatement(
                      "SELECT count(*) FROM entry INDEXED BY entry_open WHERE pos IS NULL AND"
                          + " taken_at >= ? AND taken_at < ?");
              ResultSet found = Sql.bind(ask, from, until).executeQuery()) {
            found.next();
            return found.getLong(1);
          }
        });
  }

  /** Whether there is an entry, complete or open, with that number. */
  public boolean containsEntry(long ofEpoch, long sequence) throws IOException {
    return inReadTransaction(
        () -> {
          try (PreparedStatement ask =
                  reader.prepareStatement("SELECT 1 FROM entry WHERE epoch = ? AND seq = ?");
              ResultSet found = Sql.bind(ask, ofEpoch, sequence).executeQuery()) {
            return found.next();
          }
        });
  }

  /** All lines from one position to another, in order. */
  public void read(long first, long last, LineVisitor to) throws IOException {
    inReadTransaction(
        () -> {
          lineReader.read(first, last, to);
          return null;
        });
  }

  /** All amendments, by number. */
  public List<Amendment> amendments() throws IOException {
    return inReadTransaction(() -> List.copyOf(lineReader.amendments(0, Long.MAX_VALUE).values()));
  }

  /** What engines said after starts. */
  public List<Reconciliation.Run> reportedRuns() throws IOException {
    return inReadTransaction(
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

  /** The closed periods, by name. */
  public List<ClosedPeriod> closedPeriods() throws IOException {
    return inReadTransaction(
        () -> {
          List<ClosedPeriod> all = new ArrayList<>();
          try (Statement run = reader.createStatement();
              ResultSet found =
                  run.executeQuery(
                      "SELECT period, upto, at, author, sha, billing FROM closed ORDER BY"
                          + " period")) {
            while (found.next()) {
              all.add(
                  new ClosedPeriod(
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

  /** The sealed batches, by number. */
  public List<Batch> batches() throws IOException {
    return inReadTransaction(
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

  // ---- The commands' side ----

  /** Writes an amendment under the next number; the one given back has it. */
  public Amendment addAmendment(Amendment wanted) throws IOException {
    return inTransaction(
        "amendment",
        () -> {
          long at = Sql.lastPosition(db) + 1;
          long number;
          try (Statement run = db.createStatement()) {
            number = 1L + Sql.queryInt(run, "SELECT max(number) FROM amendment");
          }
          try (PreparedStatement put =
              db.prepareStatement("INSERT INTO amendment VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?)")) {
            Sql.bind(
                    put,
                    number,
                    wanted.period(),
                    wanted.tenant(),
                    wanted.amount().toPlainString(),
                    wanted.author(),
                    wanted.reason(),
                    wanted.corrects(),
                    wanted.createdAt(),
                    wanted.withdraws() ? 1 : 0,
                    at)
                .executeUpdate();
          }
          Sql.lastPosition(db, at);
          return new Amendment(
              number,
              wanted.period(),
              wanted.tenant(),
              wanted.amount(),
              wanted.author(),
              wanted.reason(),
              wanted.corrects(),
              wanted.createdAt(),
              wanted.withdraws());
        });
  }

  /** Closes a period: its bill takes no more entries; later ones go into corrections. */
  public void close(ClosedPeriod period) throws IOException {
    inTransaction(
        "close",
        () -> {
          try (PreparedStatement put =
              db.prepareStatement("INSERT INTO closed VALUES(?, ?, ?, ?, ?, ?)")) {
            Sql.bind(
                    put,
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

  /** Seals a batch: its range, form and hash are fixed from here on. */
  public void addBatch(Batch batch) throws IOException {
    inTransaction(
        "seal",
        () -> {
          try (PreparedStatement put =
              db.prepareStatement("INSERT INTO batch VALUES(?, ?, ?, ?, ?, ?, ?, 0, 0)")) {
            Sql.bind(
                    put,
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

  /** Notes that a batch's file is in its place, once. */
  public void markPlaced(long number, long at) throws IOException {
    setTimeOnce("placed_at", number, at);
  }

  /** Notes that the billing side acknowledged a batch, once. */
  public void markAcknowledged(long number, long at) throws IOException {
    setTimeOnce("acked_at", number, at);
  }

  private void setTimeOnce(String column, long number, long at) throws IOException {
    inTransaction(
        column,
        () -> {
          try (PreparedStatement put =
              db.prepareStatement(
                  "UPDATE batch SET " + column + " = ? WHERE number = ? AND " + column + " = 0")) {
            Sql.bind(put, at, number).executeUpdate();
          }
          return null;
        });
  }

  /** What SQLite itself finds wrong with its file, or null. */
  public String findDamage() throws IOException {
    return inReadTransaction(
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
      throw toIoException(folder, e);
    } finally {
      if (lock != null) {
        lock.close();
      }
    }
  }
}

package tansytrack.ledger.disk;

import java.io.IOException;
import java.math.BigDecimal;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.sqlite.JDBC;
import org.sqlite.SQLiteConfig;
import tansytrack.ledger.Amendment;
import tansytrack.ledger.End;
import tansytrack.ledger.Entry;
import tansytrack.ledger.Gap;
import tansytrack.ledger.Line;
import tansytrack.ledger.Reconciliation;
import tansytrack.ledger.Use;

/**
 * One manager's ledger in SQLite: a write-ahead log, made durable at each commit. Complete entries,
 * amendments and gaps get a position in the order in which they became so, from one counter;
 * everything later (bills, batches) goes by positions. Opening it reads the tail alone: what is
 * open is found by an index of just that.
 */
public final class Store implements AutoCloseable {

  static final int SCHEMA = 3;
  private static final String FILE = "ledger.sqlite";
  private static final String LOCK = "ledger.lock";
  private static final long LOCK_PATIENCE =
      2_000_000_000L; // for the process before, which may be ending
  private static final long LOCK_PAUSE = 50_000_000L;
  private static final int BUSY_MS = 5000; // for a command that writes beside a running manager
  private static final int LOG_PAGES = 16384; // of 4 KB, before the log is taken over into the file
  private static final int ROWS = 512; // fetched at a time

  private static final String TOLD =
      "CREATE TABLE told(engine TEXT, task TEXT, work INTEGER, done INTEGER, PRIMARY KEY(engine,"
          + " task)) WITHOUT ROWID";
  private static final String[] TABLES = {
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
    TOLD,
    "CREATE TABLE closed(period TEXT PRIMARY KEY, upto INTEGER, at INTEGER, author TEXT, sha TEXT,"
        + " billing TEXT)",
    "CREATE TABLE batch(number INTEGER PRIMARY KEY, first INTEGER, last INTEGER, form TEXT, sha"
        + " TEXT, size INTEGER, sealed_at INTEGER, placed_at INTEGER, acked_at INTEGER)"
  };

  /** A period as it was closed; the sums hold entries up to that position. */
  public record Closed(
      String period, long upTo, long at, String author, String sha, String billing) {}

  /** A sealed batch; placed and acknowledged 0: not yet. */
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

  /** Reads lines in the order of their positions; what is not overridden is passed over. */
  public interface Lines {
    /** A task's complete entry. */
    default void entry(long position, Entry entry) throws IOException {}

    /** A correction of a bill. */
    default void amendment(long position, Amendment amendment) throws IOException {}

    /** Lines that the manager could not write. */
    default void gap(long position, Gap gap) throws IOException {}
  }

  private final Path folder;
  private final Faults faults;
  private final Connection db; // its transactions take the right to write as they begin
  private final Connection reader; // sees the ledger as it was then, and holds up nobody
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
    this.lock = lock;
    this.manager = manager;
  }

  // ---- Opening ----

  /** For the manager that writes it, and makes it where there is none; one at a time. */
  static Store forManager(Path folder, String manager, Faults faults) throws IOException {
    Files.createDirectories(folder);
    FileChannel lock = lock(folder, manager);
    try {
      return open(folder, manager, faults, lock);
    } catch (IOException e) {
      lock.close();
      throw e;
    }
  }

  /** For a command, beside a manager or without one. */
  public static Store forCommand(Path folder, Faults faults) throws IOException {
    if (!Files.exists(folder.resolve(FILE))) {
      throw new IOException(folder + " holds no ledger (" + FILE + " is missing)");
    }
    return open(folder, null, faults, null);
  }

  private static FileChannel lock(Path folder, String manager) throws IOException {
    FileChannel channel =
        FileChannel.open(
            folder.resolve(LOCK),
            StandardOpenOption.CREATE,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE);
    long until = System.nanoTime() + LOCK_PATIENCE;
    try {
      while (true) {
        FileLock held = tried(channel);
        if (held != null) {
          channel.truncate(0);
          channel.write(
              ByteBuffer.wrap(
                  (manager + ", process " + ProcessHandle.current().pid())
                      .getBytes(StandardCharsets.UTF_8)),
              0);
          return channel;
        }
        if (System.nanoTime() > until) {
          ByteBuffer text = ByteBuffer.allocate(256);
          channel.read(text, 0);
          throw new IOException(
              folder
                  + " is held by "
                  + new String(text.array(), 0, text.position(), StandardCharsets.UTF_8));
        }
        Thread.sleep(LOCK_PAUSE / 1_000_000);
      }
    } catch (IOException | InterruptedException e) {
      channel.close();
      throw e instanceof IOException io ? io : new IOException(e);
    }
  }

  private static FileLock tried(FileChannel channel) throws IOException {
    try {
      return channel.tryLock();
    } catch (OverlappingFileLockException e) {
      return null;
    }
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
      String owner = schema(db, manager, folder);
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
      // it is given up for the reason that is being said
    }
  }

  /** Makes or lifts the schema, in one transaction; gives the manager that owns it. */
  private static String schema(Connection db, String manager, Path folder)
      throws SQLException, IOException {
    try (Statement run = db.createStatement()) {
      int version = number(run, "PRAGMA user_version");
      if (version > SCHEMA) {
        throw new IOException(
            folder + " has schema " + version + "; this program knows up to " + SCHEMA);
      }
      if (version < SCHEMA) {
        if (manager == null && version == 0) {
          throw new IOException(folder + " holds no ledger (its file has no schema)");
        }
        run.execute("BEGIN IMMEDIATE");
        if (version == 0) {
          for (String table : TABLES) {
            run.execute(table);
          }
          run.execute("INSERT INTO meta VALUES('position', 0)");
        } else {
          if (version == 1) {
            // It did not keep with which billing section a period was closed.
            run.execute("ALTER TABLE closed ADD COLUMN billing TEXT");
          }
          run.execute(TOLD);
        }
        run.execute("PRAGMA user_version = " + SCHEMA);
        run.execute("COMMIT");
      }
    }
    String owner = null;
    try (Statement run = db.createStatement();
        ResultSet found = run.executeQuery("SELECT value FROM meta WHERE name = 'manager'")) {
      owner = found.next() ? found.getString(1) : null;
    }
    if (owner == null && manager != null) {
      try (PreparedStatement put = db.prepareStatement("INSERT INTO meta VALUES('manager', ?)")) {
        put.setString(1, manager);
        put.execute();
      }
      return manager;
    }
    if (manager != null && !owner.equals(manager)) {
      throw new IOException(folder + " is the ledger of " + owner + ", not of " + manager);
    }
    return owner;
  }

  private static int number(Statement run, String query) throws SQLException {
    try (ResultSet found = run.executeQuery(query)) {
      return found.next() ? found.getInt(1) : 0;
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
   * Begun and ended by hand: the driver's own commit begins the next transaction, and with it the
   * right to write, at once.
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
          e.addSuppressed(again); // as where the database has rolled back by itself
        }
        throw e;
      }
    } catch (SQLException e) {
      throw said(folder, e);
    }
  }

  private static long position(Connection on) throws SQLException {
    try (Statement run = on.createStatement();
        ResultSet found = run.executeQuery("SELECT value FROM meta WHERE name = 'position'")) {
      found.next();
      return found.getLong(1);
    }
  }

  private void position(long at) throws SQLException {
    try (PreparedStatement put =
        db.prepareStatement("UPDATE meta SET value = ? WHERE name = 'position'")) {
      put.setLong(1, at);
      put.executeUpdate();
    }
  }

  private static PreparedStatement set(PreparedStatement put, Object... values)
      throws SQLException {
    for (int i = 0; i < values.length; i++) {
      put.setObject(i + 1, values[i]);
    }
    return put;
  }

  // ---- The running manager's side ----

  /**
   * Begins a new epoch: what earlier ones left open has no end that anybody told. Gives the number
   * of such tasks, and tells each forward that was left out, by task and engine.
   */
  long beginEpoch(long now, BiConsumer<String, String> left) throws IOException {
    return atomically(
        "epoch",
        () -> {
          try (Statement run = db.createStatement()) {
            epoch = 1L + number(run, "SELECT max(number) FROM epoch");
            try (PreparedStatement put = db.prepareStatement("INSERT INTO epoch VALUES(?, ?)")) {
              set(put, epoch, now).executeUpdate();
            }
            List<long[]> open = new ArrayList<>();
            try (ResultSet found =
                run.executeQuery(
                    "SELECT epoch, seq FROM entry INDEXED BY entry_open WHERE pos IS NULL ORDER BY"
                        + " epoch, seq")) {
              while (found.next()) {
                open.add(new long[] {found.getLong(1), found.getLong(2)});
              }
            }
            try (PreparedStatement out =
                db.prepareStatement(
                    "SELECT e.task, f.engine FROM forward f JOIN entry e ON e.epoch = f.epoch AND"
                        + " e.seq = f.seq WHERE f.epoch = ? AND f.seq = ? AND f.outcome = ''")) {
              for (long[] one : open) {
                try (ResultSet found = set(out, one[0], one[1]).executeQuery()) {
                  while (found.next()) {
                    left.accept(found.getString(1), found.getString(2));
                  }
                }
              }
            }
            long at = position(db);
            try (PreparedStatement forward =
                    db.prepareStatement(
                        "UPDATE forward SET outcome = '"
                            + Use.UNKNOWN
                            + "', wasted = 1 WHERE epoch = ? AND seq = ? AND outcome = ''");
                PreparedStatement entry =
                    db.prepareStatement(
                        "UPDATE entry SET ended = coalesce(ended, '"
                            + End.UNRESOLVED
                            + "'), pos = ? WHERE epoch = ? AND seq = ?")) {
              for (long[] one : open) {
                set(forward, one[0], one[1]).executeUpdate();
                set(entry, ++at, one[0], one[1]).executeUpdate();
              }
            }
            position(at);
            return (long) open.size();
          }
        });
  }

  /** One forward of this epoch. */
  private record Place(long sequence, int index) {}

  /** Writes lines of this epoch, in one transaction. */
  void write(List<Line> lines) throws IOException {
    // What is sent and over within one batch is written once, as it ended.
    Set<Long> answeredHere = new HashSet<>();
    Set<Place> endedHere = new HashSet<>();
    for (Line line : lines) {
      if (line instanceof Line.Answered) {
        answeredHere.add(line.sequence());
      } else if (line instanceof Line.Ended one) {
        endedHere.add(new Place(one.sequence(), one.use().index()));
      }
    }
    atomically(
        "lines",
        () -> {
          long at = position(db);
          try (PreparedStatement intent =
                  db.prepareStatement(
                      "INSERT INTO entry(epoch, seq, task, tenant, grade, taken_at)"
                          + " VALUES(?, ?, ?, ?, ?, ?) ON CONFLICT DO NOTHING");
              PreparedStatement sent =
                  db.prepareStatement(
                      "INSERT INTO forward(epoch, seq, idx, engine, sent_at,"
                          + " granted) VALUES(?, ?, ?, ?, ?, ?) ON CONFLICT DO NOTHING");
              PreparedStatement ended =
                  db.prepareStatement(
                      "INSERT INTO forward VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?) ON CONFLICT DO"
                          + " UPDATE SET ended_at = excluded.ended_at, outcome = excluded.outcome,"
                          + " work = excluded.work, needed = excluded.needed, wasted ="
                          + " excluded.wasted");
              PreparedStatement answered =
                  db.prepareStatement(
                      "INSERT INTO entry VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?) ON CONFLICT DO"
                          + " UPDATE SET ended_at = excluded.ended_at, ended = excluded.ended,"
                          + " bytes = excluded.bytes, earnings = excluded.earnings, pos ="
                          + " excluded.pos");
              PreparedStatement complete =
                  db.prepareStatement(
                      "UPDATE entry SET pos = ? WHERE epoch = ? AND seq = ?"
                          + " AND pos IS NULL AND ended IS NOT NULL");
              PreparedStatement told =
                  db.prepareStatement("INSERT OR IGNORE INTO told VALUES(?, ?, ?, ?)");
              PreparedStatement missing =
                  db.prepareStatement("INSERT INTO gap VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?)")) {
            for (Line line : lines) {
              if (line instanceof Line.Sent one) {
                Use use = one.use();
                if (!answeredHere.contains(one.sequence())) {
                  set(
                          intent,
                          epoch,
                          one.sequence(),
                          one.task(),
                          one.tenant(),
                          one.grade(),
                          one.takenAt())
                      .executeUpdate();
                }
                if (!endedHere.contains(new Place(one.sequence(), use.index()))) {
                  set(
                          sent,
                          epoch,
                          one.sequence(),
                          use.index(),
                          use.engine(),
                          use.sentAt(),
                          use.grantedMb())
                      .executeUpdate();
                }
              } else if (line instanceof Line.Ended one) {
                Use use = one.use();
                set(
                        ended,
                        epoch,
                        one.sequence(),
                        use.index(),
                        use.engine(),
                        use.sentAt(),
                        use.endedAt(),
                        use.outcome(),
                        use.work(),
                        use.neededMb(),
                        use.grantedMb(),
                        use.wasted() ? 1 : 0)
                    .executeUpdate();
                if (one.complete()) {
                  at += set(complete, at + 1, epoch, one.sequence()).executeUpdate();
                }
              } else if (line instanceof Line.Answered one) {
                set(
                        answered,
                        epoch,
                        one.sequence(),
                        one.task(),
                        one.tenant(),
                        one.grade(),
                        one.takenAt(),
                        one.endedAt(),
                        one.end().name(),
                        one.bytes(),
                        one.earningsMilli(),
                        one.complete() ? (Long) (at + 1) : null)
                    .executeUpdate();
                at += one.complete() ? 1 : 0;
              } else if (line instanceof Line.Told one) {
                set(
                        told,
                        one.run().engine(),
                        one.run().task(),
                        one.run().work(),
                        one.run().done() ? 1 : 0)
                    .executeUpdate();
              } else if (line instanceof Line.Missing one) {
                Gap gap = one.gap();
                set(
                        missing,
                        epoch,
                        gap.number(),
                        gap.firstSequence(),
                        gap.lastSequence(),
                        gap.from(),
                        gap.until(),
                        gap.lines(),
                        gap.cause(),
                        ++at)
                    .executeUpdate();
              }
            }
          }
          position(at);
          return null;
        });
  }

  // ---- Reading ----

  /** The last position. */
  public long last() throws IOException {
    return reading(() -> position(reader));
  }

  /** How many tasks have no complete entry yet. */
  public long openTasks() throws IOException {
    return reading(
        () -> {
          try (Statement run = reader.createStatement()) {
            return (long)
                number(run, "SELECT count(*) FROM entry INDEXED BY entry_open WHERE pos IS NULL");
          }
        });
  }

  /** Open tasks that were taken in a stretch of time. */
  public long openTasks(long from, long until) throws IOException {
    return reading(
        () -> {
          try (PreparedStatement ask =
                  reader.prepareStatement(
                      "SELECT count(*) FROM entry INDEXED BY entry_open WHERE pos IS NULL AND"
                          + " taken_at >= ? AND taken_at < ?");
              ResultSet found = set(ask, from, until).executeQuery()) {
            found.next();
            return found.getLong(1);
          }
        });
  }

  /** Whether there is an entry, complete or open, with that number. */
  public boolean holds(long ofEpoch, long sequence) throws IOException {
    return reading(
        () -> {
          try (PreparedStatement ask =
                  reader.prepareStatement("SELECT 1 FROM entry WHERE epoch = ? AND seq = ?");
              ResultSet found = set(ask, ofEpoch, sequence).executeQuery()) {
            return found.next();
          }
        });
  }

  /** All lines from one position to another, in order. */
  public void read(long first, long last, Lines to) throws IOException {
    reading(
        () -> {
          readAll(first, last, to);
          return null;
        });
  }

  private void readAll(long first, long last, Lines to) throws SQLException, IOException {
    TreeMap<Long, Object> others = new TreeMap<>(amendmentsAt(first, last));
    try (PreparedStatement ask =
            reader.prepareStatement(
                "SELECT epoch, number, first, last, from_at, until_at, lines, cause,"
                    + " pos FROM gap WHERE pos BETWEEN ? AND ?");
        ResultSet found = set(ask, first, last).executeQuery()) {
      while (found.next()) {
        others.put(
            found.getLong(9),
            new Gap(
                found.getLong(1),
                found.getLong(2),
                found.getLong(3),
                found.getLong(4),
                found.getLong(5),
                found.getLong(6),
                found.getLong(7),
                found.getString(8)));
      }
    }
    try (PreparedStatement ask =
        reader.prepareStatement(
            "SELECT e.pos, e.epoch, e.seq, e.task, e.tenant, e.grade, e.taken_at, e.ended_at,"
                + " e.ended, e.bytes, e.earnings, f.idx, f.engine, f.sent_at, f.ended_at,"
                + " f.outcome, f.work, f.needed, f.granted, f.wasted FROM entry e INDEXED BY"
                + " entry_position LEFT JOIN forward f ON f.epoch = e.epoch AND f.seq = e.seq WHERE"
                + " e.pos BETWEEN ? AND ? ORDER BY e.pos, f.idx")) {
      ask.setFetchSize(ROWS);
      try (ResultSet row = set(ask, first, last).executeQuery()) {
        long at = 0;
        Entry entry = null;
        while (row.next()) {
          if (entry == null || row.getLong(1) != at) {
            emit(at, entry, others, to);
            at = row.getLong(1);
            entry =
                new Entry(
                    row.getLong(2),
                    row.getLong(3),
                    row.getString(4),
                    row.getString(5),
                    row.getString(6),
                    row.getLong(7),
                    row.getLong(8),
                    row.getString(9) == null ? null : End.valueOf(row.getString(9)),
                    row.getLong(10),
                    row.getLong(11),
                    new ArrayList<>(1));
          }
          if (row.getString(13) != null) {
            entry
                .uses()
                .add(
                    new Use(
                        row.getInt(12),
                        row.getString(13),
                        row.getLong(14),
                        row.getLong(15),
                        row.getString(16),
                        row.getLong(17),
                        row.getLong(18),
                        row.getLong(19),
                        row.getInt(20) != 0));
          }
        }
        emit(at, entry, others, to);
        emit(Long.MAX_VALUE, null, others, to);
      }
    }
  }

  /** Gives out what stands before the entry, and the entry. */
  private static void emit(long at, Entry entry, NavigableMap<Long, Object> others, Lines to)
      throws IOException {
    while (!others.isEmpty() && others.firstKey() < at) {
      Map.Entry<Long, Object> one = others.pollFirstEntry();
      if (one.getValue() instanceof Amendment amendment) {
        to.amendment(one.getKey(), amendment);
      } else {
        to.gap(one.getKey(), (Gap) one.getValue());
      }
    }
    if (entry != null) {
      to.entry(at, entry);
    }
  }

  /** All amendments, by number. */
  public List<Amendment> amendments() throws IOException {
    return reading(() -> List.copyOf(amendmentsAt(0, Long.MAX_VALUE).values()));
  }

  /** By position, which is also their order by number. */
  private NavigableMap<Long, Amendment> amendmentsAt(long first, long last) throws SQLException {
    TreeMap<Long, Amendment> all = new TreeMap<>();
    try (PreparedStatement ask =
            reader.prepareStatement(
                "SELECT number, period, tenant, amount, author, reason, corrects, at,"
                    + " withdraws, pos FROM amendment WHERE pos BETWEEN ? AND ?");
        ResultSet found = set(ask, first, last).executeQuery()) {
      while (found.next()) {
        all.put(
            found.getLong(10),
            new Amendment(
                found.getLong(1),
                found.getString(2),
                found.getString(3),
                new BigDecimal(found.getString(4)),
                found.getString(5),
                found.getString(6),
                found.getString(7),
                found.getLong(8),
                found.getInt(9) != 0));
      }
    }
    return all;
  }

  /** What engines said after starts. */
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

  /** The closed periods, by name. */
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

  /** The sealed batches, by number. */
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

  // ---- The commands' side ----

  /** Writes an amendment under the next number; the one given back has it. */
  public Amendment amend(Amendment wanted) throws IOException {
    return atomically(
        "amendment",
        () -> {
          long at = position(db) + 1;
          long number;
          try (Statement run = db.createStatement()) {
            number = 1L + number(run, "SELECT max(number) FROM amendment");
          }
          try (PreparedStatement put =
              db.prepareStatement("INSERT INTO amendment VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?)")) {
            set(
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
          position(at);
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

  /** Closes a period: its bill takes no more entries; later ones go into corrections. */
  public void close(Closed period) throws IOException {
    atomically(
        "close",
        () -> {
          try (PreparedStatement put =
              db.prepareStatement("INSERT INTO closed VALUES(?, ?, ?, ?, ?, ?)")) {
            set(
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

  /** Seals a batch: its range, form and hash are fixed from here on. */
  public void seal(Batch batch) throws IOException {
    atomically(
        "seal",
        () -> {
          try (PreparedStatement put =
              db.prepareStatement("INSERT INTO batch VALUES(?, ?, ?, ?, ?, ?, ?, 0, 0)")) {
            set(
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

  /** Notes that a batch's file is in its place, once. */
  public void placed(long number, long at) throws IOException {
    mark("placed_at", number, at);
  }

  /** Notes that the billing side acknowledged a batch, once. */
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
            set(put, at, number).executeUpdate();
          }
          return null;
        });
  }

  /** What SQLite itself finds wrong with its file, or null. */
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

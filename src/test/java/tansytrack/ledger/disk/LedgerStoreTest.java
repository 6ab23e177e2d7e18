package tansytrack.ledger.disk;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tansytrack.ledger.Amendment;
import tansytrack.ledger.Entry;
import tansytrack.ledger.EntryTracker;
import tansytrack.ledger.LedgerUpdate;
import tansytrack.ledger.MergedLedger;
import tansytrack.ledger.Reconciliation;
import tansytrack.ledger.TaskEnd;
import tansytrack.operator.OperatorFile;

/** Tests ledgers and exports with disk failures at every step and after crashes of the manager. */
class LedgerStoreTest {

  @TempDir Path folder;
  private final EntryTracker tracker = new EntryTracker((grade, end, time) -> 0);

  private static void ignore(String task, String engine) {}

  private Path ledgerFolder() {
    return folder.resolve("ledger");
  }

  private Path exportFolder() {
    return folder.resolve("out");
  }

  /** Updates of some tasks: by turns rejected, handled, and open with a forward in flight. */
  private List<LedgerUpdate> taskUpdates(int from, int count) {
    List<LedgerUpdate> updates = new ArrayList<>();
    for (int i = from; i < from + count; i++) {
      String task = "t" + i;
      tracker.taskAccepted(i, task, "tenant" + i % 7, "g");
      if (i % 3 > 0) {
        updates.add(tracker.forwardSent(i + 1, task, 0, "e" + i % 2, 64));
      }
      if (i % 3 == 1) {
        updates.add(tracker.forwardEnded(i + 2, task, 0, "OK", 5_000_000, 3, true));
      }
      if (i % 3 < 2) {
        updates.add(
            tracker.taskAnswered(i + 3, task, i % 3 == 0 ? TaskEnd.BOUNCED : TaskEnd.HANDLED, 100));
      }
    }
    return updates;
  }

  private static List<Entry> entries(LedgerStore store) throws IOException {
    List<Entry> entries = new ArrayList<>();
    store.read(
        1,
        Long.MAX_VALUE,
        new LedgerStore.LineVisitor() {
          @Override
          public void entry(long position, Entry entry) {
            entries.add(entry);
          }
        });
    return entries;
  }

  @Test
  void nextEpochMarksOpenTasksAsUnresolved() throws IOException {
    try (LedgerStore store = LedgerStore.openForManager(ledgerFolder(), "m", FaultInjector.NONE)) {
      assertThat(store.beginEpoch(1, LedgerStoreTest::ignore)).isZero();
      store.write(taskUpdates(0, 9));
      assertThat(store.lastPosition()).isEqualTo(6);
      assertThat(store.openTasks()).isEqualTo(3);
    }
    try (LedgerStore store = LedgerStore.openForManager(ledgerFolder(), "m", FaultInjector.NONE)) {
      List<String> openForwards = new ArrayList<>();
      assertThat(store.beginEpoch(2, (task, engine) -> openForwards.add(task + " " + engine)))
          .isEqualTo(3);
      assertThat(openForwards).containsExactly("t2 e0", "t5 e1", "t8 e0");
      Reconciliation.Run run = new Reconciliation.Run("e0", "t2", 7, true);
      store.write(List.of(new LedgerUpdate.RunReported(run), new LedgerUpdate.RunReported(run)));
      assertThat(store.reportedRuns()).containsExactly(run);
      assertThat(store.epoch()).isEqualTo(2);
      assertThat(store.openTasks()).isZero();
      assertThat(entries(store))
          .hasSize(9)
          .filteredOn(one -> one.end() == TaskEnd.UNRESOLVED)
          .hasSize(3)
          .allMatch(
              one -> one.uses().get(0).outcome().equals("UNKNOWN") && one.uses().get(0).wasted());
    }
  }

  @Test
  void secondManagerIsRejectedWithNameOfHolder() throws IOException {
    try (LedgerStore store =
        LedgerStore.openForManager(ledgerFolder(), "first", FaultInjector.NONE)) {
      assertThat(store.manager()).isEqualTo("first");
      assertThatThrownBy(
              () -> LedgerStore.openForManager(ledgerFolder(), "second", FaultInjector.NONE))
          .isInstanceOf(IOException.class)
          .hasMessageContaining("held by first, process " + ProcessHandle.current().pid());
    }
    assertThatThrownBy(
            () -> LedgerStore.openForManager(ledgerFolder(), "second", FaultInjector.NONE))
        .hasMessageContaining("is the ledger of first, not of second");
  }

  @Test
  void rejectsOtherFilesWithoutChangingThem() throws IOException {
    assertThatThrownBy(() -> LedgerStore.openForCommand(ledgerFolder(), FaultInjector.NONE))
        .hasMessageContaining("holds no ledger");
    Files.createDirectories(ledgerFolder());
    Path file =
        Files.writeString(
            ledgerFolder().resolve("ledger.sqlite"),
            "no database, but somebody's text ".repeat(100));
    assertThatThrownBy(() -> LedgerStore.openForManager(ledgerFolder(), "m", FaultInjector.NONE))
        .hasMessageContaining("not a database");
    assertThat(file).content().startsWith("no database");
  }

  @Test
  void upgradesOlderSchemaAndRejectsNewer() throws IOException, SQLException {
    LedgerStore.openForManager(ledgerFolder(), "m", FaultInjector.NONE).close();
    String file = "jdbc:sqlite:" + ledgerFolder().resolve("ledger.sqlite");
    try (var db = DriverManager.getConnection(file);
        var run = db.createStatement()) {
      run.execute("ALTER TABLE closed DROP COLUMN billing");
      run.execute("DROP TABLE told");
      run.execute("PRAGMA user_version = 1");
    }
    try (LedgerStore store = LedgerStore.openForCommand(ledgerFolder(), FaultInjector.NONE)) {
      assertThat(store.closedPeriods()).isEmpty();
      assertThat(store.reportedRuns()).isEmpty();
    }
    try (var db = DriverManager.getConnection(file);
        var run = db.createStatement()) {
      run.execute("PRAGMA user_version = 99");
    }
    assertThatThrownBy(() -> LedgerStore.openForCommand(ledgerFolder(), FaultInjector.NONE))
        .hasMessageContaining("has schema 99");
  }

  @Test
  void truncatedLogLosesOnlyLastTransaction() throws IOException {
    try (LedgerStore store = LedgerStore.openForManager(ledgerFolder(), "m", FaultInjector.NONE)) {
      store.beginEpoch(1, LedgerStoreTest::ignore);
      store.write(taskUpdates(0, 30));
      store.write(taskUpdates(30, 30));
      // The files as after a power failure: the write-ahead log ends within its last transaction.
      Path truncated = Files.createDirectories(folder.resolve("torn"));
      Files.copy(ledgerFolder().resolve("ledger.sqlite"), truncated.resolve("ledger.sqlite"));
      byte[] log = Files.readAllBytes(ledgerFolder().resolve("ledger.sqlite-wal"));
      Files.write(
          truncated.resolve("ledger.sqlite-wal"), java.util.Arrays.copyOf(log, log.length - 100));
    }
    try (LedgerStore store =
        LedgerStore.openForManager(folder.resolve("torn"), "m", FaultInjector.NONE)) {
      assertThat(store.findDamage()).isNull();
      assertThat(store.lastPosition()).isEqualTo(20);
      assertThat(store.beginEpoch(2, LedgerStoreTest::ignore)).isEqualTo(10);
    }
  }

  private static final class FailingStep implements FaultInjector {
    private final AtomicInteger remainingSteps;
    private boolean failed;

    FailingStep(int stepsBeforeFailure) {
      remainingSteps = new AtomicInteger(stepsBeforeFailure);
    }

    @Override
    public void beforeStep(String step) throws IOException {
      if (remainingSteps.getAndDecrement() == 0) {
        failed = true;
        throw new IOException("injected failure before " + step);
      }
    }
  }

  /**
   * Fails each step of a start, of writing updates and of an export in turn. The next attempt must
   * succeed as if there had been no failure.
   */
  @Test
  void failureAtAnyStepNeitherSkipsNorDuplicates() throws IOException {
    int steps = 0;
    for (boolean more = true; more; steps++) {
      Path ledgerFolder = folder.resolve("n" + steps);
      try (LedgerStore store = LedgerStore.openForManager(ledgerFolder, "m", FaultInjector.NONE)) {
        store.beginEpoch(1, LedgerStoreTest::ignore);
        store.write(taskUpdates(steps * 1000, 30));
      }
      FailingStep faults = new FailingStep(steps);
      try (LedgerStore store = LedgerStore.openForManager(ledgerFolder, "m", faults)) {
        store.beginEpoch(2, LedgerStoreTest::ignore);
        store.write(new ArrayList<>(new LedgerStoreTest().taskUpdates(0, 9)));
        new Exporter(store, ledgerFolder.resolve("out"), faults).export("protobuf", 25, 5);
      } catch (IOException e) {
        assertThat(e).hasMessageContaining("injected failure before");
      }
      more = faults.failed;
      try (LedgerStore store = LedgerStore.openForManager(ledgerFolder, "m", FaultInjector.NONE)) {
        store.beginEpoch(3, LedgerStoreTest::ignore);
        new Exporter(store, ledgerFolder.resolve("out"), FaultInjector.NONE)
            .export("protobuf", 25, 6);
        List<LedgerStore.Batch> batches = store.batches();
        long nextPosition = 1;
        for (LedgerStore.Batch batch : batches) {
          assertThat(batch.firstPosition()).isEqualTo(nextPosition);
          assertThat(Exporter.hash(ledgerFolder.resolve("out").resolve(Exporter.fileName(batch))))
              .isEqualTo(batch.sha256())
              .isEqualTo(Exporter.hash(store, batch));
          nextPosition = batch.lastPosition() + 1;
        }
        assertThat(nextPosition - 1).isEqualTo(store.lastPosition());
        assertThat(entries(store)).hasSizeGreaterThanOrEqualTo(30).doesNotHaveDuplicates();
        MergedLedger exported = LedgerFiles.readMerged(List.of(ledgerFolder.resolve("out")));
        assertThat(exported).isEqualTo(LedgerFiles.readMerged(List.of(ledgerFolder)));
        try (Stream<Path> files = Files.list(ledgerFolder.resolve("out"))) {
          assertThat(files.filter(batch -> batch.toString().endsWith(".tmp"))).isEmpty();
        }
      }
    }
    assertThat(steps).isGreaterThan(20);
  }

  @ParameterizedTest
  @ValueSource(strings = {"protobuf", "csv"})
  void batchNumberAlwaysHasSameBytes(String form) throws IOException {
    try (LedgerStore store = LedgerStore.openForManager(ledgerFolder(), "m", FaultInjector.NONE)) {
      store.beginEpoch(1, LedgerStoreTest::ignore);
      store.write(taskUpdates(0, 30));
      store.addAmendment(
          new Amendment(
              0,
              "2026-02",
              "a",
              new java.math.BigDecimal("-1.25"),
              "me",
              "a, \"b\"",
              "",
              9,
              false));
      Exporter exporter = new Exporter(store, exportFolder(), FaultInjector.NONE);
      LedgerStore.Batch batch = exporter.export(form, 1000, 5);
      assertThat(batch.lastPosition()).isEqualTo(21);
      Path file = exportFolder().resolve(Exporter.fileName(batch));
      byte[] first = Files.readAllBytes(file);
      store.write(taskUpdates(30, 30));
      assertThat(exporter.export(form, 1000, 6).number()).isEqualTo(2);
      assertThat(exporter.export(form, 1000, 7)).as("nothing new").isNull();
      Files.writeString(file, "spoilt");
      exporter.exportAgain(1);
      assertThat(file).hasBinaryContent(first);
      assertThatThrownBy(() -> exporter.exportAgain(9))
          .hasMessageContaining("batch 9 does not exist");
    }
  }

  @Test
  void namesDamagedBatchAndReadsOthers() throws IOException {
    try (LedgerStore store = LedgerStore.openForManager(ledgerFolder(), "m", FaultInjector.NONE)) {
      store.beginEpoch(1, LedgerStoreTest::ignore);
      store.write(taskUpdates(0, 30));
      new Exporter(store, exportFolder(), FaultInjector.NONE).export("protobuf", 10, 5);
    }
    Path good = exportFolder().resolve("batch-00000001.pb");
    Path cut = folder.resolve("cut.pb");
    Files.copy(good, cut, StandardCopyOption.REPLACE_EXISTING);
    byte[] bytes = Files.readAllBytes(cut);
    Files.write(cut, java.util.Arrays.copyOf(bytes, bytes.length / 2));
    assertThatThrownBy(() -> LedgerFiles.readMerged(List.of(cut))).hasMessageContaining("cut.pb");
    assertThat(LedgerFiles.readMerged(List.of(good, good)).entries()).hasSize(10);
  }

  @Test
  void verifyDetectsManipulatedEntry() throws IOException, SQLException {
    OperatorFile.LedgerSection section =
        OperatorFile.parse(
                "f",
                "ledger { folder: '"
                    + ledgerFolder()
                    + "' billing { period: DAY"
                    + " rates { per_task: '0.10' } } }")
            .ledger();
    try (LedgerStore store = LedgerStore.openForManager(ledgerFolder(), "m", FaultInjector.NONE)) {
      store.beginEpoch(1, LedgerStoreTest::ignore);
      store.write(taskUpdates(0, 30));
      new Exporter(store, exportFolder(), FaultInjector.NONE).export("csv", 10, 5);
      Billing.closePeriod(store, section, "1970-01-01", "me", 7);
      store.write(taskUpdates(30, 30));
      assertThat(Billing.verify(store, section, seen -> {})).isNull();
      assertThat(
              Billing.computeBill(store, section.periods(), section.rates(), "1970-01-01")
                  .lateSubtotals())
          .isNotEmpty();
    }
    try (var db =
            DriverManager.getConnection("jdbc:sqlite:" + ledgerFolder().resolve("ledger.sqlite"));
        var run = db.createStatement()) {
      run.execute("UPDATE entry SET ended = 'BOUNCED' WHERE pos = 2");
    }
    try (LedgerStore store = LedgerStore.openForCommand(ledgerFolder(), FaultInjector.NONE)) {
      assertThat(Billing.verify(store, section, seen -> {})).contains("was rejected but has work");
    }
  }
}

package tansytrack.ledger.disk;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tansytrack.api.Outcome;
import tansytrack.api.QueryClass;
import tansytrack.api.TaskRequest;
import tansytrack.ledger.Gap;
import tansytrack.ledger.MergedLedger;
import tansytrack.ledger.TaskEnd;
import tansytrack.operator.OperatorFile;
import tansytrack.state.TaskListener;
import tansytrack.state.Timers;

/** Tests the ledger of a running manager on a disk that is full or slow for a while. */
class LedgerRecorderTest {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final QueryClass QUERY_CLASS =
      new QueryClass(
          "g",
          QueryClass.RetrySafety.IDEMPOTENT,
          QueryClass.DeduplicationScope.ALL,
          0,
          10 * NANOS_PER_MS,
          1,
          100 * NANOS_PER_MS,
          1,
          0,
          false,
          Set.of(),
          Set.of(),
          1,
          false,
          false);

  @TempDir Path folder;
  private final Timers timers = new Timers();
  private final LinkedBlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
  private final List<String> released = new ArrayList<>();
  private volatile String diskFault = "";
  private int tasks;

  private LedgerRecorder start(String options) throws IOException {
    timers.now(NANOS_PER_MS);
    return LedgerRecorder.start(
        OperatorFile.parse("f", "ledger { folder: '" + folder + "' " + options + " }").ledger(),
        "m",
        List.of(QUERY_CLASS),
        timers,
        inbox::add,
        step -> {
          if (diskFault.equals("full") && step.startsWith("lines")) {
            throw new IOException("no space left on device");
          }
          if (diskFault.equals("slow") && step.equals("lines commit")) {
            sleepTwoSeconds();
          }
        });
  }

  private static void sleepTwoSeconds() {
    try {
      Thread.sleep(2000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void runTask(LedgerRecorder recorder) {
    String id = "t" + ++tasks;
    recorder.taskAccepted(timers.now(), new TaskRequest(id, "g", "a", null, 0, 0, 0, 0));
    recorder.beforeForward(timers.now(), id, 0, "e", 8, () -> released.add("sent " + id));
    recorder.forwardEnded(timers.now(), id, 0, Outcome.OK, 5, 1, true);
    recorder.beforeAnswer(
        timers.now(), id, TaskListener.TaskEnd.HANDLED, 10, () -> released.add("answered " + id));
  }

  /** Runs the actions in the inbox of the event loop until the condition holds. */
  private void runLoopUntil(BooleanSupplier condition) throws InterruptedException {
    while (!condition.getAsBoolean()) {
      Runnable action = inbox.poll(10, TimeUnit.MILLISECONDS);
      if (action != null) {
        action.run();
      }
    }
  }

  private MergedLedger readLedger() throws IOException {
    return LedgerFiles.readMerged(List.of(folder));
  }

  @Test
  void fullDiskCausesGapButTasksContinue() throws IOException, InterruptedException {
    LedgerRecorder recorder = start("most_unwritten: 64");
    diskFault = "full";
    for (int i = 0; i < 100; i++) {
      runTask(recorder);
    }
    assertThat(released).as("no forward or answer waits").hasSize(200);
    assertThat(recorder.unwritten()).isEqualTo(64);
    diskFault = "";
    runLoopUntil(() -> recorder.unwritten() == 0);
    runTask(recorder);
    recorder.close();
    MergedLedger ledger = readLedger();
    assertThat(ledger.gaps())
        .singleElement()
        .satisfies(
            gap -> {
              assertThat(gap.lines()).isEqualTo(300 - 64);
              assertThat(gap.lastSequence()).isEqualTo(100);
            });
    assertThat(ledger.missingRanges()).isEmpty();
    assertThat(ledger.entries()).containsKey(new MergedLedger.Key("m", 1, 101));
    Gap gap = ledger.gaps().get(0);
    for (long number = 1; number <= 101; number++) {
      assertThat(
              ledger.entries().containsKey(new MergedLedger.Key("m", 1, number))
                  || gap.covers(number))
          .isTrue();
    }
  }

  @Test
  void answersAndForwardsWaitForCommitUpToMaximumTime() throws IOException, InterruptedException {
    LedgerRecorder recorder =
        start("answers: AFTER_COMMIT forwards: AFTER_COMMIT most_wait_ms: 50");
    diskFault = "full";
    runTask(recorder);
    assertThat(released).isEmpty();
    timers.now(timers.now() + 49 * NANOS_PER_MS);
    timers.runDue();
    assertThat(released).isEmpty();
    timers.now(timers.now() + NANOS_PER_MS);
    timers.runDue();
    assertThat(released).containsExactly("sent t1", "answered t1");
    diskFault = "";
    runTask(recorder);
    runLoopUntil(() -> released.size() == 4);
    assertThat(released).endsWith("sent t2", "answered t2");
    recorder.close();
    assertThat(readLedger().entries()).hasSize(2);
  }

  @Test
  void rejectModeAcceptsOnlyTasksThatCanBeRecorded() throws IOException, InterruptedException {
    LedgerRecorder recorder = start("most_unwritten: 64 when_full: BOUNCE");
    diskFault = "full";
    while (recorder.acceptsTasks()) {
      runTask(recorder);
    }
    assertThat(tasks).isEqualTo(20);
    diskFault = "";
    runLoopUntil(recorder::acceptsTasks);
    recorder.close();
    assertThat(readLedger().entries()).hasSize(20);
    assertThat(readLedger().gaps()).isEmpty();
  }

  /** The updates of rejected tasks must not use the room that accepted tasks still need. */
  @Test
  void rejectedTasksDoNotUseRoomOfAcceptedTasks() throws IOException, InterruptedException {
    LedgerRecorder recorder = start("most_unwritten: 64 when_full: BOUNCE");
    diskFault = "full";
    int open = 0;
    for (; recorder.acceptsTasks(); open++) {
      recorder.taskAccepted(timers.now(), new TaskRequest("in" + open, "g", "a", null, 0, 0, 0, 0));
      recorder.beforeForward(timers.now(), "in" + open, 0, "e", 8, () -> {});
    }
    for (int i = 0; i < 100; i++) {
      recorder.taskAccepted(timers.now(), new TaskRequest("out" + i, "g", "a", null, 0, 0, 0, 0));
      recorder.beforeAnswer(timers.now(), "out" + i, TaskListener.TaskEnd.BOUNCED, 0, () -> {});
    }
    for (int i = 0; i < open; i++) {
      recorder.forwardEnded(timers.now(), "in" + i, 0, Outcome.OK, 5, 1, true);
      recorder.beforeAnswer(timers.now(), "in" + i, TaskListener.TaskEnd.HANDLED, 10, () -> {});
    }
    diskFault = "";
    runLoopUntil(() -> recorder.unwritten() == 0);
    recorder.close();
    assertThat(open).isGreaterThan(5);
    for (long number = 1; number <= open; number++) {
      assertThat(readLedger().entries().get(new MergedLedger.Key("m", 1, number)))
          .singleElement()
          .satisfies(one -> assertThat(one.end()).isEqualTo(TaskEnd.HANDLED));
    }
    assertThat(readLedger().missingRanges()).isEmpty();
  }

  @Test
  void slowDiskDelaysNoTaskBeyondMaximumTimeAndLosesNothing()
      throws IOException, InterruptedException {
    LedgerRecorder recorder = start("answers: AFTER_COMMIT most_wait_ms: 50");
    diskFault = "slow";
    long from = System.nanoTime();
    runTask(recorder);
    Thread.sleep(100); // By now the writer thread is in the first commit.
    for (int i = 0; i < 20; i++) {
      runTask(recorder);
    }
    assertThat(System.nanoTime() - from)
        .as("time in the event loop")
        .isLessThan(1_000 * NANOS_PER_MS);
    timers.now(timers.now() + 50 * NANOS_PER_MS);
    timers.runDue();
    assertThat(released).filteredOn(one -> one.startsWith("answered")).hasSize(21);
    diskFault = "";
    runLoopUntil(() -> recorder.unwritten() == 0);
    recorder.close();
    assertThat(readLedger().entries()).hasSize(21);
    assertThat(readLedger().gaps()).isEmpty();
  }

  @Test
  void refusalsDoNotWaitAndCloseReleasesAnswers() throws IOException {
    LedgerRecorder recorder = start("answers: AFTER_COMMIT most_wait_ms: 10000");
    diskFault = "full";
    recorder.taskAccepted(timers.now(), new TaskRequest("b", "g", "a", null, 0, 0, 0, 0));
    recorder.beforeAnswer(
        timers.now(), "b", TaskListener.TaskEnd.BOUNCED, 0, () -> released.add("bounced"));
    runTask(recorder);
    assertThat(released).containsExactly("bounced", "sent t1");
    diskFault = "";
    recorder.close();
    assertThat(released).endsWith("answered t1");
    assertThat(readLedger().entries()).hasSize(2);
  }
}

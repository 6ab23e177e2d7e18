package tansytrack.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import tansytrack.api.Outcome;
import tansytrack.api.QueryClass;
import tansytrack.api.TaskRequest;
import tansytrack.ledger.disk.LedgerRecorder;
import tansytrack.operator.OperatorFile;
import tansytrack.state.TaskListener;
import tansytrack.state.Timers;

/**
 * Benchmarks the ledger on this machine: time that an entry takes on the event loop, durable
 * entries a second, time that an answer waits for its commit, and start-up time after a kill.
 */
public final class LedgerBenchmark {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long MAX_RECORDED_NANOS = 10 * NANOS_PER_SECOND;
  private static final int WARM_UP_ENTRIES = 50_000;

  private final Timers timers = new Timers();
  private final ConcurrentLinkedQueue<Runnable> inbox = new ConcurrentLinkedQueue<>();
  private final PrintStream out;
  private long lastTask;

  /** Creates a benchmark that prints its figures to the stream. */
  public LedgerBenchmark(PrintStream out) {
    this.out = out;
  }

  private LedgerRecorder start(Path folder, String wait, int maxUnwritten) throws IOException {
    OperatorFile.LedgerSection section =
        OperatorFile.parse(
                "bench",
                "ledger { folder: '"
                    + folder
                    + "' answers: "
                    + wait
                    + " forwards: "
                    + wait
                    + " most_unwritten: "
                    + maxUnwritten
                    + " }")
            .ledger();
    QueryClass queryClass =
        new QueryClass(
            "g",
            QueryClass.RetrySafety.IDEMPOTENT,
            QueryClass.DeduplicationScope.ALL,
            0,
            NANOS_PER_SECOND,
            1,
            NANOS_PER_SECOND,
            1,
            0,
            false,
            java.util.Set.of(),
            java.util.Set.of(),
            1,
            false,
            false);
    timers.now(System.nanoTime());
    return LedgerRecorder.start(section, "bench", List.of(queryClass), timers, inbox::add);
  }

  /** Runs what the event loop would run now: callbacks of the ledger and due timers. */
  private void runLoop() {
    timers.now(System.nanoTime());
    for (Runnable task = inbox.poll(); task != null; task = inbox.poll()) {
      task.run();
    }
    timers.runDue();
  }

  /** Records a task with one forward; returns the time it took on the event loop, in ns. */
  private long recordTask(LedgerRecorder ledger, Runnable sendAnswer) {
    String id = String.format("%016x", ++lastTask);
    TaskRequest task = new TaskRequest(id, "g", "tenant" + lastTask % 1000, null, 0, 0, 0, 0);
    long now = timers.now();
    long startNanos = System.nanoTime();
    ledger.taskAccepted(now, task);
    ledger.beforeForward(now, id, 0, "engine-a", 64, () -> {});
    ledger.forwardEnded(now, id, 0, Outcome.OK, 5_000_000, 12, true);
    ledger.beforeAnswer(now, id, TaskListener.TaskEnd.HANDLED, 400, sendAnswer);
    return System.nanoTime() - startNanos;
  }

  /** Measures entries written as fast as the disk takes them, and the loop time of each. */
  public void throughput(Path folder, int entries) throws IOException {
    LedgerRecorder ledger = start(folder, "AT_ONCE", 1 << 20);
    Histogram loopTime = new Histogram(MAX_RECORDED_NANOS, 3);
    long startNanos = System.nanoTime();
    for (int i = 0; i < entries; i++) {
      long took = recordTask(ledger, () -> {});
      if (i >= WARM_UP_ENTRIES) {
        loopTime.recordValue(took);
      }
      if (i % 16 == 0) {
        runLoop();
        while (ledger.unwritten() > 1 << 18) {
          LockSupport.parkNanos(NANOS_PER_SECOND / 10000);
          runLoop();
        }
      }
    }
    while (ledger.unwritten() > 0) {
      LockSupport.parkNanos(NANOS_PER_SECOND / 10000);
      runLoop();
    }
    double took = (System.nanoTime() - startNanos) / 1e9;
    ledger.close();
    out.printf(
        "durable entries a second: %.0f (%d entries, %.1f s)%n", entries / took, entries, took);
    print("the loop's cost an entry, ns, as fast as the disk takes them", loopTime);
  }

  /**
   * Measures entries at a fixed rate: the loop time of each, and how long its answer waits for the
   * commit.
   *
   * @param folder folder of the ledger
   * @param perSecond entries a second
   * @param seconds duration
   * @param wait AT_ONCE or AFTER_COMMIT, as in the operator's file
   */
  public void fixedRate(Path folder, int perSecond, int seconds, String wait) throws IOException {
    LedgerRecorder ledger = start(folder, wait, 1 << 14);
    Histogram loopTime = new Histogram(MAX_RECORDED_NANOS, 3);
    Histogram waits = new Histogram(MAX_RECORDED_NANOS, 3);
    long startNanos = System.nanoTime();
    for (int i = 0; i < perSecond * seconds; i++) {
      long due = startNanos + i * NANOS_PER_SECOND / perSecond;
      while (System.nanoTime() < due) {
        runLoop();
        LockSupport.parkNanos(20_000);
      }
      runLoop();
      long asked = System.nanoTime();
      long took = recordTask(ledger, () -> waits.recordValue(System.nanoTime() - asked));
      if (i >= perSecond * seconds / 4) {
        loopTime.recordValue(took);
      }
    }
    while (ledger.unwritten() > 0) {
      runLoop();
    }
    ledger.close();
    print("the loop's cost an entry, ns, at " + perSecond + " a second, " + wait, loopTime);
    print("the answer's wait, ns, at " + perSecond + " a second, " + wait, waits);
  }

  private void print(String label, Histogram histogram) {
    out.printf(
        "%s: median %d, 99%% %d, 99.9%% %d, most %d (%d)%n",
        label,
        histogram.getValueAtPercentile(50),
        histogram.getValueAtPercentile(99),
        histogram.getValueAtPercentile(99.9),
        histogram.getMaxValue(),
        histogram.getTotalCount());
  }

  /**
   * Measures the start on the files that a killed process leaves, which are imitated by a copy of
   * the files of an open ledger.
   */
  public void restart(Path folder, Path copy) throws IOException {
    LedgerRecorder original = start(folder, "AT_ONCE", 1 << 14);
    for (int i = 0; i < 1000; i++) {
      String id = String.format("%016x", ++lastTask);
      original.taskAccepted(timers.now(), new TaskRequest(id, "g", "a", null, 0, 0, 0, 0));
      original.beforeForward(timers.now(), id, 0, "engine-a", 64, () -> {});
    }
    while (original.unwritten() > 0) {
      runLoop();
    }
    Files.createDirectories(copy);
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file :
          files
              .filter(each -> each.getFileName().toString().startsWith("ledger.sqlite"))
              .toList()) {
        Files.copy(file, copy.resolve(file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
      }
    }
    original.close();
    long startNanos = System.nanoTime();
    LedgerRecorder restarted = start(copy, "AT_ONCE", 1 << 14);
    out.printf(
        "start after a kill, 1000 tasks open: %.0f ms%n", (System.nanoTime() - startNanos) / 1e6);
    restarted.close();
  }
}

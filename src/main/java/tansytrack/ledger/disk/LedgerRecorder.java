package tansytrack.ledger.disk;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.jctools.queues.SpscArrayQueue;
import tansytrack.api.Outcome;
import tansytrack.api.QueryClass;
import tansytrack.api.TaskRequest;
import tansytrack.ledger.EntryTracker;
import tansytrack.ledger.LedgerUpdate;
import tansytrack.ledger.Reconciliation;
import tansytrack.ledger.WriteFlowControl;
import tansytrack.log.Event;
import tansytrack.operator.OperatorFile;
import tansytrack.state.TaskListener;
import tansytrack.state.Timers;

/**
 * The ledger of a running manager. In the loop it makes lines of what tasks do and hands them over;
 * one thread of its own writes them, many to a commit, and tells the loop by a note how far the
 * disk has come. A commit that fails is tried again until it succeeds; meanwhile lines queue up to
 * their bound, and beyond it count as a gap.
 */
public final class LedgerRecorder implements TaskListener {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final long COMMIT_RETRY_DELAY_NANOS =
      200 * NANOS_PER_MS; // after a commit that failed
  private static final long GAP_CHECK_INTERVAL_NANOS =
      500 * NANOS_PER_MS; // for a gap that waits for room, with no task coming
  private static final long FINAL_WRITE_TIMEOUT_NANOS =
      2000 * NANOS_PER_MS; // for what is unwritten at the end
  private static final int MAX_BATCH_UPDATES = 16384;

  private final LedgerStore store;
  private final Timers timers;
  private final Consumer<Runnable> inbox;
  private final boolean answersAfterCommit; // answers wait for the disk
  private final boolean forwardsAfterCommit; // so do forwards
  private final boolean rejectsTasksWhenFull; // where there is no room for what a task brings
  private final long commitIntervalNanos;
  private final Map<String, QueryClass> grades = new HashMap<>();
  private final List<TaskListener.UnresolvedForward> left;
  private final EntryTracker entries = new EntryTracker(this::earningsMilli);
  private final WriteFlowControl flow;
  private final SpscArrayQueue<LedgerUpdate> queue;
  private final Thread writer = new Thread(this::writeUntilClosed, "ledger");
  private Timers.Timer timer;
  private volatile boolean closing;
  private volatile long closeDeadline;

  private LedgerRecorder(
      OperatorFile.LedgerSection section,
      LedgerStore store,
      List<TaskListener.UnresolvedForward> left,
      List<QueryClass> known,
      Timers timers,
      Consumer<Runnable> inbox) {
    this.store = store;
    this.left = left;
    this.timers = timers;
    this.inbox = inbox;
    answersAfterCommit = section.answersAfterCommit();
    forwardsAfterCommit = section.forwardsAfterCommit();
    rejectsTasksWhenFull = section.rejectsTasksWhenFull();
    commitIntervalNanos = section.commitIntervalNanos();
    known.forEach(grade -> grades.put(grade.name(), grade));
    flow = new WriteFlowControl(store.epoch(), section.maxUnwrittenLines(), section.maxWaitNanos());
    queue = new SpscArrayQueue<>(section.maxUnwrittenLines() + 2);
  }

  /** Opens the ledger, resolves what the life before left open, and begins a new epoch. */
  public static LedgerRecorder start(
      OperatorFile.LedgerSection section,
      String manager,
      List<QueryClass> grades,
      Timers timers,
      Consumer<Runnable> inbox)
      throws IOException {
    return start(section, manager, grades, timers, inbox, FaultInjector.NONE);
  }

  static LedgerRecorder start(
      OperatorFile.LedgerSection section,
      String manager,
      List<QueryClass> grades,
      Timers timers,
      Consumer<Runnable> inbox,
      FaultInjector faults)
      throws IOException {
    LedgerStore store = LedgerStore.openForManager(section.folder(), manager, faults);
    List<TaskListener.UnresolvedForward> left = new ArrayList<>();
    long unresolved =
        store.beginEpoch(
            timers.now(),
            (task, engine) -> left.add(new TaskListener.UnresolvedForward(task, engine)));
    Event.info(
        "ledger.opened",
        "ledger in "
            + section.folder()
            + ": epoch "
            + store.epoch()
            + ", "
            + unresolved
            + " tasks of the life before unresolved",
        "epoch",
        store.epoch(),
        "unresolved",
        unresolved);
    LedgerRecorder recorder = new LedgerRecorder(section, store, left, grades, timers, inbox);
    recorder.writer.setDaemon(true);
    recorder.writer.start();
    recorder.checkForGap();
    return recorder;
  }

  // ---- In the loop ----

  @Override
  public void taskAccepted(long now, TaskRequest offer) {
    entries.taskTaken(now, offer.id(), offer.tenant(), offer.queryClass());
  }

  @Override
  public boolean acceptsTasks() {
    return !rejectsTasksWhenFull || flow.admits(entries.openTasks());
  }

  @Override
  public void beforeForward(
      long now, String task, int index, String engine, long memoryMb, Runnable go) {
    enqueue(now, entries.forwardSent(now, task, index, engine, memoryMb));
    if (forwardsAfterCommit) {
      flow.hold(now, go);
      releaseOverdue();
    } else {
      go.run();
    }
  }

  @Override
  public void forwardEnded(
      long now,
      String task,
      int index,
      Outcome outcome,
      long work,
      double memoryMb,
      boolean served) {
    LedgerUpdate line =
        entries.forwardEnded(now, task, index, outcome.name(), work, memoryMb, served);
    if (line != null) {
      enqueue(now, line);
    }
  }

  @Override
  public void beforeAnswer(
      long now, String task, TaskListener.TaskEnd end, long bytes, Runnable say) {
    LedgerUpdate line =
        entries.taskAnswered(now, task, tansytrack.ledger.TaskEnd.valueOf(end.name()), bytes);
    enqueue(
        flow.offer(
            now,
            line,
            rejectsTasksWhenFull && end == TaskListener.TaskEnd.BOUNCED ? entries.openTasks() : 0));
    if (!answersAfterCommit || end != TaskListener.TaskEnd.HANDLED) {
      say.run(); // what was given up is told at once, whatever the disk does
      return;
    }
    flow.hold(now, say);
    releaseOverdue();
  }

  @Override
  public Collection<TaskListener.UnresolvedForward> unresolvedForwards() {
    return left;
  }

  @Override
  public void forwardResolved(TaskListener.UnresolvedForward about, boolean ended, long work) {
    enqueue(
        timers.now(),
        new LedgerUpdate.RunReported(
            new Reconciliation.Run(about.engine(), about.task(), work, ended)));
  }

  private long earningsMilli(String name, tansytrack.ledger.TaskEnd end, long time) {
    QueryClass grade = grades.get(name);
    return end != tansytrack.ledger.TaskEnd.HANDLED
        ? 0
        : Math.round(
            1000
                * (time <= grade.latencyObjectiveNanos()
                    ? grade.earnings()
                    : grade.lateEarnings()));
  }

  private void releaseOverdue() {
    long next = flow.releaseOverdue(timers.now());
    if (next > 0 && timer == null) {
      timer =
          timers.schedule(
              next,
              () -> {
                timer = null;
                releaseOverdue();
              });
    }
  }

  private void enqueue(long now, LedgerUpdate line) {
    enqueue(flow.offer(now, line));
  }

  private void enqueue(List<LedgerUpdate> lines) {
    for (LedgerUpdate one : lines) {
      if (!queue.offer(one)) {
        throw new IllegalStateException("the ledger's queue is full below its bound");
      }
    }
    if ((answersAfterCommit || forwardsAfterCommit) && !lines.isEmpty()) {
      LockSupport.unpark(writer);
    }
  }

  private void checkForGap() {
    if (!closing) {
      enqueue(flow.flushGap(timers.now()));
      timers.schedule(timers.now() + GAP_CHECK_INTERVAL_NANOS, this::checkForGap);
    }
  }

  private void markDurable(long lines) {
    flow.markDurable(lines);
    enqueue(flow.flushGap(timers.now()));
  }

  @Override
  public void close() {
    flow.releaseAll();
    enqueue(flow.flushGap(timers.now()));
    closeDeadline = System.nanoTime() + FINAL_WRITE_TIMEOUT_NANOS;
    closing = true;
    LockSupport.unpark(writer);
    try {
      writer.join(2 * FINAL_WRITE_TIMEOUT_NANOS / NANOS_PER_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    long left = flow.unwritten() + flow.openGapUpdates();
    Event.info(
        "ledger.closed",
        "ledger: "
            + left
            + " lines unwritten, "
            + flow.gapCount()
            + " gaps, "
            + flow.releasedBeforeCommit()
            + " forwards and answers before their commit",
        "unwritten",
        left,
        "gaps",
        flow.gapCount(),
        "before_commit",
        flow.releasedBeforeCommit());
  }

  /** Lines handed over that are not yet on the disk; asked in the loop. */
  public long unwritten() {
    return flow.unwritten();
  }

  // ---- On the thread of its own ----

  private void writeUntilClosed() {
    List<LedgerUpdate> batch = new ArrayList<>();
    long written = 0;
    boolean failing = false;
    while (true) {
      boolean last = closing;
      queue.drain(batch::add, MAX_BATCH_UPDATES - batch.size());
      if (!batch.isEmpty()) {
        try {
          store.write(batch);
          written += batch.size();
          batch.clear();
          long soFar = written;
          inbox.accept(() -> markDurable(soFar));
          if (failing) {
            Event.info("ledger.disk.well", "ledger: the disk takes lines again");
          }
          failing = false;
        } catch (IOException | RuntimeException e) {
          if (!failing) {
            logFailure(e);
          }
          failing = true;
          if (last && System.nanoTime() > closeDeadline) {
            Event.error(
                "ledger.lost",
                "ledger: ends with " + (batch.size() + queue.size()) + " lines unwritten",
                "lines",
                batch.size() + queue.size());
            break;
          }
          LockSupport.parkNanos(COMMIT_RETRY_DELAY_NANOS);
          continue;
        }
      } else if (last) {
        // The loop is in close() and takes no notes any more, so the count is set here; join()
        // orders it.
        flow.markDurable(written);
        break;
      }
      if (queue.size() < MAX_BATCH_UPDATES / 2
          && !last
          && ((!answersAfterCommit && !forwardsAfterCommit) || queue.isEmpty())) {
        LockSupport.parkNanos(commitIntervalNanos);
      }
    }
    closeStore();
  }

  private static void logFailure(Exception cause) {
    Event.error(
        "ledger.disk.fails",
        "ledger: "
            + cause.getMessage()
            + "; tried again every "
            + COMMIT_RETRY_DELAY_NANOS / NANOS_PER_MS
            + " ms, tasks go on",
        "cause",
        cause.getMessage());
  }

  private void closeStore() {
    try {
      store.close();
    } catch (IOException e) {
      Event.error("ledger.disk.fails", "ledger: " + e.getMessage(), "cause", e.getMessage());
    }
  }
}

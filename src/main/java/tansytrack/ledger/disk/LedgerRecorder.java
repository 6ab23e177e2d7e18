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
 * The ledger of a running manager. In the event loop it turns the events of tasks into updates and
 * queues them; a writer thread writes them, many in one commit, and reports through the inbox of
 * the loop how many are durable. A commit that fails is retried until it succeeds. Meanwhile
 * updates are queued up to a bound; further ones are lost and counted as a gap.
 */
public final class LedgerRecorder implements TaskListener {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final long COMMIT_RETRY_DELAY_NANOS = 200 * NANOS_PER_MS;
  // An open gap is handed over after this time even if no further task causes an update.
  private static final long GAP_CHECK_INTERVAL_NANOS = 500 * NANOS_PER_MS;
  // Failing commits are retried for this time after the end of the manager.
  private static final long FINAL_WRITE_TIMEOUT_NANOS = 2000 * NANOS_PER_MS;
  private static final int MAX_BATCH_UPDATES = 16384;

  private final LedgerStore store;
  private final Timers timers;
  private final Consumer<Runnable> inbox;
  // Answers wait for the commit of their updates.
  private final boolean answersAfterCommit;
  // Forwards wait for the commit of their updates.
  private final boolean forwardsAfterCommit;
  // New tasks are rejected while there is no room for their updates.
  private final boolean rejectsTasksWhenFull;
  private final long commitIntervalNanos;
  private final Map<String, QueryClass> queryClasses = new HashMap<>();
  private final List<TaskListener.UnresolvedForward> unresolvedForwards;
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
      List<TaskListener.UnresolvedForward> unresolvedForwards,
      List<QueryClass> queryClasses,
      Timers timers,
      Consumer<Runnable> inbox) {
    this.store = store;
    this.unresolvedForwards = unresolvedForwards;
    this.timers = timers;
    this.inbox = inbox;
    answersAfterCommit = section.answersAfterCommit();
    forwardsAfterCommit = section.forwardsAfterCommit();
    rejectsTasksWhenFull = section.rejectsTasksWhenFull();
    commitIntervalNanos = section.commitIntervalNanos();
    queryClasses.forEach(queryClass -> this.queryClasses.put(queryClass.name(), queryClass));
    flow = new WriteFlowControl(store.epoch(), section.maxUnwrittenLines(), section.maxWaitNanos());
    queue = new SpscArrayQueue<>(section.maxUnwrittenLines() + 2);
  }

  /**
   * Opens the ledger, begins a new epoch, marks the tasks that earlier epochs left open as
   * unresolved, and starts the writer thread.
   *
   * @param inbox runs actions in the event loop
   */
  public static LedgerRecorder start(
      OperatorFile.LedgerSection section,
      String manager,
      List<QueryClass> queryClasses,
      Timers timers,
      Consumer<Runnable> inbox)
      throws IOException {
    return start(section, manager, queryClasses, timers, inbox, FaultInjector.NONE);
  }

  /** Starts a recorder whose steps on the disk can be made to fail. */
  static LedgerRecorder start(
      OperatorFile.LedgerSection section,
      String manager,
      List<QueryClass> queryClasses,
      Timers timers,
      Consumer<Runnable> inbox,
      FaultInjector faults)
      throws IOException {
    LedgerStore store = LedgerStore.openForManager(section.folder(), manager, faults);
    List<TaskListener.UnresolvedForward> unresolvedForwards = new ArrayList<>();
    long unresolved =
        store.beginEpoch(
            timers.now(),
            (task, engine) ->
                unresolvedForwards.add(new TaskListener.UnresolvedForward(task, engine)));
    Event.info(
        "ledger.opened",
        "ledger opened in "
            + section.folder()
            + ": epoch "
            + store.epoch()
            + ", "
            + unresolved
            + " tasks of earlier epochs marked as unresolved",
        "epoch",
        store.epoch(),
        "unresolved",
        unresolved);
    LedgerRecorder recorder =
        new LedgerRecorder(section, store, unresolvedForwards, queryClasses, timers, inbox);
    recorder.writer.setDaemon(true);
    recorder.writer.start();
    recorder.checkForGap();
    return recorder;
  }

  // ---- Event loop ----

  @Override
  public void taskAccepted(long now, TaskRequest offer) {
    entries.taskAccepted(now, offer.id(), offer.tenant(), offer.queryClass());
  }

  @Override
  public boolean acceptsTasks() {
    return !rejectsTasksWhenFull || flow.acceptsTask(entries.openTasks());
  }

  @Override
  public void beforeForward(
      long now, String task, int index, String engine, long memoryMb, Runnable send) {
    enqueue(now, entries.forwardSent(now, task, index, engine, memoryMb));
    if (forwardsAfterCommit) {
      flow.hold(now, send);
      releaseOverdue();
    } else {
      send.run();
    }
  }

  @Override
  public void forwardEnded(
      long now,
      String task,
      int index,
      Outcome outcome,
      long workNanos,
      double memoryMb,
      boolean served) {
    LedgerUpdate update =
        entries.forwardEnded(now, task, index, outcome.name(), workNanos, memoryMb, served);
    if (update != null) {
      enqueue(now, update);
    }
  }

  @Override
  public void beforeAnswer(
      long now, String task, TaskListener.TaskEnd end, long bytes, Runnable answer) {
    LedgerUpdate update =
        entries.taskAnswered(now, task, tansytrack.ledger.TaskEnd.valueOf(end.name()), bytes);
    enqueue(
        flow.offer(
            now,
            update,
            rejectsTasksWhenFull && end == TaskListener.TaskEnd.BOUNCED ? entries.openTasks() : 0));
    if (!answersAfterCommit || end != TaskListener.TaskEnd.HANDLED) {
      // Only answers with a result wait for the disk; rejections and failures are sent at once.
      answer.run();
      return;
    }
    flow.hold(now, answer);
    releaseOverdue();
  }

  @Override
  public Collection<TaskListener.UnresolvedForward> unresolvedForwards() {
    return unresolvedForwards;
  }

  @Override
  public void forwardResolved(
      TaskListener.UnresolvedForward forward, boolean ended, long workNanos) {
    enqueue(
        timers.now(),
        new LedgerUpdate.RunReported(
            new Reconciliation.Run(forward.engine(), forward.task(), workNanos, ended)));
  }

  private long earningsMilli(
      String queryClassName, tansytrack.ledger.TaskEnd end, long durationNanos) {
    QueryClass queryClass = queryClasses.get(queryClassName);
    return end != tansytrack.ledger.TaskEnd.HANDLED
        ? 0
        : Math.round(
            1000
                * (durationNanos <= queryClass.latencyObjectiveNanos()
                    ? queryClass.earnings()
                    : queryClass.lateEarnings()));
  }

  private void releaseOverdue() {
    long nextCheckNanos = flow.releaseOverdue(timers.now());
    if (nextCheckNanos > 0 && timer == null) {
      timer =
          timers.schedule(
              nextCheckNanos,
              () -> {
                timer = null;
                releaseOverdue();
              });
    }
  }

  private void enqueue(long now, LedgerUpdate update) {
    enqueue(flow.offer(now, update));
  }

  private void enqueue(List<LedgerUpdate> updates) {
    for (LedgerUpdate update : updates) {
      if (!queue.offer(update)) {
        throw new IllegalStateException(
            "the ledger's queue is full although the unwritten updates are below the bound");
      }
    }
    if ((answersAfterCommit || forwardsAfterCommit) && !updates.isEmpty()) {
      LockSupport.unpark(writer);
    }
  }

  private void checkForGap() {
    if (!closing) {
      enqueue(flow.flushGap(timers.now()));
      timers.schedule(timers.now() + GAP_CHECK_INTERVAL_NANOS, this::checkForGap);
    }
  }

  private void markDurable(long updates) {
    flow.markDurable(updates);
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
    long unwritten = flow.unwritten() + flow.openGapUpdates();
    Event.info(
        "ledger.closed",
        "ledger closed: "
            + unwritten
            + " updates unwritten, "
            + flow.gapCount()
            + " gaps, "
            + flow.releasedBeforeCommit()
            + " forwards and answers released before their commit",
        "unwritten",
        unwritten,
        "gaps",
        flow.gapCount(),
        "before_commit",
        flow.releasedBeforeCommit());
  }

  /** The number of queued updates that are not durable yet; called in the event loop. */
  public long unwritten() {
    return flow.unwritten();
  }

  // ---- Writer thread ----

  private void writeUntilClosed() {
    List<LedgerUpdate> batch = new ArrayList<>();
    long written = 0;
    boolean failing = false;
    while (true) {
      boolean finalPass = closing;
      queue.drain(batch::add, MAX_BATCH_UPDATES - batch.size());
      if (!batch.isEmpty()) {
        try {
          store.write(batch);
          written += batch.size();
          batch.clear();
          long writtenSoFar = written;
          inbox.accept(() -> markDurable(writtenSoFar));
          if (failing) {
            Event.info("ledger.disk.well", "ledger: writing succeeds again");
          }
          failing = false;
        } catch (IOException | RuntimeException e) {
          if (!failing) {
            logFailure(e);
          }
          failing = true;
          if (finalPass && System.nanoTime() > closeDeadline) {
            Event.error(
                "ledger.lost",
                "ledger: closed with " + (batch.size() + queue.size()) + " updates unwritten",
                "lines",
                batch.size() + queue.size());
            break;
          }
          LockSupport.parkNanos(COMMIT_RETRY_DELAY_NANOS);
          continue;
        }
      } else if (finalPass) {
        // The loop is in close() and no longer reads its inbox, so this thread sets the count.
        // join() makes it visible to the loop.
        flow.markDurable(written);
        break;
      }
      if (queue.size() < MAX_BATCH_UPDATES / 2
          && !finalPass
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

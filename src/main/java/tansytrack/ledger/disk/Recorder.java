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
import tansytrack.api.Grade;
import tansytrack.api.Outcome;
import tansytrack.api.TaskOffer;
import tansytrack.ledger.EntryTracker;
import tansytrack.ledger.Line;
import tansytrack.ledger.Reconciliation;
import tansytrack.ledger.WriteFlowControl;
import tansytrack.log.Event;
import tansytrack.operator.OperatorFile;
import tansytrack.state.TaskWatch;
import tansytrack.state.Timers;

/**
 * The ledger of a running manager. In the event loop it turns the events of tasks into updates and
 * queues them; a writer thread writes them, many in one commit, and reports through the inbox of the
 * loop how many are durable. A commit that fails is retried until it succeeds. Meanwhile updates are
 * queued up to a bound; further ones are lost and counted as a gap.
 */
public final class Recorder implements TaskWatch {

  private static final long MS = 1_000_000L;
  private static final long AGAIN = 200 * MS;
  // An open gap is handed over after this time even if no further task causes an update.
  private static final long LOOK = 500 * MS;
  // Failing commits are retried for this time after the end of the manager.
  private static final long LAST = 2000 * MS;
  private static final int BATCH = 16384;

  private final Store store;
  private final Timers timers;
  private final Consumer<Runnable> inbox;
  // Answers wait for the commit of their updates.
  private final boolean afterCommit;
  // Forwards wait for the commit of their updates.
  private final boolean intentsFirst;
  // New tasks are rejected while there is no room for their updates.
  private final boolean bounces;
  private final long commitEvery;
  private final Map<String, Grade> grades = new HashMap<>();
  private final List<TaskWatch.Left> left;
  private final EntryTracker entries = new EntryTracker(this::earned);
  private final WriteFlowControl flow;
  private final SpscArrayQueue<Line> queue;
  private final Thread writer = new Thread(this::write, "ledger");
  private Timers.Timer timer;
  private volatile boolean ending;
  private volatile long lastEffort;

  private Recorder(
      OperatorFile.LedgerSection section,
      Store store,
      List<TaskWatch.Left> left,
      List<Grade> known,
      Timers timers,
      Consumer<Runnable> inbox) {
    this.store = store;
    this.left = left;
    this.timers = timers;
    this.inbox = inbox;
    afterCommit = section.afterCommit();
    intentsFirst = section.intentsFirst();
    bounces = section.bounces();
    commitEvery = section.commitEvery();
    known.forEach(grade -> grades.put(grade.name(), grade));
    flow = new WriteFlowControl(store.epoch(), section.mostUnwritten(), section.mostWait());
    queue = new SpscArrayQueue<>(section.mostUnwritten() + 2);
  }

  /**
   * Opens the ledger, begins a new epoch, marks the tasks that earlier epochs left open as
   * unresolved, and starts the writer thread.
   *
   * @param inbox runs actions in the event loop
   */
  public static Recorder start(
      OperatorFile.LedgerSection section,
      String manager,
      List<Grade> grades,
      Timers timers,
      Consumer<Runnable> inbox)
      throws IOException {
    return start(section, manager, grades, timers, inbox, Faults.NONE);
  }

  /** Starts a recorder whose steps on the disk can be made to fail. */
  static Recorder start(
      OperatorFile.LedgerSection section,
      String manager,
      List<Grade> grades,
      Timers timers,
      Consumer<Runnable> inbox,
      Faults faults)
      throws IOException {
    Store store = Store.forManager(section.folder(), manager, faults);
    List<TaskWatch.Left> left = new ArrayList<>();
    long unresolved =
        store.beginEpoch(
            timers.now(), (task, engine) -> left.add(new TaskWatch.Left(task, engine)));
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
    Recorder recorder = new Recorder(section, store, left, grades, timers, inbox);
    recorder.writer.setDaemon(true);
    recorder.writer.start();
    recorder.look();
    return recorder;
  }

  // ---- Event loop ----

  @Override
  public void taken(long now, TaskOffer offer) {
    entries.taken(now, offer.id(), offer.tenant(), offer.grade());
  }

  @Override
  public boolean admits() {
    return !bounces || flow.admits(entries.openTasks());
  }

  @Override
  public void sent(long now, String task, int index, String engine, long memoryMb, Runnable go) {
    hand(now, entries.sent(now, task, index, engine, memoryMb));
    if (intentsFirst) {
      flow.hold(now, go);
      overdue();
    } else {
      go.run();
    }
  }

  @Override
  public void ended(
      long now,
      String task,
      int index,
      Outcome outcome,
      long work,
      double memoryMb,
      boolean served) {
    Line line = entries.ended(now, task, index, outcome.name(), work, memoryMb, served);
    if (line != null) {
      hand(now, line);
    }
  }

  @Override
  public void answered(long now, String task, TaskWatch.End end, long bytes, Runnable say) {
    Line line = entries.answered(now, task, tansytrack.ledger.End.valueOf(end.name()), bytes);
    hand(flow.offer(now, line, bounces && end == TaskWatch.End.BOUNCED ? entries.openTasks() : 0));
    if (!afterCommit || end != TaskWatch.End.HANDLED) {
      // Only answers with a result wait for the disk; rejections and failures are sent at once.
      say.run();
      return;
    }
    flow.hold(now, say);
    overdue();
  }

  @Override
  public Collection<TaskWatch.Left> left() {
    return left;
  }

  @Override
  public void told(TaskWatch.Left about, boolean ended, long work) {
    hand(
        timers.now(),
        new Line.Told(new Reconciliation.Run(about.engine(), about.task(), work, ended)));
  }

  private long earned(String name, tansytrack.ledger.End end, long time) {
    Grade grade = grades.get(name);
    return end != tansytrack.ledger.End.HANDLED
        ? 0
        : Math.round(
            1000 * (time <= grade.promisedTime() ? grade.earnings() : grade.lateEarnings()));
  }

  private void overdue() {
    long next = flow.overdue(timers.now());
    if (next > 0 && timer == null) {
      timer =
          timers.at(
              next,
              () -> {
                timer = null;
                overdue();
              });
    }
  }

  private void hand(long now, Line line) {
    hand(flow.offer(now, line));
  }

  private void hand(List<Line> lines) {
    for (Line one : lines) {
      if (!queue.offer(one)) {
        throw new IllegalStateException(
            "the ledger's queue is full although the unwritten updates are below the bound");
      }
    }
    if ((afterCommit || intentsFirst) && !lines.isEmpty()) {
      LockSupport.unpark(writer);
    }
  }

  private void look() {
    if (!ending) {
      hand(flow.idle(timers.now()));
      timers.at(timers.now() + LOOK, this::look);
    }
  }

  private void durable(long lines) {
    flow.durable(lines);
    hand(flow.idle(timers.now()));
  }

  @Override
  public void close() {
    flow.release();
    hand(flow.idle(timers.now()));
    lastEffort = System.nanoTime() + LAST;
    ending = true;
    LockSupport.unpark(writer);
    try {
      writer.join(2 * LAST / MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    long left = flow.unwritten() + flow.uncounted();
    Event.info(
        "ledger.closed",
        "ledger closed: "
            + left
            + " updates unwritten, "
            + flow.gaps()
            + " gaps, "
            + flow.answeredUndurable()
            + " forwards and answers released before their commit",
        "unwritten",
        left,
        "gaps",
        flow.gaps(),
        "before_commit",
        flow.answeredUndurable());
  }

  /** The number of queued updates that are not durable yet; called in the event loop. */
  public long unwritten() {
    return flow.unwritten();
  }

  // ---- Writer thread ----

  private void write() {
    List<Line> batch = new ArrayList<>();
    long written = 0;
    boolean failing = false;
    while (true) {
      boolean last = ending;
      queue.drain(batch::add, BATCH - batch.size());
      if (!batch.isEmpty()) {
        try {
          store.write(batch);
          written += batch.size();
          batch.clear();
          long soFar = written;
          inbox.accept(() -> durable(soFar));
          if (failing) {
            Event.info("ledger.disk.well", "ledger: writing succeeds again");
          }
          failing = false;
        } catch (IOException | RuntimeException e) {
          if (!failing) {
            tellFailure(e);
          }
          failing = true;
          if (last && System.nanoTime() > lastEffort) {
            Event.error(
                "ledger.lost",
                "ledger: closed with " + (batch.size() + queue.size()) + " updates unwritten",
                "lines",
                batch.size() + queue.size());
            break;
          }
          LockSupport.parkNanos(AGAIN);
          continue;
        }
      } else if (last) {
        // The loop is in close() and no longer reads its inbox, so this thread sets the count.
        // join() makes it visible to the loop.
        flow.durable(written);
        break;
      }
      if (queue.size() < BATCH / 2
          && !last
          && ((!afterCommit && !intentsFirst) || queue.isEmpty())) {
        LockSupport.parkNanos(commitEvery);
      }
    }
    closeStore();
  }

  private static void tellFailure(Exception cause) {
    Event.error(
        "ledger.disk.fails",
        "ledger: " + cause.getMessage() + "; tried again every " + AGAIN / MS + " ms, tasks go on",
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

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
 * The ledger of a running manager. In the loop it makes lines of what tasks do and hands them over;
 * one thread of its own writes them, many to a commit, and tells the loop by a note how far the
 * disk has come. A commit that fails is tried again until it succeeds; meanwhile lines queue up to
 * their bound, and beyond it count as a gap.
 */
public final class Recorder implements TaskWatch {

  private static final long MS = 1_000_000L;
  private static final long AGAIN = 200 * MS; // after a commit that failed
  private static final long LOOK = 500 * MS; // for a gap that waits for room, with no task coming
  private static final long LAST = 2000 * MS; // for what is unwritten at the end
  private static final int BATCH = 16384;

  private final Store store;
  private final Timers timers;
  private final Consumer<Runnable> inbox;
  private final boolean afterCommit; // answers wait for the disk
  private final boolean intentsFirst; // so do forwards
  private final boolean bounces; // where there is no room for what a task brings
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

  /** Opens the ledger, resolves what the life before left open, and begins a new epoch. */
  public static Recorder start(
      OperatorFile.LedgerSection section,
      String manager,
      List<Grade> grades,
      Timers timers,
      Consumer<Runnable> inbox)
      throws IOException {
    return start(section, manager, grades, timers, inbox, Faults.NONE);
  }

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
    Recorder recorder = new Recorder(section, store, left, grades, timers, inbox);
    recorder.writer.setDaemon(true);
    recorder.writer.start();
    recorder.look();
    return recorder;
  }

  // ---- In the loop ----

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
      say.run(); // what was given up is told at once, whatever the disk does
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
        throw new IllegalStateException("the ledger's queue is full below its bound");
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
        "ledger: "
            + left
            + " lines unwritten, "
            + flow.gaps()
            + " gaps, "
            + flow.answeredUndurable()
            + " forwards and answers before their commit",
        "unwritten",
        left,
        "gaps",
        flow.gaps(),
        "before_commit",
        flow.answeredUndurable());
  }

  /** Lines handed over that are not yet on the disk; asked in the loop. */
  public long unwritten() {
    return flow.unwritten();
  }

  // ---- On the thread of its own ----

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
            Event.info("ledger.disk.well", "ledger: the disk takes lines again");
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
                "ledger: ends with " + (batch.size() + queue.size()) + " lines unwritten",
                "lines",
                batch.size() + queue.size());
            break;
          }
          LockSupport.parkNanos(AGAIN);
          continue;
        }
      } else if (last) {
        // The loop is in close() and takes no notes any more, so the count is set here; join()
        // orders it.
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

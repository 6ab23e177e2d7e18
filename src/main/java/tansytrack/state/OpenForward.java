package tansytrack.state;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;
import tansytrack.wire.Http;
import tansytrack.wire.HttpLine;
import tansytrack.wire.Junk;
import tansytrack.wire.PgSession;

/**
 * One forward: the call that starts it, the questions after it, the pages of its result. All pages
 * are gathered before the first row goes to the client, as a page that is lost with its engine
 * could not be made good afterwards.
 */
final class OpenForward implements HttpLine.Caller {

  static final int COLUMNS = 3;
  private static final int MOST_PAGES = 64; // a result is 48,000 bytes, a page 6,000 at most
  private static final int MOST_BYTES = 1 << 16;
  private static final long HELD_OPEN = AttemptCancellation.HELD_OPEN;
  private static final long MARGIN = AttemptCancellation.MARGIN;
  private static final long OVERDUE =
      HELD_OPEN + 2 * MARGIN; // a call without its answer by then has lost it
  private static final int MOST_BROKEN =
      8; // calls in a row: one in four spoilt makes this one in 65,000
  private static final long LATEST =
      50_000_000L; // a starting call is made again up to so long behind its decision
  private static final long PAUSE = 10_000_000L; // before each further one, by how many came before
  private static final long REFUSED_PAUSE = 50_000_000L; // likewise, before one that may be refused
  private static final int MOST_PAUSES = 5;
  private static final int REFUSALS_OF_THE_DEAD = 3; // in a row, behind a reset: its process died

  final OpenTask task;
  final int index;
  final EngineLines engine;
  final long at;
  private final Manager manager;
  private final Timers timers;
  private final String path;
  private final List<byte[]> pages = new ArrayList<>();
  private Timers.Timer timer;
  private HttpLine line; // with the open call
  private int bytes;
  private int pageCount;
  private boolean heard; // its engine ever said that it has the query
  private boolean left; // a byte of the call that starts it was written
  private boolean silent; // an answer was overdue since the last whole one
  private boolean stalled; // a call ever went without an answer: it may yet be taken up
  private int broken; // calls in a row that brought nothing whole
  private int refusals; // of those, the last ones in a row that were refused
  private boolean
      reset; // a call ever broke since the last whole answer, on a connection that was up
  private Timers.Timer callTimer;
  private boolean cancelled;
  private boolean over;
  private long calledAt;
  private long askedAt; // the last question that may have come to the engine
  private String asking; // what was asked last; null: the call that starts it
  private long until;
  private double cost;
  private double memory;
  private LoadReport report;

  OpenForward(Manager manager, Timers timers, OpenTask task, int index, EngineLines engine) {
    this.manager = manager;
    this.timers = timers;
    this.task = task;
    this.index = index;
    this.engine = engine;
    at = timers.now();
    askedAt = at;
    path = "/o/" + task.id;
  }

  /** Of the pages that it has brought so far. */
  int bytes() {
    return bytes;
  }

  /** Sets until when it may take. */
  void due(long by) {
    until = by;
    timer = timers.at(until, this::timeOut);
  }

  /** Sends it, if it was not given up meanwhile; its end comes later, never within this call. */
  void start() {
    postOpen(Long.MAX_VALUE);
  }

  private void post() {
    long wait = Math.max(1, (until - timers.now()) / 1_000_000);
    String fields =
        "X-Req: "
            + task.id
            + "\r\nX-Class: "
            + task.grade
            + "\r\nX-Wait-Ms: "
            + wait
            + "\r\n"
            + (task.stamp == null ? "" : "Idempotency-Key: " + task.stamp + "\r\n")
            + (task.memoryMb > 0 ? "Grant-Mb: " + task.memoryMb + "\r\n" : "")
            + "Rank: "
            + task.priority
            + "\r\n";
    asking = null;
    called(engine.call("POST", "/o", fields, task.statement, this));
  }

  private void ask(String what) {
    engine.whenAvailable(
        () -> {
          if (!over && !cancelled) {
            asking = what;
            called(engine.call("GET", path + what, this));
          }
        });
  }

  private void askRested(String what) {
    long rests = engine.rests();
    if (rests == 0) {
      ask(what);
    } else {
      callTimer = timers.at(timers.now() + rests, () -> ask(what));
    }
  }

  private void called(HttpLine by) {
    line = by;
    calledAt = timers.now();
    if (line != null) {
      callTimer = timers.at(calledAt + OVERDUE, this::overdue);
    } else if (left) {
      manager.later(this::lost);
    } else {
      manager.later(() -> end(Outcome.NEVER_SENT));
    }
  }

  @Override
  public void answered(Http.Answer answer) throws Junk {
    int status = answer.status();
    if (status != 200 && status != 202 && status != 500 && status != 503 && status != 504) {
      throw new Junk("status " + status);
    }
    boolean notRun = "1".equals(answer.field("x-not-run"));
    LoadReport told = manager.report(answer);
    if (status == 200) {
      page(answer);
    }
    quiet();
    engine.heard();
    report = told == null ? report : told;
    left = true;
    heard |= status == 200 || status == 202;
    askedAt = timers.now();
    boolean again = broken > 0 || silent;
    boolean wasSilent = silent;
    broken = 0;
    refusals = 0;
    reset = false;
    silent = false;
    if (status == 200 || status == 202) {
      if (status == 200 && pages.size() == pageCount) {
        end(Outcome.OK);
      } else {
        String next = "/" + pages.size();
        // Not within this call: the connection that brought the answer is free only behind it.
        manager.later(() -> askRested(next));
      }
    } else if (again && asking != null && (wasSilent || !notRun)) {
      // Not known after a break. Not an error: that would say it runs no more, and a key would not
      // rest.
      letGo(Outcome.RESET);
    } else if (status == 503) {
      end(notRun ? Outcome.FULL : Outcome.ERROR);
    } else {
      end(status == 504 && notRun ? Outcome.NEVER_SENT : Outcome.ERROR);
    }
  }

  private void quiet() {
    line = null;
    if (callTimer != null) {
      callTimer.cancel();
    }
  }

  /** Takes a page that is whole and the one asked for; else it is junk and nothing has changed. */
  private void page(Http.Answer answer) throws Junk {
    int count = pageCount;
    if (pages.isEmpty()) {
      double told = answer.number("page-count", 0);
      if (told < 1 || told > MOST_PAGES || told != Math.rint(told)) {
        throw new Junk("a result of " + told + " pages");
      }
      count = (int) told;
    } else if (answer.number("page-no", -1) != pages.size()) {
      throw new Junk("another page than asked for");
    }
    if (bytes + answer.body().length > MOST_BYTES || !PgSession.holdsRows(answer.body(), COLUMNS)) {
      throw new Junk("a page that does not hold whole rows, or too large a result");
    }
    if (pages.isEmpty()) {
      cost = answer.number("work-ms", 0);
      memory = answer.number("peak-mb", 0);
    }
    pageCount = count;
    bytes += answer.body().length;
    pages.add(answer.body());
  }

  /**
   * No whole answer in time: the connection is given up, and the query, which belongs to none,
   * asked for on another.
   */
  private void overdue() {
    if (!over && line != null) {
      manager.counters().add("calls.overdue");
      HttpLine open = line;
      stalled = true;
      boolean up = open.up(); // then the call may have come to the engine
      if (up) {
        engine.unanswered(open);
      }
      open.drop();
      failed(up ? HttpLine.Failure.BROKEN : HttpLine.Failure.LATE);
    }
  }

  /**
   * Guards against spoilt answers, resets and silence, which cost a call and not the task: the
   * query is asked for again while its engine may still have it. A refused connection proves that
   * this call did not run, no more: an engine that drains, or holds all the connections that it
   * can, refuses new ones and works on.
   */
  @Override
  public void failed(HttpLine.Failure why) {
    HttpLine on = line;
    quiet();
    if (over || cancelled) {
      return;
    }
    manager.counters().add("calls." + why);
    broken++;
    refusals = why == HttpLine.Failure.REFUSED ? refusals + 1 : 0;
    if (why == HttpLine.Failure.BROKEN) {
      left = true;
      reset = true;
      askedAt = on.begunAt();
    }
    boolean late = why == HttpLine.Failure.LATE || timers.now() - calledAt > HELD_OPEN + MARGIN;
    silent |= late && left;
    if (!left) {
      notStarted(why);
    } else if (processDied() || timers.now() > endsUnasked()) {
      end(Outcome.RESET);
    } else if (broken >= MOST_BROKEN && !silent && refusals == 0) {
      lost();
    } else {
      String again = "/" + pages.size();
      callTimer = timers.at(timers.now() + pause(), () -> ask(again));
    }
  }

  private void notStarted(HttpLine.Failure why) {
    if (why == HttpLine.Failure.UNSENT && broken < MOST_BROKEN) {
      manager.later(() -> postOpen(LATEST));
    } else {
      end(Outcome.UNREACHED); // the call itself never left: nothing ran
    }
  }

  /**
   * A process that dies resets its connections, and nothing listens there any more. Each sign alone
   * has other causes, so all have to be there: a call that broke promptly, no connection that is
   * up, new ones refused again and again, and an engine that is not told to drain, as such refuse
   * new ones too.
   */
  private boolean processDied() {
    return reset
        && refusals >= REFUSALS_OF_THE_DEAD
        && !silent
        && !stalled
        && engine.takes()
        && !engine.connected();
  }

  private long endsUnasked() {
    return AttemptCancellation.endsUnasked(engine, askedAt, until, task.ordered);
  }

  private long pause() {
    if (silent) {
      return Math.max(PAUSE, calledAt + OVERDUE - timers.now());
    }
    if (refusals > 0) {
      // Where connections are up, the next question waits for one of them.
      return engine.connected() ? 0 : Math.min(refusals, MOST_PAUSES) * REFUSED_PAUSE;
    }
    return (broken - 1) * PAUSE;
  }

  /**
   * Guards against a query that begins behind its time: this is no new decision, so it holds only
   * while nobody could have decided otherwise. Else the module hears that nothing was sent, and
   * decides again under all its rules.
   */
  private void postOpen(long latest) {
    if (over || cancelled) {
      return;
    }
    if (task.answered() || !engine.takes() || timers.now() - at > latest) {
      manager.later(() -> end(Outcome.NEVER_SENT));
    } else {
      post();
    }
  }

  /**
   * The list has changed. Guards against a call that begins at an engine told to drain while its
   * connection came up.
   */
  void undrained() {
    if (!engine.takes()) {
      takeBack();
    }
  }

  /**
   * It is not to begin any more. Guards against a query that begins behind its client's back: a
   * call whose connection is still coming up is taken back, also where nothing that runs can be
   * cancelled.
   */
  void takeBack() {
    if (!over && !cancelled && !left && (line == null || !line.up())) {
      if (line != null) {
        line.drop();
      }
      quiet();
      manager.later(() -> end(Outcome.NEVER_SENT));
    }
  }

  /**
   * Its time is up. Guards against a key whose next task is sent beside this one: the client is
   * answered at once, but the forward stays out until it is given up for sure, as the call for that
   * may not be taken up.
   */
  private void timeOut() {
    if (!over && timers.now() >= task.cutOffAt) {
      manager.timeUp(task);
    }
    letGo(Outcome.TIME_OUT);
  }

  /**
   * Gives it up at its engine: its end comes once the call for that has gone out whole. Guards
   * against a second forward beside this one: where the call cannot leave, as on a machine that
   * vanished, the forward stays out until its engine must have dropped it for not being asked.
   */
  void cancel() {
    letGo(Outcome.CANCELLED);
  }

  /** Its connections broke and it was not found again. */
  private void lost() {
    letGo(Outcome.RESET);
  }

  /** From now on it is only to end; how it ended is said once that is sure. */
  private void letGo(Outcome outcome) {
    if (!over && !cancelled) {
      cancelled = true;
      release();
      AttemptCancellation.Attempt attempt =
          new AttemptCancellation.Attempt(
              path,
              askedAt,
              until,
              heard,
              silent || stalled,
              task.ordered,
              outcome == Outcome.RESET && (silent || stalled));
      new AttemptCancellation(engine, timers, attempt, () -> end(outcome)).start();
    }
  }

  private void release() {
    if (line != null) {
      askedAt = line.up() ? line.begunAt() : askedAt;
      line.drop();
    }
    quiet();
  }

  void priority(int priority) {
    if (!over && !cancelled) {
      engine.aside(
          "PUT",
          path,
          Integer.toString(priority).getBytes(StandardCharsets.US_ASCII),
          EngineLines.ANY_TIME,
          gone -> {});
    }
  }

  private void end(Outcome outcome) {
    if (over) {
      return;
    }
    over = true;
    timer.cancel();
    quiet();
    manager.ended(
        this,
        outcome,
        Math.round(cost * 1e6),
        memory,
        report,
        outcome == Outcome.OK ? pages : null);
  }
}

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
 * One forward: the request that starts the query, the polls after it, and the pages of its result.
 * All pages are collected before the first row goes to the client: if the engine failed in between,
 * the missing pages could not be delivered, and the rows already sent could not be withdrawn.
 */
final class OpenForward implements HttpLine.Caller {

  static final int COLUMNS = 3;

  // A result has at most 48,000 bytes, a page at most 6,000.
  private static final int MOST_PAGES = 64;
  private static final int MOST_BYTES = 1 << 16;
  private static final long HELD_OPEN = AttemptCancellation.HELD_OPEN;
  private static final long MARGIN = AttemptCancellation.MARGIN;

  // A request that is not answered within this time counts as lost.
  private static final long OVERDUE = HELD_OPEN + 2 * MARGIN;

  // Consecutive failed requests. If one in four fails, 8 in a row occur once in 65,000 times.
  private static final int MOST_BROKEN = 8;

  // The start request is retried only within this time after the decision to forward.
  private static final long LATEST = 50_000_000L;

  // Delay before a retry, multiplied by the number of retries before it.
  private static final long PAUSE = 10_000_000L;

  // The same for a retry after refused connections, up to a maximum number of steps.
  private static final long REFUSED_PAUSE = 50_000_000L;
  private static final int MOST_PAUSES = 5;

  // Consecutive refused connections after a reset that show that the engine's process has died.
  private static final int REFUSALS_OF_THE_DEAD = 3;

  final OpenTask task;
  final int index;
  final EngineLines engine;
  final long at;
  private final Manager manager;
  private final Timers timers;
  private final String path;
  private final List<byte[]> pages = new ArrayList<>();
  private Timers.Timer timer;
  // The connection of the open request, null if there is none.
  private HttpLine line;
  private int bytes;
  private int pageCount;
  // Whether the engine has ever confirmed that it has the query.
  private boolean heard;
  // Whether any byte of the start request may have been sent.
  private boolean left;
  // Whether a response has been overdue since the last complete one.
  private boolean silent;
  // Whether any request has ever gone unanswered; the engine may still process it.
  private boolean stalled;
  // Consecutive requests without a complete response.
  private int broken;
  // Consecutive refused connections at the end of those.
  private int refusals;
  // Whether an established connection broke during a request since the last complete response.
  private boolean reset;
  private Timers.Timer callTimer;
  private boolean cancelled;
  private boolean over;
  private long calledAt;
  // When the last poll that may have reached the engine was sent.
  private long askedAt;
  // The path suffix of the last poll; null if the last request was the start request.
  private String asking;
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

  /** Returns the total size of the pages received so far. */
  int bytes() {
    return bytes;
  }

  /** Sets the time by which the forward must end. */
  void due(long by) {
    until = by;
    timer = timers.at(until, this::timeOut);
  }

  /**
   * Sends the start request unless the forward has been cancelled in the meantime. The end of the
   * forward is reported later, never within this method.
   */
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
        // Deferred, as the connection becomes idle only after this method returns.
        manager.later(() -> askRested(next));
      }
    } else if (again && asking != null && (wasSilent || !notRun)) {
      // The engine does not know the query after a failed request. This must not end as an error:
      // that would mean that the query has ended, and the next one of its key could start too early.
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

  /**
   * Adds a page to the result. If it is not complete or not the requested one, the response is
   * rejected and the state remains unchanged.
   */
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
   * Handles a request without a complete response in time: the connection is closed, and the query,
   * which is not bound to a connection, is polled on another one.
   */
  private void overdue() {
    if (!over && line != null) {
      manager.counters().add("calls.overdue");
      HttpLine open = line;
      stalled = true;
      // On an established connection the request may have reached the engine.
      boolean up = open.up();
      if (up) {
        engine.unanswered(open);
      }
      open.drop();
      failed(up ? HttpLine.Failure.BROKEN : HttpLine.Failure.LATE);
    }
  }

  /**
   * Handles a request without a usable response. Malformed responses, resets and timeouts fail a
   * request and not the task: the query is polled again while the engine may still have it. A refused
   * connection proves only that this request was not processed: an engine that drains or is at its
   * connection limit refuses new connections and continues to work.
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
      end(Outcome.UNREACHED); // no byte of the request was sent, so the query did not run
    }
  }

  /**
   * Whether the engine's process has died. The connections of a dead process are reset and new ones
   * are refused. Each sign alone has other causes, so all are required: a request that failed without
   * a timeout, no established connection, new connections refused repeatedly, and an engine that is
   * not draining, as a draining one refuses connections too.
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
      // If connections are established, the next poll waits for one of them to become idle.
      return engine.connected() ? 0 : Math.min(refusals, MOST_PAUSES) * REFUSED_PAUSE;
    }
    return (broken - 1) * PAUSE;
  }

  /**
   * Sends the start request if the decision to forward still holds: the task is unanswered, the
   * engine accepts work, and the decision is not older than the given time. Otherwise the query
   * could start too late; the forward ends as not sent, and the module decides again under all its
   * rules.
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
   * Handles a change of the engine list: a query must not start at an engine that was set to drain
   * while the connection was being established.
   */
  void undrained() {
    if (!engine.takes()) {
      takeBack();
    }
  }

  /**
   * Withdraws the start request if its connection has not been established, so that the query does
   * not start after its task was answered. This also applies where running queries cannot be
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
   * Handles the deadline of the forward. The client is answered at once, but the forward ends only
   * when its query has certainly ended, as the cancellation may be delayed: until then the next task
   * of its key must not be sent.
   */
  private void timeOut() {
    if (!over && timers.now() >= task.cutOffAt) {
      manager.timeUp(task);
    }
    letGo(Outcome.TIME_OUT);
  }

  /**
   * Cancels the query at its engine. The forward ends once that is confirmed. If the engine cannot be
   * reached, as when its machine has vanished, the forward ends only when the engine must have
   * dropped the query for not being polled, so that no second forward runs next to this one.
   */
  void cancel() {
    letGo(Outcome.CANCELLED);
  }

  /** Gives up a forward whose requests failed repeatedly. */
  private void lost() {
    letGo(Outcome.RESET);
  }

  /** Cancels the query; the forward ends with the given outcome once the query has ended. */
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

  /** Sends a changed priority to the engine. */
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

package tansytrack.state;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;
import tansytrack.wire.HttpCodec;
import tansytrack.wire.HttpConnection;
import tansytrack.wire.PgSession;
import tansytrack.wire.ProtocolException;

/**
 * One forward: the call that starts it, the questions after it, the pages of its result. All pages
 * are gathered before the first row goes to the client, as a page that is lost with its engine
 * could not be made good afterwards.
 */
final class OpenForward implements HttpConnection.ResponseHandler {

  static final int COLUMNS = 3;
  private static final int MAX_PAGES = 64; // a result is 48,000 bytes, a page 6,000 at most
  private static final int MAX_RESULT_BYTES = 1 << 16;
  private static final long MAX_LONG_POLL_NANOS = AttemptCancellation.MAX_LONG_POLL_NANOS;
  private static final long TRANSIT_MARGIN_NANOS = AttemptCancellation.TRANSIT_MARGIN_NANOS;
  private static final long RESPONSE_TIMEOUT_NANOS =
      MAX_LONG_POLL_NANOS
          + 2 * TRANSIT_MARGIN_NANOS; // a call without its answer by then has lost it
  private static final int MAX_CONSECUTIVE_FAILURES =
      8; // calls in a row: one in four spoilt makes this one in 65,000
  private static final long MAX_START_DELAY_NANOS =
      50_000_000L; // a starting call is made again up to so long behind its decision
  private static final long RETRY_DELAY_STEP_NANOS =
      10_000_000L; // before each further one, by how many came before
  private static final long REFUSED_RETRY_DELAY_STEP_NANOS =
      50_000_000L; // likewise, before one that may be refused
  private static final int MAX_REFUSED_DELAY_STEPS = 5;
  private static final int MIN_REFUSALS_OF_DEAD_PROCESS =
      3; // in a row, behind a reset: its process died

  final OpenTask task;
  final int index;
  final EngineConnections engine;
  final long createdAt;
  private final Manager manager;
  private final Timers timers;
  private final String path;
  private final List<byte[]> pages = new ArrayList<>();
  private Timers.Timer timer;
  private HttpConnection connection; // with the open call
  private int resultBytes;
  private int pageCount;
  private boolean knownToEngine; // its engine ever said that it has the query
  private boolean mayHaveBeenSent; // a byte of the call that starts it was written
  private boolean responseOverdue; // an answer was overdue since the last whole one
  private boolean everUnanswered; // a call ever went without an answer: it may yet be taken up
  private int consecutiveFailures; // calls in a row that brought nothing whole
  private int consecutiveRefusals; // of those, the last ones in a row that were refused
  private boolean
      connectionBroke; // a call ever broke since the last whole answer, on a connection that was up
  private Timers.Timer requestTimer;
  private boolean cancelled;
  private boolean ended;
  private long requestedAt;
  private long lastPolledAt; // the last question that may have come to the engine
  private String openPollPath; // what was asked last; null: the call that starts it
  private long deadline;
  private double workMs;
  private double peakMb;
  private LoadReport report;

  OpenForward(Manager manager, Timers timers, OpenTask task, int index, EngineConnections engine) {
    this.manager = manager;
    this.timers = timers;
    this.task = task;
    this.index = index;
    this.engine = engine;
    createdAt = timers.now();
    lastPolledAt = createdAt;
    path = "/o/" + task.id;
  }

  /** Of the pages that it has brought so far. */
  int resultBytes() {
    return resultBytes;
  }

  /** Sets until when it may take. */
  void setDeadline(long by) {
    deadline = by;
    timer = timers.schedule(deadline, this::deadlinePassed);
  }

  /** Sends it, if it was not given up meanwhile; its end comes later, never within this call. */
  void start() {
    sendStartIfValid(Long.MAX_VALUE);
  }

  private void sendStart() {
    long wait = Math.max(1, (deadline - timers.now()) / 1_000_000);
    String fields =
        "X-Req: "
            + task.id
            + "\r\nX-Class: "
            + task.queryClass
            + "\r\nX-Wait-Ms: "
            + wait
            + "\r\n"
            + (task.idempotencyKey == null
                ? ""
                : "Idempotency-Key: " + task.idempotencyKey + "\r\n")
            + (task.memoryMb > 0 ? "Grant-Mb: " + task.memoryMb + "\r\n" : "")
            + "Rank: "
            + task.priority
            + "\r\n";
    openPollPath = null;
    requestMade(engine.send("POST", "/o", fields, task.statement, this));
  }

  private void poll(String what) {
    engine.whenConnectionAvailable(
        () -> {
          if (!ended && !cancelled) {
            openPollPath = what;
            requestMade(engine.send("GET", path + what, this));
          }
        });
  }

  private void pollAfterReuseDelay(String what) {
    long rests = engine.reuseDelay();
    if (rests == 0) {
      poll(what);
    } else {
      requestTimer = timers.schedule(timers.now() + rests, () -> poll(what));
    }
  }

  private void requestMade(HttpConnection by) {
    connection = by;
    requestedAt = timers.now();
    if (connection != null) {
      requestTimer = timers.schedule(requestedAt + RESPONSE_TIMEOUT_NANOS, this::requestTimedOut);
    } else if (mayHaveBeenSent) {
      manager.defer(this::cancelAsLost);
    } else {
      manager.defer(() -> end(Outcome.NEVER_SENT));
    }
  }

  @Override
  public void responseReceived(HttpCodec.Response answer) throws ProtocolException {
    int status = answer.status();
    if (status != 200 && status != 202 && status != 500 && status != 503 && status != 504) {
      throw new ProtocolException("status " + status);
    }
    boolean notRun = "1".equals(answer.header("x-not-run"));
    LoadReport told = manager.parseLoadReport(answer);
    if (status == 200) {
      addPage(answer);
    }
    clearRequest();
    engine.recordResponse();
    report = told == null ? report : told;
    mayHaveBeenSent = true;
    knownToEngine |= status == 200 || status == 202;
    lastPolledAt = timers.now();
    boolean again = consecutiveFailures > 0 || responseOverdue;
    boolean wasSilent = responseOverdue;
    consecutiveFailures = 0;
    consecutiveRefusals = 0;
    connectionBroke = false;
    responseOverdue = false;
    if (status == 200 || status == 202) {
      if (status == 200 && pages.size() == pageCount) {
        end(Outcome.OK);
      } else {
        String next = "/" + pages.size();
        // Not within this call: the connection that brought the answer is free only behind it.
        manager.defer(() -> pollAfterReuseDelay(next));
      }
    } else if (again && openPollPath != null && (wasSilent || !notRun)) {
      // Not known after a break. Not an error: that would say it runs no more, and a key would not
      // rest.
      cancelAtEngine(Outcome.RESET);
    } else if (status == 503) {
      end(notRun ? Outcome.FULL : Outcome.ERROR);
    } else {
      end(status == 504 && notRun ? Outcome.NEVER_SENT : Outcome.ERROR);
    }
  }

  private void clearRequest() {
    connection = null;
    if (requestTimer != null) {
      requestTimer.cancel();
    }
  }

  /** Takes a page that is whole and the one asked for; else it is junk and nothing has changed. */
  private void addPage(HttpCodec.Response answer) throws ProtocolException {
    int count = pageCount;
    if (pages.isEmpty()) {
      double told = answer.numericHeader("page-count", 0);
      if (told < 1 || told > MAX_PAGES || told != Math.rint(told)) {
        throw new ProtocolException("a result of " + told + " pages");
      }
      count = (int) told;
    } else if (answer.numericHeader("page-no", -1) != pages.size()) {
      throw new ProtocolException("another page than asked for");
    }
    if (resultBytes + answer.body().length > MAX_RESULT_BYTES
        || !PgSession.hasWholeRows(answer.body(), COLUMNS)) {
      throw new ProtocolException("a page that does not hold whole rows, or too large a result");
    }
    if (pages.isEmpty()) {
      workMs = answer.numericHeader("work-ms", 0);
      peakMb = answer.numericHeader("peak-mb", 0);
    }
    pageCount = count;
    resultBytes += answer.body().length;
    pages.add(answer.body());
  }

  /**
   * No whole answer in time: the connection is given up, and the query, which belongs to none,
   * asked for on another.
   */
  private void requestTimedOut() {
    if (!ended && connection != null) {
      manager.counters().increment("calls.overdue");
      HttpConnection open = connection;
      everUnanswered = true;
      boolean up = open.connected(); // then the call may have come to the engine
      if (up) {
        engine.recordUnanswered(open);
      }
      open.abort();
      requestFailed(up ? HttpConnection.Failure.BROKEN : HttpConnection.Failure.LATE);
    }
  }

  /**
   * Guards against spoilt answers, resets and silence, which cost a call and not the task: the
   * query is asked for again while its engine may still have it. A refused connection proves that
   * this call did not run, no more: an engine that drains, or holds all the connections that it
   * can, refuses new ones and works on.
   */
  @Override
  public void requestFailed(HttpConnection.Failure why) {
    HttpConnection on = connection;
    clearRequest();
    if (ended || cancelled) {
      return;
    }
    manager.counters().increment("calls." + why);
    consecutiveFailures++;
    consecutiveRefusals = why == HttpConnection.Failure.REFUSED ? consecutiveRefusals + 1 : 0;
    if (why == HttpConnection.Failure.BROKEN) {
      mayHaveBeenSent = true;
      connectionBroke = true;
      lastPolledAt = on.requestStartedAt();
    }
    boolean late =
        why == HttpConnection.Failure.LATE
            || timers.now() - requestedAt > MAX_LONG_POLL_NANOS + TRANSIT_MARGIN_NANOS;
    responseOverdue |= late && mayHaveBeenSent;
    if (!mayHaveBeenSent) {
      startFailed(why);
    } else if (processDied() || timers.now() > unpolledEndTime()) {
      end(Outcome.RESET);
    } else if (consecutiveFailures >= MAX_CONSECUTIVE_FAILURES
        && !responseOverdue
        && consecutiveRefusals == 0) {
      cancelAsLost();
    } else {
      String again = "/" + pages.size();
      requestTimer = timers.schedule(timers.now() + retryDelay(), () -> poll(again));
    }
  }

  private void startFailed(HttpConnection.Failure why) {
    if (why == HttpConnection.Failure.UNSENT && consecutiveFailures < MAX_CONSECUTIVE_FAILURES) {
      manager.defer(() -> sendStartIfValid(MAX_START_DELAY_NANOS));
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
    return connectionBroke
        && consecutiveRefusals >= MIN_REFUSALS_OF_DEAD_PROCESS
        && !responseOverdue
        && !everUnanswered
        && engine.acceptsWork()
        && !engine.connected();
  }

  private long unpolledEndTime() {
    return AttemptCancellation.unpolledEndTime(engine, lastPolledAt, deadline, task.ordered);
  }

  private long retryDelay() {
    if (responseOverdue) {
      return Math.max(RETRY_DELAY_STEP_NANOS, requestedAt + RESPONSE_TIMEOUT_NANOS - timers.now());
    }
    if (consecutiveRefusals > 0) {
      // Where connections are up, the next question waits for one of them.
      return engine.connected()
          ? 0
          : Math.min(consecutiveRefusals, MAX_REFUSED_DELAY_STEPS) * REFUSED_RETRY_DELAY_STEP_NANOS;
    }
    return (consecutiveFailures - 1) * RETRY_DELAY_STEP_NANOS;
  }

  /**
   * Guards against a query that begins behind its time: this is no new decision, so it holds only
   * while nobody could have decided otherwise. Else the module hears that nothing was sent, and
   * decides again under all its rules.
   */
  private void sendStartIfValid(long latest) {
    if (ended || cancelled) {
      return;
    }
    if (task.answered() || !engine.acceptsWork() || timers.now() - createdAt > latest) {
      manager.defer(() -> end(Outcome.NEVER_SENT));
    } else {
      sendStart();
    }
  }

  /**
   * The list has changed. Guards against a call that begins at an engine told to drain while its
   * connection came up.
   */
  void engineListChanged() {
    if (!engine.acceptsWork()) {
      withdrawUnsent();
    }
  }

  /**
   * It is not to begin any more. Guards against a query that begins behind its client's back: a
   * call whose connection is still coming up is taken back, also where nothing that runs can be
   * cancelled.
   */
  void withdrawUnsent() {
    if (!ended
        && !cancelled
        && !mayHaveBeenSent
        && (connection == null || !connection.connected())) {
      if (connection != null) {
        connection.abort();
      }
      clearRequest();
      manager.defer(() -> end(Outcome.NEVER_SENT));
    }
  }

  /**
   * Its time is up. Guards against a key whose next task is sent beside this one: the client is
   * answered at once, but the forward stays out until it is given up for sure, as the call for that
   * may not be taken up.
   */
  private void deadlinePassed() {
    if (!ended && timers.now() >= task.deadline) {
      manager.taskTimedOut(task);
    }
    cancelAtEngine(Outcome.TIME_OUT);
  }

  /**
   * Gives it up at its engine: its end comes once the call for that has gone out whole. Guards
   * against a second forward beside this one: where the call cannot leave, as on a machine that
   * vanished, the forward stays out until its engine must have dropped it for not being asked.
   */
  void cancel() {
    cancelAtEngine(Outcome.CANCELLED);
  }

  /** Its connections broke and it was not found again. */
  private void cancelAsLost() {
    cancelAtEngine(Outcome.RESET);
  }

  /** From now on it is only to end; how it ended is said once that is sure. */
  private void cancelAtEngine(Outcome outcome) {
    if (!ended && !cancelled) {
      cancelled = true;
      abortRequest();
      AttemptCancellation.Attempt attempt =
          new AttemptCancellation.Attempt(
              path,
              lastPolledAt,
              deadline,
              knownToEngine,
              responseOverdue || everUnanswered,
              task.ordered,
              outcome == Outcome.RESET && (responseOverdue || everUnanswered));
      new AttemptCancellation(engine, timers, attempt, () -> end(outcome)).start();
    }
  }

  private void abortRequest() {
    if (connection != null) {
      lastPolledAt = connection.connected() ? connection.requestStartedAt() : lastPolledAt;
      connection.abort();
    }
    clearRequest();
  }

  void sendPriority(int priority) {
    if (!ended && !cancelled) {
      engine.sendInBackground(
          "PUT",
          path,
          Integer.toString(priority).getBytes(StandardCharsets.US_ASCII),
          EngineConnections.ANY_TIME,
          gone -> {});
    }
  }

  private void end(Outcome outcome) {
    if (ended) {
      return;
    }
    ended = true;
    timer.cancel();
    clearRequest();
    manager.forwardEnded(
        this,
        outcome,
        Math.round(workMs * 1e6),
        peakMb,
        report,
        outcome == Outcome.OK ? pages : null);
  }
}

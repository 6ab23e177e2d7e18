package tansytrack.state;

import java.nio.charset.StandardCharsets;
import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;
import tansytrack.wire.HttpCodec;
import tansytrack.wire.HttpConnection;
import tansytrack.wire.HttpRequest;
import tansytrack.wire.ProtocolException;

/**
 * One forward: the request that starts the query, the polls after it, and the pages of its result.
 * All pages are collected before the first row goes to the client: if the engine failed in between,
 * the missing pages could not be delivered, and the rows already sent could not be withdrawn.
 */
final class OpenForward implements HttpConnection.ResponseHandler {

  static final int COLUMNS = 3;

  private static final long MAX_LONG_POLL_NANOS = AttemptCancellation.MAX_LONG_POLL_NANOS;
  private static final long TRANSIT_MARGIN_NANOS = AttemptCancellation.TRANSIT_MARGIN_NANOS;

  // A request that is not answered within this time counts as lost.
  private static final long RESPONSE_TIMEOUT_NANOS = MAX_LONG_POLL_NANOS + 2 * TRANSIT_MARGIN_NANOS;

  // The start request is retried only within this time after the decision to forward.
  private static final long MAX_START_DELAY_NANOS = 50_000_000L;

  final OpenTask task;
  final int index;
  final EngineConnections engine;
  final long createdAt;
  private final Manager manager;
  private final Timers timers;
  private final String path;
  private final ResultPages pages = new ResultPages(COLUMNS);
  private final RequestFailures failures;
  private Timers.Timer timer;
  // The connection of the open request, null if there is none.
  private HttpConnection connection;
  // The connection that is kept for the request which confirms the last page, null if none.
  private HttpConnection retained;
  // Whether the engine has ever confirmed that it has the query.
  private boolean knownToEngine;
  // Whether any byte of the start request may have been sent.
  private boolean mayHaveBeenSent;
  private Timers.Timer requestTimer;
  private boolean cancelled;
  private boolean ended;
  private long requestedAt;
  // The latest time at which a request may have reached the engine.
  private long lastPolledAt;
  // The path suffix of the last poll; null if the last request was the start request.
  private String openPollPath;
  private long deadline;
  private LoadReport report;

  OpenForward(Manager manager, Timers timers, OpenTask task, int index, EngineConnections engine) {
    this.manager = manager;
    this.timers = timers;
    this.task = task;
    this.index = index;
    this.engine = engine;
    failures = new RequestFailures(engine);
    createdAt = timers.now();
    lastPolledAt = createdAt;
    path = "/o/" + task.id;
  }

  /** Returns the total size of the pages received so far. */
  int resultBytes() {
    return pages.bytes();
  }

  /** Sets the time by which the forward must end. */
  void setDeadline(long time) {
    deadline = time;
    timer = timers.schedule(deadline, this::deadlinePassed);
  }

  /**
   * Sends the start request unless the forward has been cancelled in the meantime. The end of the
   * forward is reported later, never within this method.
   */
  void start() {
    sendStartIfValid(Long.MAX_VALUE);
  }

  private void sendStart() {
    openPollPath = null;
    requestMade(
        engine.send(
            HttpRequest.post(
                "/o", () -> task.startHeaders(deadline - timers.now()), task.statement),
            this));
  }

  private void poll(String pagePath) {
    engine.whenConnectionAvailable(
        () -> {
          if (!ended && !cancelled) {
            openPollPath = pagePath;
            requestMade(engine.send(HttpRequest.get(path + pagePath), this));
          }
        });
  }

  private void pollAfterReuseDelay(String pagePath) {
    long delay = engine.reuseDelay();
    if (delay == 0) {
      poll(pagePath);
    } else {
      requestTimer = timers.schedule(timers.now() + delay, () -> poll(pagePath));
    }
  }

  private void requestMade(HttpConnection requestConnection) {
    connection = requestConnection;
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
  public void responseReceived(HttpCodec.Response response) throws ProtocolException {
    int status = response.status();
    if (status != 200 && pages.awaitsSecondCopy()) {
      // Any response on the same connection confirms the last page, also of a forgetful engine.
      pages.confirmLast();
      engine.recordResponse();
      end(Outcome.OK);
      return;
    }
    if (status != 200 && status != 202 && status != 500 && status != 503 && status != 504) {
      throw new ProtocolException("status " + status);
    }
    boolean notRun = "1".equals(response.header("x-not-run"));
    LoadReport newReport = manager.parseLoadReport(response);
    int confirmedBefore = pages.confirmedCount();
    if (status == 200 && pages.reserve(response, manager.memory(), this::memoryGranted)) {
      pages.add(response, connection.responseDelimited());
    }
    recordStartDelay();
    HttpConnection answered = connection;
    clearRequest();
    engine.recordResponse();
    report = newReport == null ? report : newReport;
    mayHaveBeenSent = true;
    recordConfirmation(status);
    lastPolledAt = timers.now();
    boolean afterFailure = failures.any();
    boolean wasOverdue = failures.responseOverdue();
    failures.recordResponse(status != 200 || pages.confirmedCount() > confirmedBefore);
    if (pages.complete()) {
      end(Outcome.OK);
    } else if (pages.waitsForMemory()) {
      manager.counters().increment("results.waited_for_memory");
    } else if (status == 200) {
      requestNextPage(answered, response);
    } else if (status == 202) {
      // Deferred, as the connection becomes idle only after this method returns.
      manager.defer(() -> pollAfterReuseDelay("/" + pages.nextPage()));
    } else if (afterFailure && openPollPath != null && (wasOverdue || !notRun)) {
      // The engine does not know the query after a failed request. This must not end as an error:
      // that would mean that the query has ended, and the next one of its key could start too
      // early.
      cancelAtEngine(Outcome.RESET);
    } else if (status == 503) {
      end(notRun ? Outcome.FULL : Outcome.ERROR);
    } else {
      end(status == 504 && notRun ? Outcome.NEVER_SENT : Outcome.ERROR);
    }
  }

  private void recordConfirmation(int status) {
    boolean confirmed = status == 200 || status == 202;
    if (confirmed && !knownToEngine) {
      manager.forwardReceived(this, status == 202 ? longPollStart() : timers.now());
    }
    knownToEngine |= confirmed;
  }

  private void memoryGranted() {
    pollAfterReuseDelay("/0");
  }

  /** Counts start requests that left late because their connection was established late. */
  private void recordStartDelay() {
    long delay = connection.requestStartedAt() - createdAt;
    if (!mayHaveBeenSent && delay > MAX_START_DELAY_NANOS) {
      manager.counters().increment("starts.late");
    }
  }

  /** The engine answers 202 a long poll after the request has arrived, or later. */
  private long longPollStart() {
    return Math.max(requestedAt, timers.now() - MAX_LONG_POLL_NANOS);
  }

  private void clearRequest() {
    connection = null;
    if (requestTimer != null) {
      requestTimer.cancel();
    }
  }

  /**
   * Requests the next page, or the last one again, on the connection that brought the one before:
   * only there does the response show that nothing was left of that page.
   */
  private void requestNextPage(HttpConnection answered, HttpCodec.Response response) {
    if (answered.responseDelimited() || !response.keepAlive()) {
      manager.defer(() -> pollAfterReuseDelay("/" + pages.nextPage()));
      return;
    }
    answered.retain();
    retained = answered;
    manager.defer(this::pollOnRetained);
  }

  private void pollOnRetained() {
    HttpConnection kept = retained;
    retained = null;
    if (ended || cancelled) {
      kept.releaseToPool();
    } else if (kept.open()) {
      openPollPath = "/" + pages.nextPage();
      kept.send(HttpRequest.get(path + openPollPath), this);
      requestMade(kept);
    } else {
      requestFailed(HttpConnection.Failure.BROKEN);
    }
  }

  /**
   * Handles a request without a complete response in time: the connection is closed, and the query,
   * which is not bound to a connection, is polled on another one.
   */
  private void requestTimedOut() {
    if (!ended && connection != null) {
      manager.counters().increment("calls.overdue");
      HttpConnection unanswered = connection;
      failures.recordUnanswered();
      // On an established connection the request may have reached the engine.
      boolean wasConnected = unanswered.connected();
      if (wasConnected) {
        engine.recordUnanswered(unanswered);
      }
      unanswered.abort();
      requestFailed(wasConnected ? HttpConnection.Failure.BROKEN : HttpConnection.Failure.LATE);
    }
  }

  /**
   * Handles a request without a usable response. Malformed responses, resets and timeouts fail a
   * request and not the task: the query is polled again while the engine may still have it. A
   * refused connection proves only that this request was not processed: an engine that drains or is
   * at its connection limit refuses new connections and continues to work.
   */
  @Override
  public void requestFailed(HttpConnection.Failure failure) {
    clearRequest();
    if (ended || cancelled) {
      return;
    }
    pages.dropUnconfirmed();
    manager.counters().increment("calls." + failure);
    if (failure == HttpConnection.Failure.BROKEN) {
      mayHaveBeenSent = true;
      lastPolledAt = timers.now();
    }
    boolean tooLate =
        failure == HttpConnection.Failure.LATE
            || timers.now() - requestedAt > MAX_LONG_POLL_NANOS + TRANSIT_MARGIN_NANOS;
    failures.record(failure, tooLate && mayHaveBeenSent);
    if (!mayHaveBeenSent) {
      startFailed(failure);
    } else if (failures.processDied() || timers.now() > unpolledEndTime()) {
      end(Outcome.RESET);
    } else if (failures.tooMany() && !failures.responseOverdue() && !failures.refused()) {
      cancelAsLost();
    } else {
      String pagePath = "/" + pages.nextPage();
      long retryDelay = failures.retryDelay(requestedAt + RESPONSE_TIMEOUT_NANOS - timers.now());
      requestTimer = timers.schedule(timers.now() + retryDelay, () -> poll(pagePath));
    }
  }

  private void startFailed(HttpConnection.Failure failure) {
    if (failure == HttpConnection.Failure.UNSENT && !failures.tooMany()) {
      manager.defer(() -> sendStartIfValid(MAX_START_DELAY_NANOS));
    } else {
      end(Outcome.UNREACHED); // no byte of the request was sent, so the query did not run
    }
  }

  private long unpolledEndTime() {
    return AttemptCancellation.unpolledEndTime(engine, lastPolledAt, deadline, task.ordered);
  }

  /**
   * Sends the start request if the decision to forward still holds: the task is unanswered, the
   * engine accepts work, and the decision is not older than the given time. Otherwise the query
   * could start too late; the forward ends as not sent, and the module decides again under all its
   * rules.
   */
  private void sendStartIfValid(long maxDelay) {
    if (ended || cancelled) {
      return;
    }
    if (task.answered() || !engine.acceptsWork() || timers.now() - createdAt > maxDelay) {
      manager.defer(() -> end(Outcome.NEVER_SENT));
    } else {
      sendStart();
    }
  }

  /**
   * Handles a change of the engine list: a query must not start at an engine that was set to drain
   * while the connection was being established.
   */
  void engineListChanged() {
    if (!engine.acceptsWork()) {
      withdrawUnsent();
    }
  }

  /**
   * Withdraws the start request if its connection has not been established, so that the query does
   * not start after its task was answered. This also applies where running queries cannot be
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
   * Gives up a start request that has not been answered, so that the query does not start after its
   * task was answered. The engine may have received it all the same, so the query is polled. This
   * matters where queries cannot be cancelled; elsewhere the forward is cancelled by now.
   */
  void abandonUnansweredStart() {
    if (!ended && !cancelled && !mayHaveBeenSent && connection != null) {
      manager.counters().increment("starts.abandoned");
      failures.recordUnanswered();
      connection.abort();
      requestFailed(HttpConnection.Failure.BROKEN);
    }
  }

  /**
   * Handles the deadline of the forward. The client is answered at once, but the forward ends only
   * when its query has certainly ended, as the cancellation may be delayed: until then the next
   * task of its key must not be sent.
   */
  private void deadlinePassed() {
    if (!ended && timers.now() >= task.deadline) {
      manager.taskTimedOut(task);
    }
    cancelAtEngine(Outcome.TIME_OUT);
  }

  /**
   * Cancels the query at its engine. The forward ends once that is confirmed. If the engine cannot
   * be reached, as when its machine has vanished, the forward ends only when the engine must have
   * dropped the query for not being polled, so that no second forward runs next to this one.
   */
  void cancel() {
    cancelAtEngine(Outcome.CANCELLED);
  }

  /** Gives up a forward whose requests failed repeatedly. */
  private void cancelAsLost() {
    cancelAtEngine(Outcome.RESET);
  }

  /** Cancels the query; the forward ends with the given outcome once the query has ended. */
  private void cancelAtEngine(Outcome outcome) {
    if (!ended && !cancelled) {
      cancelled = true;
      pages.release();
      abortRequest();
      AttemptCancellation.Attempt attempt =
          new AttemptCancellation.Attempt(
              path,
              lastPolledAt,
              deadline,
              knownToEngine,
              failures.responseOverdue() || failures.everUnanswered(),
              task.ordered,
              outcome == Outcome.RESET
                  && (failures.responseOverdue() || failures.everUnanswered()));
      new AttemptCancellation(engine, timers, attempt, () -> end(outcome)).start();
    }
  }

  private void abortRequest() {
    if (connection != null) {
      lastPolledAt = connection.connected() ? timers.now() : lastPolledAt;
      connection.abort();
    }
    clearRequest();
  }

  /** Sends a changed priority to the engine. */
  void sendPriority(int priority) {
    if (!ended && !cancelled) {
      engine.sendInBackground(
          HttpRequest.put(path, Integer.toString(priority).getBytes(StandardCharsets.US_ASCII)),
          EngineConnections.ANY_TIME,
          reached -> {});
    }
  }

  private void end(Outcome outcome) {
    if (ended) {
      return;
    }
    ended = true;
    timer.cancel();
    clearRequest();
    if (outcome != Outcome.OK) {
      pages.release();
    }
    manager.forwardEnded(
        this,
        outcome,
        Math.round(pages.workMs() * 1e6),
        pages.peakMb(),
        report,
        outcome == Outcome.OK ? pages : null);
  }
}

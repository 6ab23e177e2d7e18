package tansytrack.state;

import tansytrack.wire.HttpRequest;

/**
 * Cancels an attempt at its engine and reports, once, that the attempt has certainly ended there.
 * That is known from the engine's response to {@code DELETE}, which is retried until one succeeds,
 * or from the time that has passed if the engine cannot be reached.
 *
 * <p>This prevents a second attempt, or the next query of the same key, from running next to one
 * that still runs. The cost: the queries of an engine that is lost for good count as running for
 * the time that {@link #endsAt} gives.
 */
final class AttemptCancellation {

  private static final long NANOS_PER_MS = 1_000_000L;

  /** The longest time that an engine holds a long poll open. */
  static final long MAX_LONG_POLL_NANOS = 250 * NANOS_PER_MS;

  /** Allows for the network round trip and for clock differences. */
  static final long TRANSIT_MARGIN_NANOS = 150 * NANOS_PER_MS;

  // An engine drops a query that was not polled for 2 s. It checks for such queries every 2 s, so
  // a query may run for up to 4 s after its last poll, which may itself have been held open.
  private static final long UNPOLLED_EXPIRY_NANOS = 2000 * NANOS_PER_MS;
  private static final long UNPOLLED_CHECK_INTERVAL_NANOS = 2000 * NANOS_PER_MS;

  /** The time after the last poll by which a reachable engine has dropped the query. */
  static final long MAX_UNPOLLED_LIFETIME_NANOS =
      UNPOLLED_EXPIRY_NANOS
          + UNPOLLED_CHECK_INTERVAL_NANOS
          + MAX_LONG_POLL_NANOS
          + TRANSIT_MARGIN_NANOS;

  // Far longer than it takes to establish a connection and send a request on it.
  private static final long SECOND_DELETE_DELAY_NANOS = 100 * NANOS_PER_MS;
  private static final long INITIAL_RETRY_DELAY_NANOS = 50 * NANOS_PER_MS;
  private static final long MAX_RETRY_DELAY_NANOS = 400 * NANOS_PER_MS;

  /**
   * What the manager knows about the attempt.
   *
   * @param path the path of its query at the engine
   * @param lastPolledAt the latest time at which a poll, or the start request, may have reached the
   *     engine: when it was answered or given up
   * @param deadline the time by which the query must end
   * @param knownToEngine whether the engine has ever confirmed that it has the query
   * @param hadUnansweredRequest whether a request for the attempt went unanswered; the cancellation
   *     then uses only connections that have delivered a response since
   * @param ordered whether the next query of its key must not start before this one has ended
   * @param startMayArriveLate whether the engine may process the start request as late as it would
   *     still keep the query
   */
  record Attempt(
      String path,
      long lastPolledAt,
      long deadline,
      boolean knownToEngine,
      boolean hadUnansweredRequest,
      boolean ordered,
      boolean startMayArriveLate) {}

  private final EngineConnections engine;
  private final Timers timers;
  private final Attempt attempt;
  private final Runnable onEnd;
  private final long answeredSince;
  private long retryDelay = INITIAL_RETRY_DELAY_NANOS;
  // Whether the engine has responded to an earlier DELETE.
  private boolean confirmed;
  // Whether a DELETE is in progress.
  private boolean deleteInProgress;
  private boolean finished;

  AttemptCancellation(EngineConnections engine, Timers timers, Attempt attempt, Runnable onEnd) {
    this.engine = engine;
    this.timers = timers;
    this.attempt = attempt;
    this.onEnd = onEnd;
    answeredSince = attempt.hadUnansweredRequest() ? timers.now() : EngineConnections.ANY_TIME;
  }

  /**
   * Returns the time by which a query that is no longer polled has certainly ended. A stalled
   * engine drops no query while it is stalled, so there only the query's own deadline counts. An
   * engine that accepts connections and answers nothing is known to be stalled. One that accepts no
   * connections either cannot be told from a machine that is disconnected from the network, so for
   * an ordered query the engine counts as stalled until the engine list says that it is gone.
   */
  static long unpolledEndTime(
      EngineConnections engine, long lastPolledAt, long deadline, boolean ordered) {
    boolean mayBeStalled = (ordered || engine.unresponsive()) && !engine.retired();
    return (mayBeStalled ? Math.max(lastPolledAt, deadline) : lastPolledAt)
        + MAX_UNPOLLED_LIFETIME_NANOS;
  }

  void start() {
    expireLater();
    delete();
  }

  private void delete() {
    if (!finished) {
      deleteInProgress = true;
      engine.sendInBackground(HttpRequest.delete(attempt.path()), answeredSince, this::deleteDone);
    }
  }

  /**
   * Handles the result of a DELETE. A first successful DELETE proves nothing if the engine never
   * confirmed that it has the query: the DELETE may have overtaken the start request, which uses
   * another connection.
   */
  private void deleteDone(boolean reached) {
    deleteInProgress = false;
    if (!reached && timers.now() >= endsAt()) {
      end();
    } else if (!reached) {
      timers.schedule(timers.now() + retryDelay, this::delete);
      retryDelay = Math.min(MAX_RETRY_DELAY_NANOS, 2 * retryDelay);
    } else if (attempt.knownToEngine() || (confirmed && !attempt.startMayArriveLate())) {
      end();
    } else if (!confirmed) {
      confirmed = true;
      timers.schedule(timers.now() + SECOND_DELETE_DELAY_NANOS, this::delete);
    } else {
      // The expiry timer may have fired while this DELETE was in progress.
      expireLater();
    }
  }

  private void expireLater() {
    timers.schedule(endsAt(), this::expire);
  }

  /**
   * Ends the cancellation by time, which counts only for an unreachable engine, so not while a
   * DELETE is in progress on an established connection.
   */
  private void expire() {
    if (timers.now() < endsAt()) {
      // The engine has turned out in the meantime to be possibly stalled.
      expireLater();
    } else if (!deleteInProgress || !engine.connected()) {
      end();
    }
  }

  private void end() {
    if (!finished) {
      finished = true;
      onEnd.run();
    }
  }

  private long endsAt() {
    return unpolledEndTime(engine, attempt.lastPolledAt(), attempt.deadline(), attempt.ordered());
  }
}

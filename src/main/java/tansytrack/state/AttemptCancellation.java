package tansytrack.state;

/**
 * Cancels an attempt at its engine and says, once, when it is sure to have ended there: by the
 * engine's word on {@code DELETE}, which is repeated until one comes through, or by time where the
 * engine cannot be reached.
 *
 * <p>Guards against a second attempt, or the next query of the same key, beside one that still
 * runs. It does harm where an engine is lost for good: its queries count as running for as long as
 * {@link #endsUnasked} says.
 */
final class AttemptCancellation {

  private static final long NANOS_PER_MS = 1_000_000L;

  /** How long an engine holds a question for news open at most. */
  static final long MAX_LONG_POLL_NANOS = 250 * NANOS_PER_MS;

  /** For the way there and back, and for clocks. */
  static final long TRANSIT_MARGIN_NANOS = 150 * NANOS_PER_MS;

  // An engine drops a query that was not asked for in 2 s. It looks for such every 2 s, so a query
  // may run on for up to 4 s behind the last question, which may have been held open.
  private static final long UNPOLLED_EXPIRY_NANOS = 2000 * NANOS_PER_MS;
  private static final long UNPOLLED_CHECK_INTERVAL_NANOS = 2000 * NANOS_PER_MS;

  /** Behind the last question a reachable engine has dropped the query. */
  static final long MAX_UNPOLLED_LIFETIME_NANOS =
      UNPOLLED_EXPIRY_NANOS
          + UNPOLLED_CHECK_INTERVAL_NANOS
          + MAX_LONG_POLL_NANOS
          + TRANSIT_MARGIN_NANOS;

  // Far more than a connection takes to come up and carry a call.
  private static final long SECOND_DELETE_DELAY_NANOS = 100 * NANOS_PER_MS;
  private static final long INITIAL_RETRY_DELAY_NANOS = 50 * NANOS_PER_MS;
  private static final long MAX_RETRY_DELAY_NANOS = 400 * NANOS_PER_MS;

  /**
   * The attempt as far as its manager knows it.
   *
   * @param path its query at the engine
   * @param lastPolledAt the last question, or the start, that may have come to the engine
   * @param deadline until when it may take
   * @param knownToEngine the engine ever said that it has the query
   * @param hadUnansweredRequest a call for it went without an answer; only connections that have
   *     answered since may carry the cancellation
   * @param ordered the next query of its key must not begin beside it
   * @param startMayArriveLate the call that starts it may be taken up as late as engines keep a
   *     query
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
  private boolean confirmed; // the engine has taken a DELETE before
  private boolean deleteInProgress; // a DELETE is on its way
  private boolean finished;

  AttemptCancellation(EngineConnections engine, Timers timers, Attempt attempt, Runnable ended) {
    this.engine = engine;
    this.timers = timers;
    this.attempt = attempt;
    this.onEnd = ended;
    answeredSince = attempt.hadUnansweredRequest() ? timers.now() : EngineConnections.ANY_TIME;
  }

  /**
   * When a query that is not asked for any more has ended for sure. An engine that stands still
   * drops nothing meanwhile: there only the query's own time counts. One that accepts connections
   * and answers nothing shows that; one that takes no new connections either looks like a machine
   * that is cut off, so a query that keeps an order counts as if it stood still until the list says
   * that the engine has gone.
   */
  static long unpolledEndTime(
      EngineConnections engine, long askedAt, long deadline, boolean ordered) {
    boolean mayStandStill = (ordered || engine.unresponsive()) && !engine.retired();
    return (mayStandStill ? Math.max(askedAt, deadline) : askedAt) + MAX_UNPOLLED_LIFETIME_NANOS;
  }

  void start() {
    expireLater();
    delete();
  }

  private void delete() {
    if (!finished) {
      deleteInProgress = true;
      engine.sendInBackground(
          "DELETE", attempt.path(), EngineConnections.EMPTY_BODY, answeredSince, this::deleteDone);
    }
  }

  /**
   * A first DELETE proves nothing where the engine never said that it has the query: the call that
   * starts it may be overtaken, as they go on different connections.
   */
  private void deleteDone(boolean taken) {
    deleteInProgress = false;
    if (!taken && timers.now() >= endsAt()) {
      end();
    } else if (!taken) {
      timers.schedule(timers.now() + retryDelay, this::delete);
      retryDelay = Math.min(MAX_RETRY_DELAY_NANOS, 2 * retryDelay);
    } else if (attempt.knownToEngine() || (confirmed && !attempt.startMayArriveLate())) {
      end();
    } else if (!confirmed) {
      confirmed = true;
      timers.schedule(timers.now() + SECOND_DELETE_DELAY_NANOS, this::delete);
    } else {
      expireLater(); // the time may have passed while this DELETE was on its way
    }
  }

  private void expireLater() {
    timers.schedule(endsAt(), this::expire);
  }

  /** Time counts where nothing can be reached, so not while a DELETE waits on a connection. */
  private void expire() {
    if (timers.now() < endsAt()) {
      expireLater(); // the engine has shown meanwhile that it may stand still
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

package tansytrack.state;

/**
 * Cancels an attempt at its engine and reports, once, that the attempt has certainly ended there.
 * That is known from the engine's response to {@code DELETE}, which is retried until one succeeds,
 * or from the time that has passed if the engine cannot be reached.
 *
 * <p>This prevents a second attempt, or the next query of the same key, from running next to one
 * that still runs. The cost: the queries of an engine that is lost for good count as running for
 * the time that {@link #endsUnasked} gives.
 */
final class AttemptCancellation {

  private static final long MS = 1_000_000L;

  /** The longest time that an engine holds a long poll open. */
  static final long HELD_OPEN = 250 * MS;

  /** Allows for the network round trip and for clock differences. */
  static final long MARGIN = 150 * MS;

  // An engine drops a query that was not polled for 2 s. It checks for such queries every 2 s, so
  // a query may run for up to 4 s after its last poll, which may itself have been held open.
  private static final long UNASKED = 2000 * MS;
  private static final long UNASKED_CHECK_INTERVAL = 2000 * MS;

  /** The time after the last poll by which a reachable engine has dropped the query. */
  static final long DROPPED_UNASKED = UNASKED + UNASKED_CHECK_INTERVAL + HELD_OPEN + MARGIN;

  // Far longer than it takes to establish a connection and send a request on it.
  private static final long OVERTAKEN = 100 * MS;
  private static final long FIRST_PAUSE = 50 * MS;
  private static final long LONGEST_PAUSE = 400 * MS;

  /**
   * What the manager knows about the attempt.
   *
   * @param path the path of its query at the engine
   * @param askedAt when the last poll, or the start request, that may have reached the engine was
   *     sent
   * @param deadline the time by which the query must end
   * @param known whether the engine has ever confirmed that it has the query
   * @param silent whether a request for the attempt went unanswered; the cancellation then uses only
   *     connections that have delivered a response since
   * @param ordered whether the next query of its key must not start before this one has ended
   * @param startMayComeLate whether the engine may process the start request as late as it would
   *     still keep the query
   */
  record Attempt(
      String path,
      long askedAt,
      long deadline,
      boolean known,
      boolean silent,
      boolean ordered,
      boolean startMayComeLate) {}

  private final EngineLines engine;
  private final Timers timers;
  private final Attempt attempt;
  private final Runnable ended;
  private final long answeredSince;
  private long pause = FIRST_PAUSE;
  // Whether the engine has responded to an earlier DELETE.
  private boolean confirmed;
  // Whether a DELETE is in progress.
  private boolean asking;
  private boolean over;

  AttemptCancellation(EngineLines engine, Timers timers, Attempt attempt, Runnable ended) {
    this.engine = engine;
    this.timers = timers;
    this.attempt = attempt;
    this.ended = ended;
    answeredSince = attempt.silent() ? timers.now() : EngineLines.ANY_TIME;
  }

  /**
   * Returns the time by which a query that is no longer polled has certainly ended. A stalled engine
   * drops no query while it is stalled, so there only the query's own deadline counts. An engine
   * that accepts connections and answers nothing is known to be stalled. One that accepts no
   * connections either cannot be told from a machine that is disconnected from the network, so for
   * an ordered query the engine counts as stalled until the engine list says that it is gone.
   */
  static long endsUnasked(EngineLines engine, long askedAt, long deadline, boolean ordered) {
    boolean mayStandStill = (ordered || engine.unresponsive()) && !engine.retired();
    return (mayStandStill ? Math.max(askedAt, deadline) : askedAt) + DROPPED_UNASKED;
  }

  void start() {
    expireLater();
    delete();
  }

  private void delete() {
    if (!over) {
      asking = true;
      engine.aside("DELETE", attempt.path(), EngineLines.NOTHING, answeredSince, this::deleted);
    }
  }

  /**
   * Handles the result of a DELETE. A first successful DELETE proves nothing if the engine never
   * confirmed that it has the query: the DELETE may have overtaken the start request, which uses
   * another connection.
   */
  private void deleted(boolean taken) {
    asking = false;
    if (!taken && timers.now() >= endsAt()) {
      end();
    } else if (!taken) {
      timers.at(timers.now() + pause, this::delete);
      pause = Math.min(LONGEST_PAUSE, 2 * pause);
    } else if (attempt.known() || (confirmed && !attempt.startMayComeLate())) {
      end();
    } else if (!confirmed) {
      confirmed = true;
      timers.at(timers.now() + OVERTAKEN, this::delete);
    } else {
      // The expiry timer may have fired while this DELETE was in progress.
      expireLater();
    }
  }

  private void expireLater() {
    timers.at(endsAt(), this::expire);
  }

  /**
   * Ends the cancellation by time, which counts only for an unreachable engine, so not while a DELETE
   * is in progress on an established connection.
   */
  private void expire() {
    if (timers.now() < endsAt()) {
      // The engine has turned out in the meantime to be possibly stalled.
      expireLater();
    } else if (!asking || !engine.connected()) {
      end();
    }
  }

  private void end() {
    if (!over) {
      over = true;
      ended.run();
    }
  }

  private long endsAt() {
    return endsUnasked(engine, attempt.askedAt(), attempt.deadline(), attempt.ordered());
  }
}

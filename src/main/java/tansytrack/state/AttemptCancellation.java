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

  private static final long MS = 1_000_000L;

  /** How long an engine holds a question for news open at most. */
  static final long HELD_OPEN = 250 * MS;

  /** For the way there and back, and for clocks. */
  static final long MARGIN = 150 * MS;

  // An engine drops a query that was not asked for in 2 s. It looks for such every 2 s, so a query
  // may run on for up to 4 s behind the last question, which may have been held open.
  private static final long UNASKED = 2000 * MS;
  private static final long UNASKED_CHECK_INTERVAL = 2000 * MS;

  /** Behind the last question a reachable engine has dropped the query. */
  static final long DROPPED_UNASKED = UNASKED + UNASKED_CHECK_INTERVAL + HELD_OPEN + MARGIN;

  // Far more than a connection takes to come up and carry a call.
  private static final long OVERTAKEN = 100 * MS;
  private static final long FIRST_PAUSE = 50 * MS;
  private static final long LONGEST_PAUSE = 400 * MS;

  /**
   * The attempt as far as its manager knows it.
   *
   * @param path its query at the engine
   * @param askedAt the last question, or the start, that may have come to the engine
   * @param deadline until when it may take
   * @param known the engine ever said that it has the query
   * @param silent a call for it went without an answer; only connections that have answered since
   *     may carry the cancellation
   * @param ordered the next query of its key must not begin beside it
   * @param startMayComeLate the call that starts it may be taken up as late as engines keep a query
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
  private boolean confirmed; // the engine has taken a DELETE before
  private boolean asking; // a DELETE is on its way
  private boolean over;

  AttemptCancellation(EngineLines engine, Timers timers, Attempt attempt, Runnable ended) {
    this.engine = engine;
    this.timers = timers;
    this.attempt = attempt;
    this.ended = ended;
    answeredSince = attempt.silent() ? timers.now() : EngineLines.ANY_TIME;
  }

  /**
   * When a query that is not asked for any more has ended for sure. An engine that stands still
   * drops nothing meanwhile: there only the query's own time counts. One that accepts connections
   * and answers nothing shows that; one that takes no new connections either looks like a machine
   * that is cut off, so a query that keeps an order counts as if it stood still until the list says
   * that the engine has gone.
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
   * A first DELETE proves nothing where the engine never said that it has the query: the call that
   * starts it may be overtaken, as they go on different connections.
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
      expireLater(); // the time may have passed while this DELETE was on its way
    }
  }

  private void expireLater() {
    timers.at(endsAt(), this::expire);
  }

  /** Time counts where nothing can be reached, so not while a DELETE waits on a connection. */
  private void expire() {
    if (timers.now() < endsAt()) {
      expireLater(); // the engine has shown meanwhile that it may stand still
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

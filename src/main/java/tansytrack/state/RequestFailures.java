package tansytrack.state;

import tansytrack.wire.HttpConnection;

/** What the failed requests of one forward tell of its engine, since its last response. */
final class RequestFailures {

  // Consecutive failed requests. If one in four fails, 8 in a row occur once in 65,000 times.
  private static final int MAX_CONSECUTIVE_FAILURES = 8;

  // Delay before a retry, multiplied by the number of retries before it.
  private static final long RETRY_DELAY_STEP_NANOS = 10_000_000L;

  // The same for a retry after refused connections, up to a maximum number of steps.
  private static final long REFUSED_RETRY_DELAY_STEP_NANOS = 50_000_000L;
  private static final int MAX_REFUSED_DELAY_STEPS = 5;

  // Consecutive refused connections after a reset that show that the engine's process has died.
  private static final int MIN_REFUSALS_OF_DEAD_PROCESS = 3;

  private final EngineConnections engine;
  // Failed requests since the last complete response or, of a result, the last confirmed page.
  private int consecutiveFailures;
  // Consecutive refused connections at the end of those.
  private int consecutiveRefusals;
  // Whether an established connection broke during a request since the last complete response.
  private boolean connectionBroke;
  // Whether a response has been overdue since the last complete one.
  private boolean responseOverdue;
  // Whether any request has ever gone unanswered; the engine may still process it.
  private boolean everUnanswered;

  RequestFailures(EngineConnections engine) {
    this.engine = engine;
  }

  /** Whether a response has been overdue since the last complete one. */
  boolean responseOverdue() {
    return responseOverdue;
  }

  /** Whether any request has ever gone unanswered; the engine may still process it. */
  boolean everUnanswered() {
    return everUnanswered;
  }

  /** Whether a request has failed since the last response. */
  boolean any() {
    return consecutiveFailures > 0 || responseOverdue;
  }

  /** Whether so many requests have failed that the forward is given up. */
  boolean tooMany() {
    return consecutiveFailures >= MAX_CONSECUTIVE_FAILURES;
  }

  /** Whether the last request failed as its connection was refused. */
  boolean refused() {
    return consecutiveRefusals > 0;
  }

  /** Records that a request was given up without an answer. */
  void recordUnanswered() {
    everUnanswered = true;
  }

  /**
   * Records a failed request.
   *
   * @param overdue whether its response did not come in time
   */
  void record(HttpConnection.Failure failure, boolean overdue) {
    consecutiveFailures++;
    consecutiveRefusals = failure == HttpConnection.Failure.REFUSED ? consecutiveRefusals + 1 : 0;
    connectionBroke |= failure == HttpConnection.Failure.BROKEN;
    responseOverdue |= overdue;
  }

  /**
   * Records a complete response. A page that arrives again and again, and is never confirmed, is no
   * progress.
   */
  void recordResponse(boolean progress) {
    consecutiveFailures = progress ? 0 : consecutiveFailures;
    consecutiveRefusals = 0;
    connectionBroke = false;
    responseOverdue = false;
  }

  /**
   * Whether the engine's process has died. The connections of a dead process are reset and new ones
   * are refused. Each sign alone has other causes, so all are required: a request that failed
   * without a timeout, no established connection, new connections refused repeatedly, and an engine
   * that is not draining, as a draining one refuses connections too.
   */
  boolean processDied() {
    return connectionBroke
        && consecutiveRefusals >= MIN_REFUSALS_OF_DEAD_PROCESS
        && !responseOverdue
        && !everUnanswered
        && engine.acceptsWork()
        && !engine.connected();
  }

  /**
   * Returns the time until the next request.
   *
   * @param untilResponseTimeout the time until the failed one would have been overdue
   */
  long retryDelay(long untilResponseTimeout) {
    if (responseOverdue) {
      return Math.max(RETRY_DELAY_STEP_NANOS, untilResponseTimeout);
    }
    if (consecutiveRefusals > 0) {
      // If connections are established, the next poll waits for one of them to become idle.
      return engine.connected()
          ? 0
          : Math.min(consecutiveRefusals, MAX_REFUSED_DELAY_STEPS) * REFUSED_RETRY_DELAY_STEP_NANOS;
    }
    return (consecutiveFailures - 1) * RETRY_DELAY_STEP_NANOS;
  }
}

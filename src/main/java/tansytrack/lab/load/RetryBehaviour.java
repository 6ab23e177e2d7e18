package tansytrack.lab.load;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * How a client retries a rejected task.
 *
 * @param timeoutNanos time from the intended sending after which the client gives up
 * @param maxRetries maximum number of retries of a task
 * @param honoursRetryAfter whether the client waits at least for the retry-after time of the
 *     rejection
 * @param firstDelayNanos delay before the first retry, in nanoseconds
 * @param backoffFactor factor between one retry delay and the next
 * @param jitter maximum random deviation of a retry delay, as a share of the delay
 */
public record RetryBehaviour(
    long timeoutNanos,
    int maxRetries,
    boolean honoursRetryAfter,
    long firstDelayNanos,
    double backoffFactor,
    double jitter) {

  private static final String RETRY_AFTER_PREFIX = "after=";

  /**
   * The delay until the next attempt, in nanoseconds; -1: the client gives up. Only rejections are
   * retried (SQLSTATE class 53 and 57P03), as the statement has not run then.
   *
   * @param code SQLSTATE of the answer
   * @param text error text of the answer, which may hold a retry-after time
   * @param attempts number of attempts so far
   * @param elapsedNanos nanoseconds since the intended time of sending
   * @param random source of the jitter
   */
  public long retryDelayNanos(
      String code, String text, int attempts, long elapsedNanos, UniformRandomProvider random) {
    boolean rejected = code.startsWith("53") || code.equals("57P03");
    if (!rejected || attempts > maxRetries) {
      return -1;
    }
    double backoff =
        firstDelayNanos
            * Math.pow(backoffFactor, attempts - 1.0)
            * (1 + jitter * (2 * random.nextDouble() - 1));
    long delay = Math.max((long) backoff, honoursRetryAfter ? retryAfterNanos(text) : 0);
    return elapsedNanos + delay >= timeoutNanos ? -1 : delay;
  }

  /** The retry-after time in the text of a rejection, in nanoseconds; 0: none. */
  static long retryAfterNanos(String text) {
    int from = text.indexOf(RETRY_AFTER_PREFIX);
    long ms = 0;
    for (int i = from + RETRY_AFTER_PREFIX.length();
        from >= 0 && i < text.length() && Character.isDigit(text.charAt(i)) && ms < 1_000_000;
        i++) {
      ms = ms * 10 + text.charAt(i) - '0';
    }
    return ms * 1_000_000;
  }
}

package tansytrack.lab.load;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * What a client does about an answer that it does not want: how often it tries again, whether it
 * heeds the pause that it was told, and for how long it waits in all. Times in nanoseconds.
 */
public record RetryBehaviour(
    long timeoutNanos,
    int maxRetries,
    boolean honoursRetryAfter,
    long firstDelayNanos,
    double backoffFactor,
    double jitter) {

  private static final String RETRY_AFTER_PREFIX = "after=";

  /** When to try again, from now; -1: it gives up. Tried: how often it has sent the task so far. */
  public long retryDelayNanos(
      String code, String text, int tried, long sinceIntended, UniformRandomProvider chance) {
    boolean harmless = code.startsWith("53") || code.equals("57P03");
    if (!harmless || tried > maxRetries) {
      return -1;
    }
    double own =
        firstDelayNanos
            * Math.pow(backoffFactor, tried - 1.0)
            * (1 + jitter * (2 * chance.nextDouble() - 1));
    long pause = Math.max((long) own, honoursRetryAfter ? retryAfterNanos(text) : 0);
    return sinceIntended + pause >= timeoutNanos ? -1 : pause;
  }

  /** The pause that a refusal names; 0: none. */
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

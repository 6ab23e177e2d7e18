package tansytrack.lab.load;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * How a client retries a rejected task.
 *
 * @param patience the client gives up this long after the intended time of sending, in nanoseconds
 * @param mostRetries maximum number of retries of a task
 * @param heeds whether the client waits at least for the retry-after time of the rejection
 * @param firstPause delay before the first retry, in nanoseconds
 * @param grows factor between one retry delay and the next
 * @param jitter maximum random deviation of a retry delay, as a share of the delay
 */
public record Behaviour(
    long patience, int mostRetries, boolean heeds, long firstPause, double grows, double jitter) {

  private static final String TOLD = "after=";

  /**
   * The delay until the next attempt, in nanoseconds; -1: the client gives up. Only rejections are
   * retried (SQLSTATE class 53 and 57P03), as the statement has not run then.
   *
   * @param code SQLSTATE of the answer
   * @param text error text of the answer, which may hold a retry-after time
   * @param tried number of attempts so far
   * @param sinceIntended nanoseconds since the intended time of sending
   * @param chance source of the jitter
   */
  public long pause(
      String code, String text, int tried, long sinceIntended, UniformRandomProvider chance) {
    boolean harmless = code.startsWith("53") || code.equals("57P03");
    if (!harmless || tried > mostRetries) {
      return -1;
    }
    double own =
        firstPause * Math.pow(grows, tried - 1.0) * (1 + jitter * (2 * chance.nextDouble() - 1));
    long pause = Math.max((long) own, heeds ? told(text) : 0);
    return sinceIntended + pause >= patience ? -1 : pause;
  }

  /** The retry-after time in the text of a rejection, in nanoseconds; 0: none. */
  static long told(String text) {
    int from = text.indexOf(TOLD);
    long ms = 0;
    for (int i = from + TOLD.length();
        from >= 0 && i < text.length() && Character.isDigit(text.charAt(i)) && ms < 1_000_000;
        i++) {
      ms = ms * 10 + text.charAt(i) - '0';
    }
    return ms * 1_000_000;
  }
}

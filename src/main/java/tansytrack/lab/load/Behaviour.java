package tansytrack.lab.load;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * What a client does about an answer that it does not want: how often it tries again, whether it
 * heeds the pause that it was told, and for how long it waits in all. Times in nanoseconds.
 */
public record Behaviour(
    long patience, int mostRetries, boolean heeds, long firstPause, double grows, double jitter) {

  private static final String TOLD = "after=";

  /** When to try again, from now; -1: it gives up. Tried: how often it has sent the task so far. */
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

  /** The pause that a refusal names; 0: none. */
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

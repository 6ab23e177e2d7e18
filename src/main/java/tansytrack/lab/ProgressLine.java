package tansytrack.lab;

import java.io.PrintStream;
import java.util.Locale;
import tansytrack.lab.scale.ScaleWorld;

/** Prints the progress of a run and its estimated remaining time at intervals. */
final class ProgressLine implements ScaleWorld.Progress {

  private static final long EVERY = 5_000_000_000L;

  private final String what;
  private final PrintStream to;
  private final long from = System.nanoTime();
  private long said = from;

  ProgressLine(String label, PrintStream to) {
    this.what = label;
    this.to = to;
  }

  @Override
  public void at(double fraction) {
    long now = System.nanoTime();
    if (now - said >= EVERY && fraction > 0 && fraction < 1) {
      said = now;
      double remainingSeconds = (now - from) / 1e9 * (1 - fraction) / fraction;
      to.printf(Locale.ROOT, "%s: %.0f%%, %.0f s left%n", what, fraction * 100, remainingSeconds);
    }
  }
}

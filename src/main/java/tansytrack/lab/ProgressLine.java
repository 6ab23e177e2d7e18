package tansytrack.lab;

import java.io.PrintStream;
import java.util.Locale;
import tansytrack.lab.scale.ScaleSimulation;

/** Says now and then how far a run is, and how long it will still take. */
final class ProgressLine implements ScaleSimulation.ProgressListener {

  private static final long EVERY = 5_000_000_000L;

  private final String what;
  private final PrintStream to;
  private final long from = System.nanoTime();
  private long said = from;

  ProgressLine(String what, PrintStream to) {
    this.what = what;
    this.to = to;
  }

  @Override
  public void onProgress(double part) {
    long now = System.nanoTime();
    if (now - said >= EVERY && part > 0 && part < 1) {
      said = now;
      double left = (now - from) / 1e9 * (1 - part) / part;
      to.printf(Locale.ROOT, "%s: %.0f%%, %.0f s left%n", what, part * 100, left);
    }
  }
}

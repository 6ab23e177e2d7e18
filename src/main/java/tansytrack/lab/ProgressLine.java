package tansytrack.lab;

import java.io.PrintStream;
import java.util.Locale;
import tansytrack.lab.scale.ScaleSimulation;

/** Prints the progress of a run and its estimated remaining time at intervals. */
final class ProgressLine implements ScaleSimulation.ProgressListener {

  private static final long INTERVAL_NANOS = 5_000_000_000L;

  private final String label;
  private final PrintStream to;
  private final long startNanos = System.nanoTime();
  private long lastPrintedNanos = startNanos;

  ProgressLine(String label, PrintStream to) {
    this.label = label;
    this.to = to;
  }

  @Override
  public void onProgress(double fraction) {
    long now = System.nanoTime();
    if (now - lastPrintedNanos >= INTERVAL_NANOS && fraction > 0 && fraction < 1) {
      lastPrintedNanos = now;
      double remainingSeconds = (now - startNanos) / 1e9 * (1 - fraction) / fraction;
      to.printf(Locale.ROOT, "%s: %.0f%%, %.0f s left%n", label, fraction * 100, remainingSeconds);
    }
  }
}

package tansytrack.lab;

import java.io.PrintStream;
import java.util.Locale;
import tansytrack.lab.scale.ScaleSimulation;

/** Says now and then how far a run is, and how long it will still take. */
final class ProgressLine implements ScaleSimulation.ProgressListener {

  private static final long INTERVAL_NANOS = 5_000_000_000L;

  private final String label;
  private final PrintStream to;
  private final long startNanos = System.nanoTime();
  private long lastPrintedNanos = startNanos;

  ProgressLine(String what, PrintStream to) {
    this.label = what;
    this.to = to;
  }

  @Override
  public void onProgress(double part) {
    long now = System.nanoTime();
    if (now - lastPrintedNanos >= INTERVAL_NANOS && part > 0 && part < 1) {
      lastPrintedNanos = now;
      double left = (now - startNanos) / 1e9 * (1 - part) / part;
      to.printf(Locale.ROOT, "%s: %.0f%%, %.0f s left%n", label, part * 100, left);
    }
  }
}

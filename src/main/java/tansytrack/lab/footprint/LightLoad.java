package tansytrack.lab.footprint;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import tansytrack.lab.LabClient;

/** Sends statements at a constant rate on one session, one at a time, and counts the results. */
final class LightLoad {

  private static final long SECOND = 1_000_000_000L;
  private static final int PATIENCE_MS = 6000;

  private final InetSocketAddress to;
  private final int rate;
  private final long until;
  private final AtomicLong handled = new AtomicLong();
  private final AtomicLong others = new AtomicLong();
  private final Thread thread = new Thread(this::run, "light-load");

  LightLoad(InetSocketAddress to, int rate, long until) {
    this.to = to;
    this.rate = rate;
    this.until = until;
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  /** Waits until the last statement is finished. */
  void end() throws InterruptedException {
    thread.join();
  }

  long handled() {
    return handled.get();
  }

  /** Statements that were rejected, failed or lost their session. */
  long others() {
    return others.get();
  }

  private void run() {
    long from = System.nanoTime();
    try (LabClient client = new LabClient(to, PATIENCE_MS)) {
      for (long number = 0; System.nanoTime() < until; number++) {
        LockSupport.parkNanos(from + number * SECOND / rate - System.nanoTime());
        boolean good = client.ask(statement(number)).handled();
        (good ? handled : others).incrementAndGet();
      }
    } catch (IOException e) {
      others.incrementAndGet();
    }
  }

  private static String statement(long number) {
    return String.format(
        Locale.ROOT,
        "/* class=query,id=%016x,wait=3000,tenant=t0,cost=1.0,mb=1 */ SELECT day FROM sales",
        number + 1);
  }
}

package tansytrack.lab.footprint;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import tansytrack.lab.LabClient;

/** Sends statements at a constant rate on one session, one at a time, and counts the results. */
final class LightLoad {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final int ANSWER_TIMEOUT_MS = 6000;

  private final InetSocketAddress address;
  private final int statementsPerSecond;
  private final long endNanos;
  private final AtomicLong handled = new AtomicLong();
  private final AtomicLong notHandled = new AtomicLong();
  private final Thread thread = new Thread(this::run, "light-load");

  LightLoad(InetSocketAddress address, int statementsPerSecond, long endNanos) {
    this.address = address;
    this.statementsPerSecond = statementsPerSecond;
    this.endNanos = endNanos;
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  /** Waits until the last statement is finished. */
  void awaitEnd() throws InterruptedException {
    thread.join();
  }

  long handled() {
    return handled.get();
  }

  /** Statements that were rejected, failed or lost their session. */
  long notHandled() {
    return notHandled.get();
  }

  private void run() {
    long startNanos = System.nanoTime();
    try (LabClient client = new LabClient(address, ANSWER_TIMEOUT_MS)) {
      for (long number = 0; System.nanoTime() < endNanos; number++) {
        LockSupport.parkNanos(
            startNanos + number * NANOS_PER_SECOND / statementsPerSecond - System.nanoTime());
        boolean wasHandled = client.query(statement(number)).handled();
        (wasHandled ? handled : notHandled).incrementAndGet();
      }
    } catch (IOException e) {
      notHandled.incrementAndGet();
    }
  }

  private static String statement(long number) {
    return String.format(
        Locale.ROOT,
        "/* class=query,id=%016x,wait=3000,tenant=t0,cost=1.0,mb=1 */ SELECT day FROM sales",
        number + 1);
  }
}

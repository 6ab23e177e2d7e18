package tansytrack.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.DataInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tansytrack.wire.HttpCodec;
import tansytrack.wire.HttpConnection;
import tansytrack.wire.HttpRequest;
import tansytrack.wire.Sockets;

/**
 * Tests the connections to one engine with a clock and an event queue under the test's control. The
 * I/O thread can be made to wait.
 */
class EngineConnectionsTest {

  private static final long MS = 1_000_000L;

  private final AtomicLong clock = new AtomicLong(1000 * MS);
  private final LinkedBlockingQueue<Runnable> events = new LinkedBlockingQueue<>();
  // If set, the I/O thread waits for it after handing over its next event.
  private volatile CountDownLatch ioThreadPause;
  private final List<String> results = new ArrayList<>();

  private void handOver(Runnable event) {
    CountDownLatch pause = ioThreadPause;
    events.add(event);
    if (pause != null) {
      try {
        pause.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private HttpConnection.ResponseHandler recordingHandler() {
    return new HttpConnection.ResponseHandler() {
      @Override
      public void responseReceived(HttpCodec.Response answer) {
        results.add(new String(answer.body(), StandardCharsets.US_ASCII));
      }

      @Override
      public void requestFailed(HttpConnection.Failure why) {
        results.add(why.name());
      }
    };
  }

  private void awaitResults(int count) throws InterruptedException {
    while (results.size() < count) {
      events.poll(1, TimeUnit.MINUTES).run();
    }
  }

  private static String readRequest(DataInputStream in) throws Exception {
    String head = "";
    while (!head.endsWith("\r\n\r\n")) {
      head += (char) in.readByte();
    }
    return head;
  }

  private static byte[] response(String body) {
    return ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
        .getBytes(StandardCharsets.US_ASCII);
  }

  /**
   * A duplicate of a response that arrives some milliseconds late, while the event loop and the I/O
   * thread get no processor time, must not be taken for the response to the next request on the
   * same connection. After a stall, that request therefore needs another connection; after plain
   * sleep it reuses the first one.
   */
  @ParameterizedTest(name = "{0} ms of sleep, {1} ms of stall: {2} connections")
  @CsvSource({"12, 0, 1", "0, 12, 2"})
  void dataReceivedDuringAStallIsNotTheNextResponse(
      long sleptMs, long stalledMs, int expectedConnections) throws Exception {
    Timers timers = new Timers();
    timers.now(clock.get());
    Sockets sockets = new Sockets(this::handOver, clock::get);
    try (ServerSocket engine = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
      Counters counters = new Counters();
      EngineConnections.Limits limits = new EngineConnections.Limits(1000 * MS, 9000 * MS);
      limits.maxOpenConnections = 9;
      engine.setSoTimeout(10_000);
      EngineConnections connections = new EngineConnections("e", sockets, timers, limits, counters);
      connections.updateListing((InetSocketAddress) engine.getLocalSocketAddress(), true);
      connections.send(HttpRequest.get("/one"), recordingHandler());
      try (Socket first = engine.accept()) {
        DataInputStream in = new DataInputStream(first.getInputStream());
        while (in.available() == 0) {
          Runnable event = events.poll(10, TimeUnit.MILLISECONDS);
          if (event != null) {
            event.run();
          }
        }
        readRequest(in);
        CountDownLatch resume = new CountDownLatch(1);
        ioThreadPause = stalledMs > 0 ? resume : null;
        first.getOutputStream().write(response("one"));
        awaitResults(1);
        if (stalledMs > 0) {
          first.getOutputStream().write(response("one")); // the duplicate, which is not read yet
        }
        clock.addAndGet((sleptMs + stalledMs) * MS);
        timers.advanceAfterSleep(clock.get(), sleptMs * MS);
        connections.send(HttpRequest.get("/two"), recordingHandler());
        ioThreadPause = null;
        resume.countDown();
        if (expectedConnections == 1) {
          readRequest(in);
          first.getOutputStream().write(response("two"));
          awaitResults(2);
        } else {
          try (Socket second = engine.accept()) {
            clock.addAndGet(MS);
            Thread reader =
                new Thread(
                    () -> {
                      try {
                        readRequest(new DataInputStream(second.getInputStream()));
                        second.getOutputStream().write(response("two"));
                      } catch (Exception e) {
                        // the assertion on the responses fails then
                      }
                    });
            reader.start();
            awaitResults(2);
            reader.join();
          }
        }
      }
      assertThat(results).containsExactly("one", "two");
      assertThat(counters.get("connections.to_engines")).isEqualTo(expectedConnections);
    } finally {
      sockets.close();
    }
  }

  /**
   * Guards against a query that may run longer than its client waits: its connection is established
   * late, and the request told the time that was left when it was made.
   */
  @Test
  void aRequestTellsWhatHoldsWhenItsConnectionIsEstablished() throws Exception {
    Timers timers = new Timers();
    timers.now(clock.get());
    Sockets sockets = new Sockets(this::handOver, clock::get);
    try (ServerSocket engine = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
      EngineConnections.Limits limits = new EngineConnections.Limits(1000 * MS, 9000 * MS);
      limits.maxOpenConnections = 9;
      EngineConnections connections =
          new EngineConnections("e", sockets, timers, limits, new Counters());
      connections.updateListing((InetSocketAddress) engine.getLocalSocketAddress(), true);
      long deadline = clock.get() + 1000 * MS;
      connections.send(
          HttpRequest.post(
              "/o", () -> "X-Wait-Ms: " + (deadline - timers.now()) / MS + "\r\n", new byte[0]),
          recordingHandler());
      Runnable established = events.poll(1, TimeUnit.MINUTES);
      clock.addAndGet(400 * MS);
      timers.now(clock.get());
      established.run();
      try (Socket connection = engine.accept()) {
        assertThat(readRequest(new DataInputStream(connection.getInputStream())))
            .contains("X-Wait-Ms: 600\r\n");
      }
    } finally {
      sockets.close();
    }
  }
}

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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tansytrack.wire.HttpCodec;
import tansytrack.wire.HttpConnection;
import tansytrack.wire.Sockets;

/**
 * Connections to one engine, on a clock and an inbox that the test holds; the sockets' thread stops
 * where it says.
 */
class EngineLinesTest {

  private static final long MS = 1_000_000L;

  private final AtomicLong clock = new AtomicLong(1000 * MS);
  private final LinkedBlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
  private volatile CountDownLatch stop; // where set, the sockets' thread waits behind its next note
  private final List<String> answers = new ArrayList<>();

  private void hand(Runnable note) {
    CountDownLatch until = stop;
    inbox.add(note);
    if (until != null) {
      try {
        until.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private HttpConnection.ResponseHandler caller() {
    return new HttpConnection.ResponseHandler() {
      @Override
      public void responseReceived(HttpCodec.Response answer) {
        answers.add(new String(answer.body(), StandardCharsets.US_ASCII));
      }

      @Override
      public void requestFailed(HttpConnection.Failure why) {
        answers.add(why.name());
      }
    };
  }

  private void until(int count) throws InterruptedException {
    while (answers.size() < count) {
      inbox.poll(1, TimeUnit.MINUTES).run();
    }
  }

  private static void call(DataInputStream in) throws Exception {
    for (String head = ""; !head.endsWith("\r\n\r\n"); ) {
      head += (char) in.readByte();
    }
  }

  private static byte[] answer(String body) {
    return ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
        .getBytes(StandardCharsets.US_ASCII);
  }

  /**
   * Guards against a second copy of an answer that comes some milliseconds late while the loop and
   * the sockets' thread get no time: read behind the next call on its connection it would pass for
   * the answer to that one.
   */
  @ParameterizedTest(name = "{0} ms of sleep, {1} ms without time: {2} connections")
  @CsvSource({"12, 0, 1", "0, 12, 2"})
  void whatCameDuringAStallIsNoAnswerToTheNextCall(long slept, long stalled, int connections)
      throws Exception {
    Timers timers = new Timers();
    timers.now(clock.get());
    Sockets sockets = new Sockets(this::hand, clock::get);
    try (ServerSocket engine = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
      Counters counters = new Counters();
      EngineConnections.Limits limits = new EngineConnections.Limits(1000 * MS, 9000 * MS);
      limits.maxOpenConnections = 9;
      engine.setSoTimeout(10_000);
      EngineConnections lines = new EngineConnections("e", sockets, timers, limits, counters);
      lines.updateListing((InetSocketAddress) engine.getLocalSocketAddress(), true);
      lines.send("GET", "/one", caller());
      try (Socket first = engine.accept()) {
        DataInputStream in = new DataInputStream(first.getInputStream());
        while (in.available() == 0) {
          Runnable note = inbox.poll(10, TimeUnit.MILLISECONDS);
          if (note != null) {
            note.run();
          }
        }
        call(in);
        CountDownLatch goOn = new CountDownLatch(1);
        stop = stalled > 0 ? goOn : null;
        first.getOutputStream().write(answer("one"));
        until(1);
        if (stalled > 0) {
          first.getOutputStream().write(answer("one")); // the copy: nobody reads it yet
        }
        clock.addAndGet((slept + stalled) * MS);
        timers.advanceAfterSleep(clock.get(), slept * MS);
        lines.send("GET", "/two", caller());
        stop = null;
        goOn.countDown();
        if (connections == 1) {
          call(in);
          first.getOutputStream().write(answer("two"));
          until(2);
        } else {
          try (Socket second = engine.accept()) {
            clock.addAndGet(MS);
            Thread reader =
                new Thread(
                    () -> {
                      try {
                        call(new DataInputStream(second.getInputStream()));
                        second.getOutputStream().write(answer("two"));
                      } catch (Exception e) {
                        // the verdict is the answer that comes
                      }
                    });
            reader.start();
            until(2);
            reader.join();
          }
        }
      }
      assertThat(answers).containsExactly("one", "two");
      assertThat(counters.get("connections.to_engines")).isEqualTo(connections);
    } finally {
      sockets.close();
    }
  }
}

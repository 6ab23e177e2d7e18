package tansytrack.lab;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tansytrack.settings.InvalidInputException;

/** The load generator against a server with a known delay, which can stall or reject tasks. */
class OpenLoopTest {

  private static final int DELAY_MS = 150;
  private static final String LOAD =
      "name: 'x' seconds: 3 sum { constant: 40 } even: true tenants { name: 'a' weight: 1 } grades"
          + " { name: 'g' weight: 1 median_cost_ms: 5 promised_ms: 1000 wait_ms: 5000 } data_sets:"
          + " 5 zipf_exponent: 1 clients { most_connections: 200 most_retries: 2 heeds_after: true"
          + " first_pause_ms: 50 } late_ms: 200 late_part: 0.05";

  private final ServerSocket socket = open();
  private final AtomicInteger received = new AtomicInteger();
  private volatile long stallFrom = Long.MAX_VALUE;
  private volatile long stallUntil;
  private volatile boolean rejectsFirstTry;

  private static ServerSocket open() {
    try {
      return new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  OpenLoopTest() {
    FakeEngine.daemonThread(
            () -> {
              try {
                while (true) {
                  Socket one = socket.accept();
                  FakeEngine.daemonThread(() -> serve(one)).start();
                }
              } catch (IOException e) {
                // The socket was closed.
              }
            })
        .start();
  }

  private static void send(Socket to, char type, byte[] body) throws IOException {
    to.getOutputStream()
        .write(
            ByteBuffer.allocate(5 + body.length)
                .put((byte) type)
                .putInt(4 + body.length)
                .put(body)
                .array());
  }

  private void serve(Socket connection) {
    try (connection) {
      DataInputStream in = new DataInputStream(connection.getInputStream());
      in.skipNBytes(in.readInt() - 4);
      send(connection, 'Z', new byte[] {'I'});
      while (true) {
        in.readByte();
        byte[] query = new byte[in.readInt() - 4];
        in.readFully(query);
        boolean rejected =
            rejectsFirstTry
                && !new String(query, java.nio.charset.StandardCharsets.UTF_8).contains("retry=1");
        received.incrementAndGet();
        long now = System.nanoTime();
        Thread.sleep(
            rejected
                ? 0
                : DELAY_MS
                    + (now >= stallFrom && now < stallUntil ? (stallUntil - now) / 1_000_000 : 0));
        if (rejected) {
          send(
              connection,
              'E',
              "SERROR\0C53300\0Mno room, after=100\0\0"
                  .getBytes(java.nio.charset.StandardCharsets.US_ASCII));
        } else {
          send(connection, 'C', "SELECT 0\0".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
        }
        send(connection, 'Z', new byte[] {'I'});
      }
    } catch (IOException | InterruptedException e) {
      // The client closed the connection.
    }
  }

  @AfterEach
  void close() throws IOException {
    socket.close();
  }

  private Map<String, Double> play(String load) throws InterruptedException {
    OpenLoopGenerator generator =
        new OpenLoopGenerator(
            LoadFile.parse("f", load),
            new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort()),
            3);
    generator.run();
    assertThat(generator.sendDelays().isVoid()).as(generator.sendDelays().summary()).isFalse();
    return generator.figures();
  }

  @Test
  void measuresAKnownDelay() throws InterruptedException {
    Map<String, Double> figures = play(LOAD);
    assertThat(figures.get("tasks")).isBetween(118.0, 120.0);
    assertThat(received.get()).isEqualTo(figures.get("tasks").intValue());
    assertThat(figures.get("latency_ms.p50")).isBetween(150.0, 200.0);
    assertThat(figures.get("share")).isEqualTo(1);
  }

  @Test
  void stallRaisesLatencyAndKeepsTheTaskCount() throws InterruptedException {
    stallFrom = System.nanoTime() + 600_000_000L;
    stallUntil = stallFrom + 1_500_000_000L;
    Map<String, Double> figures = play(LOAD);
    assertThat(figures.get("tasks")).isBetween(118.0, 120.0);
    assertThat(figures.get("latency_ms.p99")).isGreaterThan(1200);
    assertThat(figures.get("connections")).as("connections, as sending goes on").isGreaterThan(40);
    assertThat(figures.get("share")).isLessThan(0.95);
  }

  @Test
  void retriesCountInTheLatencyOfTheTask() throws InterruptedException {
    rejectsFirstTry = true;
    Map<String, Double> figures = play(LOAD);
    assertThat(figures.get("tasks")).isBetween(118.0, 120.0);
    assertThat(received.get()).isEqualTo(2 * figures.get("tasks").intValue());
    assertThat(figures.get("latency_ms.p50"))
        .as("rejected, retried after 100 ms, answered")
        .isBetween(250.0, 330.0);
  }

  @Test
  void runIsVoidWithoutConnections() throws InterruptedException {
    OpenLoopGenerator generator =
        new OpenLoopGenerator(
            LoadFile.parse("f", LOAD.replace("most_connections: 200", "most_connections: 2")),
            new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort()),
            3);
    generator.run();
    assertThat(generator.sendDelays().isVoid()).isTrue();
    assertThat(generator.sendDelays().summary()).contains("void");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "seconds: 3 | seconds: 0 | seconds: '0'; allowed: 1 to 86400",
        "constant: 40 | constant: 1e9 | sum: highest rate",
        "sum { constant: 40 } | sum { } | has no shape",
        "data_sets: 5 | data_sets: 0 | data_sets: '0'",
        "late_part: 0.05 | late_part: 2 | late_part: '2'; allowed: 0 to 1",
        "constant: 40 | bursts { rate: 1 } | bursts.every_ms: '0'",
        "seconds: 3 | secnds: 3 | f:1:",
        "promised_ms: 1000 | promised_ms: 9000 | promised_ms: '9000'; allowed: 1 to 5000"
      })
  void rejectsInvalidLoads(String good, String bad, String message) {
    assertThat(LoadFile.parse("f", LOAD).definition.getSeconds()).isEqualTo(3);
    assertThatThrownBy(() -> LoadFile.parse("f", LOAD.replace(good, bad)))
        .isInstanceOf(InvalidInputException.class)
        .hasMessageContaining(message);
  }
}

package tansytrack.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import tansytrack.Decide;
import tansytrack.api.EngineEntry;
import tansytrack.settings.ManagerConfig;
import tansytrack.wire.Json;
import tansytrack.wire.Sockets;

/**
 * Tests requests that are given up while their bytes are on their way, over real connections. The
 * engine does not read, and its receive buffer is smaller than a request, so that the end of the
 * request stays in the manager's send buffer, as if the network were interrupted. The clock and the
 * event loop are under the test's control.
 */
@Timeout(60)
class AbandonedRequestTest {

  private static final long MS = 1_000_000L;
  private static final int RECEIVE_BUFFER_BYTES = 1 << 12;
  private static final int STATEMENT_BYTES = 3 * RECEIVE_BUFFER_BYTES;
  private static final int READ_TIMEOUT_MS = 20_000;
  private static final String TASK_ID = "00000000000000a1";
  private static final String CONFIG =
      "{'name':'m','listen':'127.0.0.1:0','seed':'1','limits':{'sockets':256},"
          + "'channel':'127.0.0.1:1','settings':{'skus':['k'],'extra':{'cpu_of_kind':[4],"
          + "'memory_heeded':true},"
          + "'grades':[{'name':'safe','repeat':'idempotent','deadline_ms':20000,'worth':1}],"
          + "'tenants':[{'name':'a','portion':1}],'policy_limits':{'cancel':true,"
          + "'max_attempts':1,'connect_timeout_ms':60000}}}";

  private final AtomicLong clock = new AtomicLong(1000 * MS);
  private final LinkedBlockingQueue<Runnable> events = new LinkedBlockingQueue<>();
  private final Timers timers = new Timers();
  private final Sockets sockets = new Sockets(events::add, clock::get);
  private final ServerSocket engine = new ServerSocket();
  private Manager manager;
  private Socket client;
  private Socket otherClient;

  AbandonedRequestTest() throws IOException {}

  /** A way in which a request is given up. */
  enum Cause {
    RESPONSE_TIMEOUT,
    CLIENT_CLOSED,
    CLIENT_CLOSED_WITHOUT_CANCELLATION,
    CLIENT_CANCELLED,
    DEADLINE,
    MALFORMED_RESPONSE,
    ENGINE_GONE,
    SHUTDOWN
  }

  private void start(boolean cancellation) throws Exception {
    engine.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    engine.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    timers.now(clock.get());
    manager =
        new Manager(
            ManagerConfig.fromJson(
                Json.parse(
                    CONFIG
                        .replace("'cancel':true", "'cancel':" + cancellation)
                        .replace('\'', '"')
                        .getBytes(StandardCharsets.UTF_8))),
            timers,
            sockets,
            Decide::new,
            TaskListener.NONE,
            PeerManagers.NONE);
    listEngine(EngineEntry.State.READY);
    InetSocketAddress address =
        sockets.listen(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            manager::connectionAccepted);
    client = startSession(address);
    otherClient = startSession(address);
  }

  @AfterEach
  void close() throws IOException {
    sockets.close();
    client.close();
    otherClient.close();
    engine.close();
  }

  private void listEngine(EngineEntry.State state) {
    InetSocketAddress address = (InetSocketAddress) engine.getLocalSocketAddress();
    manager.engines(
        false, List.of(new EngineEntry("e", 1, "", "k", 0, state, 0)), Map.of("e", address));
    manager.processPending();
  }

  private static Socket startSession(InetSocketAddress address) throws IOException {
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.getOutputStream().write(startupMessage(3 << 16));
    return socket;
  }

  private static byte[] startupMessage(int... values) {
    ByteBuffer message = ByteBuffer.allocate(4 + 4 * values.length).putInt(4 + 4 * values.length);
    for (int value : values) {
      message.putInt(value);
    }
    return message.array();
  }

  private static void sendQuery(Socket socket, String statement) throws IOException {
    byte[] text = (statement + '\0').getBytes(StandardCharsets.UTF_8);
    socket
        .getOutputStream()
        .write(
            ByteBuffer.allocate(5 + text.length)
                .put((byte) 'Q')
                .putInt(4 + text.length)
                .put(text)
                .array());
  }

  /** A condition that may read from a socket. */
  private interface Condition {
    boolean holds() throws IOException;
  }

  private void runUntil(Condition condition) throws Exception {
    while (!condition.holds()) {
      Runnable event = events.poll(1, TimeUnit.MILLISECONDS);
      if (event != null) {
        event.run();
      }
      timers.runDue();
      manager.processPending();
    }
  }

  private void advanceClock(long time) {
    timers.now(clock.addAndGet(time));
    timers.runDue();
    manager.processPending();
  }

  /**
   * Waits until the I/O thread has done all that it was told before, which includes closing
   * connections: it reads two queries and writes their answers after that.
   */
  private void awaitIoThread() throws Exception {
    for (int i = 0; i < 2; i++) {
      long queries = manager.counters().get("clients.queries");
      sendQuery(otherClient, "SHOW STATS");
      runUntil(() -> manager.counters().get("clients.queries") > queries);
      InputStream answer = otherClient.getInputStream();
      runUntil(() -> answer.available() > 0);
      answer.skipNBytes(answer.available());
    }
  }

  /** Sends a task of which the engine's machine receives only the beginning. */
  private Socket startTask(long waitMs) throws Exception {
    sendQuery(
        client,
        "/* class=safe,id="
            + TASK_ID
            + ",wait="
            + waitMs
            + ",tenant=a,cost=5.0,mb=1 */ SELECT '"
            + "x".repeat(STATEMENT_BYTES)
            + "'");
    runUntil(() -> manager.counters().get("connections.to_engines") == 1);
    Socket connection = engine.accept();
    connection.setSoTimeout(READ_TIMEOUT_MS);
    InputStream in = connection.getInputStream();
    runUntil(() -> in.available() > 0);
    return connection;
  }

  private void giveUp(Cause cause, Socket connection) throws Exception {
    switch (cause) {
      case RESPONSE_TIMEOUT -> advanceClock(600 * MS);
      case CLIENT_CLOSED, CLIENT_CLOSED_WITHOUT_CANCELLATION -> {
        client.close();
        runUntil(() -> manager.counters().get("clients.left") == 1);
      }
      case CLIENT_CANCELLED -> cancelRequest();
      case DEADLINE -> {
        advanceClock(500 * MS);
        assertThat(manager.counters().get("tasks.time_up")).isEqualTo(1);
      }
      case MALFORMED_RESPONSE -> {
        connection.getOutputStream().write("junk\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        runUntil(() -> manager.counters().get("calls.BROKEN") == 1);
      }
      case ENGINE_GONE -> {
        listEngine(EngineEntry.State.GONE);
        advanceClock(600 * MS);
      }
      case SHUTDOWN -> {
        manager.close();
        sockets.close();
      }
    }
    if (cause != Cause.SHUTDOWN) {
      awaitIoThread();
    }
  }

  private void cancelRequest() throws Exception {
    DataInputStream in = new DataInputStream(client.getInputStream());
    int type = in.read();
    while (type != 'K') {
      in.skipNBytes(in.readInt() - 4);
      type = in.read();
    }
    in.readInt();
    try (Socket canceller = new Socket(client.getInetAddress(), client.getPort())) {
      canceller.getOutputStream().write(startupMessage(80877102, in.readInt(), in.readInt()));
      runUntil(() -> manager.counters().get("clients.cancels") == 1);
    }
  }

  /** Reads all that arrives on a connection until it ends or is reset. */
  private static int readToEnd(Socket connection) throws IOException {
    InputStream in = connection.getInputStream();
    byte[] bytes = new byte[1 << 16];
    int total = 0;
    try {
      for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
        total += count;
      }
    } catch (SocketException e) {
      // reset
    }
    return total;
  }

  /**
   * Guards against a query that begins seconds after its client has gone: its start request was
   * given up while the engine's network was interrupted, and delivered afterwards.
   */
  @ParameterizedTest
  @EnumSource
  void aStartRequestThatWasGivenUpDoesNotArriveLater(Cause cause) throws Exception {
    start(cause != Cause.CLIENT_CLOSED_WITHOUT_CANCELLATION);
    try (Socket connection = startTask(cause == Cause.DEADLINE ? 500 : 15_000)) {
      giveUp(cause, connection);
      assertThat(readToEnd(connection)).isLessThan(STATEMENT_BYTES);
    }
  }

  /** Guards against a query that runs on because its cancellation was discarded. */
  @Test
  void aCancellationThatWasGivenUpIsStillDelivered() throws Exception {
    start(true);
    try (Socket start = startTask(15_000)) {
      giveUp(Cause.CLIENT_CLOSED, start);
      try (Socket cancellation = engine.accept()) {
        InputStream in = cancellation.getInputStream();
        runUntil(() -> in.available() > 0);
        advanceClock(60_000 * MS);
        awaitIoThread();
        assertThat(new String(in.readAllBytes(), StandardCharsets.US_ASCII))
            .startsWith("DELETE /o/" + TASK_ID)
            .endsWith("\r\n\r\n");
      }
    }
  }

  /**
   * Guards against a second query that runs next to the first: the start request may have reached
   * the engine just before it was given up, and the time after which the engine drops the query
   * counts from then. The engine does not answer, and accepts no further connections.
   */
  @Test
  void aQueryMayRunForItsUnpolledLifetimeAfterItsStartWasGivenUp() throws Exception {
    start(true);
    try (Socket start = startTask(15_000)) {
      engine.close();
      advanceClock(500 * MS);
      giveUp(Cause.CLIENT_CLOSED, start);
      advanceClock(AttemptCancellation.MAX_UNPOLLED_LIFETIME_NANOS - MS);
      assertThat(manager.counters().get("forwards.ended.CANCELLED")).isZero();
      advanceClock(MS);
      assertThat(manager.counters().get("forwards.ended.CANCELLED")).isEqualTo(1);
    }
  }
}

package tansytrack.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against clients that end the process by their number or speed: a manager with the heap of
 * a small machine, as a process, is sent more than it can hold at once.
 */
class MemoryBoundTest {

  private static final int CLIENTS = 300;
  private static final int FLOODED_STATEMENTS = 1_000_000;
  private static final String SLOW = "slow";

  @TempDir Path folder;
  private final List<AutoCloseable> resources = new ArrayList<>();
  private LargeResultEngine engine;
  private Process manager;
  private InetSocketAddress address;

  private static void daemon(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    thread.start();
  }

  @BeforeEach
  void start() throws IOException {
    engine = new LargeResultEngine(CLIENTS);
    resources.add(engine);
    String engineAddress = engine.address();
    String config =
        ServiceFixture.config(engineAddress)
            .replace("'sockets':256", "'sockets':1024")
            .replace("'cpu_of_kind':[4]", "'cpu_of_kind':[400]")
            .replace("'memory_by_kind_mb':[1000]", "'memory_by_kind_mb':[100000]")
            .replace("'deadline_ms':300", "'deadline_ms':30000");
    Path file = Files.writeString(folder.resolve("config.json"), config.replace('\'', '"'));
    ProcessBuilder builder =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-XX:+ExitOnOutOfMemoryError",
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                "tansytrack.Main",
                "serve")
            .redirectErrorStream(true);
    builder.environment().put("ROUTER_CONFIG", file.toString());
    manager = builder.start();
    BufferedReader log = manager.inputReader(StandardCharsets.UTF_8);
    String line = log.readLine();
    while (!line.contains("listens at")) {
      line = log.readLine();
    }
    address =
        new InetSocketAddress(
            "127.0.0.1", Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
    daemon(() -> log.lines().forEach(text -> {}));
  }

  @AfterEach
  void stop() throws Exception {
    manager.destroyForcibly();
    for (AutoCloseable resource : resources) {
      resource.close();
    }
  }

  private ServiceTest.Client client() throws IOException {
    ServiceTest.Client client = new ServiceTest.Client(address).startSession();
    resources.add(client);
    return client;
  }

  /** Results of the greatest size in short rows, for hundreds of clients at the same moment. */
  @Test
  void resultsForAllClientsAtOnceAreServed() throws Exception {
    List<ServiceTest.Client> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(client());
    }
    for (int i = 0; i < CLIENTS; i++) {
      String id = String.format("%016x", i + 1);
      clients
          .get(i)
          .send(ServiceTest.Client.message('Q', ServiceTest.Client.task("safe", id, SLOW)));
    }
    ExecutorService readers = Executors.newFixedThreadPool(CLIENTS);
    try {
      List<Future<String>> answers = new ArrayList<>();
      for (ServiceTest.Client client : clients) {
        answers.add(readers.submit(() -> lastWordsOf(client.readAnswer())));
      }
      for (Future<String> answer : answers) {
        assertThat(answer.get()).isEqualTo(LargeResultEngine.COMMAND_TAG);
      }
    } finally {
      readers.shutdownNow();
    }
    assertThat(manager.isAlive()).isTrue();
  }

  private static String lastWordsOf(String answer) {
    return answer.substring(answer.lastIndexOf(';') + 1);
  }

  /** A client that writes statements without a pause, and reads nothing, delays nobody else. */
  @Test
  void aClientThatFloodsItsSessionEndsNoProcess() throws Exception {
    ServiceTest.Client other = client();
    Future<?> flood =
        Executors.newSingleThreadExecutor(
                run -> {
                  Thread thread = new Thread(run);
                  thread.setDaemon(true);
                  return thread;
                })
            .submit(this::flood);
    int answered = 0;
    while (!flood.isDone()) {
      assertThat(other.query("")).isEqualTo("empty");
      Thread.sleep(20); // a usual client, which is no flood itself
      answered++;
    }
    try {
      flood.get();
    } catch (ExecutionException e) {
      assertThat(e).hasRootCauseInstanceOf(IOException.class); // its session was closed
    }
    assertThat(answered).isPositive();
    assertThat(other.query("SHOW STATS")).contains("clients.queries,");
    assertThat(manager.isAlive()).isTrue();
  }

  private Void flood() throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.getOutputStream().write(ServiceTest.Client.startupMessage(3 << 16));
      byte[] statement = ServiceTest.Client.message('Q', "SHOW STATS");
      byte[] batch = new byte[statement.length * 100];
      for (int i = 0; i < batch.length; i++) {
        batch[i] = statement[i % statement.length];
      }
      for (int i = 0; i < FLOODED_STATEMENTS / 100; i++) {
        socket.getOutputStream().write(batch);
      }
    }
    return null;
  }
}

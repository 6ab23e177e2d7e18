package tansytrack.service;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import tansytrack.settings.InvalidInputException;
import tansytrack.wire.Json;
import tansytrack.wire.ProtocolException;

/**
 * Starts, SIGHUP and SIGTERM while the configuration file is incomplete or the address is in use,
 * with real processes.
 */
class RestartTest {

  /** Exit code of a JVM that ends on SIGTERM, after its shutdown hooks. */
  private static final int EXIT_CODE_SIGTERM = 128 + 15;

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final String COMPLETE_CONFIG =
      "{'name':'m','listen':'127.0.0.1:0','seed':'a7','limits':{'sockets':256},"
          + "'channel':'127.0.0.1:9','known':{'cursor':0,'cmds':[]},'settings':{'siblings':1,"
          + "'skus':['k'],"
          + "'extra':{'cpu_of_kind':[4],'memory_by_kind_mb':[1000]},'grades':[{'name':'g',"
          + "'repeat':'idempotent',"
          + "'objective_ms':100,'deadline_ms':300,'worth':1}],'tenants':[{'name':'a','portion':1}],"
          + "'policy_limits':{'max_attempts':2}}}";

  @TempDir Path folder;
  private Process process;
  private BufferedReader log;

  private Path configPath() {
    return folder.resolve("config.json");
  }

  private static String config(String name) {
    return COMPLETE_CONFIG.replace("'m'", '\'' + name + '\'').replace('\'', '"');
  }

  /** Replaces the file atomically. */
  private void replace(String text) throws IOException {
    Path next = Files.writeString(folder.resolve("next"), text);
    Files.move(next, configPath(), StandardCopyOption.ATOMIC_MOVE);
  }

  private void writeUnusable(String defect) throws IOException {
    switch (defect) {
      case "missing" -> Files.deleteIfExists(configPath());
      case "empty" -> Files.writeString(configPath(), "");
      case "cut off" -> Files.writeString(configPath(), config("m").substring(0, 250));
      case "bad list" ->
          Files.writeString(
              configPath(),
              config("m")
                  .replace(
                      "[]}",
                      "[{\"cursor\":1,\"nodes\":"
                          + "{\"members\":[{\"id\":\"e\",\"phase\":\"lost\"}]}}]}"));
      default -> Files.writeString(configPath(), config("m").replace("127.0.0.1:9", defect));
    }
  }

  private void serve(String... options) throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                "tansytrack.Main",
                "serve"));
    command.addAll(List.of(options));
    start(command);
  }

  private void start(List<String> command) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().put("ROUTER_CONFIG", configPath().toString());
    process = builder.start();
    log = process.inputReader(StandardCharsets.UTF_8);
  }

  private String awaitLine(String expected) throws IOException {
    String line = log.readLine();
    while (line != null && !line.contains(expected)) {
      line = log.readLine();
    }
    return line;
  }

  private void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", '-' + name, Long.toString(process.pid())).start().waitFor();
  }

  @AfterEach
  void end() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"missing", "empty", "cut off"})
  void aFileThatIsCompletedLaterIsUsed(String defect) throws IOException, InterruptedException {
    writeUnusable(defect);
    serve();
    assertThat(awaitLine("config.json")).contains(defect, "retrying for up to");
    signal("HUP"); // before there is a manager
    replace(config("late"));
    assertThat(awaitLine("listens at")).contains("late listens at");
    assertThat(awaitLine("new configuration")).isNotNull();
    signal("TERM");
    assertThat(process.waitFor()).isEqualTo(EXIT_CODE_SIGTERM);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "missing | config.json is missing | true",
        "cut off | (250 bytes) is cut off: JSON: | true",
        "nowhere | channel: 'nowhere' is not an address | false",
        "bad list | known: unknown phase | false"
      })
  void aFileThatStaysUnusableEndsWithCodeTwo(String defect, String reason, boolean waits)
      throws IOException, InterruptedException {
    writeUnusable(defect);
    long startedAt = System.nanoTime();
    serve();
    assertThat(awaitLine("tansytrack: ")).contains(reason);
    assertThat(process.waitFor()).isEqualTo(2);
    assertThat(System.nanoTime() - startedAt > 5 * NANOS_PER_SECOND).isEqualTo(waits);
    startedAt = System.nanoTime();
    assertThat(Service.check(configPath().toString(), null, System.out)).isEqualTo(2);
    assertThat(System.nanoTime() - startedAt).isLessThan(2 * NANOS_PER_SECOND);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void bindingAnAddressInUseIsRetried(boolean released) throws IOException, InterruptedException {
    ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    String address = "127.0.0.1:" + other.getLocalPort();
    replace(config("m").replace("127.0.0.1:0", address));
    serve();
    assertThat(awaitLine("in use")).contains("cannot listen at " + address, "retrying for up to");
    if (released) {
      other.close();
      assertThat(awaitLine("listens at")).contains(address);
    } else {
      assertThat(awaitLine("tansytrack: "))
          .contains("cannot listen at " + address + ": Address already in use");
      assertThat(process.waitFor()).isEqualTo(2);
      other.close();
    }
  }

  /**
   * When file descriptors run out at the start, the output names that cause, by a stack trace or
   * the operating system's message, and does not blame a file or an address.
   */
  @ParameterizedTest
  @ValueSource(ints = {12, 20})
  void withoutDescriptorsTheCauseIsNamed(int descriptors) throws IOException, InterruptedException {
    replace(config("m"));
    ProcessBuilder builder =
        new ProcessBuilder(
                "sh",
                "-c",
                "ulimit -n " + descriptors + "; exec \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "tansytrack.Main",
                "serve")
            .redirectErrorStream(true);
    builder.environment().put("ROUTER_CONFIG", configPath().toString());
    process = builder.start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertThat(process.waitFor()).isNotZero();
    assertThat(output)
        .containsAnyOf(
            "Too many open files",
            "NoClassDefFoundError",
            "ClassNotFoundException",
            "UnsatisfiedLinkError")
        .doesNotContain("cut off", "in use");
  }

  /**
   * Under nohup SIGHUP is ignored from before the start, which a JVM cannot undo. The manager would
   * keep polling the old command channel.
   */
  @Test
  void aProcessUnderNohupStillReloadsItsConfiguration() throws IOException, InterruptedException {
    replace(config("m"));
    start(
        List.of(
            "nohup",
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            System.getProperty("java.class.path"),
            "tansytrack.Main",
            "serve"));
    assertThat(awaitLine("SIGHUP was ignored")).contains("config.json is polled every 250 ms");
    awaitLine("listens at");
    writeUnusable("127.0.0.1:7");
    signal("HUP");
    assertThat(awaitLine("new configuration")).contains("command channel at 127.0.0.1:7");
    signal("TERM");
    assertThat(awaitLine("counters:")).contains("configurations.read=1");
    assertThat(process.waitFor()).isEqualTo(EXIT_CODE_SIGTERM);
  }

  @Test
  void anOperatorFileSelectsJsonLogLines()
      throws IOException, InterruptedException, ProtocolException {
    replace(config("m"));
    Path operator =
        Files.writeString(folder.resolve("operator.textproto"), "log { form: JSON_LINES }");
    serve("--operator", operator.toString());
    String line = awaitLine("listens at");
    signal("TERM");
    assertThat(Json.asObject(Json.parse(line.getBytes(StandardCharsets.UTF_8)), "a line"))
        .containsEntry("event", "listening")
        .containsEntry("manager", "m")
        .containsEntry("level", "INFO");
    assertThat(awaitLine("\"event\":\"counters\"")).contains("\"channel.failed\":\"");
    assertThat(process.waitFor()).isEqualTo(EXIT_CODE_SIGTERM);
  }

  @Test
  void anUnusableOperatorFilePreventsTheStart() throws IOException, InterruptedException {
    replace(config("m"));
    Path operator =
        Files.writeString(
            folder.resolve("operator.textproto"), "ledger { folder: 'x'\n commit_every_ms: -1 }");
    serve("--operator", operator.toString());
    assertThat(awaitLine("tansytrack: "))
        .contains("operator.textproto:2:2: commit_every_ms: '-1'; allowed: 1 to 1000");
    assertThat(process.waitFor()).isEqualTo(2);
    assertThat(folder.resolve("x")).doesNotExist();
  }

  /**
   * A configuration that arrives during shutdown still takes effect while tasks are served, and
   * does not delay the end.
   */
  @Test
  void aConfigurationThatArrivesAfterSigtermStillTakesEffect()
      throws IOException, InterruptedException {
    replace(config("m"));
    serve();
    awaitLine("listens at");
    writeUnusable("cut off");
    signal("HUP");
    assertThat(awaitLine("cut off")).contains("retrying for up to");
    signal("TERM");
    awaitLine("shutting down");
    replace(config("m"));
    assertThat(awaitLine("counters:")).contains("configurations.read=1");
    assertThat(process.waitFor()).isEqualTo(EXIT_CODE_SIGTERM);
  }

  @Test
  void theLastCompleteFileWinsForConcurrentSignals() throws IOException, InterruptedException {
    writeUnusable("cut off");
    ConfigurationReload reload = new ConfigurationReload(new ConfigFile(configPath().toString()));
    List<String> received = new CopyOnWriteArrayList<>();
    CountDownLatch firstReceived = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    reload.setConsumer(
        loaded -> {
          received.add(loaded.config().name());
          firstReceived.countDown();
          try {
            release.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    Thread first = new Thread(reload::onSignal);
    first.start();
    replace(config("one"));
    assertThat(firstReceived.await(60, TimeUnit.SECONDS)).isTrue();
    replace(config("two"));
    Thread second = new Thread(reload::onSignal);
    second.start();
    while (second.getState() != Thread.State.BLOCKED) {
      Thread.onSpinWait();
    }
    replace(config("three"));
    reload.onSignal(); // returns at once, because one thread waits already
    release.countDown();
    first.join();
    second.join();
    assertThat(received).containsExactly("one", "three");
  }

  @Test
  void anUnusableFileChangesNothingAndTheNextSignalIsHandled() throws IOException {
    ConfigurationReload reload = new ConfigurationReload(new ConfigFile(configPath().toString()));
    List<String> received = new CopyOnWriteArrayList<>();
    reload.setConsumer(loaded -> received.add(loaded.config().name()));
    writeUnusable("nowhere");
    reload.onSignal();
    assertThat(received).isEmpty();
    replace(config("m"));
    reload.onSignal();
    assertThat(received).containsExactly("m");
  }

  @Test
  void errorsNameTheFileItsSizeAndTheOffset() throws IOException {
    writeUnusable("cut off");
    assertThatThrownBy(() -> new ConfigFile(configPath().toString()).readOnce())
        .isInstanceOf(ConfigFile.TransientFileException.class)
        .hasMessageMatching(".*config.json \\(250 bytes\\) is cut off: JSON: .* at byte 250");
    Files.writeString(configPath(), config("m") + "}");
    assertThatThrownBy(() -> new ConfigFile(configPath().toString()).readOnce())
        .isInstanceOf(InvalidInputException.class)
        .hasMessageContaining("more behind the end at byte " + COMPLETE_CONFIG.length());
    assertThatThrownBy(() -> new ConfigFile(folder.toString()).readOnce())
        .isInstanceOf(InvalidInputException.class);
    assertThatThrownBy(() -> new ConfigFile(null)).isInstanceOf(InvalidInputException.class);
  }

  /**
   * Guards against a query that begins after its manager was killed: the operating system delivered
   * the rest of its start request when the engine's network worked again. Here, the engine does not
   * read until then, and its receive buffer holds only the beginning of the request.
   */
  @Test
  void aStartRequestDoesNotArriveAfterItsManagerWasKilled() throws Exception {
    int receiveBufferBytes = 1 << 12;
    int statementBytes = 3 * receiveBufferBytes;
    try (ServerSocket engine = new ServerSocket()) {
      engine.setReceiveBufferSize(receiveBufferBytes);
      engine.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      replace(
          COMPLETE_CONFIG
              .replace(
                  "'cmds':[]",
                  "'cmds':["
                      + ServiceFixture.engineEvent(
                          1, "e", "127.0.0.1:" + engine.getLocalPort(), "ready")
                      + ']')
              .replace('\'', '"'));
      serve();
      String address = awaitLine("listens at").replaceAll(".*listens at ", "");
      try (ServiceTest.Client client =
          new ServiceTest.Client(Service.parseAddress(address)).startSession()) {
        String statement = "SELECT '" + "x".repeat(statementBytes) + "'";
        client.send(
            ServiceTest.Client.message(
                'Q', ServiceTest.Client.task("g", "00000000000000a1", statement)));
        try (Socket connection = engine.accept()) {
          InputStream in = connection.getInputStream();
          while (in.available() == 0) {
            Thread.onSpinWait();
          }
          process.destroyForcibly().waitFor();
          assertThat(bytesUntilReset(in)).isLessThan(statementBytes);
        }
      }
    }
  }

  private static int bytesUntilReset(InputStream in) throws IOException {
    int count = 0;
    try {
      while (in.read() >= 0) {
        count++;
      }
    } catch (SocketException e) {
      return count;
    }
    return count;
  }
}

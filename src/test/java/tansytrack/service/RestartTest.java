package tansytrack.service;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
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
 * Starts and signals while the file or the address is not yet what it will be a moment later; real
 * processes.
 */
class RestartTest {

  private static final int TERMINATED = 128 + 15; // as the JVM ends behind its hooks
  private static final long SECOND = 1_000_000_000L;
  private static final String WHOLE =
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

  private Path file() {
    return folder.resolve("config.json");
  }

  private static String config(String name) {
    return WHOLE.replace("'m'", '\'' + name + '\'').replace('\'', '"');
  }

  /** Whole at once, as a careful operator does it. */
  private void replace(String text) throws IOException {
    Path next = Files.writeString(folder.resolve("next"), text);
    Files.move(next, file(), StandardCopyOption.ATOMIC_MOVE);
  }

  private void spoil(String how) throws IOException {
    switch (how) {
      case "missing" -> Files.deleteIfExists(file());
      case "empty" -> Files.writeString(file(), "");
      case "cut off" -> Files.writeString(file(), config("m").substring(0, 250));
      case "bad list" ->
          Files.writeString(
              file(),
              config("m")
                  .replace(
                      "[]}",
                      "[{\"cursor\":1,\"nodes\":"
                          + "{\"members\":[{\"id\":\"e\",\"phase\":\"lost\"}]}}]}"));
      default -> Files.writeString(file(), config("m").replace("127.0.0.1:9", how));
    }
  }

  private void serve(String... more) throws IOException {
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
    command.addAll(List.of(more));
    start(command);
  }

  private void start(List<String> command) throws IOException {
    ProcessBuilder made = new ProcessBuilder(command).redirectErrorStream(true);
    made.environment().put("ROUTER_CONFIG", file().toString());
    process = made.start();
    log = process.inputReader(StandardCharsets.UTF_8);
  }

  private String line(String wanted) throws IOException {
    String line = log.readLine();
    while (line != null && !line.contains(wanted)) {
      line = log.readLine();
    }
    return line;
  }

  private void signal(String which) throws IOException, InterruptedException {
    new ProcessBuilder("kill", '-' + which, Long.toString(process.pid())).start().waitFor();
  }

  @AfterEach
  void end() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"missing", "empty", "cut off"})
  void aFileThatIsWholeAMomentLaterIsServed(String how) throws IOException, InterruptedException {
    spoil(how);
    serve();
    assertThat(line("config.json")).contains(how, "read again for up to");
    signal("HUP"); // while there is no manager yet
    replace(config("late"));
    assertThat(line("listens at")).contains("late listens at");
    assertThat(line("new configuration")).isNotNull();
    signal("TERM");
    assertThat(process.waitFor()).isEqualTo(TERMINATED);
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
  void whatDoesNotMendItselfEndsWithCodeTwo(String how, String why, boolean waits)
      throws IOException, InterruptedException {
    spoil(how);
    long from = System.nanoTime();
    serve();
    assertThat(line("tansytrack: ")).contains(why);
    assertThat(process.waitFor()).isEqualTo(2);
    assertThat(System.nanoTime() - from > 5 * SECOND).isEqualTo(waits);
    from = System.nanoTime();
    assertThat(Service.check(file().toString(), null, System.out)).isEqualTo(2);
    assertThat(System.nanoTime() - from).isLessThan(2 * SECOND);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void anAddressInUseIsWaitedForAWhile(boolean givenBack) throws IOException, InterruptedException {
    ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    String address = "127.0.0.1:" + other.getLocalPort();
    replace(config("m").replace("127.0.0.1:0", address));
    serve();
    assertThat(line("in use")).contains("cannot listen at " + address, "tried again for up to");
    if (givenBack) {
      other.close();
      assertThat(line("listens at")).contains(address);
    } else {
      assertThat(line("tansytrack: "))
          .contains("cannot listen at " + address + ": Address already in use");
      assertThat(process.waitFor()).isEqualTo(2);
      other.close();
    }
  }

  /**
   * Told from the others by its trace or the machine's words: no file or address is blamed for it.
   */
  @ParameterizedTest
  @ValueSource(ints = {12, 20})
  void withoutDescriptorsTheCauseIsNamed(int descriptors) throws IOException, InterruptedException {
    replace(config("m"));
    ProcessBuilder made =
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
    made.environment().put("ROUTER_CONFIG", file().toString());
    process = made.start();
    String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertThat(process.waitFor()).isNotZero();
    assertThat(said)
        .containsAnyOf(
            "Too many open files",
            "NoClassDefFoundError",
            "ClassNotFoundException",
            "UnsatisfiedLinkError")
        .doesNotContain("cut off", "in use");
  }

  /**
   * Guards against SIGHUP ignored from before the start, which no JVM can undo: the channel of
   * before would be asked on.
   */
  @Test
  void aStartUnderNohupTakesNewConfigurationsAllTheSame() throws IOException, InterruptedException {
    replace(config("m"));
    start(
        List.of(
            "nohup",
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            System.getProperty("java.class.path"),
            "tansytrack.Main",
            "serve"));
    assertThat(line("SIGHUP was ignored")).contains("config.json is looked at every 250 ms");
    line("listens at");
    spoil("127.0.0.1:7");
    signal("HUP");
    assertThat(line("new configuration")).contains("command channel at 127.0.0.1:7");
    signal("TERM");
    assertThat(line("counters:")).contains("configurations.read=1");
    assertThat(process.waitFor()).isEqualTo(TERMINATED);
  }

  @Test
  void anOperatorsFileChoosesLogLinesThatAreObjects()
      throws IOException, InterruptedException, ProtocolException {
    replace(config("m"));
    Path operator =
        Files.writeString(folder.resolve("operator.textproto"), "log { form: JSON_LINES }");
    serve("--operator", operator.toString());
    String line = line("listens at");
    signal("TERM");
    assertThat(Json.asObject(Json.parse(line.getBytes(StandardCharsets.UTF_8)), "a line"))
        .containsEntry("event", "listening")
        .containsEntry("manager", "m")
        .containsEntry("level", "INFO");
    assertThat(line("\"event\":\"counters\"")).contains("\"channel.failed\":\"");
    assertThat(process.waitFor()).isEqualTo(TERMINATED);
  }

  @Test
  void anOperatorsFileThatCannotBeUsedStartsNothing() throws IOException, InterruptedException {
    replace(config("m"));
    Path operator =
        Files.writeString(
            folder.resolve("operator.textproto"), "ledger { folder: 'x'\n commit_every_ms: -1 }");
    serve("--operator", operator.toString());
    assertThat(line("tansytrack: "))
        .contains("operator.textproto:2:2: commit_every_ms: '-1'; allowed: 1 to 1000");
    assertThat(process.waitFor()).isEqualTo(2);
    assertThat(folder.resolve("x")).doesNotExist();
  }

  /**
   * The list is followed to its new place for as long as tasks are served; the end is no later for
   * it.
   */
  @Test
  void sigtermWhileTheFileIsWaitedForEndsItAndTheListIsFollowedUntilThen()
      throws IOException, InterruptedException {
    replace(config("m"));
    serve();
    line("listens at");
    spoil("cut off");
    signal("HUP");
    assertThat(line("cut off")).contains("read again for up to");
    signal("TERM");
    line("told to end");
    replace(config("m"));
    assertThat(line("counters:")).contains("configurations.read=1");
    assertThat(process.waitFor()).isEqualTo(TERMINATED);
  }

  @Test
  void theLastWholeFileWinsHoweverSignalsMeet() throws IOException, InterruptedException {
    spoil("cut off");
    ConfigurationReload reload = new ConfigurationReload(new ConfigFile(file().toString()));
    List<String> taken = new CopyOnWriteArrayList<>();
    CountDownLatch inFirst = new CountDownLatch(1);
    CountDownLatch goOn = new CountDownLatch(1);
    reload.setConsumer(
        whole -> {
          taken.add(whole.config().name());
          inFirst.countDown();
          try {
            goOn.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    Thread first = new Thread(reload::onSignal);
    first.start();
    replace(config("one"));
    assertThat(inFirst.await(60, TimeUnit.SECONDS)).isTrue();
    replace(config("two"));
    Thread second = new Thread(reload::onSignal);
    second.start();
    while (second.getState() != Thread.State.BLOCKED) {
      Thread.onSpinWait();
    }
    replace(config("three"));
    reload.onSignal(); // one waits already: comes back at once
    goOn.countDown();
    first.join();
    second.join();
    assertThat(taken).containsExactly("one", "three");
  }

  @Test
  void aFileThatStaysSpoiltChangesNothingAndTheNextSignalIsHeard() throws IOException {
    ConfigurationReload reload = new ConfigurationReload(new ConfigFile(file().toString()));
    List<String> taken = new CopyOnWriteArrayList<>();
    reload.setConsumer(whole -> taken.add(whole.config().name()));
    spoil("nowhere");
    reload.onSignal();
    assertThat(taken).isEmpty();
    replace(config("m"));
    reload.onSignal();
    assertThat(taken).containsExactly("m");
  }

  @Test
  void theFilesFaultsNameFileSizeAndPlace() throws IOException {
    spoil("cut off");
    assertThatThrownBy(() -> new ConfigFile(file().toString()).readOnce())
        .isInstanceOf(ConfigFile.TransientFileException.class)
        .hasMessageMatching(".*config.json \\(250 bytes\\) is cut off: JSON: .* at byte 250");
    Files.writeString(file(), config("m") + "}");
    assertThatThrownBy(() -> new ConfigFile(file().toString()).readOnce())
        .isInstanceOf(InvalidInputException.class)
        .hasMessageContaining("more behind the end at byte " + WHOLE.length());
    assertThatThrownBy(() -> new ConfigFile(folder.toString()).readOnce())
        .isInstanceOf(InvalidInputException.class);
    assertThatThrownBy(() -> new ConfigFile(null)).isInstanceOf(InvalidInputException.class);
  }
}

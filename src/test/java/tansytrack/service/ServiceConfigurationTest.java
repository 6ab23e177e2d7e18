package tansytrack.service;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tansytrack.service.ServiceTest.Client;
import tansytrack.settings.InvalidInputException;

/** Updates from the command channel and the configuration, at the start and later. */
class ServiceConfigurationTest extends ServiceFixture {

  /**
   * Guards against a busy loop that polls a channel which answers at once without events: at most
   * 20 polls a second.
   */
  @Test
  void aChannelThatAnswersAtOnceWithoutEventsIsPolledWithDelays() throws Exception {
    engine.channelAnswer = "{\"cursor\":1,\"cmds\":[]}";
    engine.repeatsChannelAnswer = true;
    stopManager();
    engine.requests.clear(); // those of the manager that has ended
    start(config());
    Thread.sleep(500);
    long polls = engine.requests.stream().filter(request -> request.startsWith("GET /cmd")).count();
    assertThat(polls).isBetween(2L, 25L);
  }

  /**
   * Guards against sends to an engine that began to drain while the manager was starting: the
   * manager serves only after the channel's first answer.
   */
  @ParameterizedTest(name = "the channel''s first answer takes {0} ms: {1} requests to the engine")
  @CsvSource({"0, 0", "200, 0", "10000, 1"})
  void aStartingManagerAppliesMissedEventsBeforeItServes(long delayMs, int requests)
      throws Exception {
    stopManager();
    engine.requests.clear();
    engine.firstPollDelayMs = delayMs;
    engine.channelAnswer =
        ("{'cursor':2,'cmds':[" + engineEvent(2, "e", engine.address(), "draining") + "]}")
            .replace('\'', '"');
    long startedAt = System.nanoTime();
    start(config());
    // A start does not wait long for a channel that is unreachable.
    assertThat(System.nanoTime() - startedAt).isLessThan(10_000_000_000L);
    try (Client client = new Client(address).startSession()) {
      client.query(Client.task("safe", "00000000000000a8", "ok"));
    }
    assertThat(engine.requests.stream().filter(request -> request.startsWith("POST")).count())
        .isEqualTo(requests);
  }

  @Test
  void anEngineThatLeavesIsReplacedByOneThatJoins() throws IOException, InterruptedException {
    try (StatementServer second = new StatementServer();
        Client client = new Client(address).startSession()) {
      assertThat(client.query(Client.task("safe", "00000000000000e1", "ok"))).endsWith("SELECT 2");
      // One engine leaves and a new one joins: the open poll is cut, the next one reports both.
      engine.channelAnswer =
          ("{'cursor':3,'cmds':["
                  + engineEvent(2, "e", engine.address(), "gone")
                  + ','
                  + engineEvent(3, "f", second.address(), "ready")
                  + "]}")
              .replace('\'', '"');
      for (Socket connection : engine.connections) {
        connection.close();
      }
      String id = "00000000000000f";
      for (int i = 0; second.postAnswered.getCount() > 0; i++) {
        client.query(Client.task("safe", id + Integer.toHexString(i % 16), "ok"));
      }
      assertThat(engine.requests)
          .anyMatch(request -> request.startsWith("GET /cmd/next?resume=1&block="));
    }
  }

  /**
   * Guards against a manager that exits on SIGHUP, or that gets no further events after it: the
   * numbering continues at the new address.
   */
  @Test
  void aNewConfigurationMovesTheCommandChannelWhileTasksAreOpen()
      throws IOException, InterruptedException {
    Path file = folder.resolve("new.json");
    try (StatementServer second = new StatementServer();
        Client client = new Client(address).startSession();
        Client open = new Client(address).startSession()) {
      ConfigurationReload reload = new ConfigurationReload(new ConfigFile(file.toString()));
      reload.setConsumer(service::configurationRead);
      SighupHandler.install(reload::onSignal);
      open.send(Client.message('Q', Client.task("safe", "00000000000000e3", "late")));
      second.channelAnswer =
          ("{'cursor':3,'cmds':[" + engineEvent(3, "e", engine.address(), "gone") + "]}")
              .replace('\'', '"');
      // Event 2 is in the file, event 3 comes from the new channel; 9 directly follows neither.
      String known =
          "'known':{'cursor':9,'cmds':["
              + engineEvent(1, "e", engine.address(), "ready")
              + ','
              + engineEvent(2, "f", second.address(), "ready")
              + ','
              + engineEvent(9, "f", second.address(), "gone")
              + "]}";
      String newConfig =
          config().replace("'channel':'" + engine.address(), "'channel':'" + second.address());
      newConfig =
          newConfig.substring(0, newConfig.indexOf("'known'"))
              + known
              + newConfig.substring(newConfig.indexOf(",'settings'"));
      for (String text : List.of("{}", newConfig.replace("'channel'", "'chanel'"), newConfig)) {
        Files.writeString(file, text.replace('\'', '"'));
        new ProcessBuilder("kill", "-HUP", Long.toString(ProcessHandle.current().pid()))
            .start()
            .waitFor();
        Thread.sleep(200); // the operating system may merge signals that are pending at once
        assertThat(client.query("")).isEqualTo("empty");
      }
      String id = "00000000000000f";
      for (int i = 0; second.postAnswered.getCount() > 0; i++) {
        client.query(Client.task("safe", id + Integer.toHexString(i % 16), "ok"));
      }
      assertThat(open.readAnswer()).isEqualTo("1,2,3;SELECT 1");
      assertThat(client.query("SHOW STATS")).contains("configurations.read,1;");
      assertThat(second.requests)
          .anyMatch(request -> request.startsWith("GET /cmd/next?resume=2&block="))
          .anyMatch(request -> request.startsWith("GET /cmd/next?resume=3&block="));
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "'seed':'8c1f30d27a5be964' | 'seed':'xyz'",
        "'sockets':256 | 'sockets':'many'",
        "'deadline_ms':300 | 'deadline_ms':'soon'",
        "'max_attempts':2 | 'max_attempts':-1",
        "'cpu_of_kind':[4] | 'cpu_of_kind':['x']",
        "'name':'m', | ''"
      })
  void anUnusableConfigurationIsReported(String valid, String invalid) throws IOException {
    assertThatThrownBy(() -> parse(config().replace(valid, invalid == null ? "" : invalid)))
        .isInstanceOf(InvalidInputException.class);
    Path file = folder.resolve("config.json");
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
    Files.writeString(
        file, config().replace(valid, invalid == null ? "" : invalid).replace('\'', '"'));
    assertThat(Service.check(file.toString(), null, stream)).isEqualTo(2);
    Files.writeString(file, config().replace('\'', '"'));
    assertThat(Service.check(file.toString(), null, stream)).isZero();
    assertThat(out.toString(StandardCharsets.UTF_8))
        .isEqualTo("m: 2 query classes, 1 tenants, 1 engines\n");
    assertThat(Service.check(folder.resolve("none").toString(), null, stream)).isEqualTo(2);
  }
}

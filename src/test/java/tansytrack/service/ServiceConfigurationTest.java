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

/** What the command channel and the configuration tell a manager, at its start and later. */
class ServiceConfigurationTest extends ServiceFixture {

  /**
   * Guards against a loop that only asks a channel which answers at once with nothing: 20 times a
   * second at most.
   */
  @Test
  void aChannelThatAnswersAtOnceWithNothingIsAskedWithPauses() throws Exception {
    engine.list = "{\"cursor\":1,\"cmds\":[]}";
    engine.keepsList = true;
    end();
    start(config());
    Thread.sleep(500);
    long asked = engine.calls.stream().filter(call -> call.startsWith("GET /cmd")).count();
    assertThat(asked).isBetween(2L, 25L);
  }

  /**
   * Guards against sends to an engine that was told to be draining while the manager started: it
   * serves only behind that.
   */
  @ParameterizedTest(name = "the channel''s first answer takes {0} ms: {1} calls to the engine")
  @CsvSource({"0, 0", "200, 0", "10000, 1"})
  void aManagerThatStartsKnowsWhatWasToldMeanwhileBeforeItServes(long delay, int calls)
      throws Exception {
    end();
    engine.calls.clear();
    engine.firstDelay = delay;
    engine.list =
        ("{'cursor':2,'cmds':[" + listed(2, "e", engine.address(), "draining") + "]}")
            .replace('\'', '"');
    long from = System.nanoTime();
    start(config());
    // A start does not wait for a channel that is out of reach.
    assertThat(System.nanoTime() - from).isLessThan(10_000_000_000L);
    try (Client client = new Client(at).started()) {
      client.ask(Client.task("safe", "00000000000000a8", "ok"));
    }
    assertThat(engine.calls.stream().filter(call -> call.startsWith("POST")).count())
        .isEqualTo(calls);
  }

  @Test
  void theCommandChannelMovesAnEngine() throws IOException, InterruptedException {
    try (StatementServer second = new StatementServer();
        Client client = new Client(at).started()) {
      assertThat(client.ask(Client.task("safe", "00000000000000e1", "ok"))).endsWith("SELECT 2");
      // An engine goes, and a new one appears: the poll that is open is cut, the next one tells.
      engine.list =
          ("{'cursor':3,'cmds':["
                  + listed(2, "e", engine.address(), "gone")
                  + ','
                  + listed(3, "f", second.address(), "ready")
                  + "]}")
              .replace('\'', '"');
      for (Socket one : engine.open) {
        one.close();
      }
      String id = "00000000000000f";
      for (int i = 0; second.posted.getCount() > 0; i++) {
        client.ask(Client.task("safe", id + Integer.toHexString(i % 16), "ok"));
      }
      assertThat(engine.calls).anyMatch(call -> call.startsWith("GET /cmd/next?resume=1&block="));
    }
  }

  /**
   * Guards against a manager that ends on SIGHUP, or whose list stops there: the numbers go on at
   * the new address.
   */
  @Test
  void aNewConfigurationMovesTheCommandChannelUnderOpenTasks()
      throws IOException, InterruptedException {
    Path file = folder.resolve("new.json");
    try (StatementServer second = new StatementServer();
        Client client = new Client(at).started();
        Client open = new Client(at).started()) {
      ConfigurationReload reload = new ConfigurationReload(new ConfigFile(file.toString()));
      reload.setConsumer(service::configurationRead);
      SighupHandler.install(reload::onSignal);
      open.send(Client.message('Q', Client.task("safe", "00000000000000e3", "late")));
      second.list =
          ("{'cursor':3,'cmds':[" + listed(3, "e", engine.address(), "gone") + "]}")
              .replace('\'', '"');
      // Event 2 is in the file, event 3 comes from the new channel; 9 follows on from neither.
      String known =
          "'known':{'cursor':9,'cmds':["
              + listed(1, "e", engine.address(), "ready")
              + ','
              + listed(2, "f", second.address(), "ready")
              + ','
              + listed(9, "f", second.address(), "gone")
              + "]}";
      String next =
          config().replace("'channel':'" + engine.address(), "'channel':'" + second.address());
      next =
          next.substring(0, next.indexOf("'known'"))
              + known
              + next.substring(next.indexOf(",'settings'"));
      for (String text : List.of("{}", next.replace("'channel'", "'chanel'"), next)) {
        Files.writeString(file, text.replace('\'', '"'));
        new ProcessBuilder("kill", "-HUP", Long.toString(ProcessHandle.current().pid()))
            .start()
            .waitFor();
        Thread.sleep(200); // the machine may fold signals that come at once into one
        assertThat(client.ask("")).isEqualTo("empty");
      }
      String id = "00000000000000f";
      for (int i = 0; second.posted.getCount() > 0; i++) {
        client.ask(Client.task("safe", id + Integer.toHexString(i % 16), "ok"));
      }
      assertThat(open.answer()).isEqualTo("1,2,3;SELECT 1");
      assertThat(client.ask("SHOW STATS")).contains("configurations.read,1;");
      assertThat(second.calls)
          .anyMatch(call -> call.startsWith("GET /cmd/next?resume=2&block="))
          .anyMatch(call -> call.startsWith("GET /cmd/next?resume=3&block="));
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
  void anUnusableConfigurationIsSaidPlainly(String good, String bad) throws IOException {
    assertThatThrownBy(() -> read(config().replace(good, bad == null ? "" : bad)))
        .isInstanceOf(InvalidInputException.class);
    Path file = folder.resolve("config.json");
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    PrintStream to = new PrintStream(out, true, StandardCharsets.UTF_8);
    Files.writeString(file, config().replace(good, bad == null ? "" : bad).replace('\'', '"'));
    assertThat(Service.check(file.toString(), null, to)).isEqualTo(2);
    Files.writeString(file, config().replace('\'', '"'));
    assertThat(Service.check(file.toString(), null, to)).isZero();
    assertThat(out.toString(StandardCharsets.UTF_8))
        .isEqualTo("m: 2 service grades, 1 tenants, 1 engines\n");
    assertThat(Service.check(folder.resolve("none").toString(), null, to)).isEqualTo(2);
  }
}

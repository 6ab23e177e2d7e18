package tansytrack.service;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tansytrack.api.DecisionModule;
import tansytrack.service.ServiceTest.Client;

/** The manager's own start, shortage of descriptors, and end. */
class ServiceLifecycleTest extends ServiceFixture {

  /**
   * The module's view beside the sockets: one forward out, then none, and an engine whose answers
   * fail.
   */
  @Test
  void whatTheModuleSeesIsShownBesideTheSockets() throws IOException, InterruptedException {
    try (Client client = new Client(at).started();
        Client other = new Client(at).started()) {
      client.send(Client.message('Q', Client.task("once", "00000000000000c4", "silent")));
      engine.posted.await();
      assertThat(other.ask("show stats"))
          .contains(
              "engine.e.forwards.module,1;",
              "engine.e.forwards.sockets,1;",
              "engine.e.report.age.ms,-1;",
              "engine.e.excluded,0;");
      client.socket.close();
      assertThat(engine.deleted.await(MINUTE, TimeUnit.MILLISECONDS)).isTrue();
    }
    try (Client client = new Client(at).started()) {
      String told = client.ask("SHOW STATS");
      while (!told.contains("engine.e.forwards.module,0;")) {
        told = client.ask("SHOW STATS");
      }
      assertThat(told).contains("engine.e.forwards.sockets,0;");
    }
  }

  @ParameterizedTest
  @CsvSource({"safe, 53300", "once, 58000"})
  void whatIsOpenAtItsEndIsAnsweredBeforeTheKill(String grade, String code)
      throws IOException, InterruptedException {
    try (Client client = new Client(at).started()) {
      client.send(Client.message('Q', Client.task(grade, "00000000000000d1", "silent")));
      engine.posted.await();
      long from = System.nanoTime();
      service.terminate();
      assertThat(client.answer()).startsWith(code);
      // The longest deadline and 0.7 s more.
      assertThat(System.nanoTime() - from).isLessThan(1_000_000_000L);
    }
  }

  @Test
  void tasksThatComeWhileItEndsAreStillServed() throws IOException {
    try (Client client = new Client(at).started()) {
      service.terminate();
      assertThat(client.ask(Client.task("safe", "00000000000000d2", "ok"))).endsWith("SELECT 2");
      try (Client late = new Client(at).started()) {
        assertThat(late.ask(Client.task("safe", "00000000000000d3", "ok"))).endsWith("SELECT 2");
      }
      assertThat(client.answer()).isEqualTo("closed");
    }
  }

  /**
   * Guards against a manager that lags and has not yet read what came in time when it closes its
   * sessions: 0.6 s and some.
   */
  @Test
  void aTaskThatIsReadLateBehindSigtermIsStillServed() throws IOException {
    try (Client client = new Client(at).started()) {
      service.terminate();
      LockSupport.parkNanos(800_000_000L);
      assertThat(client.ask(Client.task("safe", "00000000000000d4", "ok"))).endsWith("SELECT 2");
    }
  }

  /**
   * Guards against tasks lost when descriptors run out: 65, of which 64 are spared and one is the
   * channel's.
   */
  @ParameterizedTest
  @CsvSource({"65, safe", "65, once"})
  void withoutADescriptorATaskIsBounced(int descriptors, String grade) throws Exception {
    end();
    start(config().replace("'sockets':256", "'sockets':" + descriptors));
    try (Client client = new Client(at).started()) {
      assertThat(client.ask(Client.task(grade, "00000000000000d4", "ok"))).startsWith("53300");
      assertThat(client.ask("SHOW STATS")).contains("forwards.ended.NEVER_SENT,2;");
    }
  }

  /**
   * Guards against crowds that hold all sessions: what has not started goes first, then what never
   * asked.
   */
  @Test
  void aCrowdMakesRoomForClients() throws Exception {
    end();
    start(config().replace("'sockets':256", "'sockets':64"));
    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < 31; i++) {
      clients.add(new Client(at).started());
      if (i < 30) {
        assertThat(clients.get(i).ask("SELECT 1")).startsWith("22023");
        // Of 64 descriptors none is left for an engine; it has asked all the same.
        assertThat(clients.get(i).ask(Client.task("safe", "00000000000000a1", "ok")))
            .startsWith("53300 no room");
      }
    }
    Client silent = new Client(at);
    assertThat(clients.get(0).ask("")).isEqualTo("empty"); // so the silent one has been taken in
    try (Client more = new Client(at).started();
        Client another = new Client(at).started()) {
      assertThat(silent.answer()).isEqualTo("53300 too many connections closed");
      assertThat(clients.get(30).answer()).isEqualTo("53300 too many connections closed");
      assertThat(more.ask("") + another.ask("")).isEqualTo("emptyempty");
    }
    for (Client one : clients.subList(0, 30)) {
      assertThat(one.ask("")).isEqualTo("empty");
      one.close();
    }
  }

  /**
   * Guards against an archive that lacks what serving needs: all but two of the 200 are tasks, and
   * are handled.
   */
  @Test
  void aRehearsalServesItsTasks() throws Exception {
    assertThat(Rehearsal.run(read(config()))).isEqualTo(198);
  }

  @Test
  void aFailureInsideTheDecisionsEndsItWithItsCause() throws Exception {
    Service failing =
        new Service(
            read(config()),
            (settings, actions) ->
                (DecisionModule)
                    Proxy.newProxyInstance(
                        getClass().getClassLoader(),
                        new Class<?>[] {DecisionModule.class},
                        (proxy, method, arguments) -> {
                          if (method.getName().equals("task")) {
                            throw new IllegalStateException("no idea");
                          }
                          return null;
                        }),
            Service.OptionalFeatures.NONE);
    try (Client client = new Client(failing.listen())) {
      client.send(Client.start(3 << 16));
      client.send(Client.message('Q', Client.task("safe", "00000000000000d5", "ok")));
      assertThatThrownBy(failing::run)
          .isInstanceOf(IllegalStateException.class)
          .hasMessage("no idea");
    }
  }
}

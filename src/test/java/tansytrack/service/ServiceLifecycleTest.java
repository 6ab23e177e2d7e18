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
import tansytrack.wire.MemoryBudget;

/** The manager's counters, shortage of file descriptors, shutdown and internal failures. */
class ServiceLifecycleTest extends ServiceFixture {

  /**
   * SHOW STATS shows the open forwards as counted by the decision code and by the sockets: one,
   * then none after the client has disconnected.
   */
  @Test
  void statsShowForwardsOfDecisionCodeAndSockets() throws IOException, InterruptedException {
    try (Client client = new Client(address).startSession();
        Client other = new Client(address).startSession()) {
      client.send(Client.message('Q', Client.task("once", "00000000000000c4", "silent")));
      engine.postAnswered.await();
      assertThat(other.query("show stats"))
          .contains(
              "engine.e.forwards.module,1;",
              "engine.e.forwards.sockets,1;",
              "engine.e.report.age.ms,-1;",
              "engine.e.excluded,0;");
      client.socket.close();
      assertThat(engine.deleteReceived.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
    }
    try (Client client = new Client(address).startSession()) {
      String stats = client.query("SHOW STATS");
      while (!stats.contains("engine.e.forwards.module,0;")) {
        stats = client.query("SHOW STATS");
      }
      assertThat(stats).contains("engine.e.forwards.sockets,0;");
    }
  }

  @ParameterizedTest
  @CsvSource({"safe, 53300", "once, 58000"})
  void openTasksAreAnsweredBeforeTheKill(String queryClass, String code)
      throws IOException, InterruptedException {
    try (Client client = new Client(address).startSession()) {
      client.send(Client.message('Q', Client.task(queryClass, "00000000000000d1", "silent")));
      engine.postAnswered.await();
      long terminatedAt = System.nanoTime();
      service.terminate();
      assertThat(client.readAnswer()).startsWith(code);
      // The longest deadline, 300 ms, and 0.7 s more.
      assertThat(System.nanoTime() - terminatedAt).isLessThan(1_000_000_000L);
    }
  }

  @Test
  void tasksThatArriveDuringShutdownAreServed() throws IOException {
    try (Client client = new Client(address).startSession()) {
      service.terminate();
      assertThat(client.query(Client.task("safe", "00000000000000d2", "ok"))).endsWith("SELECT 2");
      try (Client late = new Client(address).startSession()) {
        assertThat(late.query(Client.task("safe", "00000000000000d3", "ok"))).endsWith("SELECT 2");
      }
      assertThat(client.readAnswer()).isEqualTo("closed");
    }
  }

  /**
   * Guards against a lagging manager that closes its sessions before it has read requests that
   * arrived in time, up to 0.6 s after SIGTERM.
   */
  @Test
  void aTaskThatIsReadLateAfterSigtermIsServed() throws IOException {
    try (Client client = new Client(address).startSession()) {
      service.terminate();
      LockSupport.parkNanos(800_000_000L);
      assertThat(client.query(Client.task("safe", "00000000000000d4", "ok"))).endsWith("SELECT 2");
    }
  }

  /**
   * Guards against tasks lost when file descriptors run out: of 65, 64 are reserved and the channel
   * uses one.
   */
  @ParameterizedTest
  @CsvSource({"65, safe", "65, once"})
  void withoutAFileDescriptorATaskIsRejected(int descriptors, String queryClass) throws Exception {
    stopManager();
    start(config().replace("'sockets':256", "'sockets':" + descriptors));
    try (Client client = new Client(address).startSession()) {
      assertThat(client.query(Client.task(queryClass, "00000000000000d4", "ok")))
          .startsWith("53300");
      assertThat(client.query("SHOW STATS")).contains("forwards.ended.NEVER_SENT,2;");
    }
  }

  /**
   * Guards against clients that occupy all sessions: sessions that have not completed their startup
   * are closed first, then those that have never sent a query.
   */
  @Test
  void idleSessionsAreClosedForNewClients() throws Exception {
    stopManager();
    start(config().replace("'sockets':256", "'sockets':64"));
    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < 31; i++) {
      clients.add(new Client(address).startSession());
      if (i < 30) {
        assertThat(clients.get(i).query("SELECT 1")).startsWith("22023");
        // None of the 64 descriptors is left for an engine, but the session has sent a query.
        assertThat(clients.get(i).query(Client.task("safe", "00000000000000a1", "ok")))
            .startsWith("53300 no room");
      }
    }
    Client silent = new Client(address);
    // An answer here shows that the silent connection, which was opened before, has been accepted.
    assertThat(clients.get(0).query("")).isEqualTo("empty");
    try (Client first = new Client(address).startSession();
        Client second = new Client(address).startSession()) {
      assertThat(silent.readAnswer()).isEqualTo("53300 too many connections closed");
      assertThat(clients.get(30).readAnswer()).isEqualTo("53300 too many connections closed");
      assertThat(first.query("") + second.query("")).isEqualTo("emptyempty");
    }
    for (Client client : clients.subList(0, 30)) {
      assertThat(client.query("")).isEqualTo("empty");
      client.close();
    }
  }

  /**
   * Guards against a class data archive that lacks classes which serving needs: all but two of the
   * 200 statements are tasks, and are handled.
   */
  @Test
  void aRehearsalServesItsTasks() throws Exception {
    assertThat(Rehearsal.run(parse(config()))).isEqualTo(198);
  }

  @Test
  void aFailureInTheDecisionCodeEndsTheLoopWithItsCause() throws Exception {
    Service failing =
        new Service(
            parse(config()),
            (settings, actions) ->
                (DecisionModule)
                    Proxy.newProxyInstance(
                        getClass().getClassLoader(),
                        new Class<?>[] {DecisionModule.class},
                        (proxy, method, arguments) -> {
                          if (method.getName().equals("onTask")) {
                            throw new IllegalStateException("no idea");
                          }
                          return null;
                        }),
            Service.OptionalFeatures.NONE,
            MemoryBudget.limitByHeap());
    try (Client client = new Client(failing.listen())) {
      client.send(Client.startupMessage(3 << 16));
      client.send(Client.message('Q', Client.task("safe", "00000000000000d5", "ok")));
      assertThatThrownBy(failing::run)
          .isInstanceOf(IllegalStateException.class)
          .hasMessage("no idea");
    }
  }
}

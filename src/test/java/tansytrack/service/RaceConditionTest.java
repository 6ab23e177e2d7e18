package tansytrack.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import tansytrack.service.ServiceTest.Client;

/**
 * Races between two events, each in the harmful order, over real connections with scripted peers.
 */
class RaceConditionTest {

  private static final int TIMEOUT_MS = 60_000;
  private static final String RESULT =
      Rehearsal.response("200 OK", "Page-Count: 1\r\nWork-Ms: 5\r\nPeak-Mb: 2\r\n", "a\tb\tc\n");
  private static final String STILL_RUNNING = Rehearsal.response("202 Accepted", "", "");

  private final List<AutoCloseable> resources = new ArrayList<>();
  private ServiceFixture.RunningManager running;
  private Service service;
  private InetSocketAddress address;

  private ScriptedServer scriptedServer() throws IOException {
    ScriptedServer server = new ScriptedServer();
    resources.add(server);
    return server;
  }

  private void start(String config) throws Exception {
    running = new ServiceFixture.RunningManager(config);
    service = running.service;
    address = running.address;
  }

  private static String config(ScriptedServer engine, ScriptedServer channel) {
    return ServiceTest.config(engine.address())
        .replace("'channel':'" + engine.address(), "'channel':'" + channel.address());
  }

  @AfterEach
  void stop() throws Exception {
    try {
      running.stop();
    } finally {
      for (AutoCloseable resource : resources) {
        resource.close();
      }
    }
  }

  private static String awaitStats(Client client, String expected) throws IOException {
    long end = System.nanoTime() + 20_000_000_000L;
    String stats = client.query("SHOW STATS");
    while (!stats.contains(expected)) {
      assertThat(System.nanoTime()).as("waiting for %s", expected).isLessThan(end);
      stats = client.query("SHOW STATS");
    }
    return stats;
  }

  /**
   * A client disconnects while the connection for its query is being established: the query must
   * not start, even where queries cannot be cancelled.
   */
  @Test
  void noQueryIsSentOnAConnectionEstablishedAfterItsClientLeft() throws Exception {
    ScriptedServer engine = scriptedServer().fillAcceptQueue();
    start(
        config(engine, scriptedServer().startAccepting())
            .replace("'cancel':true", "'cancel':false"));
    try (Client other = new Client(address).startSession()) {
      try (Client client = new Client(address).startSession()) {
        client.send(Client.message('Q', Client.task("safe", "00000000000000a1", "ok")));
        awaitStats(other, "engine.e.forwards.sockets,1;");
      }
      awaitStats(other, "clients.left,1;");
      engine.startAccepting();
      // TCP repeats its SYN a second later, and then the connection is established.
      assertThat(engine.nextRequest(2500)).isNull();
      assertThat(awaitStats(other, "engine.e.forwards.sockets,0;"))
          .contains("forwards.ended.NEVER_SENT,1;");
    }
  }

  /**
   * An engine begins to drain while the connection for a query to it is being established: the
   * query must not start there.
   */
  @Test
  void noQueryIsSentOnAConnectionEstablishedAfterTheDrain() throws Exception {
    ScriptedServer engine = scriptedServer().fillAcceptQueue();
    ScriptedServer channel = scriptedServer().startAccepting();
    AtomicReference<String> channelAnswer = new AtomicReference<>("{\"cursor\":1,\"cmds\":[]}");
    Thread channelThread =
        new Thread(
            () -> {
              try {
                while (true) {
                  channel
                      .nextRequest(TIMEOUT_MS)
                      .respond(Rehearsal.response("200 OK", "", channelAnswer.get()));
                }
              } catch (Exception e) {
                // the test has ended
              }
            });
    channelThread.setDaemon(true);
    channelThread.start();
    start(config(engine, channel));
    try (Client client = new Client(address).startSession();
        Client other = new Client(address).startSession()) {
      client.send(Client.message('Q', Client.task("safe", "00000000000000a2", "ok")));
      awaitStats(other, "engine.e.forwards.sockets,1;");
      channelAnswer.set(
          ("{'cursor':2,'cmds':["
                  + ServiceTest.engineEvent(2, "e", engine.address(), "draining")
                  + "]}")
              .replace('\'', '"'));
      // The forward is withdrawn when the event arrives. The task is rejected once its budget of
      // 4 s, a fifth of its time, has passed.
      awaitStats(other, "forwards.ended.NEVER_SENT,1;");
      engine.startAccepting();
      assertThat(engine.nextRequest(2500)).isNull();
      assertThat(client.readAnswer()).startsWith("53300");
    }
  }

  /**
   * A machine is partitioned from the network while a query is being cancelled. Old connections
   * accept the DELETE requests without delivering them, which does not prove that the query ended.
   */
  @Test
  void oldConnectionsToAPartitionedMachineProveNoEnd() throws Exception {
    ScriptedServer engine = scriptedServer().startAccepting();
    start(
        config(engine, scriptedServer().startAccepting())
            .replace("'connect_timeout_ms':5000", "'connect_timeout_ms':250"));
    try (Client client = new Client(address).startSession();
        Client second = new Client(address).startSession();
        Client third = new Client(address).startSession()) {
      List<ScriptedServer.Request> posts = new ArrayList<>();
      for (Client sender : List.of(client, second, third)) {
        sender.send(
            Client.message('Q', Client.task("safe", "00000000000000b" + posts.size(), "ok")));
        posts.add(engine.nextRequest(TIMEOUT_MS));
      }
      for (int i = 0; i < 3; i++) {
        posts.get(i).respond(RESULT);
      }
      for (Client sender : List.of(client, second, third)) {
        assertThat(sender.readAnswer()).endsWith("SELECT 1");
      }
      Thread.sleep(50); // until the three connections are idle
      client.send(Client.message('Q', Client.task("safe", "00000000000000b7", "ok")));
      assertThat(engine.nextRequest(TIMEOUT_MS).respond(STILL_RUNNING).text()).startsWith("POST");
      assertThat(engine.nextRequest(TIMEOUT_MS).text()).isEqualTo("GET /o/00000000000000b7/0");
      long requestedAt = System.nanoTime();
      engine.fillAcceptQueue();
      client.socket.close();
      awaitStats(second, "engine.e.forwards.sockets,0;");
      assertThat(System.nanoTime() - requestedAt)
          .as("two periods of 2 s without a poll")
          .isGreaterThan(4_000_000_000L);
    }
  }

  /**
   * A long poll of the command channel hangs while an engine begins to drain. It times out early
   * enough, and nothing is sent to the engine after the event was received.
   */
  @Test
  void aHangingPollTimesOutAndTheNextOneReportsTheDrain() throws Exception {
    ScriptedServer engine = scriptedServer().startAccepting();
    ScriptedServer channel = scriptedServer().startAccepting();
    Thread first =
        new Thread(
            () -> {
              try {
                channel
                    .nextRequest(TIMEOUT_MS)
                    .respond(Rehearsal.response("200 OK", "", "{\"cursor\":1,\"cmds\":[]}"));
              } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
              }
            });
    first.start();
    start(config(engine, channel));
    first.join();
    ScriptedServer.Request hangingPoll = channel.nextRequest(TIMEOUT_MS);
    assertThat(hangingPoll.text()).startsWith("GET /cmd/next?resume=1&block=1000");
    long polledAt = System.nanoTime();
    ScriptedServer.Request nextPoll = channel.nextRequest(TIMEOUT_MS);
    assertThat(System.nanoTime() - polledAt)
        .as("less than the block and 2 s, after which events count as delivered")
        .isLessThan(2_500_000_000L);
    assertThat(nextPoll.text()).startsWith("GET /cmd/next?resume=1&block=1000");
    assertThat(nextPoll.connection()).isNotSameAs(hangingPoll.connection());
    // An answer to the poll that timed out has no effect any more.
    try {
      hangingPoll.respond(
          Rehearsal.response(
              "200 OK",
              "",
              ("{'cursor':3,'cmds':["
                      + ServiceTest.engineEvent(3, "e", engine.address(), "ready")
                      + "]}")
                  .replace('\'', '"')));
    } catch (IOException e) {
      // the connection may be closed already
    }
    nextPoll.respond(
        Rehearsal.response(
            "200 OK",
            "",
            ("{'cursor':2,'cmds':["
                    + ServiceTest.engineEvent(2, "e", engine.address(), "draining")
                    + "]}")
                .replace('\'', '"')));
    assertThat(channel.nextRequest(TIMEOUT_MS).text()).startsWith("GET /cmd/next?resume=2&");
    try (Client client = new Client(address).startSession()) {
      assertThat(client.query(Client.task("safe", "00000000000000c1", "ok"))).startsWith("53300");
    }
    assertThat(engine.nextRequest(0)).isNull();
  }

  /**
   * A new configuration arrives after SIGTERM: the manager polls the new command channel while it
   * still serves tasks.
   */
  @Test
  void aManagerThatShutsDownStillFollowsTheChannel() throws Exception {
    ScriptedServer engine = scriptedServer().startAccepting();
    ScriptedServer channel = scriptedServer().startAccepting();
    ScriptedServer newChannel = scriptedServer().startAccepting();
    String config = config(engine, channel);
    start(config);
    try (Client client = new Client(address).startSession()) {
      service.terminate();
      String newConfig =
          config.replace("'channel':'" + channel.address(), "'channel':'" + newChannel.address());
      service.configurationRead(
          new ConfigFile.LoadedConfig(
              ServiceTest.parse(newConfig), newChannel.socketAddress(), "test"));
      ScriptedServer.Request poll = newChannel.nextRequest(TIMEOUT_MS);
      assertThat(poll.text()).startsWith("GET /cmd/next?resume=1&");
      poll.respond(
          Rehearsal.response(
              "200 OK",
              "",
              ("{'cursor':2,'cmds':["
                      + ServiceTest.engineEvent(2, "e", engine.address(), "draining")
                      + "]}")
                  .replace('\'', '"')));
      newChannel.nextRequest(TIMEOUT_MS);
      assertThat(client.query(Client.task("safe", "00000000000000d1", "ok"))).startsWith("53300");
    }
    assertThat(engine.nextRequest(0)).isNull();
  }
}

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
 * Two events that cross, each in the order that does harm, over real connections: peers that do
 * only what the test says.
 */
class RaceConditionTest {

  private static final int MINUTE = 60_000;
  private static final String GOOD =
      Rehearsal.response("200 OK", "Page-Count: 1\r\nWork-Ms: 5\r\nPeak-Mb: 2\r\n", "a\tb\tc\n");
  private static final String NOT_OVER = Rehearsal.response("202 Accepted", "", "");

  private final List<AutoCloseable> open = new ArrayList<>();
  private ServiceFixture.Running running;
  private Service service;
  private InetSocketAddress at;

  private ScriptedPeer peer() throws IOException {
    ScriptedPeer peer = new ScriptedPeer();
    open.add(peer);
    return peer;
  }

  private void start(String config) throws Exception {
    running = new ServiceFixture.Running(config);
    service = running.service;
    at = running.at;
  }

  private static String config(ScriptedPeer engine, ScriptedPeer channel) {
    return ServiceTest.config(engine.address())
        .replace("'channel':'" + engine.address(), "'channel':'" + channel.address());
  }

  @AfterEach
  void stop() throws Exception {
    try {
      running.end();
    } finally {
      for (AutoCloseable one : open) {
        one.close();
      }
    }
  }

  private static String until(Client client, String said) throws IOException {
    long end = System.nanoTime() + 20_000_000_000L;
    String told = client.ask("SHOW STATS");
    while (!told.contains(said)) {
      assertThat(System.nanoTime()).as("waiting for %s", said).isLessThan(end);
      told = client.ask("SHOW STATS");
    }
    return told;
  }

  /**
   * A client leaves while the connection for its query comes up: the query must not begin, also
   * where nothing can be cancelled.
   */
  @Test
  void aConnectionThatComesUpBehindItsClientCarriesNothing() throws Exception {
    ScriptedPeer engine = peer().full();
    start(config(engine, peer().accepting()).replace("'cancel':true", "'cancel':false"));
    try (Client other = new Client(at).started()) {
      try (Client client = new Client(at).started()) {
        client.send(Client.message('Q', Client.task("safe", "00000000000000a1", "ok")));
        until(other, "engine.e.forwards.sockets,1;");
      }
      until(other, "clients.left,1;");
      engine.accepting();
      // The machine tries a connection again a second later, and then it comes up.
      assertThat(engine.next(2500)).isNull();
      assertThat(until(other, "engine.e.forwards.sockets,0;"))
          .contains("forwards.ended.NEVER_SENT,1;");
    }
  }

  /**
   * An engine is told to drain while the connection for a query to it comes up: the query must not
   * begin there.
   */
  @Test
  void aConnectionThatComesUpBehindTheDrainCarriesNothing() throws Exception {
    ScriptedPeer engine = peer().full();
    ScriptedPeer channel = peer().accepting();
    AtomicReference<String> news = new AtomicReference<>("{\"cursor\":1,\"cmds\":[]}");
    Thread teller =
        new Thread(
            () -> {
              try {
                while (true) {
                  channel.next(MINUTE).answer(Rehearsal.response("200 OK", "", news.get()));
                }
              } catch (Exception e) {
                // the test is over
              }
            });
    teller.setDaemon(true);
    teller.start();
    start(config(engine, channel));
    try (Client client = new Client(at).started();
        Client other = new Client(at).started()) {
      client.send(Client.message('Q', Client.task("safe", "00000000000000a2", "ok")));
      until(other, "engine.e.forwards.sockets,1;");
      news.set(
          ("{'cursor':2,'cmds':[" + ServiceTest.listed(2, "e", engine.address(), "draining") + "]}")
              .replace('\'', '"'));
      // Taken back as the news comes, and refused once its budget of a fifth of its time, 4 s, has
      // passed.
      until(other, "forwards.ended.NEVER_SENT,1;");
      engine.accepting();
      assertThat(engine.next(2500)).isNull();
      assertThat(client.answer()).startsWith("53300");
    }
  }

  /**
   * A machine is cut off as a query is given up: old connections swallow the calls for that, and
   * prove no end of the query.
   */
  @Test
  void oldConnectionsThatSwallowAllProveNoEnd() throws Exception {
    ScriptedPeer engine = peer().accepting();
    start(
        config(engine, peer().accepting())
            .replace("'connect_timeout_ms':5000", "'connect_timeout_ms':250"));
    try (Client client = new Client(at).started();
        Client second = new Client(at).started();
        Client third = new Client(at).started()) {
      List<ScriptedPeer.Call> posts = new ArrayList<>();
      for (Client one : List.of(client, second, third)) {
        one.send(Client.message('Q', Client.task("safe", "00000000000000b" + posts.size(), "ok")));
        posts.add(engine.next(MINUTE));
      }
      for (int i = 0; i < 3; i++) {
        posts.get(i).answer(GOOD);
      }
      for (Client one : List.of(client, second, third)) {
        assertThat(one.answer()).endsWith("SELECT 1");
      }
      Thread.sleep(50); // the three connections rest
      client.send(Client.message('Q', Client.task("safe", "00000000000000b7", "ok")));
      assertThat(engine.next(MINUTE).answer(NOT_OVER).text()).startsWith("POST");
      assertThat(engine.next(MINUTE).text()).isEqualTo("GET /o/00000000000000b7/0");
      long asked = System.nanoTime();
      engine.full();
      client.socket.close();
      until(second, "engine.e.forwards.sockets,0;");
      assertThat(System.nanoTime() - asked)
          .as("twice 2 s in which nobody asked for it")
          .isGreaterThan(4_000_000_000L);
    }
  }

  /**
   * A watch stands open and silent as an engine is told to drain: it is given up in time, and
   * nothing is sent behind the news.
   */
  @Test
  void aSilentWatchIsGivenUpAndTheDrainBehindItIsKept() throws Exception {
    ScriptedPeer engine = peer().accepting();
    ScriptedPeer channel = peer().accepting();
    Thread first =
        new Thread(
            () -> {
              try {
                channel
                    .next(MINUTE)
                    .answer(Rehearsal.response("200 OK", "", "{\"cursor\":1,\"cmds\":[]}"));
              } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
              }
            });
    first.start();
    start(config(engine, channel));
    first.join();
    ScriptedPeer.Call silent = channel.next(MINUTE);
    assertThat(silent.text()).startsWith("GET /cmd/next?resume=1&block=1000");
    long asked = System.nanoTime();
    ScriptedPeer.Call again = channel.next(MINUTE);
    assertThat(System.nanoTime() - asked)
        .as("under the requested wait and 2 s, when the news counts as told")
        .isLessThan(2_500_000_000L);
    assertThat(again.text()).startsWith("GET /cmd/next?resume=1&block=1000");
    assertThat(again.on()).isNotSameAs(silent.on());
    // What the silent one says now belongs to nothing any more.
    try {
      silent.answer(
          Rehearsal.response(
              "200 OK",
              "",
              ("{'cursor':3,'cmds':["
                      + ServiceTest.listed(3, "e", engine.address(), "ready")
                      + "]}")
                  .replace('\'', '"')));
    } catch (IOException e) {
      // it may be closed already
    }
    again.answer(
        Rehearsal.response(
            "200 OK",
            "",
            ("{'cursor':2,'cmds':["
                    + ServiceTest.listed(2, "e", engine.address(), "draining")
                    + "]}")
                .replace('\'', '"')));
    assertThat(channel.next(MINUTE).text()).startsWith("GET /cmd/next?resume=2&");
    try (Client client = new Client(at).started()) {
      assertThat(client.ask(Client.task("safe", "00000000000000c1", "ok"))).startsWith("53300");
    }
    assertThat(engine.next(0)).isNull();
  }

  /**
   * SIGTERM and a new configuration cross: the list is followed to its new place for as long as
   * tasks are served.
   */
  @Test
  void aManagerThatEndsStillFollowsTheList() throws Exception {
    ScriptedPeer engine = peer().accepting();
    ScriptedPeer channel = peer().accepting();
    ScriptedPeer moved = peer().accepting();
    String config = config(engine, channel);
    start(config);
    try (Client client = new Client(at).started()) {
      service.terminate();
      String next =
          config.replace("'channel':'" + channel.address(), "'channel':'" + moved.address());
      service.configurationRead(
          new ConfigFile.LoadedConfig(ServiceTest.read(next), moved.at(), "test"));
      ScriptedPeer.Call asked = moved.next(MINUTE);
      assertThat(asked.text()).startsWith("GET /cmd/next?resume=1&");
      asked.answer(
          Rehearsal.response(
              "200 OK",
              "",
              ("{'cursor':2,'cmds':["
                      + ServiceTest.listed(2, "e", engine.address(), "draining")
                      + "]}")
                  .replace('\'', '"')));
      moved.next(MINUTE);
      assertThat(client.ask(Client.task("safe", "00000000000000d1", "ok"))).startsWith("53300");
    }
    assertThat(engine.next(0)).isNull();
  }
}

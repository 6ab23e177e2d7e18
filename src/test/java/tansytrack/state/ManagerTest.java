package tansytrack.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import tansytrack.Decide;
import tansytrack.api.EngineEntry;
import tansytrack.settings.ManagerConfig;
import tansytrack.wire.Connection;
import tansytrack.wire.Json;
import tansytrack.wire.PgSession;
import tansytrack.wire.ProtocolException;
import tansytrack.wire.Sockets;

/**
 * Tests actions and events that overlap: the module acts on a task or an engine that is gone by
 * then.
 */
class ManagerTest {

  private static final long MS = 1_000_000L;
  private static final InetSocketAddress UNUSED_ADDRESS = new InetSocketAddress("127.0.0.1", 1);
  private static final String CONFIG =
      "{'name':'m','listen':'127.0.0.1:0','seed':'1','limits':{'sockets':256},"
          + "'channel':'127.0.0.1:1','settings':{'skus':['k'],'extra':{'cpu_of_kind':[4],"
          + "'memory_heeded':true},"
          + "'grades':[{'name':'safe','repeat':'idempotent','deadline_ms':20000,'worth':1}],"
          + "'tenants':[{'name':'a',"
          + "'portion':1}],'policy_limits':{'may_probe':true,'cancel':true,'max_attempts':3,"
          + "'connect_timeout_ms':250}}}";

  private final Timers timers = new Timers();
  private final Sockets sockets = new Sockets(event -> {}, () -> 0);
  private final Manager manager;
  private final PgSession session;

  ManagerTest() throws ProtocolException {
    timers.now(1000 * MS);
    manager =
        new Manager(
            ManagerConfig.fromJson(
                Json.parse(CONFIG.replace('\'', '"').getBytes(StandardCharsets.UTF_8))),
            timers,
            sockets,
            Decide::new,
            TaskListener.NONE,
            PeerManagers.NONE);
    Connection connection =
        sockets.connect(
            UNUSED_ADDRESS,
            1 << 16,
            new Connection.Owner() {
              @Override
              public void received(long at) {}

              @Override
              public void closed(boolean wasUp) {}
            });
    session = new PgSession(connection, manager, 1, 2);
    listEngine("READY");
    manager.processPending();
  }

  @AfterEach
  void close() {
    sockets.close();
  }

  private void listEngine(String state) {
    manager.engines(
        false,
        List.of(new EngineEntry("e", 1, "", "k", 0, EngineEntry.State.valueOf(state), 0)),
        Map.of("e", UNUSED_ADDRESS));
  }

  private void sendQuery() {
    manager.query(
        session,
        "/* class=safe,id=00000000000000a1,wait=9000 */ SELECT 1".getBytes(StandardCharsets.UTF_8),
        timers.now());
  }

  /**
   * The manager must not fail if a client leaves in the iteration of the loop in which its task is
   * forwarded.
   */
  @ParameterizedTest(name = "left before the decision: {0}")
  @CsvSource({"true, forwards.ended.NEVER_SENT", "false, forwards.ended.UNREACHED"})
  void abandonedTaskEndsItsForwardInTheSameIteration(
      boolean leavesBeforeDecision, String endCounter) {
    sendQuery();
    if (leavesBeforeDecision) {
      manager.sessionEnded(session);
    }
    manager.processPending();
    // No connection is ever established: what was sent ends after the connect timeout.
    timers.now(timers.now() + 250 * MS);
    timers.runDue();
    assertThat(manager.counters().get(endCounter)).isEqualTo(1);
    assertThat(manager.counters().get("tasks.taken")).isEqualTo(1);
    assertThat(manager.counters().get("tasks.abandoned")).isEqualTo(leavesBeforeDecision ? 1 : 0);
    assertThat(manager.idle()).isEqualTo(leavesBeforeDecision);
  }

  /**
   * The manager must not fail if an engine leaves in the iteration of the loop in which it is
   * probed.
   */
  @ParameterizedTest
  @ValueSource(strings = {"GONE", "DRAINING"})
  void engineMayLeaveWhileItIsProbed(String state) {
    timers.now(timers.now() + 60_000 * MS);
    timers.runDue();
    listEngine(state);
    manager.processPending();
    assertThat(manager.counters().get("probes.sent")).isEqualTo(1);
  }

  /**
   * An engine that is listed again must be usable, also if that happens in the iteration of the
   * loop in which the periodic check would remove it.
   */
  @ParameterizedTest(name = "{0} ms later")
  @ValueSource(longs = {0, 5000})
  void engineMayBeListedAgain(long later) {
    listEngine("GONE");
    manager.processPending();
    timers.now(timers.now() + later * MS);
    timers.runDue();
    listEngine("READY");
    sendQuery();
    manager.processPending();
    assertThat(manager.counters().get("forwards.sent")).isEqualTo(1);
    assertThat(manager.engineCount()).isEqualTo(1);
  }

  /**
   * A forward that cannot be cancelled, as the engine's machine does not respond, must not end
   * before the engine has certainly dropped the query. Otherwise a second query could run next to
   * it. An engine drops a query that was not polled for 2 s and checks for such queries every 2 s;
   * the last poll may have been held open for 250 ms, and 150 ms are added for the network. The
   * connect timeout is 250 ms.
   */
  @ParameterizedTest(name = "after {0} ms: {1} ended")
  @CsvSource({"260, 0", "2010, 0", "2400, 0", "4010, 0", "4260, 0", "4400, 1"})
  void forwardThatCannotBeCancelledEndsWhenItsQueryExpires(long after, long ended) {
    sendQuery();
    manager.processPending();
    manager.cancel("00000000000000a1", 0);
    long from = timers.now();
    for (long at = 10; at <= after; at += 10) {
      timers.now(from + at * MS);
      timers.runDue();
    }
    assertThat(manager.counters().get("forwards.ended.CANCELLED")).isEqualTo(ended);
  }
}

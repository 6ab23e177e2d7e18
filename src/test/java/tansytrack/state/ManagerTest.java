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

/** News that cross: what the module still does with a task or an engine that is gone by then. */
class ManagerTest {

  private static final long MS = 1_000_000L;
  private static final InetSocketAddress NOBODY = new InetSocketAddress("127.0.0.1", 1);
  private static final String CONFIG =
      "{'name':'m','listen':'127.0.0.1:0','seed':'1','limits':{'sockets':256},"
          + "'channel':'127.0.0.1:1','settings':{'skus':['k'],'extra':{'cpu_of_kind':[4],"
          + "'memory_heeded':true},"
          + "'grades':[{'name':'safe','repeat':'idempotent','deadline_ms':20000,'worth':1}],"
          + "'tenants':[{'name':'a',"
          + "'portion':1}],'policy_limits':{'may_probe':true,'cancel':true,'max_attempts':3,"
          + "'connect_timeout_ms':250}}}";

  private final Timers timers = new Timers();
  private final Sockets sockets = new Sockets(note -> {}, () -> 0);
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
            NOBODY,
            1 << 16,
            new Connection.Owner() {
              @Override
              public void received(long at) {}

              @Override
              public void closed(boolean wasUp) {}
            });
    session = new PgSession(connection, manager, 1, 2);
    list("READY");
    manager.processPending();
  }

  @AfterEach
  void close() {
    sockets.close();
  }

  private void list(String state) {
    manager.engines(
        false,
        List.of(new EngineEntry("e", 1, "", "k", 0, EngineEntry.State.valueOf(state), 0)),
        Map.of("e", NOBODY));
  }

  private void ask() {
    manager.query(
        session,
        "/* class=safe,id=00000000000000a1,wait=9000 */ SELECT 1".getBytes(StandardCharsets.UTF_8),
        timers.now());
  }

  /** Guards against a manager that dies of a client which leaves in the same turn of the loop. */
  @ParameterizedTest(name = "left before the turn: {0}")
  @CsvSource({"true, forwards.ended.NEVER_SENT", "false, forwards.ended.UNREACHED"})
  void aTaskThatIsLeftInTheSameTurnIsNeverSent(boolean before, String end) {
    ask();
    if (before) {
      manager.sessionEnded(session);
    }
    manager.processPending();
    // Nothing ever comes up: what was sent is given up after its time.
    timers.now(timers.now() + 250 * MS);
    timers.runDue();
    assertThat(manager.counters().get(end)).isEqualTo(1);
    assertThat(manager.counters().get("tasks.taken")).isEqualTo(1);
    assertThat(manager.counters().get("tasks.abandoned")).isEqualTo(before ? 1 : 0);
    assertThat(manager.idle()).isEqualTo(before);
  }

  /**
   * Guards against a manager that dies of an engine which goes in the turn in which it is probed.
   */
  @ParameterizedTest
  @ValueSource(strings = {"GONE", "DRAINING"})
  void anEngineMayGoInTheTurnInWhichItIsProbed(String state) {
    timers.now(timers.now() + 60_000 * MS);
    timers.runDue();
    list(state);
    manager.processPending();
    assertThat(manager.counters().get("probes.sent")).isEqualTo(1);
  }

  /** Guards against an engine that is listed again in the turn of a sweep which forgets it. */
  @ParameterizedTest(name = "{0} ms later")
  @ValueSource(longs = {0, 5000})
  void anEngineMayComeBack(long later) {
    list("GONE");
    manager.processPending();
    timers.now(timers.now() + later * MS);
    timers.runDue();
    list("READY");
    ask();
    manager.processPending();
    assertThat(manager.counters().get("forwards.sent")).isEqualTo(1);
    assertThat(manager.engineCount()).isEqualTo(1);
  }

  /**
   * Guards against a second copy: what a silent machine was never told to drop stays out until it
   * must have.
   */
  @ParameterizedTest(name = "after {0} ms: {1} ended")
  @CsvSource({"260, 0", "2010, 0", "2400, 0", "4010, 0", "4260, 0", "4400, 1"})
  void whatCannotBeGivenUpStaysOutUntilItsEngineDropsIt(long after, long ended) {
    ask();
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

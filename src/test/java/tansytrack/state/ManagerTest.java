package tansytrack.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import tansytrack.Decide;
import tansytrack.api.Actions;
import tansytrack.api.DecisionModule;
import tansytrack.api.EngineEntry;
import tansytrack.api.Outcome;
import tansytrack.api.Settings;
import tansytrack.api.TaskRequest;
import tansytrack.ledger.EntryTracker;
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
  private static final String TASK_ID = "00000000000000a1";
  private static final InetSocketAddress UNUSED_ADDRESS = new InetSocketAddress("127.0.0.1", 1);
  private static final String CONFIG =
      "{'name':'m','listen':'127.0.0.1:0','seed':'1','limits':{'sockets':256},"
          + "'channel':'127.0.0.1:1','settings':{'skus':['k'],'extra':{'cpu_of_kind':[4],"
          + "'memory_heeded':true},"
          + "'grades':[{'name':'safe','repeat':'idempotent','deadline_ms':20000,'worth':1}],"
          + "'tenants':[{'name':'a',"
          + "'portion':1}],'policy_limits':{'may_probe':true,'cancel':true,'max_attempts':3,"
          + "'connect_timeout_ms':250}}}";

  /** Records tasks as the ledger does, which fails if a forward is sent for a completed entry. */
  private static final class EntryRecorder implements TaskListener {
    private final EntryTracker entries = new EntryTracker((queryClass, end, duration) -> 0);
    private int forwards;

    @Override
    public void taskAccepted(long now, TaskRequest request) {
      entries.taskAccepted(now, request.id(), request.tenant(), request.queryClass());
    }

    @Override
    public void beforeForward(
        long now, String task, int index, String engine, long memoryMb, Runnable send) {
      forwards++;
      entries.forwardSent(now, task, index, engine, memoryMb);
      send.run();
    }

    @Override
    public void forwardEnded(
        long now,
        String task,
        int index,
        Outcome outcome,
        long work,
        double memoryMb,
        boolean served) {
      entries.forwardEnded(now, task, index, outcome.name(), work, memoryMb, served);
    }

    @Override
    public void beforeAnswer(long now, String task, TaskEnd end, long bytes, Runnable sendAnswer) {
      entries.taskAnswered(now, task, tansytrack.ledger.TaskEnd.valueOf(end.name()), bytes);
      sendAnswer.run();
    }
  }

  private final Timers timers = new Timers();
  private final Sockets sockets = new Sockets(event -> {}, () -> 0);
  private final Manager manager = manager(Decide::new, new EntryRecorder());
  private final PgSession session = session(manager);

  ManagerTest() throws ProtocolException {
    listEngine("READY");
    manager.processPending();
  }

  private Manager manager(
      BiFunction<Settings, Actions, DecisionModule> moduleFactory, TaskListener listener)
      throws ProtocolException {
    timers.now(1000 * MS);
    return new Manager(
        ManagerConfig.fromJson(
            Json.parse(CONFIG.replace('\'', '"').getBytes(StandardCharsets.UTF_8))),
        timers,
        sockets,
        moduleFactory,
        listener,
        PeerManagers.NONE);
  }

  /** Returns a session on a connection that is never established. */
  private PgSession session(Manager owner) {
    Connection connection =
        sockets.connect(
            UNUSED_ADDRESS,
            1 << 16,
            null,
            new Connection.Owner() {
              @Override
              public void received(long at) {}

              @Override
              public void closed(boolean wasUp) {}
            });
    return new PgSession(connection, owner, 1, 2);
  }

  @AfterEach
  void close() {
    sockets.close();
  }

  private void listEngine(String state) {
    listEngine(manager, state);
  }

  private static void listEngine(Manager receiver, String state) {
    receiver.engines(
        false,
        List.of(new EngineEntry("e", 1, "", "k", 0, EngineEntry.State.valueOf(state), 0)),
        Map.of("e", UNUSED_ADDRESS));
  }

  private void sendQuery() {
    sendQuery(manager, session);
  }

  private void sendQuery(Manager receiver, PgSession sender) {
    String query = "/* class=safe,id=" + TASK_ID + ",wait=9000 */ SELECT 1";
    receiver.query(sender, query.getBytes(StandardCharsets.UTF_8), timers.now());
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

  /** Returns a decision module that does nothing. */
  private static DecisionModule passiveModule() {
    return (DecisionModule)
        Proxy.newProxyInstance(
            ManagerTest.class.getClassLoader(),
            new Class<?>[] {DecisionModule.class},
            (proxy, method, arguments) -> null);
  }

  /** A way in which a task ends for its client. */
  private enum TaskEnding {
    CLIENT_LEFT,
    TIMED_OUT,
    REJECTED,
    ABORTED
  }

  private static void end(Manager owner, PgSession client, TaskEnding ending) {
    switch (ending) {
      case CLIENT_LEFT -> owner.sessionEnded(client);
      case TIMED_OUT -> owner.taskTimedOut((OpenTask) client.openQuery());
      case REJECTED -> owner.reject(TASK_ID, 0);
      case ABORTED -> owner.abort(TASK_ID);
    }
  }

  /**
   * Guards against a ledger that ends its manager: the module forwards a task that it does not yet
   * know to be answered. Such a forward is neither recorded nor sent.
   */
  @ParameterizedTest(name = "{0}, {1} forwards before")
  @CsvSource({
    "CLIENT_LEFT, 0",
    "CLIENT_LEFT, 1",
    "TIMED_OUT, 0",
    "TIMED_OUT, 1",
    "REJECTED, 0",
    "REJECTED, 1",
    "ABORTED, 0",
    "ABORTED, 1"
  })
  void forwardOfAnAnsweredTaskIsNotRecorded(TaskEnding ending, int forwardsBefore)
      throws ProtocolException {
    EntryRecorder recorder = new EntryRecorder();
    Manager tested = manager((settings, actions) -> passiveModule(), recorder);
    PgSession client = session(tested);
    listEngine(tested, "READY");
    sendQuery(tested, client);
    for (int i = 0; i < forwardsBefore; i++) {
      tested.forward(TASK_ID, "e", 0);
    }
    end(tested, client, ending);
    tested.assignResources(TASK_ID, 1, 2);
    tested.forward(TASK_ID, "e", 0);
    tested.processPending();
    assertThat(recorder.forwards).isEqualTo(forwardsBefore);
    assertThat(tested.counters().get("forwards.ended.NEVER_SENT")).isEqualTo(forwardsBefore + 1);
    assertThat(tested.counters().get("connections.to_engines")).isEqualTo(forwardsBefore);
    assertThat(tested.idle()).isTrue();
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
    manager.cancel(TASK_ID, 0);
    long from = timers.now();
    for (long at = 10; at <= after; at += 10) {
      timers.now(from + at * MS);
      timers.runDue();
    }
    assertThat(manager.counters().get("forwards.ended.CANCELLED")).isEqualTo(ended);
  }
}

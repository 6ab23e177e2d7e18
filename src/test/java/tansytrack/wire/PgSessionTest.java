package tansytrack.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.apache.mina.core.buffer.IoBuffer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests a session whose connection never sends, as if the client did not read. */
class PgSessionTest implements PgSession.Handler {

  // As in the service; what a session may write before its client reads is far less.
  private static final int OUTPUT_BYTES = 1 << 16;
  private static final int MAX_PENDING_OUTPUT_BYTES = 1 << 13;
  private static final int MAX_ACTIONS = 10;

  private final Connection connection =
      Connection.accepted(new Sockets(note -> {}, () -> 0), 1 << 16, OUTPUT_BYTES);
  private final PgSession session = new PgSession(connection, this, 1, 2);
  private final List<Runnable> deferred = new ArrayList<>();
  private final MemoryBudget memory = new MemoryBudget(1 << 20, deferred::add);
  private int queries;
  private int endedSessions;
  private int releasedResults;
  // The result that answers each query at once; null if queries stay open.
  private byte[] immediateResult;

  @Override
  public void query(PgSession from, byte[] statement, long at) {
    queries++;
    if (immediateResult != null) {
      from.sendRows(new String[] {"a"}, List.of(immediateResult), () -> releasedResults++);
    }
  }

  @Override
  public MemoryBudget memory() {
    return memory;
  }

  @Override
  public void cancelRequested(int number, int secret) {}

  @Override
  public void sessionEnded(PgSession from) {
    endedSessions++;
  }

  @Override
  public void sessionReleased(PgSession from) {}

  @Override
  public void defer(Runnable what) {
    deferred.add(what);
  }

  private void send(String start, String query) {
    ByteBuffer bytes = ByteBuffer.allocate(1 << 12);
    if (!start.isEmpty()) {
      bytes.putInt(8).putInt(3 << 16);
    }
    if (!query.isEmpty()) {
      byte[] text = query.getBytes(StandardCharsets.UTF_8);
      bytes.put((byte) 'Q').putInt(5 + text.length).put(text).put((byte) 0);
    }
    connection.received(IoBuffer.wrap(bytes.flip()), 7);
  }

  /**
   * A client that holds a descriptor without using it, or never completes a message, is
   * disconnected.
   */
  @ParameterizedTest(name = "start {0}, query {1}: closed in round {2}")
  @CsvSource({"'', '', 5", "yes, '', 61", "yes, SELECT 1, 61", "half, '', 5", "yes, half, 5"})
  void inactiveClientIsDisconnected(String start, String query, int round) {
    send(start.equals("half") ? "" : start, query.equals("half") ? "" : query);
    if (start.equals("half") || query.equals("half")) {
      connection.received(IoBuffer.wrap(new byte[] {0, 0, 0, 9, 0}), 7);
    }
    for (int i = 1; i < round; i++) {
      session.checkProgress();
      assertThat(connection.open()).as("round %s", i).isTrue();
    }
    session.checkProgress();
    assertThat(connection.open()).isFalse();
    assertThat(endedSessions).isEqualTo(1);
  }

  /**
   * An endless stream of messages that request nothing must not take the event loop's time: after
   * 50 in a round the session ends.
   */
  @ParameterizedTest(name = "{0} messages of {1}, a round after every {2}: ends {3}")
  @CsvSource({
    "49, S, 100, false",
    "60, S, 100, true",
    "60, S, 30, false",
    "60, H, 100, true",
    "60, d, 100, true",
    "60, empty, 100, true",
    "60, unusable, 100, true",
    "60, tls, 100, true"
  })
  void unproductiveMessagesAreLimited(int count, String what, int every, boolean ends) {
    send(what.equals("tls") ? "" : "yes", "");
    for (int i = 1; i <= count && connection.open(); i++) {
      connection.output.skip(connection.output.size());
      switch (what) {
        case "tls" ->
            connection.received(
                IoBuffer.wrap(new byte[] {0, 0, 0, 8, 4, (byte) 0xd2, 0x16, 0x2f}), 7);
        case "empty" -> send("", ";");
        case "unusable" -> {
          send("", "SELECT 1");
          session.rejectQuery("field id: missing");
        }
        default ->
            connection.received(IoBuffer.wrap(new byte[] {(byte) what.charAt(0), 0, 0, 0, 4}), 7);
      }
      if (i % every == 0) {
        session.checkProgress();
      }
    }
    assertThat(connection.open()).isEqualTo(!ends);
  }

  /**
   * The time until the answer does not count as the client's inactivity. Otherwise the answer of a
   * long task would be cut off at its first bytes.
   */
  @Test
  void timeUntilTheAnswerIsNotClientInactivity() {
    send("yes", "SELECT 1");
    connection.output.skip(connection.output.size());
    for (int i = 0; i < 100; i++) {
      session.checkProgress();
    }
    session.sendRows(new String[] {"a"}, List.of(new byte[0]), () -> releasedResults++);
    for (int i = 0; i < 60; i++) {
      session.checkProgress();
      assertThat(session.isReleased()).as("round %s", i).isFalse();
    }
  }

  private void clientReads() {
    connection.output.skip(connection.output.size());
    session.writeCompleted();
    List<Runnable> actions = new ArrayList<>(deferred);
    deferred.clear();
    actions.forEach(Runnable::run);
  }

  /**
   * Guards against a result that is held as messages: it takes several times the memory of its
   * pages. Rows are written as fast as the client reads them.
   */
  @ParameterizedTest
  @CsvSource({"10", "8000"})
  void noMoreOfAResultIsWrittenThanTheClientReads(int count) {
    send("yes", "SELECT 1");
    connection.output.skip(connection.output.size());
    byte[] page = "1\t2\t3\n".repeat(count).getBytes(StandardCharsets.UTF_8);
    session.sendRows(new String[] {"a", "b", "c"}, List.of(page, page), () -> releasedResults++);
    int rows = 0;
    boolean complete = false;
    while (!complete) {
      assertThat(connection.output.size()).isBetween(1, MAX_PENDING_OUTPUT_BYTES + 100);
      for (int at = 0; at < connection.output.size(); ) {
        rows += connection.output.byteAt(at) == 'D' ? 1 : 0;
        complete |= connection.output.byteAt(at) == 'Z';
        at += 1 + connection.output.intAt(at + 1);
      }
      assertThat(releasedResults).isEqualTo(complete ? 1 : 0);
      clientReads();
    }
    assertThat(rows).isEqualTo(2 * count);
    assertThat(session.busy()).isFalse();
  }

  /** The memory of a result that its client does not read is released with the session. */
  @Test
  void theEndOfASessionReleasesItsResult() {
    send("yes", "SELECT 1");
    byte[] page = "1\t2\t3\n".repeat(8000).getBytes(StandardCharsets.UTF_8);
    session.sendRows(new String[] {"a", "b", "c"}, List.of(page), () -> releasedResults++);
    assertThat(releasedResults).isZero();
    connection.close();
    assertThat(releasedResults).isEqualTo(1);
  }

  /**
   * Guards against actions that pile up until memory is exhausted: a client writes queries that are
   * answered at once, and does not read. It is served a few, keeps its session, and gets the other
   * answers when it reads.
   */
  @Test
  void queriesOfAClientThatDoesNotReadAreNotHandled() {
    immediateResult = "x\n".repeat(300).getBytes(StandardCharsets.UTF_8);
    send("yes", "");
    int sent = 200;
    for (int i = 0; i < sent; i++) {
      send("", "SHOW STATS");
    }
    assertThat(queries).isLessThanOrEqualTo(MAX_ACTIONS);
    assertThat(deferred).hasSizeLessThanOrEqualTo(MAX_ACTIONS);
    assertThat(connection.output.size()).isLessThan(2 * MAX_PENDING_OUTPUT_BYTES);
    for (int i = 0; i < 3 * sent; i++) {
      clientReads();
    }
    assertThat(queries).isEqualTo(sent);
    assertThat(connection.open()).isTrue();
  }

  /** Guards against one client whose queries keep the event loop from the events of others. */
  @Test
  void aTurnOfASessionHandlesFewMessages() {
    immediateResult = new byte[0];
    send("yes", "SELECT 1"); // answered at once
    ByteBuffer bytes = ByteBuffer.allocate(1 << 12);
    int sent = 100;
    for (int i = 0; i < sent; i++) {
      bytes.put((byte) 'Q').putInt(6).put((byte) '1').put((byte) 0);
    }
    connection.received(IoBuffer.wrap(bytes.flip()), 7);
    int before = queries;
    assertThat(before).isLessThanOrEqualTo(MAX_ACTIONS);
    assertThat(deferred).hasSize(1);
    for (int turn = 0; turn < sent; turn++) {
      before = queries;
      clientReads();
      assertThat(queries - before).isLessThanOrEqualTo(2 * MAX_ACTIONS);
    }
    assertThat(queries).isEqualTo(sent + 1);
  }

  /**
   * Guards against messages that are lost at a planned restart: a session whose messages wait for
   * their turn is not idle, although all its answers are written.
   */
  @Test
  void aSessionWhoseMessagesWaitForTheirTurnIsBusy() {
    immediateResult = new byte[0];
    send("yes", "");
    ByteBuffer bytes = ByteBuffer.allocate(1 << 12);
    for (int i = 0; i < 2 * MAX_ACTIONS; i++) {
      bytes.put((byte) 'Q').putInt(6).put((byte) '1').put((byte) 0);
    }
    connection.received(IoBuffer.wrap(bytes.flip()), 7);
    connection.output.skip(connection.output.size());
    assertThat(queries).isLessThan(2 * MAX_ACTIONS);
    assertThat(session.busy()).isTrue();
    assertThat(session.evictionPriority()).isEqualTo(-1);
    while (queries < 2 * MAX_ACTIONS) {
      clientReads();
    }
    connection.output.skip(connection.output.size());
    assertThat(session.busy()).isFalse();
  }

  /** A large message waits for memory, and is handled once there is some. */
  @Test
  void aLargeMessageWaitsForMemory() {
    MemoryBudget.Reservation others =
        memory.tryReserve(MemoryBudget.Purpose.RESULT, memory.limit());
    send("yes", "");
    byte[] text = "x".repeat(20_000).getBytes(StandardCharsets.UTF_8);
    ByteBuffer bytes = ByteBuffer.allocate(1 << 15);
    bytes.put((byte) 'Q').putInt(5 + text.length).put(text).put((byte) 0);
    connection.received(IoBuffer.wrap(bytes.flip()), 7);
    clientReads();
    assertThat(queries).isZero();
    assertThat(session.waitsForMemory()).isTrue();
    others.release();
    clientReads();
    assertThat(queries).as("before it is known whether the client has gone").isZero();
    clientReads();
    assertThat(queries).isEqualTo(1);
    assertThat(memory.held()).isGreaterThan(text.length);
    session.sendError("58000", "failed");
    assertThat(memory.held()).isZero();
  }

  /** A message that gets no memory in time is refused, and none of it is held any longer. */
  @Test
  void aLargeMessageIsRefusedWhereMemoryStaysTaken() {
    memory.tryReserve(MemoryBudget.Purpose.RESULT, memory.limit());
    send("yes", "");
    connection.output.skip(connection.output.size());
    connection.received(IoBuffer.wrap(new byte[] {'Q', 0, 0, 0x7f, 0, 'x'}), 7);
    for (int i = 0; i < 5; i++) {
      session.checkProgress();
    }
    String answer =
        new String(connection.output.copy(0, connection.output.size()), StandardCharsets.UTF_8);
    assertThat(answer).startsWith("E").contains("C53200");
    assertThat(connection.open()).isFalse();
  }

  /**
   * A query that is received after the end of its session must not be passed on, as its answer
   * could not be sent.
   */
  @Test
  void queryAfterTheEndOfItsSessionIsIgnored() {
    send("yes", "");
    session.closeAfterFlush();
    send("", "SELECT 1");
    assertThat(queries).isZero();
  }
}

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

/** A session whose connection never sends: nobody reads what it is answered. */
class PgSessionTest implements PgSession.Handler {

  private final Connection connection =
      new Connection(new Sockets(note -> {}, () -> 0), 1 << 16, 1 << 12);
  private final PgSession session = new PgSession(connection, this, 1, 2);
  private final List<Runnable> later = new ArrayList<>();
  private int queries;
  private int gone;

  @Override
  public void query(PgSession from, byte[] statement, long at) {
    queries++;
  }

  @Override
  public void cancelRequested(int number, int secret) {}

  @Override
  public void sessionEnded(PgSession from) {
    gone++;
  }

  @Override
  public void sessionReleased(PgSession from) {}

  @Override
  public void defer(Runnable what) {
    later.add(what);
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
   * Guards against clients that hold a descriptor and do nothing with it, or never end a message.
   */
  @ParameterizedTest(name = "start {0}, query {1}: given up in round {2}")
  @CsvSource({"'', '', 5", "yes, '', 61", "yes, SELECT 1, 61", "half, '', 5", "yes, half, 5"})
  void aClientThatDoesNothingIsCut(String start, String query, int round) {
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
    assertThat(gone).isEqualTo(1);
  }

  /**
   * Guards against streams without end that cost the loop's time: 50 in a round, then the session
   * ends.
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
  void messagesThatAskForNothingAreBounded(int count, String what, int every, boolean ends) {
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
   * Guards against a long answer that is cut at its first bytes, as its task took long and nothing
   * was said before.
   */
  @Test
  void aLongWaitForAnAnswerIsNotTheClients() {
    send("yes", "SELECT 1");
    connection.output.skip(connection.output.size());
    for (int i = 0; i < 100; i++) {
      session.checkProgress();
    }
    session.sendRows(new String[] {"a"}, List.of(new byte[0]));
    for (int i = 0; i < 60; i++) {
      session.checkProgress();
      assertThat(session.isReleased()).as("round %s", i).isFalse();
    }
  }

  /**
   * Guards against a client that asks on without reading: its answers must not pile up past the
   * ring.
   */
  @ParameterizedTest
  @CsvSource({"10, false", "100, true"})
  void answersThatPassTheRingEndTheSession(int rows, boolean ends) {
    send("yes", "SELECT 1");
    session.sendRows(
        new String[] {"a", "b"},
        List.of(
            "x\ty of some length, for more than one ring\n"
                .repeat(rows)
                .getBytes(StandardCharsets.UTF_8)));
    new ArrayList<>(later).forEach(Runnable::run);
    assertThat(queries).isEqualTo(1);
    assertThat(session.isReleased()).isEqualTo(ends);
  }

  /**
   * A query crosses the end of its session: read behind that it must not be sent on, as its answer
   * could not leave.
   */
  @Test
  void whatIsReadBehindTheEndOfASessionIsNotAsked() {
    send("yes", "");
    session.closeAfterFlush();
    send("", "SELECT 1");
    assertThat(queries).isZero();
  }
}

package tansytrack.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Client sessions: the protocol, the answer for each outcome of a task, and refused input. */
class ServiceTest extends ServiceFixture {

  /** A client's session with the manager. */
  static final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    final DataInputStream in;
    int processId;
    int secretKey;

    Client(InetSocketAddress address) throws IOException {
      socket.connect(address);
      socket.setSoTimeout(TIMEOUT_MS);
      in = new DataInputStream(socket.getInputStream());
    }

    void send(byte[] bytes) throws IOException {
      socket.getOutputStream().write(bytes);
    }

    static byte[] startupMessage(int code, int... parameters) {
      ByteBuffer bytes =
          ByteBuffer.allocate(8 + 4 * parameters.length)
              .putInt(8 + 4 * parameters.length)
              .putInt(code);
      for (int parameter : parameters) {
        bytes.putInt(parameter);
      }
      return bytes.array();
    }

    static byte[] message(char type, String body) {
      byte[] text = (body + "\0").getBytes(StandardCharsets.UTF_8);
      return ByteBuffer.allocate(5 + text.length)
          .put((byte) type)
          .putInt(4 + text.length)
          .put(text)
          .array();
    }

    static String task(String queryClass, String id, String statement) {
      return "/* class="
          + queryClass
          + ",id="
          + id
          + ",wait=20000,tenant=a,cost=5.0,mb=1"
          + (queryClass.equals("once") ? ",key=ffffffffffffffff" : "")
          + " */ "
          + statement;
    }

    Client startSession() throws IOException {
      send(startupMessage(3 << 16));
      assertThat(readAnswer()).isEqualTo("");
      return this;
    }

    /**
     * Returns rows, command tags and errors up to the next ReadyForQuery or the connection's end.
     */
    String readAnswer() throws IOException {
      StringBuilder answer = new StringBuilder();
      while (true) {
        int type = in.read();
        if (type < 0) {
          return answer + "closed";
        }
        byte[] body = new byte[in.readInt() - 4];
        in.readFully(body);
        ByteBuffer bytes = ByteBuffer.wrap(body);
        switch (type) {
          case 'Z' -> {
            return answer.toString();
          }
          case 'K' -> {
            processId = bytes.getInt();
            secretKey = bytes.getInt();
          }
          case 'D' -> {
            int columns = bytes.getShort();
            for (int i = 0; i < columns; i++) {
              byte[] column = new byte[bytes.getInt()];
              bytes.get(column);
              answer
                  .append(new String(column, StandardCharsets.UTF_8))
                  .append(i < columns - 1 ? "," : ";");
            }
          }
          case 'C' -> answer.append(new String(body, 0, body.length - 1, StandardCharsets.UTF_8));
          case 'E' -> {
            for (String field : new String(body, StandardCharsets.UTF_8).split("\0")) {
              answer.append(
                  field.startsWith("C") || field.startsWith("M") ? field.substring(1) + ' ' : "");
            }
          }
          case 'I' -> answer.append("empty");
          default -> {}
        }
      }
    }

    String query(String statement) throws IOException {
      send(message('Q', statement));
      return readAnswer();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /**
   * Guards against a new connection for each poll and page: with a hundred managers they add up,
   * and each connection costs the engine work. The requests include one that confirms the last
   * page.
   */
  @ParameterizedTest
  @CsvSource({"late, 5", "pages, 4"})
  void allRequestsOfATaskUseOneConnection(String statement, int requests) throws IOException {
    engine.connections.clear();
    try (Client client = new Client(address).startSession()) {
      assertThat(client.query(Client.task("safe", "00000000000000a7", statement)))
          .contains("SELECT");
    }
    assertThat(engine.requests.stream().filter(request -> request.contains("/o")).count())
        .isEqualTo(requests);
    // The command channel has a connection to the same server, and may have opened it just now.
    assertThat(engine.connections.size()).isBetween(1, 2);
  }

  @ParameterizedTest(name = "{0}, {1}")
  @CsvSource(
      delimiter = '|',
      value = {
        "safe | ok | a,b,c;,,;SELECT 2 | 1",
        "safe | late | 1,2,3;SELECT 1 | 1",
        "safe | pages | a,b,c;d,e,f;d,e,f;SELECT 3 | 1",
        "safe | fullonce | SELECT 0 | 2",
        "safe | found | f,f,f;SELECT 1 | 1",
        "safe | cutlate | g,g,g;SELECT 1 | 1",
        "once | found | f,f,f;SELECT 1 | 1",
        "once | noise | a,b,c;SELECT 1 | 1",
        "once | endless | a,b,c;SELECT 1 | 1",
        "once | short | a,b,c;SELECT 1 | 1",
        "once | wronglength | a,b,c;SELECT 1 | 1",
        "once | hints | a,b,c;SELECT 1 | 1",
        "once | twice | a,b,c;SELECT 1 | 1",
        "once | forgotten | a,b,c;SELECT 1 | 1",
        "once | never | a,b,c;SELECT 1 | 1",
        "once | spoiltpage | a,b,c;d,e,f;SELECT 2 | 1",
        "safe | full | 53300 no room at present, after= | 2",
        "once | full | 53300 no room at present, after= | 2",
        "safe | past | 53300 no room at present, after= | 2",
        "safe | error | 53300 no room at present, after= | 2",
        "once | error | 58000 the statement failed; it may have run | 1",
        "once | lostpage | 58000 the statement failed; it may have run | 1",
        "once | cutpage | 58000 the statement failed; it may have run | 1",
        "once | cut | 58000 the statement failed; it may have run | 1",
        "once | junk | 58000 the statement failed; it may have run | 1",
        "once | twocolumns | 58000 the statement failed; it may have run | 1",
        "once | halfrow | 58000 the statement failed; it may have run | 1",
        "once | manypages | 58000 the statement failed; it may have run | 1",
        "once | badnumber | 58000 the statement failed; it may have run | 1"
      })
  void eachOutcomeOfAForwardHasItsAnswer(
      String queryClass, String statement, String answer, int forwards) throws IOException {
    try (Client client = new Client(address).startSession()) {
      assertThat(client.query(Client.task(queryClass, "00000000000000a1", statement)))
          .startsWith(answer);
      assertThat(client.query("")).isEqualTo("empty");
    }
    List<String> posts =
        engine.requests.stream().filter(request -> request.startsWith("POST")).toList();
    assertThat(posts)
        .hasSize(forwards)
        .allSatisfy(
            post ->
                assertThat(post)
                    .startsWith("POST /o " + statement + "\n")
                    .contains(
                        "X-Req: 00000000000000a1\r\n",
                        "X-Class: " + queryClass + "\r\n",
                        "Grant-Mb: ",
                        "X-Wait-Ms: "));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "SELECT 1 | field id: missing",
        "/* id=1,class=safe,wait=5 */ ok | field id: not 16 hex digits",
        "/* id=00000000000000a1,class=none,wait=5 */ ok | field class: no such class",
        "/* id=00000000000000a1,wait=5 */ ok | field class: missing",
        "/* id=00000000000000a1,class=safe */ ok | field wait: missing",
        "/* id=00000000000000a1,class=safe,wait=NaN */ ok | field wait: not a number in range",
        "/* id=00000000000000a1,class=safe,wait=5,tenant=z */ ok | field tenant: no such tenant",
        "/* id=00000000000000a1,class=safe,wait=5,key=xyz */ ok | field key: not 16 hex digits",
        "/* id=00000000000000a1,class=safe,wait=5,cost=-1 */ ok | field cost: not a number in"
            + " range",
        "/* id=00000000000000a1,class=safe,wait=5,cost=1d */ ok | field cost: not a number in"
            + " range",
        "/* id=00000000000000a1,class=safe,wait=0x1p3 */ ok | field wait: not a number in range",
        "/* id=00000000000000a1,class=safe,wait=5,mb=1e3 */ ok | field mb: not a number in range",
        "/* id=00000000000000a1,class=safe,wait=5,mb=1. */ ok | field mb: not a number in range",
        "/* id=\u0660\u0660\u0660\u0660\u0660\u0660\u0660\u0660"
            + "\u0660\u0660\u0660\u0660\u0660\u0660\u0660\u0660,class=safe,wait=5"
            + " */ ok | field id: not 16 hex digits",
        "/* id=00000000000000a1 | comment without an end"
      })
  void anUnusableQueryIsReportedAndTheSessionContinues(String query, String reason)
      throws IOException {
    try (Client client = new Client(address).startSession()) {
      assertThat(client.query(query)).isEqualTo("22023 " + reason + " ");
      assertThat(client.query(Client.task("safe", "00000000000000a1", "ok"))).endsWith("SELECT 2");
    }
    assertThat(engine.requests.stream().filter(request -> request.startsWith("POST"))).hasSize(1);
  }

  @Test
  void messagesMayBeSplitAtAnyByteAndPipelined() throws IOException {
    try (Client client = new Client(address)) {
      for (int code : new int[] {80877103, 80877104}) {
        client.send(Client.startupMessage(code));
        assertThat(client.in.read()).isEqualTo('N');
      }
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      bytes.writeBytes(Client.startupMessage(3 << 16));
      bytes.writeBytes(Client.message('Q', Client.task("safe", "00000000000000b1", "ok")));
      bytes.writeBytes(Client.message('Q', Client.task("safe", "00000000000000b2", "ok")));
      bytes.writeBytes(Client.message('Q', " ; "));
      client.socket.setTcpNoDelay(true);
      for (byte nextByte : bytes.toByteArray()) {
        client.send(new byte[] {nextByte});
      }
      assertThat(
              List.of(
                  client.readAnswer(),
                  client.readAnswer(),
                  client.readAnswer(),
                  client.readAnswer()))
          .containsExactly("", "a,b,c;,,;SELECT 2", "a,b,c;,,;SELECT 2", "empty");
    }
  }

  @Test
  void theExtendedProtocolIsRefusedUpToItsSync() throws IOException {
    try (Client client = new Client(address).startSession()) {
      client.send(Client.message('P', "\0SELECT 1\0"));
      client.send(Client.message('B', ""));
      client.send(ByteBuffer.allocate(5).put((byte) 'S').putInt(4).array());
      assertThat(client.readAnswer()).isEqualTo("0A000 only simple queries are served ");
      assertThat(client.query("SHOW STATS"))
          .contains("clients.queries,1;", "clients.connections,1;");
      client.send(ByteBuffer.allocate(5).put((byte) 'X').putInt(4).array());
      assertThat(client.readAnswer()).isEqualTo("closed");
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "0000000800020000",
        "00000003",
        "7fffffff00030000",
        "00000008000300005100000002",
        "00000008000300005110000000",
        "00000008000300005a00000004",
        "0000000800030000510000000541",
        "0000000800030000510000000831003200"
      })
  void brokenFramingEndsTheSessionWithAnError(String hex) throws IOException {
    byte[] bytes = new byte[hex.length() / 2];
    for (int i = 0; i < bytes.length; i++) {
      bytes[i] = (byte) Integer.parseInt(hex.substring(2 * i, 2 * i + 2), 16);
    }
    try (Client client = new Client(address)) {
      client.send(bytes);
      String answer = client.readAnswer();
      assertThat(answer.isEmpty() ? client.readAnswer() : answer)
          .endsWith("closed")
          .containsPattern("08P01|0A000");
    }
    try (Client other = new Client(address).startSession()) {
      assertThat(other.query("")).isEqualTo("empty");
    }
  }

  /**
   * Engines detect a repeated task by its client's idempotency key: without the key on every
   * forward, a repeat would count as a different task.
   */
  @Test
  void theIdempotencyKeyOfATaskIsForwardedToTheEngine() throws IOException {
    try (Client client = new Client(address).startSession()) {
      String task = Client.task("safe", "00000000000000a5", "fullonce");
      assertThat(client.query(task.replace("mb=1", "mb=1,once=5d61c58d40d99d127e8b87ba5c575dda")))
          .isEqualTo("SELECT 0");
      assertThat(client.query(task.replace("mb=1", "mb=1,once=a b")))
          .startsWith("22023 field once: not a word");
    }
    assertThat(engine.requests.stream().filter(request -> request.startsWith("POST")))
        .hasSize(2)
        .allSatisfy(
            post ->
                assertThat(post).contains("Idempotency-Key: 5d61c58d40d99d127e8b87ba5c575dda\r\n"));
  }

  /** Malformed input that ends a connection is counted by its reason, and has no other effect. */
  @Test
  void malformedBytesAreCountedByReason() throws IOException {
    try (Client client = new Client(address).startSession();
        Client bad = new Client(address)) {
      assertThat(client.query(Client.task("safe", "00000000000000a6", "junk"))).startsWith("53300");
      bad.send(new byte[] {0, 0, 0, 3});
      assertThat(bad.readAnswer()).endsWith("closed");
      assertThat(client.query("SHOW STATS"))
          .contains(
              "clients.malformed.invalid_message_length,1;", "connections.junk.not_an_HTTP/,");
    }
  }

  @Test
  void aClientThatDoesNotReadDelaysNoOther() throws IOException {
    List<Client> nonReadingClients = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      nonReadingClients.add(new Client(address).startSession());
      nonReadingClients
          .get(i)
          .send(Client.message('Q', Client.task("safe", "00000000000001" + (10 + i), "ok")));
    }
    try (Client client = new Client(address).startSession()) {
      assertThat(client.query(Client.task("safe", "00000000000000a9", "ok"))).endsWith("SELECT 2");
    }
    for (Client client : nonReadingClients) {
      client.close();
    }
  }
}

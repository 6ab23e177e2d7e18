package tansytrack.service;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import tansytrack.api.Decisions;
import tansytrack.settings.Config;
import tansytrack.settings.Unusable;
import tansytrack.wire.Json;
import tansytrack.wire.Junk;

/**
 * The whole workload manager on loopback sockets, between stand-ins for clients, an engine and the
 * command channel.
 */
class ServiceTest {

  private static final int MINUTE =
      60_000; // a verdict never waits for it, unless something is broken

  @TempDir Path folder;
  private final Engine engine = new Engine();
  private Running running;
  private Service service;
  private InetSocketAddress at;

  /** A manager that listens, and the thread that its loop runs on. */
  static final class Running {
    final Service service;
    final InetSocketAddress at;
    private final Thread loop;
    private volatile Throwable failure;

    Running(String config) throws IOException, Junk {
      service = new Service(read(config));
      at = service.listen();
      loop =
          new Thread(
              () -> {
                try {
                  service.run();
                } catch (Throwable e) {
                  failure = e;
                }
              });
      loop.start();
    }

    /** Whatever was done to it, it ends when told to, and has given back every connection. */
    void end() throws InterruptedException {
      service.terminate();
      loop.join(MINUTE);
      assertThat(failure).isNull();
      assertThat(loop.isAlive()).isFalse();
      assertThat(service.descriptors()).isZero();
    }
  }

  /** An HTTP server that does as the statement says; the command channel too. */
  private static final class Engine implements AutoCloseable {
    final ServerSocket socket;
    final List<String> calls = new CopyOnWriteArrayList<>();
    final List<Socket> open = new CopyOnWriteArrayList<>();
    final CountDownLatch deleted = new CountDownLatch(1);
    final CountDownLatch posted = new CountDownLatch(1);
    volatile String statement = "";
    volatile String list = "";
    volatile boolean keepsList;
    volatile int lastNews; // the question that this one leaves open
    volatile int asked;
    volatile int pagesAsked;
    volatile boolean mute; // to DELETE
    volatile long firstDelay; // ms that the first question for the list waits

    Engine() {
      try {
        socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
      new Thread(this::accept).start();
    }

    String address() {
      return "127.0.0.1:" + socket.getLocalPort();
    }

    private void accept() {
      try {
        while (true) {
          Socket one = socket.accept();
          open.add(one);
          new Thread(() -> serve(one)).start();
        }
      } catch (IOException e) {
        // closed
      }
    }

    private void serve(Socket one) {
      try (one) {
        DataInputStream in = new DataInputStream(one.getInputStream());
        while (true) {
          String head = Rehearsal.head(in);
          byte[] body = new byte[Rehearsal.length(head)];
          in.readFully(body);
          String call = head.substring(0, head.indexOf(" HTTP"));
          if (call.startsWith("POST")) {
            statement = new String(body, StandardCharsets.UTF_8);
          }
          calls.add(call.startsWith("POST") ? call + ' ' + statement + '\n' + head : call);
          String answer = answer(call);
          if (answer.equals("cut")) {
            return;
          }
          if (!answer.equals("silent")) {
            one.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
          }
          (call.startsWith("POST") ? posted : new CountDownLatch(1)).countDown();
        }
      } catch (IOException e) {
        // gone
      }
    }

    private String die() {
      try {
        close();
      } catch (IOException e) {
        // as good as closed
      }
      return "cut";
    }

    private static String say(String status, String fields, String body) {
      return Rehearsal.say(status, fields, body);
    }

    @SuppressWarnings("NonAtomicVolatileUpdate") // one call is answered at a time
    private String answer(String call) {
      if (call.startsWith("GET /cmd")) {
        String told = list;
        list = keepsList ? told : "";
        boolean first = call.endsWith("&block=1");
        if (first && firstDelay > 0) {
          LockSupport.parkNanos(firstDelay * 1_000_000L);
        }
        return !told.isEmpty()
            ? say("200 OK", "", told)
            : !first ? "silent" : say("200 OK", "", "{\"cursor\":0,\"cmds\":[]}");
      }
      if (call.startsWith("DELETE")) {
        deleted.countDown();
        return mute ? "silent" : say("204 No Content", "", "");
      }
      boolean news = call.startsWith("POST") || call.endsWith("/0");
      asked += news ? 1 : 0;
      pagesAsked += news ? 0 : 1;
      String done = "Page-Count: 1\r\nWork-Ms: 5.5\r\nPeak-Mb: 2\r\n";
      String good = say("200 OK", done, "a\tb\tc\n");
      int stalls = statement.equals("stalldie") ? 1 : 0;
      return switch (statement) {
        case "die", "stalldie" ->
            asked <= stalls ? "silent" : asked < stalls + 3 ? say("202 Accepted", "", "") : die();
        case "ok" -> say("200 OK", done, "a\tb\tc\n\t\t\n");
        case "late" ->
            asked == lastNews
                ? "silent"
                : asked < 4 ? say("202 Accepted", "", "") : say("200 OK", done, "1\t2\t3\n");
        case "pages" ->
            news
                ? say("200 OK", "Page-Count: 3\r\n", "a\tb\tc\n")
                : say("200 OK", "Page-No: " + call.charAt(call.length() - 1) + "\r\n", "d\te\tf\n");
        case "full" -> say("503 Full", "X-Not-Run: 1\r\n", "");
        case "fullonce" ->
            asked < 2 ? say("503 Full", "X-Not-Run: 1\r\n", "") : say("200 OK", done, "");
        case "past" -> say("504 Over", "X-Not-Run: 1\r\n", "");
        case "error" -> say("500 No", "", "");
        case "found" -> asked < 2 ? "cut" : say("200 OK", done, "f\tf\tf\n");
        case "cutlate" ->
            asked == 1
                ? say("202 Accepted", "", "")
                : asked == 2 ? "cut" : say("200 OK", done, "g\tg\tg\n");
        case "restarted" ->
            asked < 2 ? "cut" : asked == 2 ? say("500 No", "", "") : say("200 OK", done, "");
        case "noise" -> asked < 4 ? "x".repeat(9000 * asked) : good;
        case "endless" ->
            asked < 2 ? "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx" : good;
        case "short" ->
            asked < 2 ? "HTTP/1.1 200 OK\r\nPage-Count: 1\r\nContent-Length: 60\r\n\r\na" : good;
        case "wronglength" -> asked < 2 ? good.replace("Length: 6", "Length: 0") : good;
        case "hints" -> "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 100 Go\r\n\r\n" + good;
        case "twice" -> good + good;
        case "never" -> asked < 3 ? "silent" : good;
        case "spoiltpage" ->
            news
                ? say("200 OK", "Page-Count: 2\r\n", "a\tb\tc\n")
                : pagesAsked == 1
                    ? "cut"
                    : pagesAsked == 2 ? good : say("200 OK", "Page-No: 1\r\n", "d\te\tf\n");
        case "cutpage" -> news ? say("200 OK", "Page-Count: 2\r\n", "a\tb\tc\n") : "cut";
        case "lostpage" ->
            news ? say("200 OK", "Page-Count: 2\r\n", "a\tb\tc\n") : say("500 No", "", "");
        case "cut" -> "cut";
        case "junk" -> "HTTP/9 whatever\r\n\r\n";
        case "twocolumns" -> say("200 OK", done, "a\tb\n");
        case "halfrow" -> say("200 OK", done, "a\tb\tc");
        case "manypages" -> say("200 OK", "Page-Count: 1000000\r\n", "a\tb\tc\n");
        case "badnumber" -> say("200 OK", "Page-Count: x\r\n", "a\tb\tc\n");
        default -> "silent";
      };
    }

    @Override
    public void close() throws IOException {
      socket.close();
      for (Socket one : open) {
        one.close();
      }
    }
  }

  /** A client's session. */
  static final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    final DataInputStream in;
    int number;
    int secret;

    Client(InetSocketAddress to) throws IOException {
      socket.connect(to);
      socket.setSoTimeout(MINUTE);
      in = new DataInputStream(socket.getInputStream());
    }

    void send(byte[] bytes) throws IOException {
      socket.getOutputStream().write(bytes);
    }

    static byte[] start(int code, int... more) {
      ByteBuffer bytes =
          ByteBuffer.allocate(8 + 4 * more.length).putInt(8 + 4 * more.length).putInt(code);
      for (int one : more) {
        bytes.putInt(one);
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

    static String task(String grade, String id, String statement) {
      return "/* class="
          + grade
          + ",id="
          + id
          + ",wait=20000,tenant=a,cost=5.0,mb=1"
          + (grade.equals("once") ? ",key=ffffffffffffffff" : "")
          + " */ "
          + statement;
    }

    Client started() throws IOException {
      send(start(3 << 16));
      assertThat(answer()).isEqualTo("");
      return this;
    }

    /** All up to the next ReadyForQuery, or the end: rows, the end of a result, errors. */
    String answer() throws IOException {
      StringBuilder said = new StringBuilder();
      while (true) {
        int type = in.read();
        if (type < 0) {
          return said + "closed";
        }
        byte[] body = new byte[in.readInt() - 4];
        in.readFully(body);
        ByteBuffer bytes = ByteBuffer.wrap(body);
        switch (type) {
          case 'Z' -> {
            return said.toString();
          }
          case 'K' -> {
            number = bytes.getInt();
            secret = bytes.getInt();
          }
          case 'D' -> {
            int columns = bytes.getShort();
            for (int i = 0; i < columns; i++) {
              byte[] column = new byte[bytes.getInt()];
              bytes.get(column);
              said.append(new String(column, StandardCharsets.UTF_8))
                  .append(i < columns - 1 ? "," : ";");
            }
          }
          case 'C' -> said.append(new String(body, 0, body.length - 1, StandardCharsets.UTF_8));
          case 'E' -> {
            for (String field : new String(body, StandardCharsets.UTF_8).split("\0")) {
              said.append(
                  field.startsWith("C") || field.startsWith("M") ? field.substring(1) + ' ' : "");
            }
          }
          case 'I' -> said.append("empty");
          default -> {}
        }
      }
    }

    String ask(String statement) throws IOException {
      send(message('Q', statement));
      return answer();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  private String config() {
    return config(engine.address());
  }

  static String config(String engine) {
    return "{'name':'m','listen':'127.0.0.1:0','seed':'8c1f30d27a5be964',"
        + "'limits':{'sockets':256},'channel':'"
        + engine
        + "','known':{'cursor':1,'cmds':["
        + listed(1, "e", engine, "ready")
        + "]},'settings':{'siblings':1,'skus':['k'],'extra':{'cpu_of_kind':[4],"
        + "'memory_by_kind_mb':[1000],"
        + "'memory_heeded':true,'ranks_heeded':true},'grades':[{'name':'safe',"
        + "'repeat':'idempotent',"
        + "'objective_ms':100,'deadline_ms':300,'worth':1},{'name':'once','repeat':'at_most_once',"
        + "'objective_ms':100,'deadline_ms':300,'worth':1,'serial_by_key':true}],"
        + "'tenants':[{'name':'a',"
        + "'portion':1}],'policy_limits':{'cancel':true,'max_attempts':2,'connect_timeout_ms':5000,"
        + "'conn_idle_ms':30000,'retry_after':true,'max_retry_after_ms':500},"
        + "'rules':{'turn_gap_ms':10}}}";
  }

  static String listed(int number, String id, String address, String phase) {
    return "{'cursor':"
        + number
        + ",'nodes':{'revision':"
        + number
        + ",'complete':"
        + (number == 1)
        + ",'members':[{'id':'"
        + id
        + "','host_port':'"
        + address
        + "','phase':'"
        + phase
        + "','flavor':'k','up_since_ms':0}]}}";
  }

  static Config read(String config) throws Junk {
    return Config.of(Json.read(config.replace('\'', '"').getBytes(StandardCharsets.UTF_8)));
  }

  @BeforeEach
  void start() throws IOException, Junk {
    start(config());
  }

  private void start(String config) throws IOException, Junk {
    running = new Running(config);
    service = running.service;
    at = running.at;
  }

  @AfterEach
  void stop() throws IOException, InterruptedException {
    end();
    engine.close();
  }

  private void end() throws InterruptedException {
    running.end();
  }

  /**
   * Guards against a new connection for each question and page: a hundred managers add up, and each
   * one costs work.
   */
  @ParameterizedTest
  @CsvSource({"late, 4", "pages, 3"})
  void furtherCallsOfATaskGoOnTheConnectionOfTheFirst(String statement, int calls)
      throws IOException {
    engine.open.clear();
    try (Client client = new Client(at).started()) {
      assertThat(client.ask(Client.task("safe", "00000000000000a7", statement))).contains("SELECT");
    }
    assertThat(engine.calls.stream().filter(call -> call.contains("/o")).count()).isEqualTo(calls);
    // The command channel has a connection to the same stand-in, and may have opened it only just
    // now.
    assertThat(engine.open.size()).isBetween(1, 2);
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
  void eachEndOfAForwardHasItsAnswer(String grade, String statement, String answer, int forwards)
      throws IOException {
    try (Client client = new Client(at).started()) {
      assertThat(client.ask(Client.task(grade, "00000000000000a1", statement))).startsWith(answer);
      assertThat(client.ask("")).isEqualTo("empty");
    }
    List<String> posts = engine.calls.stream().filter(call -> call.startsWith("POST")).toList();
    assertThat(posts)
        .hasSize(forwards)
        .allSatisfy(
            post ->
                assertThat(post)
                    .startsWith("POST /o " + statement + "\n")
                    .contains(
                        "X-Req: 00000000000000a1\r\n",
                        "X-Class: " + grade + "\r\n",
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
  void anUnusableQueryIsNamedAndTheSessionGoesOn(String query, String why) throws IOException {
    try (Client client = new Client(at).started()) {
      assertThat(client.ask(query)).isEqualTo("22023 " + why + " ");
      assertThat(client.ask(Client.task("safe", "00000000000000a1", "ok"))).endsWith("SELECT 2");
    }
    assertThat(engine.calls.stream().filter(call -> call.startsWith("POST"))).hasSize(1);
  }

  @Test
  void messagesMayBeCutAtAnyByteAndFollowEachOther() throws IOException {
    try (Client client = new Client(at)) {
      for (int code : new int[] {80877103, 80877104}) {
        client.send(Client.start(code));
        assertThat(client.in.read()).isEqualTo('N');
      }
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.writeBytes(Client.start(3 << 16));
      all.writeBytes(Client.message('Q', Client.task("safe", "00000000000000b1", "ok")));
      all.writeBytes(Client.message('Q', Client.task("safe", "00000000000000b2", "ok")));
      all.writeBytes(Client.message('Q', " ; "));
      client.socket.setTcpNoDelay(true);
      for (byte one : all.toByteArray()) {
        client.send(new byte[] {one});
      }
      assertThat(List.of(client.answer(), client.answer(), client.answer(), client.answer()))
          .containsExactly("", "a,b,c;,,;SELECT 2", "a,b,c;,,;SELECT 2", "empty");
    }
  }

  @Test
  void theExtendedProtocolIsRefusedUpToItsSync() throws IOException {
    try (Client client = new Client(at).started()) {
      client.send(Client.message('P', "\0SELECT 1\0"));
      client.send(Client.message('B', ""));
      client.send(ByteBuffer.allocate(5).put((byte) 'S').putInt(4).array());
      assertThat(client.answer()).isEqualTo("0A000 only simple queries are served ");
      assertThat(client.ask("SHOW STATS")).contains("clients.queries,1;", "clients.connections,1;");
      client.send(ByteBuffer.allocate(5).put((byte) 'X').putInt(4).array());
      assertThat(client.answer()).isEqualTo("closed");
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
    try (Client client = new Client(at)) {
      client.send(bytes);
      String said = client.answer();
      assertThat(said.isEmpty() ? client.answer() : said)
          .endsWith("closed")
          .containsPattern("08P01|0A000");
    }
    try (Client other = new Client(at).started()) {
      assertThat(other.ask("")).isEqualTo("empty");
    }
  }

  @Test
  void aCancelledTaskIsGivenUpAtItsEngine() throws IOException, InterruptedException {
    try (Client client = new Client(at).started();
        Client other = new Client(at)) {
      client.send(Client.message('Q', Client.task("safe", "00000000000000c1", "silent")));
      engine.posted.await();
      try (Client stranger = new Client(at)) {
        stranger.send(Client.start(80877102, client.number, client.secret + 1));
        assertThat(stranger.answer()).isEqualTo("closed");
      }
      other.send(Client.start(80877102, client.number, client.secret));
      assertThat(other.answer()).isEqualTo("closed");
      assertThat(client.answer()).startsWith("57014");
      assertThat(engine.deleted.await(MINUTE, TimeUnit.MILLISECONDS)).isTrue();
      assertThat(client.ask("")).isEqualTo("empty");
    }
    assertThat(engine.calls).contains("DELETE /o/00000000000000c1");
  }

  /**
   * Engines know a repeat by its client's mark: without it on every forward a stamped task is
   * another one.
   */
  @Test
  void theMarkOfAStampedTaskGoesOnToTheEngine() throws IOException {
    try (Client client = new Client(at).started()) {
      String task = Client.task("safe", "00000000000000a5", "fullonce");
      assertThat(client.ask(task.replace("mb=1", "mb=1,once=5d61c58d40d99d127e8b87ba5c575dda")))
          .isEqualTo("SELECT 0");
      assertThat(client.ask(task.replace("mb=1", "mb=1,once=a b")))
          .startsWith("22023 field once: not a word");
    }
    assertThat(engine.calls.stream().filter(call -> call.startsWith("POST")))
        .hasSize(2)
        .allSatisfy(
            post ->
                assertThat(post).contains("Idempotency-Key: 5d61c58d40d99d127e8b87ba5c575dda\r\n"));
  }

  /** What costs a connection is counted by its reason, and costs nothing else. */
  @Test
  void malformedBytesAreCountedByReason() throws IOException {
    try (Client client = new Client(at).started();
        Client bad = new Client(at)) {
      assertThat(client.ask(Client.task("safe", "00000000000000a6", "junk"))).startsWith("53300");
      bad.send(new byte[] {0, 0, 0, 3});
      assertThat(bad.answer()).endsWith("closed");
      assertThat(client.ask("SHOW STATS"))
          .contains(
              "clients.malformed.invalid_message_length,1;", "connections.junk.not_an_HTTP/,");
    }
  }

  /**
   * Guards against a second copy: the starting call may arrive behind the first DELETE, never
   * behind the second.
   */
  @ParameterizedTest(name = "{0}: {1} times")
  @CsvSource({"silent, 2", "late, 1"})
  void whatWasNeverAnsweredForIsGivenUpTwice(String statement, int times)
      throws IOException, InterruptedException {
    engine.lastNews = 3;
    try (Client client = new Client(at).started();
        Client other = new Client(at).started()) {
      client.send(Client.message('Q', Client.task("safe", "00000000000000c7", statement)));
      engine.posted.await();
      Thread.sleep(100);
      client.socket.close();
      while (other.ask("SHOW STATS").contains("engine.e.forwards.sockets,1;")) {
        Thread.sleep(10);
      }
    }
    assertThat(engine.calls.stream().filter(call -> call.startsWith("DELETE"))).hasSize(times);
  }

  /**
   * Guards against a second copy: after a break, "unknown" is no proof that the first one is not
   * out, nor is one DELETE.
   */
  @Test
  void whatIsNotKnownAfterABreakIsGivenUpBeforeItIsSentAgain() throws IOException {
    try (Client client = new Client(at).started()) {
      assertThat(client.ask(Client.task("safe", "00000000000000c3", "restarted")))
          .isEqualTo("SELECT 0");
      assertThat(client.ask("SHOW STATS"))
          .contains("forwards.ended.RESET,1;")
          .doesNotContain("ERROR");
    }
    assertThat(
            engine.calls.stream()
                .filter(call -> !call.contains("/cmd/"))
                .map(call -> call.split(" ")[0]))
        .containsExactly("POST", "GET", "DELETE", "DELETE", "POST");
  }

  /**
   * Guards against a second copy, and a key sent to too early: a refused connection is a process
   * that died, but not the end of a query for which a call stalled before, as that may be taken up
   * yet. Then 2 s must have passed.
   */
  @ParameterizedTest(name = "{0}: answered in under 1.5 s: {1}")
  @CsvSource({"die, true", "stalldie, false"})
  void aDeadProcessProvesNoEndWhereACallStalled(String statement, boolean soon) throws IOException {
    try (Client client = new Client(at).started()) {
      long from = System.nanoTime();
      assertThat(client.ask(Client.task("once", "00000000000000c5", statement)))
          .startsWith("58000");
      assertThat(System.nanoTime() - from < 1_500_000_000L).isEqualTo(soon);
    }
  }

  /**
   * Guards against a key sent to beside a forward that timed out and may run on: it stays out until
   * given up.
   */
  @Test
  void aForwardThatTimesOutStaysOutUntilItIsGivenUp() throws IOException {
    engine.mute = true;
    try (Client client = new Client(at).started()) {
      String task =
          Client.task("once", "00000000000000c6", "silent").replace("wait=20000", "wait=400");
      assertThat(client.ask(task)).startsWith("58000 the time is up");
      String told = client.ask("SHOW STATS");
      assertThat(told)
          .contains(
              "engine.e.forwards.module,1;", "engine.e.forwards.sockets,1;", "tasks.time_up,1;");
      while (told.contains("engine.e.forwards.sockets,1;")) {
        told = client.ask("SHOW STATS");
      }
      assertThat(told).contains("forwards.ended.TIME_OUT,1;");
    }
    // Twice silent is once given up; and once more, as the engine has never answered for the query
    // at all.
    assertThat(engine.calls.stream().filter(call -> call.startsWith("DELETE"))).hasSize(4);
  }

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

  @Test
  void aClientThatLeavesGivesItsTaskUp() throws IOException, InterruptedException {
    try (Client client = new Client(at).started()) {
      client.send(Client.message('Q', Client.task("once", "00000000000000c2", "silent")));
      engine.posted.await();
    }
    assertThat(engine.deleted.await(MINUTE, TimeUnit.MILLISECONDS)).isTrue();
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
    assertThat(Rehearsal.play(read(config()))).isEqualTo(198);
  }

  /**
   * Guards against a loop that only asks a channel which answers at once with nothing: 20 times a
   * second at most.
   */
  @Test
  void aChannelThatAnswersAtOnceWithNothingIsAskedWithPauses() throws Exception {
    engine.list = "{\"cursor\":1,\"cmds\":[]}";
    engine.keepsList = true;
    end();
    start(config());
    Thread.sleep(500);
    long asked = engine.calls.stream().filter(call -> call.startsWith("GET /cmd")).count();
    assertThat(asked).isBetween(2L, 25L);
  }

  /**
   * Guards against sends to an engine that was told to be draining while the manager started: it
   * serves only behind that.
   */
  @ParameterizedTest(name = "the channel''s first answer takes {0} ms: {1} calls to the engine")
  @CsvSource({"0, 0", "200, 0", "10000, 1"})
  void aManagerThatStartsKnowsWhatWasToldMeanwhileBeforeItServes(long delay, int calls)
      throws Exception {
    end();
    engine.calls.clear();
    engine.firstDelay = delay;
    engine.list =
        ("{'cursor':2,'cmds':[" + listed(2, "e", engine.address(), "draining") + "]}")
            .replace('\'', '"');
    long from = System.nanoTime();
    start(config());
    // A start does not wait for a channel that is out of reach.
    assertThat(System.nanoTime() - from).isLessThan(10_000_000_000L);
    try (Client client = new Client(at).started()) {
      client.ask(Client.task("safe", "00000000000000a8", "ok"));
    }
    assertThat(engine.calls.stream().filter(call -> call.startsWith("POST")).count())
        .isEqualTo(calls);
  }

  @Test
  void aFailureInsideTheDecisionsEndsItWithItsCause() throws Exception {
    Service failing =
        new Service(
            read(config()),
            (settings, actions) ->
                (Decisions)
                    Proxy.newProxyInstance(
                        getClass().getClassLoader(),
                        new Class<?>[] {Decisions.class},
                        (proxy, method, arguments) -> {
                          if (method.getName().equals("task")) {
                            throw new IllegalStateException("no idea");
                          }
                          return null;
                        }),
            Service.Extras.NONE);
    try (Client client = new Client(failing.listen())) {
      client.send(Client.start(3 << 16));
      client.send(Client.message('Q', Client.task("safe", "00000000000000d5", "ok")));
      assertThatThrownBy(failing::run)
          .isInstanceOf(IllegalStateException.class)
          .hasMessage("no idea");
    }
  }

  @Test
  void theCommandChannelMovesAnEngine() throws IOException, InterruptedException {
    try (Engine second = new Engine();
        Client client = new Client(at).started()) {
      assertThat(client.ask(Client.task("safe", "00000000000000e1", "ok"))).endsWith("SELECT 2");
      // An engine goes, and a new one appears: the poll that is open is cut, the next one tells.
      engine.list =
          ("{'cursor':3,'cmds':["
                  + listed(2, "e", engine.address(), "gone")
                  + ','
                  + listed(3, "f", second.address(), "ready")
                  + "]}")
              .replace('\'', '"');
      for (Socket one : engine.open) {
        one.close();
      }
      String id = "00000000000000f";
      for (int i = 0; second.posted.getCount() > 0; i++) {
        client.ask(Client.task("safe", id + Integer.toHexString(i % 16), "ok"));
      }
      assertThat(engine.calls).anyMatch(call -> call.startsWith("GET /cmd/next?resume=1&block="));
    }
  }

  /**
   * Guards against a manager that ends on SIGHUP, or whose list stops there: the numbers go on at
   * the new address.
   */
  @Test
  void aNewConfigurationMovesTheCommandChannelUnderOpenTasks()
      throws IOException, InterruptedException {
    Path file = folder.resolve("new.json");
    try (Engine second = new Engine();
        Client client = new Client(at).started();
        Client open = new Client(at).started()) {
      Rereading rereading = new Rereading(new ConfigFile(file.toString()));
      rereading.to(service::reread);
      HangUp.take(rereading::signalled);
      open.send(Client.message('Q', Client.task("safe", "00000000000000e3", "late")));
      second.list =
          ("{'cursor':3,'cmds':[" + listed(3, "e", engine.address(), "gone") + "]}")
              .replace('\'', '"');
      // Event 2 is in the file, event 3 comes from the new channel; 9 follows on from neither.
      String known =
          "'known':{'cursor':9,'cmds':["
              + listed(1, "e", engine.address(), "ready")
              + ','
              + listed(2, "f", second.address(), "ready")
              + ','
              + listed(9, "f", second.address(), "gone")
              + "]}";
      String next =
          config().replace("'channel':'" + engine.address(), "'channel':'" + second.address());
      next =
          next.substring(0, next.indexOf("'known'"))
              + known
              + next.substring(next.indexOf(",'settings'"));
      for (String text : List.of("{}", next.replace("'channel'", "'chanel'"), next)) {
        Files.writeString(file, text.replace('\'', '"'));
        new ProcessBuilder("kill", "-HUP", Long.toString(ProcessHandle.current().pid()))
            .start()
            .waitFor();
        Thread.sleep(200); // the machine may fold signals that come at once into one
        assertThat(client.ask("")).isEqualTo("empty");
      }
      String id = "00000000000000f";
      for (int i = 0; second.posted.getCount() > 0; i++) {
        client.ask(Client.task("safe", id + Integer.toHexString(i % 16), "ok"));
      }
      assertThat(open.answer()).isEqualTo("1,2,3;SELECT 1");
      assertThat(client.ask("SHOW STATS")).contains("configurations.read,1;");
      assertThat(second.calls)
          .anyMatch(call -> call.startsWith("GET /cmd/next?resume=2&block="))
          .anyMatch(call -> call.startsWith("GET /cmd/next?resume=3&block="));
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "'seed':'8c1f30d27a5be964' | 'seed':'xyz'",
        "'sockets':256 | 'sockets':'many'",
        "'deadline_ms':300 | 'deadline_ms':'soon'",
        "'max_attempts':2 | 'max_attempts':-1",
        "'cpu_of_kind':[4] | 'cpu_of_kind':['x']",
        "'name':'m', | ''"
      })
  void anUnusableConfigurationIsSaidPlainly(String good, String bad) throws IOException {
    assertThatThrownBy(() -> read(config().replace(good, bad == null ? "" : bad)))
        .isInstanceOf(Unusable.class);
    Path file = folder.resolve("config.json");
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    PrintStream to = new PrintStream(out, true, StandardCharsets.UTF_8);
    Files.writeString(file, config().replace(good, bad == null ? "" : bad).replace('\'', '"'));
    assertThat(Service.check(file.toString(), null, to)).isEqualTo(2);
    Files.writeString(file, config().replace('\'', '"'));
    assertThat(Service.check(file.toString(), null, to)).isZero();
    assertThat(out.toString(StandardCharsets.UTF_8))
        .isEqualTo("m: 2 service grades, 1 tenants, 1 engines\n");
    assertThat(Service.check(folder.resolve("none").toString(), null, to)).isEqualTo(2);
  }

  @Test
  void aClientThatDoesNotReadHoldsUpNobody() throws IOException {
    List<Client> deaf = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      deaf.add(new Client(at).started());
      deaf.get(i).send(Client.message('Q', Client.task("safe", "00000000000001" + (10 + i), "ok")));
    }
    try (Client client = new Client(at).started()) {
      assertThat(client.ask(Client.task("safe", "00000000000000a9", "ok"))).endsWith("SELECT 2");
    }
    for (Client one : deaf) {
      one.close();
    }
  }
}

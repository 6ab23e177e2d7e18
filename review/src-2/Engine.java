import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.function.UnaryOperator;

/**
 * An engine by the protocol page: POST /o, GET /o/ID/N, PUT and DELETE /o/ID, /alive, /stats. Its rows
 * name the query that they were made for. It notes each run in the record.
 */
final class Engine {

  /** One run of a query. */
  static final class Run {
    final String engine;
    final String id;
    final String grade;
    final long startedAt = System.nanoTime();
    final long workMs;
    long lastAskedAt = startedAt;
    long endedAt;
    String end = "";

    Run(String engine, String id, String grade, long workMs) {
      this.engine = engine;
      this.id = id;
      this.grade = grade;
      this.workMs = workMs;
    }
  }

  /** What a case adds to a good end; called after it is written. */
  interface AfterGoodAnswer {
    void written(Socket connection, byte[] answer) throws IOException;
  }

  final String id;
  final List<Run> runs = new CopyOnWriteArrayList<>();
  /** What becomes of a good end before it is written. */
  volatile UnaryOperator<byte[]> goodAnswer = answer -> answer;
  /** The pages of the result of a query. */
  volatile Function<String, List<String>> pages = query -> List.of(rows(query));
  volatile AfterGoodAnswer afterGoodAnswer = (connection, answer) -> {};
  final List<Socket> connections = new CopyOnWriteArrayList<>();
  private final Bench bench;
  private final ToLongFunction<String> workMs;
  private final ServerSocket socket = new ServerSocket();
  private final Map<String, Run> known = new HashMap<>();
  private volatile boolean hanging;

  Engine(Bench bench, String id, String host, ToLongFunction<String> workMs) throws IOException {
    this.bench = bench;
    this.id = id;
    this.workMs = workMs;
    socket.bind(new InetSocketAddress(host, 0), 1024);
    Bench.daemon(this::accept);
    Bench.daemon(this::dropUnasked);
  }

  String address() {
    return socket.getInetAddress().getHostAddress() + ':' + socket.getLocalPort();
  }

  /** A process that stands still: it reads, runs and answers nothing; connections come up. */
  void hang(boolean on) {
    hanging = on;
    bench.log("engine " + id + (on ? " hangs" : " goes on"));
    synchronized (this) {
      notifyAll();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket connection = socket.accept();
        connection.setTcpNoDelay(true);
        connections.add(connection);
        Bench.daemon(() -> serve(connection));
      }
    } catch (IOException e) {
      // closed
    }
  }

  private void dropUnasked() {
    while (true) {
      Bench.sleep(100);
      synchronized (this) {
        for (Run run : hanging ? List.<Run>of() : new ArrayList<>(known.values())) {
          if (run.end.isEmpty() && System.nanoTime() - run.lastAskedAt > 2_000_000_000L) {
            end(run, "dropped, as nobody asked");
          }
        }
      }
    }
  }

  private void end(Run run, String how) {
    run.end = how;
    run.endedAt = System.nanoTime();
    bench.log("engine " + id + ": " + run.id + " " + how);
    notifyAll();
  }

  static String readHead(DataInputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int tail = 0;
    while (tail != 0x0d0a0d0a) {
      int octet = in.read();
      if (octet < 0) {
        throw new EOFException();
      }
      head.write(octet);
      tail = tail << 8 | octet;
    }
    return head.toString(StandardCharsets.UTF_8);
  }

  static String field(String head, String name) {
    for (String line : head.split("\r\n")) {
      if (line.regionMatches(true, 0, name + ':', 0, name.length() + 1)) {
        return line.substring(name.length() + 1).strip();
      }
    }
    return "";
  }

  private void serve(Socket connection) {
    try (connection) {
      DataInputStream in = new DataInputStream(new BufferedInputStream(connection.getInputStream()));
      while (true) {
        String head = readHead(in);
        String length = field(head, "content-length");
        in.readFully(new byte[length.isEmpty() ? 0 : Integer.parseInt(length)]);
        awaitGoing();
        String[] call = head.substring(0, head.indexOf("\r\n")).split(" ");
        byte[] answer = answer(call[0], call[1].split("/"), head);
        awaitGoing();
        boolean good =
            new String(answer, 0, 12, StandardCharsets.US_ASCII).equals("HTTP/1.1 200") && call[1].startsWith("/o");
        connection.getOutputStream().write(good ? goodAnswer.apply(answer) : answer);
        if (good) {
          afterGoodAnswer.written(connection, answer);
        }
      }
    } catch (IOException | InterruptedException e) {
      // The manager closed the connection.
    } finally {
      connections.remove(connection);
    }
  }

  private synchronized void awaitGoing() throws InterruptedException {
    while (hanging) {
      wait();
    }
  }

  private static byte[] answer(String status, String fields, String body) {
    return ("HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body)
        .getBytes(StandardCharsets.US_ASCII);
  }

  private byte[] answer(String method, String[] path, String head) throws InterruptedException {
    if (path.length > 1 && (path[1].equals("alive") || path[1].equals("stats"))) {
      return answer("200 OK", load(), "");
    }
    if (method.equals("POST")) {
      Run run = new Run(id, field(head, "x-req"), field(head, "x-class"), workMs.applyAsLong(field(head, "x-req")));
      synchronized (this) {
        known.put(run.id, run);
      }
      runs.add(run);
      bench.log("engine " + id + ": " + run.id + " " + run.grade + " begins, " + run.workMs + " ms, wait "
          + field(head, "x-wait-ms") + " ms");
      Bench.daemon(() -> complete(run));
      return news(run);
    }
    Run run;
    synchronized (this) {
      run = known.get(path[2]);
    }
    if (method.equals("GET") && run != null && run.end.equals("ends well") && !path[3].equals("0")) {
      return answer("200 OK", "Page-No: " + path[3] + "\r\n", pages.apply(run.id).get(Integer.parseInt(path[3])));
    }
    if (method.equals("GET")) {
      return run == null || !run.end.isEmpty() && !run.end.equals("ends well")
          ? answer("500 Internal Server Error", "", "")
          : news(run);
    }
    if (method.equals("DELETE") && run != null) {
      synchronized (this) {
        if (run.end.isEmpty()) {
          end(run, "is given up");
        }
      }
    }
    return Bench.ascii("HTTP/1.1 204 No Content\r\n\r\n");
  }

  private void complete(Run run) {
    Bench.sleep(run.workMs);
    try {
      awaitGoing();
    } catch (InterruptedException e) {
      return;
    }
    synchronized (this) {
      if (run.end.isEmpty()) {
        end(run, "ends well");
      }
    }
  }

  private synchronized String load() {
    long busy = known.values().stream().filter(run -> run.end.isEmpty()).count();
    return "X-Load: busy_reqs:" + busy + "\r\n";
  }

  /** The rows that this engine makes for a query. */
  static String rows(String id) {
    return "row 1\t" + id + "\tfirst\nrow 2\t" + id + "\tlast\n";
  }

  private byte[] news(Run run) throws InterruptedException {
    long until = System.nanoTime() + 250_000_000L;
    synchronized (this) {
      run.lastAskedAt = System.nanoTime();
      for (long left = 250; run.end.isEmpty() && left > 0; left = (until - System.nanoTime()) / 1_000_000) {
        wait(left);
      }
      run.lastAskedAt = System.nanoTime();
      if (run.end.isEmpty()) {
        return answer("202 Accepted", "", "");
      }
      return run.end.equals("ends well")
          ? answer("200 OK", "Page-Count: " + pages.apply(run.id).size() + "\r\nWork-Ms: " + run.workMs + "\r\nPeak-Mb: 16\r\n"
              + load(), pages.apply(run.id).get(0))
          : answer("500 Internal Server Error", "", "");
    }
  }

  /** Ends the engine's process: no new connection, all open ones are reset. */
  void crash() throws IOException {
    socket.close();
    bench.log("engine " + id + " dies");
    for (Socket connection : connections) {
      connection.setSoLinger(true, 0);
      connection.close();
    }
  }
}

package tansytrack.lab;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import tansytrack.lab.simulation.EngineModel;

/**
 * A fake engine on loopback: accepts statements over HTTP/1.1, simulates work that depends on the
 * id of the query, and records what it ran. A query runs until it is complete, is cancelled, or has
 * not been polled for 2 s.
 */
public final class StandInEngine implements AutoCloseable {

  private static final long HELD_OPEN_MS = 250;
  private static final long UNASKED_MS = 2000;

  // Interval at which queries that share cores are checked for completion.
  private static final long TICK_MS = 2;

  private static final int LONGEST_HEAD = 1 << 14;
  private static final int LONGEST_BODY = 1 << 17;
  private static final String ROWS = "monday\t12\tnone\ntuesday\t7\tlate\n";

  /** Observes forwards, in the order of events. */
  interface Watcher {
    /** A whole request has arrived; its work is in nanoseconds. */
    void arrived(String engine, String id, double work);

    /** The query ended, was cancelled, or was rejected without running. */
    void over(String engine, String id, boolean mayHaveRun);
  }

  /** A query that was admitted. */
  private final class Query {
    final String id;
    final double workMs;
    boolean over;
    boolean done;
    long asked = System.nanoTime();
    ScheduledFuture<?> end;

    Query(String id, double workMs) {
      this.id = id;
      this.workMs = workMs;
    }

    Query(String id) {
      this.id = id;
      // Whole microseconds, so that the text in the response equals the recorded work.
      workMs =
          (leastMs * 1000
                  + Math.floorMod(
                      (id.hashCode() * 0x9E3779B97F4A7C15L) >>> 16, spreadMs * 1000 + 1))
              / 1000.0;
    }
  }

  private final String name;
  private final long leastMs;
  private final long spreadMs;
  private final ServerSocket socket = new ServerSocket();
  private final ScheduledExecutorService clock =
      Executors.newSingleThreadScheduledExecutor(StandInEngine::thread);
  private final Map<String, Query> open = new HashMap<>();
  private final List<Query> all = new ArrayList<>();
  private final List<Socket> connections = new ArrayList<>();

  // Null: queries do not share cores.
  private final EngineModel model;

  // Work by query id, in nanoseconds; null without a model.
  private final ToDoubleFunction<String> works;

  private final Watcher watcher;

  /** An engine whose queries share cores, and which crashes, by a model. */
  StandInEngine(
      String name,
      InetSocketAddress address,
      EngineModel model,
      ToDoubleFunction<String> workNanos,
      Watcher listener)
      throws IOException {
    this.name = name;
    leastMs = 0;
    spreadMs = 0;
    this.model = model;
    this.works = workNanos;
    this.watcher = listener;
    open(address);
    every(TICK_MS, TICK_MS, this::advance);
  }

  /**
   * An engine without a model: each query takes {@code minMs} and up to {@code spreadMs} more,
   * whatever else runs.
   */
  public StandInEngine(String name, InetSocketAddress address, long minMs, long spreadMs)
      throws IOException {
    this.name = name;
    this.leastMs = minMs;
    this.spreadMs = spreadMs;
    model = null;
    works = null;
    watcher = null;
    open(address);
  }

  private void open(InetSocketAddress address) throws IOException {
    socket.setReuseAddress(true);
    socket.bind(address, 1024);
    thread(this::accept).start();
    every(UNASKED_MS, UNASKED_MS / 8, this::dropUnasked);
  }

  /** Repeats a step until shutdown; an exception in a step ends the repetition. */
  @SuppressWarnings("FutureReturnValueIgnored") // nothing waits for the end of a repeated step
  private void every(long firstMs, long intervalMs, Runnable step) {
    clock.scheduleAtFixedRate(step, firstMs, intervalMs, TimeUnit.MILLISECONDS);
  }

  /** Creates a daemon thread; does not start it. */
  static Thread thread(Runnable task) {
    Thread thread = new Thread(task, "lab");
    thread.setDaemon(true);
    return thread;
  }

  /** The id of the engine, as in configurations. */
  public String name() {
    return name;
  }

  /** The address that it listens at, as host:port, with the actual port if 0 was requested. */
  public String address() {
    return socket.getInetAddress().getHostAddress() + ':' + socket.getLocalPort();
  }

  private void accept() {
    try {
      while (true) {
        Socket connection = socket.accept();
        connection.setTcpNoDelay(true);
        synchronized (connections) {
          connections.add(connection);
        }
        thread(() -> serve(connection)).start();
      }
    } catch (IOException e) {
      // The socket was closed.
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      DataInputStream in = new DataInputStream(connection.getInputStream());
      while (true) {
        String head = head(in);
        byte[] body = new byte[length(head)];
        in.readFully(body);
        connection.getOutputStream().write(answer(head).getBytes(StandardCharsets.UTF_8));
      }
    } catch (IOException | InterruptedException e) {
      // The client closed the connection or does not speak HTTP, or the engine crashed.
    } finally {
      synchronized (connections) {
        connections.remove(connection);
      }
    }
  }

  /** Reads the head of the next HTTP request, up to its blank line. */
  static String head(DataInputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int tail = 0;
    while (tail != 0x0d0a0d0a) {
      int octet = in.read();
      if (octet < 0 || head.size() > LONGEST_HEAD) {
        throw new EOFException();
      }
      head.write(octet);
      tail = tail << 8 | octet;
    }
    return head.toString(StandardCharsets.UTF_8);
  }

  private static int length(String head) throws IOException {
    for (String line : head.split("\r\n")) {
      if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        int length = Integer.parseInt(line.substring(15).strip());
        if (length >= 0 && length <= LONGEST_BODY) {
          return length;
        }
        throw new IOException("request body of " + length + " bytes");
      }
    }
    return 0;
  }

  private static String field(String head, String name) {
    return Arrays.stream(head.split("\r\n"))
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name + ':'))
        .map(line -> line.substring(name.length() + 1).strip())
        .findFirst()
        .orElse("");
  }

  /** Formats an HTTP response; each of the header fields ends with CRLF. */
  static String say(String status, String fields, String body) {
    return "HTTP/1.1 "
        + status
        + "\r\n"
        + fields
        + "Content-Length: "
        + body.getBytes(StandardCharsets.UTF_8).length
        + "\r\n\r\n"
        + body;
  }

  private String answer(String head) throws InterruptedException {
    String[] request = head.substring(0, head.indexOf("\r\n")).split(" ");
    String path = request.length > 1 ? request[1] : "";
    if (request[0].equals("POST") && path.equals("/o")) {
      Query query = started(field(head, "x-req"));
      return query == null
          ? say("503 Service Unavailable", "X-Not-Run: 1\r\n" + load(), "")
          : news(query);
    }
    if (path.equals("/alive") || path.equals("/stats")) {
      return say("200 OK", load(), "");
    }
    String[] parts = path.split("/");
    if (parts.length < 3 || !parts[1].equals("o")) {
      return say("404 Not Found", "", "");
    }
    return switch (request[0]) {
      case "GET" ->
          known(parts[2]) == null
              ? say("500 Internal Server Error", "", "")
              : news(known(parts[2]));
      case "DELETE" -> {
        over(known(parts[2]), false);
        yield "HTTP/1.1 204 No Content\r\n\r\n";
      }
      default -> "HTTP/1.1 204 No Content\r\n\r\n";
    };
  }

  private synchronized Query known(String id) {
    return open.get(id);
  }

  private synchronized String load() {
    long busy = open.values().stream().filter(query -> !query.over).count();
    if (model != null) {
      return String.format(
          Locale.ROOT, "X-Load: busy_reqs:%d;cpu_share:%.2f\r\n", busy, model.utilization());
    }
    return "X-Load: busy_reqs:" + busy + ";inflight:" + busy + "\r\n";
  }

  /** Starts a query; null if the engine is full. */
  private synchronized Query started(String id) throws InterruptedException {
    if (model != null) {
      return shared(id);
    }
    Query query = new Query(id);
    open.put(id, query);
    all.add(query);
    query.end =
        clock.schedule(
            () -> over(query, true), (long) (query.workMs * 1000), TimeUnit.MICROSECONDS);
    return query;
  }

  private Query shared(String id) throws InterruptedException {
    double work = works.applyAsDouble(id);
    watcher.arrived(name, id, work);
    EngineModel.Admission admission = model.start(System.nanoTime(), id, work, 1);
    if (admission != EngineModel.Admission.STARTED) {
      watcher.over(name, id, admission == EngineModel.Admission.DOWN);
      if (admission == EngineModel.Admission.DOWN) {
        fall();
      }
      return null;
    }
    Query query = new Query(id, work / 1e6);
    open.put(id, query);
    all.add(query);
    return query;
  }

  private synchronized void advance() {
    for (String id : model.advance(System.nanoTime())) {
      over(open.get(id), true);
    }
  }

  /** Crashes: closes the listener and all connections; the engine stays down. */
  private void fall() throws InterruptedException {
    try {
      close();
    } catch (IOException e) {
      // It is down all the same.
    }
    throw new InterruptedException();
  }

  /** Ends all open queries as lost, as the death of the process does. */
  synchronized void lose() {
    for (Query query : List.copyOf(open.values())) {
      over(query, false);
    }
  }

  /** Whether it has crashed by its model. */
  synchronized boolean fallen() {
    return model != null && model.crashed();
  }

  /** Sets the factor by which all work takes longer; 1: normal speed. */
  synchronized void slow(double factor) {
    model.slowdown(System.nanoTime(), factor);
  }

  private synchronized void over(Query query, boolean done) {
    if (query != null && !query.over) {
      query.over = true;
      query.done = done;
      if (model != null) {
        model.cancel(System.nanoTime(), query.id);
        watcher.over(name, query.id, true);
      } else {
        query.end.cancel(false);
      }
      notifyAll();
    }
  }

  /** Waits for the end of a query; responds 202 Accepted if it still runs after the long poll. */
  private synchronized String news(Query query) throws InterruptedException {
    long deadline = System.nanoTime() + HELD_OPEN_MS * 1_000_000;
    query.asked = System.nanoTime();
    while (!query.over) {
      long remainingMs = (deadline - System.nanoTime()) / 1_000_000;
      if (remainingMs <= 0) {
        return say("202 Accepted", "", "");
      }
      wait(remainingMs);
    }
    query.asked = System.nanoTime();
    return query.done
        ? say(
            "200 OK",
            "Page-Count: 1\r\nPeak-Mb: 4\r\nWork-Ms: "
                + String.format(Locale.ROOT, "%.3f", query.workMs)
                + "\r\n"
                + load(),
            ROWS)
        : say("500 Internal Server Error", "", "");
  }

  private synchronized void dropUnasked() {
    long now = System.nanoTime();
    for (Query query : List.copyOf(open.values())) {
      if (now - query.asked > UNASKED_MS * 1_000_000) {
        over(query, false);
        open.remove(query.id);
      }
    }
  }

  /**
   * The queries that it ran, as rows of a statement (engine,task,work_ns,done); the last row marks
   * the statement as complete.
   */
  public synchronized List<String> statement() {
    List<String> rows = new ArrayList<>();
    for (Query query : all) {
      rows.add(name + ',' + query.id + ',' + Math.round(query.workMs * 1e6) + ',' + query.done);
    }
    rows.add(name + ",,,");
    return rows;
  }

  /** Number of queries that it started. */
  public synchronized long runs() {
    return all.size();
  }

  @Override
  public void close() throws IOException {
    socket.close();
    clock.shutdownNow();
    synchronized (connections) {
      for (Socket connection : List.copyOf(connections)) {
        connection.close();
      }
    }
  }
}

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
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import tansytrack.lab.proto.AnswerFault;
import tansytrack.lab.simulation.EngineModel;

/**
 * A fake engine on loopback: accepts statements over HTTP/1.1, simulates work that depends on the
 * id of the query, and records what it ran. A query runs until it is complete, is cancelled, or has
 * not been polled for 2 s.
 */
public final class FakeEngine implements AutoCloseable {

  private static final long LONG_POLL_MS = 250;
  private static final long POLL_TIMEOUT_MS = 2000;

  // Interval at which queries that share cores are checked for completion.
  private static final long MODEL_INTERVAL_MS = 2;

  private static final int MAX_HEAD_BYTES = 1 << 14;
  private static final int MAX_BODY_BYTES = 1 << 17;
  private static final String RESULT_ROWS = "monday\t12\tnone\ntuesday\t7\tlate\n";

  /** Observes forwards, in the order of events. */
  interface Listener {
    /** A whole request has arrived; its work is in nanoseconds. */
    void forwardArrived(String engine, String id, double work);

    /** The query ended, was cancelled, or was rejected without running. */
    void forwardEnded(String engine, String id, boolean mayHaveRun);
  }

  /** A query that was admitted. */
  private final class Query {
    final String id;
    final double workMs;
    boolean ended;
    boolean completed;
    long lastPollNanos = System.nanoTime();
    ScheduledFuture<?> completion;

    Query(String id, double workMs) {
      this.id = id;
      this.workMs = workMs;
    }

    Query(String id) {
      this.id = id;
      // Whole microseconds, so that the text in the response equals the recorded work.
      workMs =
          (minMs * 1000
                  + Math.floorMod(
                      (id.hashCode() * 0x9E3779B97F4A7C15L) >>> 16, spreadMs * 1000 + 1))
              / 1000.0;
    }
  }

  private final String name;
  private final long minMs;
  private final long spreadMs;
  private final ServerSocket socket = new ServerSocket();
  private final ScheduledExecutorService scheduler =
      Executors.newSingleThreadScheduledExecutor(FakeEngine::daemonThread);
  private final Map<String, Query> openQueries = new HashMap<>();
  private final List<Query> queries = new ArrayList<>();
  private final List<Socket> connections = new ArrayList<>();

  // Null: queries do not share cores.
  private final EngineModel model;

  // Work by query id, in nanoseconds; null without a model.
  private final ToDoubleFunction<String> workNanos;

  private final Listener listener;

  // The fault of the answers to start requests, and which requests it affects.
  private final AnswerFault answerFault;
  private final Random random = new Random(1);

  /** An engine whose queries share cores, and which crashes, by a model. */
  FakeEngine(
      String name,
      InetSocketAddress address,
      EngineModel model,
      ToDoubleFunction<String> workNanos,
      Listener listener,
      AnswerFault answerFault)
      throws IOException {
    this.name = name;
    minMs = 0;
    spreadMs = 0;
    this.model = model;
    this.workNanos = workNanos;
    this.listener = listener;
    this.answerFault = answerFault;
    listen(address);
    scheduleRepeating(MODEL_INTERVAL_MS, MODEL_INTERVAL_MS, this::advance);
  }

  /**
   * An engine without a model: each query takes {@code minMs} and up to {@code spreadMs} more,
   * whatever else runs.
   */
  public FakeEngine(String name, InetSocketAddress address, long minMs, long spreadMs)
      throws IOException {
    this.name = name;
    this.minMs = minMs;
    this.spreadMs = spreadMs;
    model = null;
    workNanos = null;
    listener = null;
    answerFault = AnswerFault.getDefaultInstance();
    listen(address);
  }

  private void listen(InetSocketAddress address) throws IOException {
    socket.setReuseAddress(true);
    socket.bind(address, 1024);
    daemonThread(this::accept).start();
    scheduleRepeating(POLL_TIMEOUT_MS, POLL_TIMEOUT_MS / 8, this::endUnpolled);
  }

  /** Repeats a step until shutdown; an exception in a step ends the repetition. */
  @SuppressWarnings("FutureReturnValueIgnored") // nothing waits for the end of a repeated step
  private void scheduleRepeating(long firstMs, long intervalMs, Runnable step) {
    scheduler.scheduleAtFixedRate(step, firstMs, intervalMs, TimeUnit.MILLISECONDS);
  }

  /** Creates a daemon thread; does not start it. */
  static Thread daemonThread(Runnable task) {
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
        daemonThread(() -> serve(connection)).start();
      }
    } catch (IOException e) {
      // The socket was closed.
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      DataInputStream in = new DataInputStream(connection.getInputStream());
      while (true) {
        String head = readHead(in);
        byte[] body = new byte[contentLength(head)];
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
  static String readHead(DataInputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int tail = 0;
    while (tail != 0x0d0a0d0a) {
      int octet = in.read();
      if (octet < 0 || head.size() > MAX_HEAD_BYTES) {
        throw new EOFException();
      }
      head.write(octet);
      tail = tail << 8 | octet;
    }
    return head.toString(StandardCharsets.UTF_8);
  }

  private static int contentLength(String head) throws IOException {
    for (String line : head.split("\r\n")) {
      if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        int length = Integer.parseInt(line.substring(15).strip());
        if (length >= 0 && length <= MAX_BODY_BYTES) {
          return length;
        }
        throw new IOException("request body of " + length + " bytes");
      }
    }
    return 0;
  }

  private static String headerField(String head, String name) {
    return Arrays.stream(head.split("\r\n"))
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(name + ':'))
        .map(line -> line.substring(name.length() + 1).strip())
        .findFirst()
        .orElse("");
  }

  /** Formats an HTTP response; each of the header fields ends with CRLF. */
  static String response(String status, String fields, String body) {
    return "HTTP/1.1 "
        + status
        + "\r\n"
        + fields
        + "Content-Length: "
        + body.getBytes(StandardCharsets.UTF_8).length
        + "\r\n\r\n"
        + body;
  }

  private String answer(String head) throws IOException, InterruptedException {
    String[] request = head.substring(0, head.indexOf("\r\n")).split(" ");
    String path = request.length > 1 ? request[1] : "";
    if (request[0].equals("POST") && path.equals("/o")) {
      Query query = admit(headerField(head, "x-req"));
      if (query != null && random.nextDouble() < answerFault.getPart()) {
        return failedAnswer(query);
      }
      return query == null
          ? response("503 Service Unavailable", "X-Not-Run: 1\r\n" + loadReport(), "")
          : awaitResult(query);
    }
    if (path.equals("/alive") || path.equals("/stats")) {
      return response("200 OK", loadReport(), "");
    }
    String[] parts = path.split("/");
    if (parts.length < 3 || !parts[1].equals("o")) {
      return response("404 Not Found", "", "");
    }
    return switch (request[0]) {
      case "GET" ->
          openQuery(parts[2]) == null
              ? response("500 Internal Server Error", "", "")
              : awaitResult(openQuery(parts[2]));
      case "DELETE" -> {
        end(openQuery(parts[2]), false);
        yield "HTTP/1.1 204 No Content\r\n\r\n";
      }
      default -> "HTTP/1.1 204 No Content\r\n\r\n";
    };
  }

  /** Ends a query at once, and returns the answer by the fault of this engine's answers. */
  private String failedAnswer(Query query) throws IOException {
    end(query, false, answerFault.getKind() != AnswerFault.Kind.NOT_RUN);
    return switch (answerFault.getKind()) {
      case ERROR -> response("500 Internal Server Error", "", "");
      case NOT_RUN -> response("503 Service Unavailable", "X-Not-Run: 1\r\n", "");
      case GARBAGE -> "no answer\r\n\r\n";
      default -> throw new IOException("reset");
    };
  }

  private synchronized Query openQuery(String id) {
    return openQueries.get(id);
  }

  private synchronized String loadReport() {
    long busy = openQueries.values().stream().filter(query -> !query.ended).count();
    if (model != null) {
      return String.format(
          Locale.ROOT, "X-Load: busy_reqs:%d;cpu_share:%.2f\r\n", busy, model.utilization());
    }
    return "X-Load: busy_reqs:" + busy + ";inflight:" + busy + "\r\n";
  }

  /** Starts a query; null if the engine is full. */
  private synchronized Query admit(String id) throws InterruptedException {
    if (model != null) {
      return admitByModel(id);
    }
    Query query = new Query(id);
    openQueries.put(id, query);
    queries.add(query);
    query.completion =
        scheduler.schedule(
            () -> end(query, true), (long) (query.workMs * 1000), TimeUnit.MICROSECONDS);
    return query;
  }

  private Query admitByModel(String id) throws InterruptedException {
    double work = workNanos.applyAsDouble(id);
    listener.forwardArrived(name, id, work);
    EngineModel.Admission admission = model.start(System.nanoTime(), id, work, 1);
    if (admission != EngineModel.Admission.STARTED) {
      listener.forwardEnded(name, id, admission == EngineModel.Admission.DOWN);
      if (admission == EngineModel.Admission.DOWN) {
        crash();
      }
      return null;
    }
    Query query = new Query(id, work / 1e6);
    openQueries.put(id, query);
    queries.add(query);
    return query;
  }

  private synchronized void advance() {
    for (String id : model.advance(System.nanoTime())) {
      end(openQueries.get(id), true);
    }
  }

  /** Crashes: closes the listener and all connections; the engine stays down. */
  private void crash() throws InterruptedException {
    try {
      close();
    } catch (IOException e) {
      // It is down all the same.
    }
    throw new InterruptedException();
  }

  /** Ends all open queries as lost, as the death of the process does. */
  synchronized void loseQueries() {
    for (Query query : List.copyOf(openQueries.values())) {
      end(query, false);
    }
  }

  /** Whether it has crashed by its model. */
  synchronized boolean hasCrashed() {
    return model != null && model.crashed();
  }

  /** Sets the factor by which all work takes longer; 1: normal speed. */
  synchronized void slowDown(double factor) {
    model.slowdown(System.nanoTime(), factor);
  }

  private void end(Query query, boolean done) {
    end(query, done, true);
  }

  private synchronized void end(Query query, boolean done, boolean mayHaveRun) {
    if (query != null && !query.ended) {
      query.ended = true;
      query.completed = done;
      if (model != null) {
        model.cancel(System.nanoTime(), query.id);
        listener.forwardEnded(name, query.id, mayHaveRun);
      } else {
        query.completion.cancel(false);
      }
      notifyAll();
    }
  }

  /** Waits for the end of a query; responds 202 Accepted if it still runs after the long poll. */
  private synchronized String awaitResult(Query query) throws InterruptedException {
    long deadline = System.nanoTime() + LONG_POLL_MS * 1_000_000;
    query.lastPollNanos = System.nanoTime();
    while (!query.ended) {
      long remainingMs = (deadline - System.nanoTime()) / 1_000_000;
      if (remainingMs <= 0) {
        return response("202 Accepted", "", "");
      }
      wait(remainingMs);
    }
    query.lastPollNanos = System.nanoTime();
    return query.completed
        ? response(
            "200 OK",
            "Page-Count: 1\r\nPeak-Mb: 4\r\nWork-Ms: "
                + String.format(Locale.ROOT, "%.3f", query.workMs)
                + "\r\n"
                + loadReport(),
            RESULT_ROWS)
        : response("500 Internal Server Error", "", "");
  }

  private synchronized void endUnpolled() {
    long now = System.nanoTime();
    for (Query query : List.copyOf(openQueries.values())) {
      if (now - query.lastPollNanos > POLL_TIMEOUT_MS * 1_000_000) {
        end(query, false);
        openQueries.remove(query.id);
      }
    }
  }

  /**
   * The queries that it ran, as rows of a statement (engine,task,work_ns,done); the last row marks
   * the statement as complete.
   */
  public synchronized List<String> statement() {
    List<String> rows = new ArrayList<>();
    for (Query query : queries) {
      rows.add(
          name + ',' + query.id + ',' + Math.round(query.workMs * 1e6) + ',' + query.completed);
    }
    rows.add(name + ",,,");
    return rows;
  }

  /** Number of queries that it started. */
  public synchronized long queryCount() {
    return queries.size();
  }

  @Override
  public void close() throws IOException {
    socket.close();
    scheduler.shutdownNow();
    synchronized (connections) {
      for (Socket connection : List.copyOf(connections)) {
        connection.close();
      }
    }
  }
}

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
 * An engine for the lab, on loopback: takes statements over HTTP/1.1, works on each for a time that
 * follows from its id, and keeps its own count of what it ran. A query runs on until it ends, is
 * given up, or was not asked for in 2 s.
 */
public final class StandInEngine implements AutoCloseable {

  private static final long HELD_OPEN_MS = 250;
  private static final long UNASKED_MS = 2000;
  private static final long TICK_MS = 2; // between looks at what has ended, where cores are shared
  private static final int LONGEST_HEAD = 1 << 14;
  private static final int LONGEST_BODY = 1 << 17;
  private static final String ROWS = "monday\t12\tnone\ntuesday\t7\tlate\n";

  /** Hears what comes whole and how it ends, in order. */
  interface Watcher {
    void arrived(String engine, String id, double work);

    /** It ended, was given up or never ran. */
    void over(String engine, String id, boolean mayHaveRun);
  }

  /** One query that was taken up. */
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
      // Thousandths, so that what is told in text is what is counted.
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
  private final EngineModel model; // null: each query works for itself
  private final ToDoubleFunction<String> works; // nanoseconds of work by a query's id
  private final Watcher watcher;

  /**
   * One whose queries share cores as the model says, which falls as it says, and which tells what
   * it sees.
   */
  StandInEngine(
      String name,
      InetSocketAddress at,
      EngineModel model,
      ToDoubleFunction<String> works,
      Watcher watcher)
      throws IOException {
    this.name = name;
    leastMs = 0;
    spreadMs = 0;
    this.model = model;
    this.works = works;
    this.watcher = watcher;
    open(at);
    every(TICK_MS, TICK_MS, this::advance);
  }

  /**
   * An engine whose queries take a time between two bounds, without a model of its cores or memory.
   */
  public StandInEngine(String name, InetSocketAddress at, long leastMs, long spreadMs)
      throws IOException {
    this.name = name;
    this.leastMs = leastMs;
    this.spreadMs = spreadMs;
    model = null;
    works = null;
    watcher = null;
    open(at);
  }

  private void open(InetSocketAddress at) throws IOException {
    socket.setReuseAddress(true);
    socket.bind(at, 1024);
    thread(this::accept).start();
    every(UNASKED_MS, UNASKED_MS / 8, this::dropUnasked);
  }

  /** Repeats a step until the clock is shut down; an exception in one ends the repetition. */
  @SuppressWarnings("FutureReturnValueIgnored") // nothing waits for the end of a repeated step
  private void every(long firstMs, long everyMs, Runnable step) {
    clock.scheduleAtFixedRate(step, firstMs, everyMs, TimeUnit.MILLISECONDS);
  }

  static Thread thread(Runnable what) {
    Thread thread = new Thread(what, "lab");
    thread.setDaemon(true);
    return thread;
  }

  /** The engine's identity, as configurations name it. */
  public String name() {
    return name;
  }

  /**
   * The address that it listens at, as host:port; the port is the real one where 0 was asked for.
   */
  public String address() {
    return socket.getInetAddress().getHostAddress() + ':' + socket.getLocalPort();
  }

  private void accept() {
    try {
      while (true) {
        Socket one = socket.accept();
        one.setTcpNoDelay(true);
        synchronized (connections) {
          connections.add(one);
        }
        thread(() -> serve(one)).start();
      }
    } catch (IOException e) {
      // closed
    }
  }

  private void serve(Socket one) {
    try (one) {
      DataInputStream in = new DataInputStream(one.getInputStream());
      while (true) {
        String head = head(in);
        byte[] body = new byte[length(head)];
        in.readFully(body);
        one.getOutputStream().write(answer(head).getBytes(StandardCharsets.UTF_8));
      }
    } catch (IOException | InterruptedException e) {
      // the caller left, or spoke something else
    } finally {
      synchronized (connections) {
        connections.remove(one);
      }
    }
  }

  /** The head of the next call, up to its blank line. */
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
        throw new IOException("a body of " + length);
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
    String[] call = head.substring(0, head.indexOf("\r\n")).split(" ");
    String path = call.length > 1 ? call[1] : "";
    if (call[0].equals("POST") && path.equals("/o")) {
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
    return switch (call[0]) {
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
    long busy = open.values().stream().filter(one -> !one.over).count();
    if (model != null) {
      return String.format(
          Locale.ROOT, "X-Load: busy_reqs:%d;cpu_share:%.2f\r\n", busy, model.utilization());
    }
    return "X-Load: busy_reqs:" + busy + ";inflight:" + busy + "\r\n";
  }

  /** Takes it up; null: it is full. */
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
    EngineModel.Admission taken = model.start(System.nanoTime(), id, work, 1);
    if (taken != EngineModel.Admission.STARTED) {
      watcher.over(name, id, taken == EngineModel.Admission.DOWN);
      if (taken == EngineModel.Admission.DOWN) {
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

  /** It stays down: its connections are reset, new ones refused. */
  private void fall() throws InterruptedException {
    try {
      close();
    } catch (IOException e) {
      // it is down all the same
    }
    throw new InterruptedException();
  }

  /** Its process has died: what it had is gone. */
  synchronized void lose() {
    for (Query query : List.copyOf(open.values())) {
      over(query, false);
    }
  }

  synchronized boolean fallen() {
    return model != null && model.crashed();
  }

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

  /** The end of a query, or after a while the word that it runs on. */
  private synchronized String news(Query query) throws InterruptedException {
    long until = System.nanoTime() + HELD_OPEN_MS * 1_000_000;
    query.asked = System.nanoTime();
    while (!query.over) {
      long left = (until - System.nanoTime()) / 1_000_000;
      if (left <= 0) {
        return say("202 Accepted", "", "");
      }
      wait(left);
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
   * What it ran, as the rows of a statement: engine,task,work_ns,done; with a last row that says
   * that it is whole.
   */
  public synchronized List<String> statement() {
    List<String> rows = new ArrayList<>();
    for (Query query : all) {
      rows.add(name + ',' + query.id + ',' + Math.round(query.workMs * 1e6) + ',' + query.done);
    }
    rows.add(name + ",,,");
    return rows;
  }

  /** How many queries it was sent. */
  public synchronized long runs() {
    return all.size();
  }

  @Override
  public void close() throws IOException {
    socket.close();
    clock.shutdownNow();
    synchronized (connections) {
      for (Socket one : List.copyOf(connections)) {
        one.close();
      }
    }
  }
}

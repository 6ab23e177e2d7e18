package tansytrack.state;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import tansytrack.wire.Http;
import tansytrack.wire.HttpLine;
import tansytrack.wire.Sockets;

/**
 * The connections to one engine. They belong to the engine's id and not to its address, as an
 * address can be reassigned to another engine.
 */
final class EngineLines implements HttpLine.Holder {

  static final byte[] NOTHING = new byte[0];

  /** Earlier than any response: permits connections that have not delivered one recently. */
  static final long ANY_TIME = Long.MIN_VALUE;

  // Twice a page with its header, and the informational responses that may precede it.
  private static final int LONGEST = 1 << 16;

  // How long a connection stays unused between two requests. Surplus bytes that belong to the last
  // response arrive within this time.
  private static final long REST = 10_000_000L;

  // Attempts at a request whose connections break.
  private static final int TRIES = 4;

  // Initial size of the collections of connections. Few of thousands of engines have more.
  private static final int USUAL = 2;

  final String id;
  private final Sockets sockets;
  private final Timers timers;
  private final Limits limits;
  private final Counters counters;
  // Ordered by time of last use, the most recent one last.
  private final ArrayDeque<Idle> idle = new ArrayDeque<>(USUAL);
  // Timeouts of the connections that are being established.
  private final Map<HttpLine, Timers.Timer> coming = new IdentityHashMap<>(USUAL);
  private final Set<HttpLine> lines = Collections.newSetFromMap(new IdentityHashMap<>(USUAL));
  // Requests that wait for an idle connection.
  private final ArrayDeque<Runnable> waiting = new ArrayDeque<>(USUAL);
  // Whether the last attempt to connect was refused.
  private boolean refusing;
  private long refusedAt;
  // When the last complete response to any request came.
  private long heardAt = ANY_TIME;
  // Whether a connection established since then has left a request unanswered.
  private boolean unresponsive;
  private InetSocketAddress address;
  // Forwards that have not ended, counted here and not by the module.
  int forwards;
  // Whether the engine is ready according to the latest list, so that new work may start there.
  private boolean takes;
  // Whether the engine has left the list: open requests complete, no connection is kept after them.
  private boolean retired;
  private long retiredAt;

  /** Limits for connections: timeouts in nanoseconds, and a maximum of open connections. */
  static final class Limits {
    final long connectTime;
    final long idleTime;
    // May change when the configuration is reloaded.
    int most;

    Limits(long connectTime, long idleTime) {
      this.connectTime = connectTime;
      this.idleTime = idleTime;
    }
  }

  private record Idle(HttpLine line, long since) {}

  EngineLines(String id, Sockets sockets, Timers timers, Limits limits, Counters counters) {
    this.id = id;
    this.sockets = sockets;
    this.timers = timers;
    this.limits = limits;
    this.counters = counters;
  }

  /**
   * Updates the engine from the list: its address, and whether new work may start there. Idle
   * connections to a previous address are closed.
   */
  void listed(InetSocketAddress at, boolean ready) {
    takes = ready;
    retired = false;
    if (!at.equals(address)) {
      dropIdle();
      address = at;
    }
  }

  /** Marks the engine as gone from the list and closes its idle connections. */
  void retire() {
    takes = false;
    retiredAt = retired ? retiredAt : timers.now();
    retired = true;
    dropIdle();
  }

  /** Whether the engine has left the list: its machine is gone, or will be shortly. */
  boolean retired() {
    return retired;
  }

  /** Whether new work may start at the engine. */
  boolean takes() {
    return takes;
  }

  /**
   * Whether the engine left the list more than the given time ago, so that the module no longer
   * refers to it.
   */
  boolean forgotten(long after) {
    return retired && timers.now() - retiredAt > after;
  }

  private void dropIdle() {
    while (!idle.isEmpty()) {
      idle.poll().line.drop();
    }
  }

  /**
   * Closes connections before the engine closes them for being idle, so that no request is sent while
   * the engine closes its connection.
   */
  void trim() {
    while (!idle.isEmpty() && timers.now() - idle.peek().since > limits.idleTime) {
      idle.poll().line.drop();
    }
  }

  /** Records that a complete response to any request came from the engine. */
  void heard() {
    heardAt = timers.now();
    unresponsive = false;
  }

  /**
   * Records that a request on the given established connection has not been answered within its time
   * limit.
   */
  void unanswered(HttpLine line) {
    unresponsive |= line.cameAt() > heardAt;
  }

  /**
   * Whether the engine accepts connections and answers nothing. Then its process may be stalled, and
   * so may the timer by which it drops queries that are not polled. A machine that is disconnected
   * from the network accepts no connections.
   */
  boolean unresponsive() {
    return unresponsive;
  }

  /**
   * Whether any connection to the engine is established. Then its process is alive, or its machine
   * has become unreachable without closing connections.
   */
  boolean connected() {
    return lines.stream().anyMatch(HttpLine::up);
  }

  /**
   * Runs an action that sends a request once a connection is available: immediately, or, if the
   * engine refuses new connections and some are established, in order as those become idle. This
   * keeps contact with queries on an engine that refuses connections because it drains or is at its
   * connection limit. There, a request may have to wait for others.
   */
  void whenAvailable(Runnable call) {
    waiting.add(call);
    serveWaiting();
  }

  private void serveWaiting() {
    while (!waiting.isEmpty()) {
      if (refusing && connected()) {
        if (idle.isEmpty()) {
          return; // continues when a connection becomes idle
        }
        long rests = rests();
        if (rests > 0) {
          timers.at(timers.now() + rests, this::serveWaiting);
          return;
        }
      }
      waiting.poll().run();
    }
  }

  /**
   * Takes the most recently used idle connection among those that have been unused for the reuse
   * delay and have delivered a response since the given time; null if there is none. The delay starts
   * again at the end of a stall of the event loop: data that arrived during the stall may not have
   * been read yet, and would be taken for the response to the next request. No delay is required if
   * no further connection may be opened.
   */
  private HttpLine rested(long answeredSince) {
    for (Iterator<Idle> last = idle.descendingIterator(); last.hasNext(); ) {
      Idle one = last.next();
      if (one.since >= answeredSince && (rests(one) <= 0 || sockets.open() >= limits.most)) {
        last.remove();
        return one.line;
      }
    }
    return null;
  }

  /**
   * Returns how long a request that can wait should be delayed so that it can use an idle connection
   * whose reuse delay has not passed; 0 if there is a reusable connection or no idle one. Without
   * this, each follow-up request of a task, sent right after the previous response, would open a new
   * connection. The price is a delay of at most the reuse delay.
   */
  long rests() {
    Idle first = idle.peek();
    return first == null ? 0 : Math.max(0, rests(first));
  }

  private long rests(Idle one) {
    return Math.max(one.since, timers.calmSince()) + REST - timers.now();
  }

  /**
   * Sends a request on an idle connection or a new one; returns null, and sends nothing, if the limit
   * of open connections is reached.
   */
  HttpLine call(String method, String path, String fields, byte[] body, HttpLine.Caller by) {
    return call(method, path, fields, body, ANY_TIME, by);
  }

  private HttpLine call(
      String method,
      String path,
      String fields,
      byte[] body,
      long answeredSince,
      HttpLine.Caller by) {
    trim();
    HttpLine line = rested(answeredSince);
    if (line == null) {
      if (sockets.open() >= limits.most) {
        counters.add("calls.no_descriptor");
        return null;
      }
      line = new HttpLine(sockets, address, LONGEST, this);
      lines.add(line);
      counters.add("connections.to_engines");
      HttpLine late = line;
      coming.put(line, timers.at(timers.now() + limits.connectTime, () -> late(late, by)));
    }
    line.call(method, path, fields, body, by);
    return line;
  }

  HttpLine call(String method, String path, HttpLine.Caller by) {
    return call(method, path, "", NOTHING, by);
  }

  /**
   * Sends a request whose response is not needed, and reports once whether the request has reached
   * the engine: it was answered, or it was twice sent completely on connections that were
   * established for it and stayed open. The request is retried if its connection breaks, as that may
   * happen before the engine has read it, and if it is not answered within the connect timeout, as
   * the engine may never process it. An unreachable machine must not be mistaken for a process that
   * hangs: its old connections stay open and accept data, but no new one can be established, so only
   * new connections count. A missing response counts only while the engine answers no request at
   * all; otherwise the fault lies with that connection.
   *
   * @param answeredSince only open connections that have delivered a response since this time are
   *     used, as the engine did not answer before
   * @param done receives whether the request has reached the engine
   */
  void aside(String method, String path, byte[] body, long answeredSince, Consumer<Boolean> done) {
    new Aside(method, path, body, answeredSince, done).start();
  }

  private final class Aside implements HttpLine.Caller {
    private final String method;
    private final String path;
    private final byte[] body;
    private final Consumer<Boolean> done;
    private HttpLine line;
    private Timers.Timer timer;
    private final long startedAt = timers.now();
    private long answeredSince;
    // Whether the connection is established for this request.
    private boolean fresh;
    private boolean written;
    private int tries;
    // Requests sent completely and not answered, on connections established for them.
    private int silent;

    Aside(String method, String path, byte[] body, long answeredSince, Consumer<Boolean> done) {
      this.method = method;
      this.path = path;
      this.body = body;
      this.answeredSince = answeredSince;
      this.done = done;
    }

    void start() {
      whenAvailable(this::call);
    }

    private void call() {
      tries++;
      written = false;
      line = EngineLines.this.call(method, path, "", body, answeredSince, this);
      fresh = line != null && !line.up();
      timer = timers.at(timers.now() + (line == null ? 0 : limits.connectTime), this::late);
    }

    @Override
    public void answered(Http.Answer answer) {
      heard();
      timer.cancel();
      done.accept(true);
    }

    @Override
    public void written() {
      written = true;
    }

    @Override
    public void failed(HttpLine.Failure why) {
      timer.cancel();
      if (tries < TRIES && (why == HttpLine.Failure.BROKEN || why == HttpLine.Failure.UNSENT)) {
        start();
      } else {
        done.accept(false);
      }
    }

    void late() {
      if (line != null) {
        if (line.up()) {
          unanswered(line);
        }
        line.drop();
      }
      silent += written && fresh ? 1 : 0;
      answeredSince = timers.now();
      if (written && silent < 2 && tries < TRIES) {
        start();
      } else {
        done.accept(silent > 1 && heardAt < startedAt);
      }
    }
  }

  private void late(HttpLine line, HttpLine.Caller by) {
    coming.remove(line);
    if (!line.up()) {
      line.drop();
      by.failed(HttpLine.Failure.LATE);
    }
  }

  @Override
  public void free(HttpLine line) {
    forget(line);
    refusing &= line.cameAt() <= refusedAt;
    if (retired || !line.to().equals(address)) {
      line.drop();
    } else {
      idle.add(new Idle(line, timers.now()));
      serveWaiting();
    }
  }

  @Override
  public void lost(HttpLine line) {
    forget(line);
    lines.remove(line);
    idle.removeIf(one -> one.line == line);
    if (line.refused()) {
      refusing = true;
      refusedAt = timers.now();
    }
    if (!waiting.isEmpty()) {
      // Deferred, as this runs within the handling of another request's failure.
      timers.at(timers.now(), this::serveWaiting);
    }
  }

  private void forget(HttpLine line) {
    Timers.Timer timer = coming.remove(line);
    if (timer != null) {
      timer.cancel();
    }
  }
}

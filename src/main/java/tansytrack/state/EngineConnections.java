package tansytrack.state;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import tansytrack.wire.HttpCodec;
import tansytrack.wire.HttpConnection;
import tansytrack.wire.Sockets;

/**
 * The connections to one engine: they belong to its id, as an address can pass to another engine.
 */
final class EngineConnections implements HttpConnection.Pool {

  static final byte[] EMPTY_BODY = new byte[0];
  static final long ANY_TIME = Long.MIN_VALUE;
  private static final int INPUT_BUFFER_BYTES =
      1 << 16; // twice a page with its head, and what may come before it
  private static final long REUSE_DELAY_NANOS =
      10_000_000L; // of a connection before its next call: what else belongs
  // to the last answer comes by then
  private static final int MAX_ATTEMPTS = 4; // of a call that connections break under
  private static final int TYPICAL_CONNECTIONS =
      2; // connections: of thousands of engines few have more

  final String id;
  private final Sockets sockets;
  private final Timers timers;
  private final Limits limits;
  private final Counters counters;
  private final ArrayDeque<Idle> idleConnections =
      new ArrayDeque<>(TYPICAL_CONNECTIONS); // the last used at the end
  private final Map<HttpConnection, Timers.Timer> connectTimers =
      new IdentityHashMap<>(TYPICAL_CONNECTIONS); // until up, or given up
  private final Set<HttpConnection> connections =
      Collections.newSetFromMap(new IdentityHashMap<>(TYPICAL_CONNECTIONS));
  private final ArrayDeque<Runnable> waitingRequests =
      new ArrayDeque<>(TYPICAL_CONNECTIONS); // for a connection to be free
  private boolean refusesConnections; // the last connection that was tried was refused
  private long refusedAt;
  private long lastResponseAt = ANY_TIME; // the last whole answer to any call
  private boolean unresponsive; // a connection came up since then and stayed silent
  private InetSocketAddress address;
  int openForwards; // out, as the connections hold them
  private boolean acceptsWork; // ready, as last listed: something new may begin there
  private boolean retired; // gone from the list: what is out ends, nothing is kept
  private long retiredAt;

  /** What bounds connections: times in nanoseconds, and how many descriptors engines may take. */
  static final class Limits {
    final long connectTimeoutNanos;
    final long idleTimeoutNanos;
    int maxOpenConnections; // may change with a new configuration

    Limits(long connectTime, long idleTime) {
      this.connectTimeoutNanos = connectTime;
      this.idleTimeoutNanos = idleTime;
    }
  }

  private record Idle(HttpConnection connection, long idleSince) {}

  EngineConnections(String id, Sockets sockets, Timers timers, Limits limits, Counters counters) {
    this.id = id;
    this.sockets = sockets;
    this.timers = timers;
    this.limits = limits;
    this.counters = counters;
  }

  /**
   * Its address, as listed, and whether anything new may begin there; connections to an old address
   * are of no use.
   */
  void updateListing(InetSocketAddress at, boolean ready) {
    acceptsWork = ready;
    retired = false;
    if (!at.equals(address)) {
      closeIdle();
      address = at;
    }
  }

  void retire() {
    acceptsWork = false;
    retiredAt = retired ? retiredAt : timers.now();
    retired = true;
    closeIdle();
  }

  /** It has left the list: its machine is gone, or will be within moments. */
  boolean retired() {
    return retired;
  }

  boolean acceptsWork() {
    return acceptsWork;
  }

  /** It left the list so long ago that the module cannot have it in mind any more. */
  boolean retiredLongerThan(long after) {
    return retired && timers.now() - retiredAt > after;
  }

  private void closeIdle() {
    while (!idleConnections.isEmpty()) {
      idleConnections.poll().connection.abort();
    }
  }

  /** Closes what the engine would soon close itself: a call must not cross that. */
  void closeExpiredIdle() {
    while (!idleConnections.isEmpty()
        && timers.now() - idleConnections.peek().idleSince > limits.idleTimeoutNanos) {
      idleConnections.poll().connection.abort();
    }
  }

  /** A whole answer came from it, to whatever call. */
  void recordResponse() {
    lastResponseAt = timers.now();
    unresponsive = false;
  }

  /** A call on that connection, which is up, was left without an answer for longer than allowed. */
  void recordUnanswered(HttpConnection line) {
    unresponsive |= line.connectedAt() > lastResponseAt;
  }

  /**
   * Does it accept connections and answer nothing? Then its process may stand still, and with it
   * the clock by which it drops what nobody asks for. A machine that is cut off accepts none.
   */
  boolean unresponsive() {
    return unresponsive;
  }

  /** Is any connection to it up? Then its process lives, or its machine has fallen silent. */
  boolean connected() {
    return connections.stream().anyMatch(HttpConnection::connected);
  }

  /**
   * Runs a call as soon as there is a connection for it: at once, or, where the engine refuses new
   * connections and some are up, in turn as those become free. Guards against losing touch with
   * what an engine still runs that takes no new connections, as it drains or holds all it can; a
   * call may wait behind others there.
   */
  void whenConnectionAvailable(Runnable call) {
    waitingRequests.add(call);
    runWaitingRequests();
  }

  private void runWaitingRequests() {
    while (!waitingRequests.isEmpty()) {
      if (refusesConnections && connected()) {
        if (idleConnections.isEmpty()) {
          return; // the next connection that becomes free serves it
        }
        long rests = reuseDelay();
        if (rests > 0) {
          timers.schedule(timers.now() + rests, this::runWaitingRequests);
          return;
        }
      }
      waitingRequests.poll().run();
    }
  }

  /**
   * The free connection that was used last, of those that have rested and have brought an answer
   * since the given time. Rest counts from the end of a stall: what came on it meanwhile may not
   * have been read yet, and would pass for the answer to the next call.
   */
  private HttpConnection takeReusable(long answeredSince) {
    for (Iterator<Idle> last = idleConnections.descendingIterator(); last.hasNext(); ) {
      Idle one = last.next();
      if (one.idleSince >= answeredSince
          && (reuseDelay(one) <= 0 || sockets.openConnections() >= limits.maxOpenConnections)) {
        last.remove();
        return one.connection;
      }
    }
    return null;
  }

  /**
   * How long a call that can wait should, so that it finds a connection which is free but rests: 0
   * where one has rested or none is free. Guards against a new connection for each further call of
   * a task, right behind the answer to the one before; it costs that call the rest at most.
   */
  long reuseDelay() {
    Idle first = idleConnections.peek();
    return first == null ? 0 : Math.max(0, reuseDelay(first));
  }

  private long reuseDelay(Idle one) {
    return Math.max(one.idleSince, timers.lastStallEnd()) + REUSE_DELAY_NANOS - timers.now();
  }

  /** Makes a call on a free connection or a new one; null where there are no descriptors left. */
  HttpConnection send(
      String method, String path, String fields, byte[] body, HttpConnection.ResponseHandler by) {
    return send(method, path, fields, body, ANY_TIME, by);
  }

  private HttpConnection send(
      String method,
      String path,
      String fields,
      byte[] body,
      long answeredSince,
      HttpConnection.ResponseHandler by) {
    closeExpiredIdle();
    HttpConnection line = takeReusable(answeredSince);
    if (line == null) {
      if (sockets.openConnections() >= limits.maxOpenConnections) {
        counters.increment("calls.no_descriptor");
        return null;
      }
      line = new HttpConnection(sockets, address, INPUT_BUFFER_BYTES, this);
      connections.add(line);
      counters.increment("connections.to_engines");
      HttpConnection late = line;
      connectTimers.put(
          line,
          timers.schedule(
              timers.now() + limits.connectTimeoutNanos, () -> connectTimedOut(late, by)));
    }
    line.send(method, path, fields, body, by);
    return line;
  }

  HttpConnection send(String method, String path, HttpConnection.ResponseHandler by) {
    return send(method, path, "", EMPTY_BODY, by);
  }

  /**
   * A call that nobody has to wait for: whatever becomes of it is said once, as whether it has come
   * to the engine: it was answered, or has twice gone out whole on connections that came up for it
   * and stayed up. One that breaks is made again, as a connection may be reset before the call was
   * read, and so is one that stays silent for the time that a connection may take to come up, as a
   * call may never be taken up. Guards against taking the silence of a machine that is cut off for
   * that of one that hangs: its old connections stay open and swallow all, but no new one comes up.
   * Silence counts only while the engine answers nobody; else it is that connection's fault.
   *
   * @param answeredSince of the connections that are open only those are of use that have brought
   *     an answer since, as the engine was silent before
   */
  void sendInBackground(
      String method, String path, byte[] body, long answeredSince, Consumer<Boolean> done) {
    new BackgroundRequest(method, path, body, answeredSince, done).start();
  }

  private final class BackgroundRequest implements HttpConnection.ResponseHandler {
    private final String method;
    private final String path;
    private final byte[] body;
    private final Consumer<Boolean> whenDone;
    private HttpConnection connection;
    private Timers.Timer timer;
    private final long startedAt = timers.now();
    private long answeredSince;
    private boolean newConnection; // the connection came up for this call
    private boolean written;
    private int attempts;
    private int
        unansweredAttempts; // whole calls without a word, on connections that came up for them

    BackgroundRequest(
        String method, String path, byte[] body, long answeredSince, Consumer<Boolean> done) {
      this.method = method;
      this.path = path;
      this.body = body;
      this.answeredSince = answeredSince;
      this.whenDone = done;
    }

    void start() {
      whenConnectionAvailable(this::send);
    }

    private void send() {
      attempts++;
      written = false;
      connection = EngineConnections.this.send(method, path, "", body, answeredSince, this);
      newConnection = connection != null && !connection.connected();
      timer =
          timers.schedule(
              timers.now() + (connection == null ? 0 : limits.connectTimeoutNanos), this::timedOut);
    }

    @Override
    public void responseReceived(HttpCodec.Response answer) {
      recordResponse();
      timer.cancel();
      whenDone.accept(true);
    }

    @Override
    public void requestWritten() {
      written = true;
    }

    @Override
    public void requestFailed(HttpConnection.Failure why) {
      timer.cancel();
      if (attempts < MAX_ATTEMPTS
          && (why == HttpConnection.Failure.BROKEN || why == HttpConnection.Failure.UNSENT)) {
        start();
      } else {
        whenDone.accept(false);
      }
    }

    void timedOut() {
      if (connection != null) {
        if (connection.connected()) {
          recordUnanswered(connection);
        }
        connection.abort();
      }
      unansweredAttempts += written && newConnection ? 1 : 0;
      answeredSince = timers.now();
      if (written && unansweredAttempts < 2 && attempts < MAX_ATTEMPTS) {
        start();
      } else {
        whenDone.accept(unansweredAttempts > 1 && lastResponseAt < startedAt);
      }
    }
  }

  private void connectTimedOut(HttpConnection line, HttpConnection.ResponseHandler by) {
    connectTimers.remove(line);
    if (!line.connected()) {
      line.abort();
      by.requestFailed(HttpConnection.Failure.LATE);
    }
  }

  @Override
  public void connectionIdle(HttpConnection line) {
    cancelConnectTimer(line);
    refusesConnections &= line.connectedAt() <= refusedAt;
    if (retired || !line.address().equals(address)) {
      line.abort();
    } else {
      idleConnections.add(new Idle(line, timers.now()));
      runWaitingRequests();
    }
  }

  @Override
  public void connectionClosed(HttpConnection line) {
    cancelConnectTimer(line);
    connections.remove(line);
    idleConnections.removeIf(one -> one.connection == line);
    if (line.refused()) {
      refusesConnections = true;
      refusedAt = timers.now();
    }
    if (!waitingRequests.isEmpty()) {
      timers.schedule(
          timers.now(), this::runWaitingRequests); // not within the end of another's call
    }
  }

  private void cancelConnectTimer(HttpConnection line) {
    Timers.Timer timer = connectTimers.remove(line);
    if (timer != null) {
      timer.cancel();
    }
  }
}

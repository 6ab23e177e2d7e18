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
import tansytrack.wire.HttpRequest;
import tansytrack.wire.Sockets;

/**
 * The connections to one engine. They belong to the engine's id and not to its address, as an
 * address can be reassigned to another engine.
 */
final class EngineConnections implements HttpConnection.Pool {

  /** Earlier than any response: permits connections that have not delivered one recently. */
  static final long ANY_TIME = Long.MIN_VALUE;

  // Twice a page of more than the usual size, with its header.
  private static final int INPUT_BUFFER_BYTES = 1 << 15;

  // How long a connection stays unused between two requests. Surplus bytes that belong to the last
  // response arrive within this time.
  private static final long REUSE_DELAY_NANOS = 10_000_000L;

  // Attempts at a request whose connections break.
  private static final int MAX_ATTEMPTS = 4;

  // Initial size of the collections of connections. Few of thousands of engines have more.
  private static final int TYPICAL_CONNECTIONS = 2;

  final String id;
  private final Sockets sockets;
  private final Timers timers;
  private final Limits limits;
  private final Counters counters;
  // Ordered by time of last use, the most recent one last.
  private final ArrayDeque<Idle> idleConnections = new ArrayDeque<>(TYPICAL_CONNECTIONS);
  // Timeouts of the connections that are being established.
  private final Map<HttpConnection, Timers.Timer> connectTimers =
      new IdentityHashMap<>(TYPICAL_CONNECTIONS);
  private final Set<HttpConnection> connections =
      Collections.newSetFromMap(new IdentityHashMap<>(TYPICAL_CONNECTIONS));
  // Requests that wait for an idle connection.
  private final ArrayDeque<Runnable> waitingRequests = new ArrayDeque<>(TYPICAL_CONNECTIONS);
  // Whether the last attempt to connect was refused.
  private boolean refusesConnections;
  private long refusedAt;
  // When the last complete response to any request came.
  private long lastResponseAt = ANY_TIME;
  // Whether a connection established since then has left a request unanswered.
  private boolean unresponsive;
  private InetSocketAddress address;
  // Forwards that have not ended, counted here and not by the module.
  int openForwards;
  // Whether the engine is ready according to the latest list, so that new work may start there.
  private boolean acceptsWork;
  // Whether the engine has left the list: open requests complete, no connection is kept after them.
  private boolean retired;
  private long retiredAt;

  /** Limits for connections: timeouts in nanoseconds, and a maximum of open connections. */
  static final class Limits {
    final long connectTimeoutNanos;
    final long idleTimeoutNanos;
    // May change when the configuration is reloaded.
    int maxOpenConnections;

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
   * Updates the engine from the list: its address, and whether new work may start there. Idle
   * connections to a previous address are closed.
   */
  void updateListing(InetSocketAddress newAddress, boolean ready) {
    acceptsWork = ready;
    retired = false;
    if (!newAddress.equals(address)) {
      closeIdle();
      address = newAddress;
    }
  }

  /** Marks the engine as gone from the list and closes its idle connections. */
  void retire() {
    acceptsWork = false;
    retiredAt = retired ? retiredAt : timers.now();
    retired = true;
    closeIdle();
  }

  /** Whether the engine has left the list: its machine is gone, or will be shortly. */
  boolean retired() {
    return retired;
  }

  /** Whether new work may start at the engine. */
  boolean acceptsWork() {
    return acceptsWork;
  }

  /**
   * Whether the engine left the list more than the given time ago, so that the module no longer
   * refers to it.
   */
  boolean retiredLongerThan(long time) {
    return retired && timers.now() - retiredAt > time;
  }

  private void closeIdle() {
    while (!idleConnections.isEmpty()) {
      idleConnections.poll().connection.abort();
    }
  }

  /**
   * Closes connections before the engine closes them for being idle, so that no request is sent
   * while the engine closes its connection.
   */
  void closeExpiredIdle() {
    while (!idleConnections.isEmpty()
        && timers.now() - idleConnections.peek().idleSince > limits.idleTimeoutNanos) {
      idleConnections.poll().connection.abort();
    }
  }

  /** Records that a complete response to any request came from the engine. */
  void recordResponse() {
    lastResponseAt = timers.now();
    unresponsive = false;
  }

  /**
   * Records that a request on the given established connection has not been answered within its
   * time limit.
   */
  void recordUnanswered(HttpConnection connection) {
    unresponsive |= connection.connectedAt() > lastResponseAt;
  }

  /**
   * Whether the engine accepts connections and answers nothing. Then its process may be stalled,
   * and so may the timer by which it drops queries that are not polled. A machine that is
   * disconnected from the network accepts no connections.
   */
  boolean unresponsive() {
    return unresponsive;
  }

  /**
   * Whether any connection to the engine is established. Then its process is alive, or its machine
   * has become unreachable without closing connections.
   */
  boolean connected() {
    return connections.stream().anyMatch(HttpConnection::connected);
  }

  /**
   * Runs an action that sends a request once a connection is available: immediately, or, if the
   * engine refuses new connections and some are established, in order as those become idle. This
   * keeps contact with queries on an engine that refuses connections because it drains or is at its
   * connection limit. There, a request may have to wait for others.
   */
  void whenConnectionAvailable(Runnable request) {
    waitingRequests.add(request);
    runWaitingRequests();
  }

  private void runWaitingRequests() {
    while (!waitingRequests.isEmpty()) {
      if (refusesConnections && connected()) {
        if (idleConnections.isEmpty()) {
          return; // continues when a connection becomes idle
        }
        long delay = reuseDelay();
        if (delay > 0) {
          timers.schedule(timers.now() + delay, this::runWaitingRequests);
          return;
        }
      }
      waitingRequests.poll().run();
    }
  }

  /**
   * Takes the most recently used idle connection among those that have been unused for the reuse
   * delay and have delivered a response since the given time; null if there is none. The delay
   * starts again at the end of a stall of the event loop: data that arrived during the stall may
   * not have been read yet, and would be taken for the response to the next request. No delay is
   * required if no further connection may be opened.
   */
  private HttpConnection takeReusable(long answeredSince) {
    for (Iterator<Idle> newestFirst = idleConnections.descendingIterator();
        newestFirst.hasNext(); ) {
      Idle candidate = newestFirst.next();
      if (candidate.idleSince >= answeredSince
          && (reuseDelay(candidate) <= 0
              || sockets.openConnections() >= limits.maxOpenConnections)) {
        newestFirst.remove();
        return candidate.connection;
      }
    }
    return null;
  }

  /**
   * Returns how long a request that can wait should be delayed so that it can use an idle
   * connection whose reuse delay has not passed; 0 if there is a reusable connection or no idle
   * one. Without this, each follow-up request of a task, sent right after the previous response,
   * would open a new connection. The price is a delay of at most the reuse delay.
   */
  long reuseDelay() {
    Idle oldest = idleConnections.peek();
    return oldest == null ? 0 : Math.max(0, reuseDelay(oldest));
  }

  private long reuseDelay(Idle idle) {
    return Math.max(idle.idleSince, timers.lastStallEnd()) + REUSE_DELAY_NANOS - timers.now();
  }

  /**
   * Sends a request on an idle connection or a new one; returns null, and sends nothing, if the
   * limit of open connections is reached.
   */
  HttpConnection send(HttpRequest request, HttpConnection.ResponseHandler handler) {
    return send(request, ANY_TIME, handler);
  }

  private HttpConnection send(
      HttpRequest request, long answeredSince, HttpConnection.ResponseHandler handler) {
    closeExpiredIdle();
    HttpConnection connection = takeReusable(answeredSince);
    if (connection == null) {
      if (sockets.openConnections() >= limits.maxOpenConnections) {
        counters.increment("calls.no_descriptor");
        return null;
      }
      connection = new HttpConnection(sockets, address, INPUT_BUFFER_BYTES, sockets.memory(), this);
      connections.add(connection);
      counters.increment("connections.to_engines");
      HttpConnection newConnection = connection;
      connectTimers.put(
          connection,
          timers.schedule(
              timers.now() + limits.connectTimeoutNanos,
              () -> connectTimedOut(newConnection, handler)));
    }
    connection.send(request, handler);
    return connection;
  }

  /**
   * Sends a request whose response is not needed, and reports once whether the request has reached
   * the engine: it was answered, or it was twice sent completely on connections that were
   * established for it and stayed open. The request is retried if its connection breaks, as that
   * may happen before the engine has read it, and if it is not answered within the connect timeout,
   * as the engine may never process it. An unreachable machine must not be mistaken for a process
   * that hangs: its old connections stay open and accept data, but no new one can be established,
   * so only new connections count. A missing response counts only while the engine answers no
   * request at all; otherwise the fault lies with that connection.
   *
   * @param answeredSince only open connections that have delivered a response since this time are
   *     used, as the engine did not answer before
   * @param whenDone receives whether the request has reached the engine
   */
  void sendInBackground(HttpRequest request, long answeredSince, Consumer<Boolean> whenDone) {
    new BackgroundRequest(request, answeredSince, whenDone).start();
  }

  private final class BackgroundRequest implements HttpConnection.ResponseHandler {
    private final HttpRequest request;
    private final Consumer<Boolean> whenDone;
    private HttpConnection connection;
    private Timers.Timer timer;
    private final long startedAt = timers.now();
    private long answeredSince;
    // Whether the connection is established for this request.
    private boolean newConnection;
    private boolean written;
    private int attempts;
    // Requests sent completely and not answered, on connections established for them.
    private int unansweredAttempts;

    BackgroundRequest(HttpRequest request, long answeredSince, Consumer<Boolean> whenDone) {
      this.request = request;
      this.answeredSince = answeredSince;
      this.whenDone = whenDone;
    }

    void start() {
      whenConnectionAvailable(this::send);
    }

    private void send() {
      attempts++;
      written = false;
      connection = EngineConnections.this.send(request, answeredSince, this);
      newConnection = connection != null && !connection.connected();
      timer =
          timers.schedule(
              timers.now() + (connection == null ? 0 : limits.connectTimeoutNanos), this::timedOut);
    }

    @Override
    public void responseReceived(HttpCodec.Response response) {
      recordResponse();
      timer.cancel();
      whenDone.accept(true);
    }

    @Override
    public void requestWritten() {
      written = true;
    }

    @Override
    public void requestFailed(HttpConnection.Failure failure) {
      timer.cancel();
      if (attempts < MAX_ATTEMPTS
          && (failure == HttpConnection.Failure.BROKEN
              || failure == HttpConnection.Failure.UNSENT)) {
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

  private void connectTimedOut(HttpConnection connection, HttpConnection.ResponseHandler handler) {
    connectTimers.remove(connection);
    if (!connection.connected()) {
      connection.abort();
      handler.requestFailed(HttpConnection.Failure.LATE);
    }
  }

  @Override
  public void connectionIdle(HttpConnection connection) {
    cancelConnectTimer(connection);
    refusesConnections &= connection.connectedAt() <= refusedAt;
    if (retired || !connection.address().equals(address)) {
      connection.abort();
    } else {
      idleConnections.add(new Idle(connection, timers.now()));
      runWaitingRequests();
    }
  }

  @Override
  public void connectionClosed(HttpConnection connection) {
    cancelConnectTimer(connection);
    connections.remove(connection);
    idleConnections.removeIf(entry -> entry.connection == connection);
    if (connection.refused()) {
      refusesConnections = true;
      refusedAt = timers.now();
    }
    if (!waitingRequests.isEmpty()) {
      // Deferred, as this runs within the handling of another request's failure.
      timers.schedule(timers.now(), this::runWaitingRequests);
    }
  }

  private void cancelConnectTimer(HttpConnection connection) {
    Timers.Timer timer = connectTimers.remove(connection);
    if (timer != null) {
      timer.cancel();
    }
  }
}

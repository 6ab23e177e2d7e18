package tansytrack.wire;

import java.net.InetSocketAddress;

/** A client connection for HTTP requests, one at a time. */
public final class HttpLine implements Connection.Owner {

  /**
   * Why a request gets no response. The names are part of counter names.
   */
  public enum Failure {
    /** The peer's machine refused the connection. */
    REFUSED,
    /** The connection was not established in time. */
    LATE,
    /** The connection ended before any byte of the request was written. */
    UNSENT,
    /** The connection broke, or delivered a malformed response, after that. */
    BROKEN
  }

  /**
   * Receives the result of a request: exactly one of {@link #answered} and {@link #failed} is
   * called, unless the connection is closed by {@link HttpLine#drop}.
   */
  public interface Caller {
    /**
     * Called with the complete response.
     *
     * @throws Junk if the response cannot be used; the connection is then closed and the request
     *     fails as {@link Failure#BROKEN}
     */
    void answered(Http.Answer answer) throws Junk;

    /**
     * Called when no response will come. Nothing was written unless the reason is {@link
     * Failure#BROKEN}.
     */
    void failed(Failure why);

    /** Called when the request has been written completely. */
    default void written() {}

    /** Called when a further part of the response was received that does not complete it. */
    default void part() {}
  }

  /** Keeps the connections that are not in use. */
  public interface Holder {
    /** Called when the connection is available for the next request. */
    void free(HttpLine line);

    /** Called when the connection is closed and is of no further use. */
    void lost(HttpLine line);
  }

  private final Connection connection;
  private final InetSocketAddress to;
  private final String host;
  private final Holder holder;
  private final Sockets sockets;
  private Caller caller;
  private long calledAt;
  // Bytes that had been sent before the open request.
  private long leftBefore;
  // Whether no byte of a response has been received since the open request was made.
  private boolean fresh;

  /**
   * Starts to establish a connection.
   *
   * @param mostIn size of the input buffer in bytes; the body of a response may take half of it
   */
  public HttpLine(Sockets sockets, InetSocketAddress to, int mostIn, Holder holder) {
    this.sockets = sockets;
    this.holder = holder;
    this.to = to;
    host = to.getHostString() + ':' + to.getPort();
    connection = sockets.connect(to, mostIn, this);
  }

  /** Returns the address that the connection was opened to. */
  public InetSocketAddress to() {
    return to;
  }

  Connection connection() {
    return connection;
  }

  /** Whether the connection is established. */
  public boolean up() {
    return connection.up();
  }

  /** Returns when the connection was established. */
  public long cameAt() {
    return connection.cameAt();
  }

  /**
   * Whether the peer's machine refused the connection: no process listens there, or it accepts no
   * more connections.
   */
  public boolean refused() {
    return connection.refused();
  }

  /**
   * Returns the earliest time at which the open request, or the last one, could be sent: when it was
   * made, or when the connection was established.
   */
  public long begunAt() {
    return Math.max(calledAt, connection.cameAt());
  }

  /**
   * Sends a request; it is written once the connection is established. There must be no open one.
   *
   * @param fields further header fields as complete lines, each with its line end
   */
  public void call(String method, String path, String fields, byte[] body, Caller by) {
    caller = by;
    calledAt = sockets.time();
    leftBefore = connection.left();
    fresh = true;
    Http.call(connection.out, method, path, host, fields, body);
    connection.flush();
  }

  @Override
  public void heard(long at) throws Junk {
    if (caller == null) {
      throw new Junk("an answer that nobody asked for");
    }
    if (fresh && at < calledAt) {
      throw new Junk("what came before the call");
    }
    fresh = false;
    Http.Answer answer = Http.answer(connection.in);
    if (answer == null) {
      caller.part();
      return;
    }
    // Bytes after the response belong to no request. A duplicate of the response does no harm; other
    // bytes may be the rest of a response with a wrong length, which is then incomplete.
    boolean more = connection.in.size() > 0;
    if (more && answer.status() == 200 && connection.in.at(0) != 'H') {
      throw new Junk("more bytes than the length that was told");
    }
    Caller to = caller;
    to.answered(answer);
    caller = null;
    if (!connection.open()) {
      return;
    }
    if (answer.lasts() && !more) {
      holder.free(this);
    } else {
      connection.close();
      holder.lost(this);
    }
  }

  @Override
  public void written() {
    if (caller != null) {
      caller.written();
    }
  }

  @Override
  public void closed(boolean wasUp) {
    Caller to = caller;
    caller = null;
    holder.lost(this);
    if (to != null) {
      to.failed(
          connection.refused()
              ? Failure.REFUSED
              : connection.left() == leftBefore ? Failure.UNSENT : Failure.BROKEN);
    }
  }

  /** Closes the connection without notifying the sender of the open request. */
  public void drop() {
    caller = null;
    connection.close();
    holder.lost(this);
  }
}

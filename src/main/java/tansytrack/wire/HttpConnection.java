package tansytrack.wire;

import java.net.InetSocketAddress;

/** A client connection for HTTP requests, one at a time. */
public final class HttpConnection implements Connection.Owner {

  /** Why a request gets no response. The names are part of counter names. */
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
   * Receives the result of a request: exactly one of {@link #responseReceived} and {@link
   * #requestFailed} is called, unless the connection is closed by {@link HttpConnection#abort}.
   */
  public interface ResponseHandler {
    /**
     * Called with the complete response.
     *
     * @throws ProtocolException if the response cannot be used; the connection is then closed and
     *     the request fails as {@link Failure#BROKEN}
     */
    void responseReceived(HttpCodec.Response response) throws ProtocolException;

    /**
     * Called when no response will come. Nothing was written unless the reason is {@link
     * Failure#BROKEN}.
     */
    void requestFailed(Failure failure);

    /** Called when the request has been written completely. */
    default void requestWritten() {}

    /** Called when a further part of the response was received that does not complete it. */
    default void responsePartReceived() {}
  }

  /** Keeps the connections that are not in use. */
  public interface Pool {
    /** Called when the connection is available for the next request. */
    void connectionIdle(HttpConnection connection);

    /** Called when the connection is closed and is of no further use. */
    void connectionClosed(HttpConnection connection);
  }

  private final Connection connection;
  private final InetSocketAddress address;
  private final String host;
  private final Pool pool;
  private final Sockets sockets;
  private ResponseHandler handler;
  // The open request; null once it is written.
  private HttpRequest unwrittenRequest;
  private long requestedAt;
  // Bytes that had been sent before the open request.
  private long sentBeforeRequest;
  // Whether no byte of a response has been received since the open request was made.
  private boolean awaitingFirstByte;

  /**
   * Starts to establish a connection.
   *
   * @param maxInputBytes size of the input buffer in bytes; the body of a response may take half of
   *     it
   */
  public HttpConnection(Sockets sockets, InetSocketAddress address, int maxInputBytes, Pool pool) {
    this.sockets = sockets;
    this.pool = pool;
    this.address = address;
    host = address.getHostString() + ':' + address.getPort();
    connection = sockets.connect(address, maxInputBytes, this);
  }

  /** Returns the address that the connection was opened to. */
  public InetSocketAddress address() {
    return address;
  }

  Connection connection() {
    return connection;
  }

  /** Whether the connection is established. */
  public boolean connected() {
    return connection.connected();
  }

  /** Returns when the connection was established. */
  public long connectedAt() {
    return connection.connectedAt();
  }

  /**
   * Whether the peer's machine refused the connection: no process listens there, or it accepts no
   * more connections.
   */
  public boolean refused() {
    return connection.refused();
  }

  /**
   * Returns the earliest time at which the open request, or the last one, could be sent: when it
   * was made, or when the connection was established.
   */
  public long requestStartedAt() {
    return Math.max(requestedAt, connection.connectedAt());
  }

  /**
   * Sends a request; it is written once the connection is established. There must be no open one.
   */
  public void send(HttpRequest request, ResponseHandler responseHandler) {
    handler = responseHandler;
    requestedAt = sockets.now();
    sentBeforeRequest = connection.bytesPossiblySent();
    awaitingFirstByte = true;
    unwrittenRequest = request;
    if (connection.connected()) {
      established();
      connection.flush();
    }
  }

  @Override
  public void established() {
    HttpRequest request = unwrittenRequest;
    unwrittenRequest = null;
    if (request != null) {
      connection.discardOnClose(!request.deliveredIfAbandoned());
      HttpCodec.writeRequest(connection.output, host, request);
    }
  }

  @Override
  public void received(long receivedAt) throws ProtocolException {
    if (handler == null) {
      throw new ProtocolException("an answer that nobody asked for");
    }
    if (awaitingFirstByte && receivedAt < requestedAt) {
      throw new ProtocolException("what came before the call");
    }
    awaitingFirstByte = false;
    HttpCodec.Response response = HttpCodec.readResponse(connection.input);
    if (response == null) {
      handler.responsePartReceived();
      return;
    }
    // Bytes after the response belong to no request. A duplicate of the response does no harm;
    // other
    // bytes may be the rest of a response with a wrong length, which is then incomplete.
    boolean surplus = connection.input.size() > 0;
    if (surplus && response.status() == 200 && connection.input.byteAt(0) != 'H') {
      throw new ProtocolException("more bytes than the length that was told");
    }
    ResponseHandler current = handler;
    current.responseReceived(response);
    handler = null;
    connection.discardOnClose(false);
    if (!connection.open()) {
      return;
    }
    if (response.keepAlive() && !surplus) {
      pool.connectionIdle(this);
    } else {
      connection.close();
      pool.connectionClosed(this);
    }
  }

  @Override
  public void writeCompleted() {
    if (handler != null) {
      handler.requestWritten();
    }
  }

  @Override
  public void closed(boolean wasConnected) {
    ResponseHandler current = handler;
    handler = null;
    pool.connectionClosed(this);
    if (current != null) {
      current.requestFailed(
          connection.refused()
              ? Failure.REFUSED
              : connection.bytesPossiblySent() == sentBeforeRequest
                  ? Failure.UNSENT
                  : Failure.BROKEN);
    }
  }

  /**
   * Closes the connection without notifying the sender of the open request. What has not reached
   * the server's machine is discarded, unless the request is to be delivered all the same.
   */
  public void abort() {
    handler = null;
    connection.close();
    pool.connectionClosed(this);
  }
}

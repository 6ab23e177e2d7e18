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

  // Status of the responses that carry a result, a load report or a list.
  private static final int STATUS_WITH_RESULT = 200;

  private static final String RESPONSE_START = "HTTP/1.";
  private static final String SURPLUS_BYTES = "more bytes than the length that was told";

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
  // A response that has been read and not yet delivered.
  private HttpCodec.Response undelimitedResponse;
  private boolean responseDelimited;
  // Whether the connection stays out of the pool after its response.
  private boolean retained;

  /**
   * Starts to establish a connection.
   *
   * @param maxInputBytes size of the input buffer in bytes; the body of a response may take half of
   *     it
   * @param inputBudget the budget in which a large input buffer counts, null for none
   */
  public HttpConnection(
      Sockets sockets,
      InetSocketAddress address,
      int maxInputBytes,
      MemoryBudget inputBudget,
      Pool pool) {
    this.sockets = sockets;
    this.pool = pool;
    this.address = address;
    host = address.getHostString() + ':' + address.getPort();
    connection = sockets.connect(address, maxInputBytes, inputBudget, this);
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
    responseDelimited = false;
    retained = false;
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
    if (undelimitedResponse == null) {
      undelimitedResponse = HttpCodec.readResponse(connection.input);
    }
    if (undelimitedResponse != null && delimited()) {
      deliver();
    } else {
      handler.responsePartReceived();
    }
  }

  /**
   * Whether nothing more is to come that could show that the length of the response was wrong.
   * Bytes behind a result are either a second copy of it, or the rest of a response with too small
   * a length.
   */
  private boolean delimited() throws ProtocolException {
    if (undelimitedResponse.status() != STATUS_WITH_RESULT) {
      return true;
    }
    RingBuffer input = connection.input;
    if (input.size() == 0) {
      return undelimitedResponse.keepAlive();
    }
    for (int i = 0; i < Math.min(input.size(), RESPONSE_START.length()); i++) {
      if (input.byteAt(i) != RESPONSE_START.charAt(i)) {
        throw new ProtocolException(SURPLUS_BYTES);
      }
    }
    HttpCodec.Response second = HttpCodec.readResponse(input);
    if (second != null && !second.isCopyOf(undelimitedResponse)) {
      throw new ProtocolException(SURPLUS_BYTES);
    }
    responseDelimited = second != null;
    return responseDelimited;
  }

  /** Delivers a response that is complete because the peer has ended the connection behind it. */
  @Override
  public void inputEnded() throws ProtocolException {
    if (undelimitedResponse != null && connection.input.size() == 0) {
      responseDelimited = true;
      deliver();
    }
  }

  private void deliver() throws ProtocolException {
    HttpCodec.Response response = undelimitedResponse;
    boolean surplus = connection.input.size() > 0;
    handler.responseReceived(response);
    undelimitedResponse = null;
    handler = null;
    connection.discardOnClose(false);
    if (!connection.open()) {
      return;
    }
    if (!response.keepAlive() || responseDelimited || surplus) {
      connection.close();
      pool.connectionClosed(this);
    } else if (!retained) {
      pool.connectionIdle(this);
    }
  }

  /**
   * Whether it is certain where the response ended that is being delivered: it was followed by a
   * copy of itself, or by the regular end of the connection. Otherwise only the next response on
   * this connection shows that nothing was left of it. Called within {@link
   * ResponseHandler#responseReceived}.
   */
  public boolean responseDelimited() {
    return responseDelimited;
  }

  /**
   * Keeps the connection out of the pool after the response that is being delivered, for the next
   * request of the same handler. Called within {@link ResponseHandler#responseReceived}.
   */
  public void retain() {
    retained = true;
  }

  /** Returns a retained connection to the pool. */
  public void releaseToPool() {
    retained = false;
    if (connection.open()) {
      pool.connectionIdle(this);
    }
  }

  /** Whether the connection is neither closed nor being closed. */
  public boolean open() {
    return connection.open();
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

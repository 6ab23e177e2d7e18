package tansytrack.wire;

import java.net.InetSocketAddress;

/** A connection that carries HTTP calls, one at a time. */
public final class HttpConnection implements Connection.Owner {

  /**
   * Why no answer will come: the machine refused the connection; it did not come up in time; it
   * ended before a byte of the call was written; or it broke, or brought what cannot be read, after
   * that.
   */
  public enum Failure {
    REFUSED,
    LATE,
    UNSENT,
    BROKEN
  }

  /** Who made the call; one of answered and failed comes, once, unless the call was dropped. */
  public interface ResponseHandler {
    /** Junk: it cannot be used; the connection is closed, and the call counts as broken. */
    void responseReceived(HttpCodec.Response answer) throws ProtocolException;

    /** No answer will come; nothing was written unless the connection broke. */
    void requestFailed(Failure why);

    /** The call has gone out whole. */
    default void requestWritten() {}

    /** More of the answer has come, and it is not whole yet. */
    default void responsePartReceived() {}
  }

  /** Who owns the line: told when it is free for the next call, or of no more use. */
  public interface Pool {
    void connectionIdle(HttpConnection line);

    void connectionClosed(HttpConnection line);
  }

  private final Connection connection;
  private final InetSocketAddress address;
  private final String host;
  private final Pool pool;
  private final Sockets sockets;
  private ResponseHandler handler;
  private long requestedAt;
  private long sentBeforeRequest; // bytes of earlier calls
  private boolean awaitingFirstByte; // no answer has ever begun for the open call

  /** Answers with their heads may take half of the given bytes. */
  public HttpConnection(Sockets sockets, InetSocketAddress to, int mostIn, Pool holder) {
    this.sockets = sockets;
    this.pool = holder;
    this.address = to;
    host = to.getHostString() + ':' + to.getPort();
    connection = sockets.connect(to, mostIn, this);
  }

  public InetSocketAddress address() {
    return address;
  }

  Connection connection() {
    return connection;
  }

  public boolean connected() {
    return connection.connected();
  }

  /** When it came up. */
  public long connectedAt() {
    return connection.connectedAt();
  }

  /** The machine refused it: nothing listens there, or it takes no more connections. */
  public boolean refused() {
    return connection.refused();
  }

  /**
   * When the open call, or the last one, could leave: as it was made, or once the connection was
   * up.
   */
  public long requestStartedAt() {
    return Math.max(requestedAt, connection.connectedAt());
  }

  public void send(String method, String path, String fields, byte[] body, ResponseHandler by) {
    handler = by;
    requestedAt = sockets.now();
    sentBeforeRequest = connection.bytesPossiblySent();
    awaitingFirstByte = true;
    HttpCodec.writeRequest(connection.output, method, path, host, fields, body);
    connection.flush();
  }

  @Override
  public void received(long at) throws ProtocolException {
    if (handler == null) {
      throw new ProtocolException("an answer that nobody asked for");
    }
    if (awaitingFirstByte && at < requestedAt) {
      throw new ProtocolException("what came before the call");
    }
    awaitingFirstByte = false;
    HttpCodec.Response answer = HttpCodec.readResponse(connection.input);
    if (answer == null) {
      handler.responsePartReceived();
      return;
    }
    // More behind it belongs to no call. A second copy does no harm; anything else may be the rest
    // of an answer whose
    // length was wrong, so that this one is not whole.
    boolean more = connection.input.size() > 0;
    if (more && answer.status() == 200 && connection.input.byteAt(0) != 'H') {
      throw new ProtocolException("more bytes than the length that was told");
    }
    ResponseHandler to = handler;
    to.responseReceived(answer);
    handler = null;
    if (!connection.open()) {
      return;
    }
    if (answer.keepAlive() && !more) {
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
  public void closed(boolean wasUp) {
    ResponseHandler to = handler;
    handler = null;
    pool.connectionClosed(this);
    if (to != null) {
      to.requestFailed(
          connection.refused()
              ? Failure.REFUSED
              : connection.bytesPossiblySent() == sentBeforeRequest
                  ? Failure.UNSENT
                  : Failure.BROKEN);
    }
  }

  /** Closes it; who made the open call is not told. */
  public void abort() {
    handler = null;
    connection.close();
    pool.connectionClosed(this);
  }
}

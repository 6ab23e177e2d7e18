package tansytrack.wire;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;

/**
 * One TCP connection: a ring a direction, and the owner that is called back. Only the loop's thread
 * calls it; what the sockets see comes as notes. It gives back all that it holds in one place,
 * {@link #over}.
 */
public final class Connection {

  /** Whose connection it is. */
  public interface Owner {
    /** More bytes are in the ring; the last ones came at that time. */
    void received(long at) throws ProtocolException;

    /** All that was to be written has been handed to the system. */
    default void writeCompleted() {}

    /** It is over, or never came up; said once, and not when the owner itself closed it. */
    void closed(boolean wasUp);

    /** It has given back what it held, whoever closed it; said once. */
    default void released() {}
  }

  private static final int MAX_WRITE_BYTES =
      1 << 15; // handed to the system at once: bounds what lies there
  static final int MAX_UNREAD_BYTES =
      1 << 15; // handed over and not yet read: then reading stops for a while

  final AtomicInteger unreadBytes = new AtomicInteger();
  public final RingBuffer input;
  public final RingBuffer output;
  private final Sockets sockets;
  private Owner owner;
  private IoSession session; // null until it is up
  private ConnectFuture connectFuture;
  private boolean writing;
  private boolean closing;
  private boolean released;
  private boolean refused;
  private long
      bytesSubmitted; // bytes handed to the system so far, whether or not it has taken them
  private long connectedAt; // when it came up
  private boolean
      closedLocally; // it was closed on this side, perhaps while the system was taking bytes

  Connection(Sockets sockets, int mostIn, int mostOut) {
    this.sockets = sockets;
    input = new RingBuffer(mostIn);
    output = new RingBuffer(mostOut);
  }

  /** Names who is told of what comes in and of the end. */
  public void setOwner(Owner by) {
    owner = by;
  }

  /** Whether it may still be written to. */
  public boolean open() {
    return !released && !closing;
  }

  /** It has given back all that it held. */
  public boolean isReleased() {
    return released;
  }

  /** The machine it was to go to refused it: nothing listens there. */
  public boolean refused() {
    return refused;
  }

  /** Bytes that the system has taken so far. */
  public long bytesWritten() {
    return session == null ? 0 : session.getWrittenBytes();
  }

  /**
   * Bytes that may have left so far. The system counts what it has taken only behind the write
   * itself, on a thread of its own; so for a connection that was closed on this side all that was
   * handed over counts, and the system's own count only where it was the one to say that the
   * connection is over.
   */
  long bytesPossiblySent() {
    return closedLocally ? bytesSubmitted : bytesWritten();
  }

  /** Whether the socket is connected. */
  public boolean connected() {
    return session != null;
  }

  long connectedAt() {
    return connectedAt;
  }

  /** The address of the other side, null before it is connected. */
  public InetSocketAddress remoteAddress() {
    return session == null ? null : (InetSocketAddress) session.getRemoteAddress();
  }

  void connectFuture(ConnectFuture future) {
    connectFuture = future;
  }

  /** It did not come up. */
  void connectFailed(Throwable why) {
    // A connection that is reset while it comes up is no other type than one that is refused.
    refused =
        why instanceof java.net.ConnectException
            && why.getMessage() != null
            && why.getMessage().contains("refused");
    closeAndNotify();
  }

  void sessionOpened(IoSession with) {
    if (released) {
      with.closeNow();
      return;
    }
    session = with;
    connectedAt = sockets.now();
    flush();
  }

  void received(IoBuffer bytes, long at) {
    int count = bytes.remaining();
    if (unreadBytes.getAndAdd(-count) > MAX_UNREAD_BYTES
        && unreadBytes.get() <= MAX_UNREAD_BYTES
        && session != null) {
      sockets.resumeRead(session);
    }
    if (!open()) {
      return;
    }
    try {
      if (!input.put(bytes.buf())) {
        throw new ProtocolException("more bytes than the ring holds");
      }
      owner.received(at);
    } catch (ProtocolException e) {
      sockets.protocolErrors(this, e);
      closedLocally = true;
      closeAndNotify();
    }
  }

  void writeCompleted() {
    writing = false;
    flush();
    if (!released && !writing && output.size() == 0) {
      owner.writeCompleted();
    }
  }

  /** Hands the next bytes to the system; the rest follows as those have gone. */
  public void flush() {
    if (released || session == null || writing) {
      return;
    }
    if (output.size() > 0) {
      writing = true;
      byte[] bytes = output.take(Math.min(MAX_WRITE_BYTES, output.size()));
      bytesSubmitted += bytes.length;
      session.write(IoBuffer.wrap(bytes));
    } else if (closing) {
      close();
    }
  }

  /** Closes it once all is written. */
  public void closeAfterFlush() {
    closing = true;
    flush();
  }

  /** Closes it now; the owner is not told. */
  public void close() {
    if (!released) {
      release();
    }
  }

  /** As if the peer had closed it. */
  void closeAndNotify() {
    if (!released) {
      boolean wasUp = session != null;
      release();
      owner.closed(wasUp);
    }
  }

  private void release() {
    released = true;
    if (session != null) {
      session.closeNow();
    } else if (connectFuture != null) {
      connectFuture.cancel();
    }
    sockets.connectionReleased(this);
    owner.released();
  }
}

package tansytrack.wire;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.RuntimeIoException;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;

/**
 * One TCP connection with a ring buffer for each direction and an owner that receives its events.
 * Its methods run on the event loop's thread only; the I/O threads hand socket events over to the
 * loop. All its resources are released in one place, {@link #release()}.
 */
public final class Connection {

  /** Receives the events of a connection. */
  public interface Owner {
    /**
     * Called when bytes have been added to the input buffer.
     *
     * @param receivedAt when the last of them were received
     * @throws ProtocolException if the bytes violate the protocol; the connection is then closed
     */
    void received(long receivedAt) throws ProtocolException;

    /** Called once when the connection has been established, before anything is sent. */
    default void established() {}

    /** Called when the output buffer is empty and the operating system has taken all of it. */
    default void writeCompleted() {}

    /**
     * Called when the peer has ended its direction of the connection, after all that it sent;
     * {@link #closed} follows.
     */
    default void inputEnded() throws ProtocolException {}

    /**
     * Called once when the connection has been closed or could not be established, but not if the
     * owner itself closed it.
     *
     * @param wasConnected whether the connection had been established
     */
    void closed(boolean wasConnected);

    /** Called once when the connection has released its resources, whoever closed it. */
    default void released() {}
  }

  // Bytes passed to the operating system at a time, which bounds the bytes queued there.
  private static final int MAX_WRITE_BYTES = 1 << 15;

  // Values of SO_LINGER: close discards what is in the send buffer and resets the connection, or
  // the operating system goes on sending it in the background.
  private static final int LINGER_DISCARD = 0;
  private static final int LINGER_DELIVER = -1;

  // The limit of unread bytes for connections that this side opened.
  private static final int MAX_UNREAD_BYTES = 1 << 14;

  // Bytes that the I/O thread has handed over to the loop and that are not yet processed; of a
  // client, also those that wait in the input buffer.
  private final AtomicInteger unreadBytes = new AtomicInteger();

  // With more unread bytes reading is suspended.
  private volatile int maxUnreadBytes = MAX_UNREAD_BYTES;

  // Whether bytes in the input buffer count as unread.
  private final boolean countsBufferedInput;
  // Bytes in the input buffer that are counted as unread.
  private int bufferedInput;

  /** The bytes received and not yet consumed by the owner. */
  public final RingBuffer input;

  /** The bytes to be sent. */
  public final RingBuffer output;

  private final Sockets sockets;
  private Owner owner;
  // Null until the connection is established.
  private IoSession session;
  private ConnectFuture connectFuture;
  private boolean writing;
  private boolean closing;
  private boolean released;
  private boolean refused;
  // Bytes passed to the operating system so far, whether or not it has taken them.
  private long bytesSubmitted;
  // When the connection was established.
  private long connectedAt;
  // Whether this side closed the connection, possibly during a write.
  private boolean closedLocally;
  // Whether closing the connection discards sent bytes that have not reached the peer's machine.
  private boolean discardsOnClose;

  private Connection(
      Sockets sockets, RingBuffer input, RingBuffer output, boolean countsBufferedInput) {
    this.sockets = sockets;
    this.input = input;
    this.output = output;
    this.countsBufferedInput = countsBufferedInput;
  }

  /**
   * Creates a connection that this side opens; its input counts in the budget unless it is null.
   */
  static Connection outgoing(
      Sockets sockets, int maxInputBytes, MemoryBudget inputBudget, int maxOutputBytes) {
    return new Connection(
        sockets, new RingBuffer(maxInputBytes, inputBudget), new RingBuffer(maxOutputBytes), false);
  }

  /** Creates an accepted connection. It is read only as fast as its input is consumed. */
  static Connection accepted(Sockets sockets, int maxInputBytes, int maxOutputBytes) {
    return new Connection(
        sockets, new RingBuffer(maxInputBytes), new RingBuffer(maxOutputBytes), true);
  }

  /** Sets the owner, which receives all further events. */
  public void setOwner(Owner newOwner) {
    owner = newOwner;
  }

  /** Whether the connection can still be written to. */
  public boolean open() {
    return !released && !closing;
  }

  /** Whether the connection has released its resources. */
  public boolean isReleased() {
    return released;
  }

  /** Whether the peer's machine refused the connection. */
  public boolean refused() {
    return refused;
  }

  /** Returns the number of bytes that the operating system has taken so far. */
  public long bytesWritten() {
    return session == null ? 0 : session.getWrittenBytes();
  }

  /**
   * Returns the number of bytes that may have been sent so far. The count of written bytes is
   * updated by the I/O thread only after the write itself. If this side closed the connection, all
   * bytes passed to the I/O thread therefore count as possibly sent; if the I/O thread reported the
   * end, its count is exact.
   */
  long bytesPossiblySent() {
    return closedLocally ? bytesSubmitted : bytesWritten();
  }

  /** Whether the connection is established. */
  public boolean connected() {
    return session != null;
  }

  /** Returns when the connection was established. */
  long connectedAt() {
    return connectedAt;
  }

  /** Returns the peer's address, null before the connection is established. */
  public InetSocketAddress remoteAddress() {
    return session == null ? null : (InetSocketAddress) session.getRemoteAddress();
  }

  void connectFuture(ConnectFuture future) {
    connectFuture = future;
  }

  /** Handles a failure to establish the connection. */
  void connectFailed(Throwable cause) {
    // A connection reset while it is being established has the same exception type as a refused
    // one.
    refused =
        cause instanceof java.net.ConnectException
            && cause.getMessage() != null
            && cause.getMessage().contains("refused");
    closeAndNotify();
  }

  void sessionOpened(IoSession openedSession) {
    if (released) {
      openedSession.closeNow();
      return;
    }
    session = openedSession;
    connectedAt = sockets.now();
    owner.established();
    flush();
  }

  /**
   * Counts bytes that the I/O thread hands over; returns whether reading must be suspended. Called
   * on the I/O thread.
   */
  boolean countUnread(int count) {
    return unreadBytes.addAndGet(count) > maxUnreadBytes;
  }

  /** Whether there are more unread bytes than allowed; may be called on any thread. */
  boolean tooManyUnread() {
    return unreadBytes.get() > maxUnreadBytes;
  }

  /** Sets the number of unread bytes with which reading is suspended. */
  void maxUnreadBytes(int max) {
    int previous = maxUnreadBytes;
    maxUnreadBytes = max;
    int unread = unreadBytes.get();
    if (unread > previous && unread <= max) {
      resumeRead();
    }
  }

  private void countRead(int count) {
    int previous = unreadBytes.getAndAdd(-count);
    if (previous > maxUnreadBytes && previous - count <= maxUnreadBytes) {
      resumeRead();
    }
  }

  private void resumeRead() {
    if (session != null && !released) {
      sockets.resumeRead(session);
    }
  }

  /** Called when the owner has taken bytes from the input buffer: reading may continue. */
  void inputConsumed() {
    if (countsBufferedInput) {
      int consumed = bufferedInput - input.size();
      bufferedInput = input.size();
      countRead(consumed);
    }
  }

  void received(IoBuffer bytes, long receivedAt) {
    int count = bytes.remaining();
    if (countsBufferedInput) {
      bufferedInput += count;
    } else {
      countRead(count);
    }
    if (!open()) {
      return;
    }
    try {
      if (!input.put(bytes.buf())) {
        throw new ProtocolException("more bytes than the ring holds");
      }
      owner.received(receivedAt);
      inputConsumed();
    } catch (ProtocolException e) {
      closeForViolation(e);
    }
  }

  /** Handles the regular end of what the peer sends. */
  void inputEnded() {
    if (!open()) {
      return;
    }
    try {
      owner.inputEnded();
    } catch (ProtocolException e) {
      closeForViolation(e);
    }
  }

  private void closeForViolation(ProtocolException violation) {
    sockets.recordProtocolError(this, violation);
    closedLocally = true;
    closeAndNotify();
  }

  void writeCompleted() {
    writing = false;
    flush();
    if (!released && !writing && output.size() == 0) {
      owner.writeCompleted();
    }
  }

  /** Passes the next bytes to the operating system; the rest follows once those are written. */
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

  /**
   * Sets whether closing this established connection discards the bytes that have not reached the
   * peer's machine. Otherwise the operating system delivers them later, even after the end of this
   * process: if the network is interrupted, when it works again. The setting also applies if the
   * process ends without closing the connection.
   */
  void discardOnClose(boolean discard) {
    if (discard == discardsOnClose) {
      return;
    }
    discardsOnClose = discard;
    if (session.getConfig() instanceof SocketSessionConfig config) {
      try {
        config.setSoLinger(discard ? LINGER_DISCARD : LINGER_DELIVER);
      } catch (RuntimeIoException e) {
        // The I/O thread has closed the socket and will report that.
      }
    }
  }

  /** Closes the connection once the output buffer is written. */
  public void closeAfterFlush() {
    closing = true;
    flush();
  }

  /** Closes the connection now without notifying the owner. */
  public void close() {
    if (!released) {
      release();
    }
  }

  /** Closes the connection and notifies the owner as if the peer had closed it. */
  void closeAndNotify() {
    if (!released) {
      boolean wasConnected = session != null;
      release();
      owner.closed(wasConnected);
    }
  }

  private void release() {
    released = true;
    input.clear();
    if (session != null) {
      session.closeNow();
    } else if (connectFuture != null) {
      connectFuture.cancel();
    }
    sockets.connectionReleased(this);
    owner.released();
  }
}

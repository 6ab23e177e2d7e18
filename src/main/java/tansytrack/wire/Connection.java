package tansytrack.wire;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;

/**
 * One TCP connection with a ring buffer for each direction and an owner that receives its events.
 * Its methods run on the event loop's thread only; the I/O threads hand socket events over to the
 * loop. All its resources are released in one place, {@link #over()}.
 */
public final class Connection {

  /** Receives the events of a connection. */
  public interface Owner {
    /**
     * Called when bytes have been added to the input buffer.
     *
     * @param at when the last of them were received
     * @throws Junk if the bytes violate the protocol; the connection is then closed
     */
    void heard(long at) throws Junk;

    /** Called when the output buffer is empty and the operating system has taken all of it. */
    default void written() {}

    /**
     * Called once when the connection has been closed or could not be established, but not if the
     * owner itself closed it.
     *
     * @param wasUp whether the connection had been established
     */
    void closed(boolean wasUp);

    /** Called once when the connection has released its resources, whoever closed it. */
    default void over() {}
  }

  // Bytes passed to the operating system at a time, which bounds the bytes queued there.
  private static final int CHUNK = 1 << 15;

  /** With more bytes handed over to the loop and not yet processed, reading is suspended. */
  static final int MOST_UNREAD = 1 << 15;

  /** Bytes that the I/O thread has handed over to the loop and that are not yet processed. */
  final AtomicInteger unread = new AtomicInteger();

  /** The bytes received and not yet consumed by the owner. */
  public final Ring in;

  /** The bytes to be sent. */
  public final Ring out;

  private final Sockets sockets;
  private Owner owner;
  // Null until the connection is established.
  private IoSession session;
  private ConnectFuture coming;
  private boolean writing;
  private boolean closing;
  private boolean over;
  private boolean refused;
  // Bytes passed to the operating system so far, whether or not it has taken them.
  private long handed;
  // When the connection was established.
  private long cameAt;
  // Whether this side closed the connection, possibly during a write.
  private boolean shutByUs;

  Connection(Sockets sockets, int mostIn, int mostOut) {
    this.sockets = sockets;
    in = new Ring(mostIn);
    out = new Ring(mostOut);
  }

  /** Sets the owner, which receives all further events. */
  public void own(Owner by) {
    owner = by;
  }

  /** Whether the connection can still be written to. */
  public boolean open() {
    return !over && !closing;
  }

  /** Whether the connection has released its resources. */
  public boolean ended() {
    return over;
  }

  /** Whether the peer's machine refused the connection. */
  public boolean refused() {
    return refused;
  }

  /** Returns the number of bytes that the operating system has taken so far. */
  public long taken() {
    return session == null ? 0 : session.getWrittenBytes();
  }

  /**
   * Returns the number of bytes that may have been sent so far. The count of written bytes is updated
   * by the I/O thread only after the write itself. If this side closed the connection, all bytes
   * passed to the I/O thread therefore count as possibly sent; if the I/O thread reported the end,
   * its count is exact.
   */
  long left() {
    return shutByUs ? handed : taken();
  }

  /** Whether the connection is established. */
  public boolean up() {
    return session != null;
  }

  /** Returns when the connection was established. */
  long cameAt() {
    return cameAt;
  }

  /** Returns the peer's address, null before the connection is established. */
  public InetSocketAddress peer() {
    return session == null ? null : (InetSocketAddress) session.getRemoteAddress();
  }

  void coming(ConnectFuture future) {
    coming = future;
  }

  /** Handles a failure to establish the connection. */
  void failed(Throwable why) {
    // A connection reset while it is being established has the same exception type as a refused one.
    refused =
        why instanceof java.net.ConnectException
            && why.getMessage() != null
            && why.getMessage().contains("refused");
    drop();
  }

  void came(IoSession with) {
    if (over) {
      with.closeNow();
      return;
    }
    session = with;
    cameAt = sockets.time();
    flush();
  }

  void heard(IoBuffer bytes, long at) {
    int count = bytes.remaining();
    if (unread.getAndAdd(-count) > MOST_UNREAD && unread.get() <= MOST_UNREAD && session != null) {
      sockets.resumeRead(session);
    }
    if (!open()) {
      return;
    }
    try {
      if (!in.put(bytes.buf())) {
        throw new Junk("more bytes than the ring holds");
      }
      owner.heard(at);
    } catch (Junk e) {
      sockets.junk(this, e);
      shutByUs = true;
      drop();
    }
  }

  void sent() {
    writing = false;
    flush();
    if (!over && !writing && out.size() == 0) {
      owner.written();
    }
  }

  /** Passes the next bytes to the operating system; the rest follows once those are written. */
  public void flush() {
    if (over || session == null || writing) {
      return;
    }
    if (out.size() > 0) {
      writing = true;
      byte[] bytes = out.take(Math.min(CHUNK, out.size()));
      handed += bytes.length;
      session.write(IoBuffer.wrap(bytes));
    } else if (closing) {
      close();
    }
  }

  /** Closes the connection once the output buffer is written. */
  public void finish() {
    closing = true;
    flush();
  }

  /** Closes the connection now without notifying the owner. */
  public void close() {
    if (!over) {
      over();
    }
  }

  /** Closes the connection and notifies the owner as if the peer had closed it. */
  void drop() {
    if (!over) {
      boolean wasUp = session != null;
      over();
      owner.closed(wasUp);
    }
  }

  private void over() {
    over = true;
    if (session != null) {
      session.closeNow();
    } else if (coming != null) {
      coming.cancel();
    }
    sockets.gone(this);
    owner.over();
  }
}

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
    void heard(long at) throws Junk;

    /** All that was to be written has been handed to the system. */
    default void written() {}

    /** It is over, or never came up; said once, and not when the owner itself closed it. */
    void closed(boolean wasUp);

    /** It has given back what it held, whoever closed it; said once. */
    default void over() {}
  }

  private static final int CHUNK = 1 << 15; // handed to the system at once: bounds what lies there
  static final int MOST_UNREAD =
      1 << 15; // handed over and not yet read: then reading stops for a while

  final AtomicInteger unread = new AtomicInteger();
  public final Ring in;
  public final Ring out;
  private final Sockets sockets;
  private Owner owner;
  private IoSession session; // null until it is up
  private ConnectFuture coming;
  private boolean writing;
  private boolean closing;
  private boolean over;
  private boolean refused;
  private long handed; // bytes handed to the system so far, whether or not it has taken them
  private long cameAt; // when it came up
  private boolean shutByUs; // it was closed on this side, perhaps while the system was taking bytes

  Connection(Sockets sockets, int mostIn, int mostOut) {
    this.sockets = sockets;
    in = new Ring(mostIn);
    out = new Ring(mostOut);
  }

  /** Names who is told of what comes in and of the end. */
  public void own(Owner by) {
    owner = by;
  }

  /** Whether it may still be written to. */
  public boolean open() {
    return !over && !closing;
  }

  /** It has given back all that it held. */
  public boolean ended() {
    return over;
  }

  /** The machine it was to go to refused it: nothing listens there. */
  public boolean refused() {
    return refused;
  }

  /** Bytes that the system has taken so far. */
  public long taken() {
    return session == null ? 0 : session.getWrittenBytes();
  }

  /**
   * Bytes that may have left so far. The system counts what it has taken only behind the write
   * itself, on a thread of its own; so for a connection that was closed on this side all that was
   * handed over counts, and the system's own count only where it was the one to say that the
   * connection is over.
   */
  long left() {
    return shutByUs ? handed : taken();
  }

  /** Whether the socket is connected. */
  public boolean up() {
    return session != null;
  }

  long cameAt() {
    return cameAt;
  }

  /** The address of the other side, null before it is connected. */
  public InetSocketAddress peer() {
    return session == null ? null : (InetSocketAddress) session.getRemoteAddress();
  }

  void coming(ConnectFuture future) {
    coming = future;
  }

  /** It did not come up. */
  void failed(Throwable why) {
    // A connection that is reset while it comes up is no other type than one that is refused.
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

  /** Hands the next bytes to the system; the rest follows as those have gone. */
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

  /** Closes it once all is written. */
  public void finish() {
    closing = true;
    flush();
  }

  /** Closes it now; the owner is not told. */
  public void close() {
    if (!over) {
      over();
    }
  }

  /** As if the peer had closed it. */
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

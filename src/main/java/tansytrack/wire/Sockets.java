package tansytrack.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.SelectorProvider;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.tinylog.Logger;

/**
 * All sockets, on Apache MINA: its threads only hand notes over to the loop, which alone touches
 * connections.
 */
public final class Sockets {

  private static final AttributeKey CONNECTION = new AttributeKey(Sockets.class, "connection");
  private static final int BACKLOG = 1024; // as many as there can be descriptors
  private static final int READ_FIRST =
      1 << 11; // bytes of a first read, and bounds to what MINA adapts it
  private static final int READ_MOST = 1 << 14;
  private static final int FRONT_IN = 1 << 16; // the longest message of a client
  private static final int FRONT_OUT = 1 << 19; // a result of the most bytes, in the shortest rows
  private static final int CALL_OUT = 1 << 17; // a statement, with its header

  private static final long SAID_EVERY = 1_000_000_000L;

  private final Consumer<Runnable> hand;
  private final LongSupplier clock;
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          run -> {
            Thread thread = new Thread(run, "sockets");
            thread.setDaemon(true);
            return thread;
          });
  private final SimpleIoProcessorPool<NioSession> processors =
      new SimpleIoProcessorPool<>(NioProcessor.class, threads, 1, SelectorProvider.provider());
  private final Acceptor acceptor = new Acceptor();
  private final NioSocketConnector connector = new NioSocketConnector(threads, processors);
  private Consumer<Connection> accepted;
  private int open;
  private final Map<String, Long> junk = new TreeMap<>();
  private int unsaid;
  private long saidAt;

  /** All connections of the process; what their threads have to tell is handed to the loop. */
  public Sockets(Consumer<Runnable> hand, LongSupplier clock) {
    this.hand = hand;
    this.clock = clock;
    configure(acceptor.getSessionConfig());
    configure(connector.getSessionConfig());
    acceptor.setReuseAddress(true);
    acceptor.setCloseOnDeactivation(false); // or the end of listening would end all sessions
    acceptor.setBacklog(BACKLOG);
    acceptor.setHandler(new Handler());
    connector.setHandler(new Handler());
  }

  private static void configure(SocketSessionConfig config) {
    config.setTcpNoDelay(true);
    config.setReadBufferSize(READ_FIRST);
    config.setMinReadBufferSize(READ_FIRST);
    config.setMaxReadBufferSize(READ_MOST);
  }

  /** More accepted connections than that are closed at once. */
  public void mostAccepted(int most) {
    acceptor.most = most;
  }

  /**
   * Guards against crowds that connect faster than the loop can turn them away: with no descriptor
   * left nothing could be accepted and no engine reached.
   */
  private final class Acceptor extends NioSocketAcceptor {
    private final AtomicInteger held = new AtomicInteger();
    private volatile int most = Integer.MAX_VALUE;

    Acceptor() {
      super(threads, processors);
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel from)
        throws Exception {
      // MINA's own count follows only as its other thread takes the sessions: a whole backlog would
      // slip through.
      if (held.get() < most) {
        NioSession session = super.accept(processor, from);
        if (session != null) {
          held.incrementAndGet();
          session.getCloseFuture().addListener(closed -> held.decrementAndGet());
        }
        return session;
      }
      SocketChannel surplus = from.accept();
      if (surplus != null) {
        surplus.close();
      }
      return null;
    }
  }

  /** Listens there; each connection comes as a note, and is to get its owner at once. */
  public InetSocketAddress listen(InetSocketAddress at, Consumer<Connection> to)
      throws IOException {
    accepted = to;
    acceptor.bind(at);
    return acceptor.getLocalAddress();
  }

  /** Accepts no more connections; those that are open stay. */
  public void stopListening() {
    acceptor.unbind();
  }

  /** A connection that is on its way; what is written meanwhile goes out once it is up. */
  public Connection connect(InetSocketAddress to, int mostIn, Connection.Owner owner) {
    Connection connection = new Connection(this, mostIn, CALL_OUT);
    connection.own(owner);
    open++;
    ConnectFuture coming =
        connector.connect(to, (session, future) -> session.setAttribute(CONNECTION, connection));
    connection.coming(coming);
    coming.addListener(
        done -> {
          if (!coming.isConnected()) {
            hand.accept(() -> connection.failed(coming.getException()));
          }
        });
    return connection;
  }

  /** The time now, by the clock that stamps what is heard. */
  long time() {
    return clock.getAsLong();
  }

  /** Connections open or on their way. */
  public int open() {
    return open;
  }

  /**
   * Reads on. Guards against a selector that waits up to a second, as MINA does not wake it for
   * this: a list of a megabyte came in steps of 32 KiB a second. A flush of nothing wakes it.
   */
  void resumeRead(IoSession session) {
    session.resumeRead();
    processors.flush((NioSession) session);
  }

  void gone(Connection connection) {
    open--;
  }

  /** Connections closed for what came on them, by reason. */
  public Map<String, Long> junk() {
    return junk;
  }

  /** Said once a second at most: bad peers must not take the time of the others. */
  void junk(Connection connection, Junk junk) {
    this.junk.merge(junk.reason(), 1L, Long::sum);
    unsaid++;
    if (clock.getAsLong() - saidAt >= SAID_EVERY) {
      saidAt = clock.getAsLong();
      Logger.warn(
          "connection with {} closed: {}{}",
          connection.peer(),
          junk.getMessage(),
          unsaid > 1 ? " (" + unsaid + " closed since the last such line)" : "");
      unsaid = 0;
    }
  }

  /** Closes all connections and ends the threads. */
  public void close() {
    acceptor.dispose(false);
    connector.dispose(false);
    processors.dispose();
    threads.shutdown();
    try {
      threads.awaitTermination(1, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Runs on MINA's threads: nothing here but handing over. */
  private final class Handler extends IoHandlerAdapter {

    @Override
    public void sessionOpened(IoSession session) {
      Connection known = (Connection) session.getAttribute(CONNECTION);
      if (known != null) {
        hand.accept(() -> known.came(session));
        return;
      }
      Connection fresh = new Connection(Sockets.this, FRONT_IN, FRONT_OUT);
      session.setAttribute(CONNECTION, fresh);
      hand.accept(
          () -> {
            open++;
            accepted.accept(fresh);
            fresh.came(session);
          });
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
      long at = clock.getAsLong();
      Connection connection = (Connection) session.getAttribute(CONNECTION);
      IoBuffer bytes = (IoBuffer) message;
      if (connection.unread.addAndGet(bytes.remaining()) > Connection.MOST_UNREAD) {
        session.suspendRead();
        if (connection.unread.get() <= Connection.MOST_UNREAD) {
          session.resumeRead(); // the loop has taken it meanwhile, and saw nothing to resume
        }
      }
      hand.accept(() -> connection.heard(bytes, at));
    }

    @Override
    public void messageSent(IoSession session, Object message) {
      Connection connection = (Connection) session.getAttribute(CONNECTION);
      hand.accept(connection::sent);
    }

    @Override
    public void sessionClosed(IoSession session) {
      Connection connection = (Connection) session.getAttribute(CONNECTION);
      if (connection != null) {
        hand.accept(connection::drop);
      }
    }

    @Override
    public void inputClosed(IoSession session) {
      session.closeNow();
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      session.closeNow();
    }
  }
}

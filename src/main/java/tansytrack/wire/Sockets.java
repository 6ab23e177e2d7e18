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
  private static final int INITIAL_READ_BYTES =
      1 << 11; // bytes of a first read, and bounds to what MINA adapts it
  private static final int MAX_READ_BYTES = 1 << 14;
  private static final int CLIENT_INPUT_BYTES = 1 << 16; // the longest message of a client
  private static final int CLIENT_OUTPUT_BYTES =
      1 << 19; // a result of the most bytes, in the shortest rows
  private static final int REQUEST_OUTPUT_BYTES = 1 << 17; // a statement, with its header

  private static final long WARNING_INTERVAL_NANOS = 1_000_000_000L;

  private final Consumer<Runnable> eventLoop;
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
  private Consumer<Connection> acceptHandler;
  private int openConnections;
  private final Map<String, Long> junk = new TreeMap<>();
  private int unloggedErrors;
  private long lastWarningAt;

  /** All connections of the process; what their threads have to tell is handed to the loop. */
  public Sockets(Consumer<Runnable> hand, LongSupplier clock) {
    this.eventLoop = hand;
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
    config.setReadBufferSize(INITIAL_READ_BYTES);
    config.setMinReadBufferSize(INITIAL_READ_BYTES);
    config.setMaxReadBufferSize(MAX_READ_BYTES);
  }

  /** More accepted connections than that are closed at once. */
  public void maxAccepted(int most) {
    acceptor.maxAccepted = most;
  }

  /**
   * Guards against crowds that connect faster than the loop can turn them away: with no descriptor
   * left nothing could be accepted and no engine reached.
   */
  private final class Acceptor extends NioSocketAcceptor {
    private final AtomicInteger accepted = new AtomicInteger();
    private volatile int maxAccepted = Integer.MAX_VALUE;

    Acceptor() {
      super(threads, processors);
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel from)
        throws Exception {
      // MINA's own count follows only as its other thread takes the sessions: a whole backlog would
      // slip through.
      if (accepted.get() < maxAccepted) {
        NioSession session = super.accept(processor, from);
        if (session != null) {
          accepted.incrementAndGet();
          session.getCloseFuture().addListener(closed -> accepted.decrementAndGet());
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
    acceptHandler = to;
    acceptor.bind(at);
    return acceptor.getLocalAddress();
  }

  /** Accepts no more connections; those that are open stay. */
  public void stopListening() {
    acceptor.unbind();
  }

  /** A connection that is on its way; what is written meanwhile goes out once it is up. */
  public Connection connect(InetSocketAddress to, int mostIn, Connection.Owner owner) {
    Connection connection = new Connection(this, mostIn, REQUEST_OUTPUT_BYTES);
    connection.setOwner(owner);
    openConnections++;
    ConnectFuture coming =
        connector.connect(to, (session, future) -> session.setAttribute(CONNECTION, connection));
    connection.connectFuture(coming);
    coming.addListener(
        done -> {
          if (!coming.isConnected()) {
            eventLoop.accept(() -> connection.connectFailed(coming.getException()));
          }
        });
    return connection;
  }

  /** The time now, by the clock that stamps what is heard. */
  long now() {
    return clock.getAsLong();
  }

  /** Connections open or on their way. */
  public int openConnections() {
    return openConnections;
  }

  /**
   * Reads on. Guards against a selector that waits up to a second, as MINA does not wake it for
   * this: a list of a megabyte came in steps of 32 KiB a second. A flush of nothing wakes it.
   */
  void resumeRead(IoSession session) {
    session.resumeRead();
    processors.flush((NioSession) session);
  }

  void connectionReleased(Connection connection) {
    openConnections--;
  }

  /** Connections closed for what came on them, by reason. */
  public Map<String, Long> protocolErrors() {
    return junk;
  }

  /** Said once a second at most: bad peers must not take the time of the others. */
  void protocolErrors(Connection connection, ProtocolException junk) {
    this.junk.merge(junk.counterLabel(), 1L, Long::sum);
    unloggedErrors++;
    if (clock.getAsLong() - lastWarningAt >= WARNING_INTERVAL_NANOS) {
      lastWarningAt = clock.getAsLong();
      Logger.warn(
          "connection with {} closed: {}{}",
          connection.remoteAddress(),
          junk.getMessage(),
          unloggedErrors > 1 ? " (" + unloggedErrors + " closed since the last such line)" : "");
      unloggedErrors = 0;
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
        eventLoop.accept(() -> known.sessionOpened(session));
        return;
      }
      Connection fresh = new Connection(Sockets.this, CLIENT_INPUT_BYTES, CLIENT_OUTPUT_BYTES);
      session.setAttribute(CONNECTION, fresh);
      eventLoop.accept(
          () -> {
            openConnections++;
            acceptHandler.accept(fresh);
            fresh.sessionOpened(session);
          });
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
      long at = clock.getAsLong();
      Connection connection = (Connection) session.getAttribute(CONNECTION);
      IoBuffer bytes = (IoBuffer) message;
      if (connection.unreadBytes.addAndGet(bytes.remaining()) > Connection.MAX_UNREAD_BYTES) {
        session.suspendRead();
        if (connection.unreadBytes.get() <= Connection.MAX_UNREAD_BYTES) {
          session.resumeRead(); // the loop has taken it meanwhile, and saw nothing to resume
        }
      }
      eventLoop.accept(() -> connection.received(bytes, at));
    }

    @Override
    public void messageSent(IoSession session, Object message) {
      Connection connection = (Connection) session.getAttribute(CONNECTION);
      eventLoop.accept(connection::writeCompleted);
    }

    @Override
    public void sessionClosed(IoSession session) {
      Connection connection = (Connection) session.getAttribute(CONNECTION);
      if (connection != null) {
        eventLoop.accept(connection::closeAndNotify);
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

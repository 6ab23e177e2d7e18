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
 * All sockets of the process, based on Apache MINA. Its I/O threads only hand events over to the
 * event loop; only the loop's thread accesses connections.
 */
public final class Sockets {

  private static final AttributeKey CONNECTION = new AttributeKey(Sockets.class, "connection");

  // As many as there can be descriptors.
  private static final int BACKLOG = 1024;

  // Initial size of the read buffer, and the limits within which MINA adapts it, in bytes.
  private static final int READ_FIRST = 1 << 11;
  private static final int READ_MOST = 1 << 14;

  // Holds the longest message of a client.
  private static final int FRONT_IN = 1 << 16;

  // Holds a result of the maximum size with rows of the minimum size.
  private static final int FRONT_OUT = 1 << 19;

  // Holds a request with a statement and its header.
  private static final int CALL_OUT = 1 << 17;

  // Interval between log lines about closed connections.
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

  /**
   * Creates the sockets.
   *
   * @param hand runs actions on the event loop
   * @param clock time stamps of received data, in nanoseconds
   */
  public Sockets(Consumer<Runnable> hand, LongSupplier clock) {
    this.hand = hand;
    this.clock = clock;
    configure(acceptor.getSessionConfig());
    configure(connector.getSessionConfig());
    acceptor.setReuseAddress(true);
    acceptor.setCloseOnDeactivation(false); // sessions stay open when listening ends
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

  /** Sets the maximum number of accepted connections; further ones are closed at once. */
  public void mostAccepted(int most) {
    acceptor.most = most;
  }

  /**
   * Closes surplus connections on the I/O thread. Clients can connect faster than the event loop
   * could reject them, and without free descriptors no connection could be accepted and no engine
   * reached.
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
      // MINA's own count is updated later, on another thread, so a whole backlog could exceed the
      // limit.
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

  /**
   * Listens on an address and returns the one it is bound to.
   *
   * @param to receives each accepted connection on the event loop, and must set its owner
   */
  public InetSocketAddress listen(InetSocketAddress at, Consumer<Connection> to)
      throws IOException {
    accepted = to;
    acceptor.bind(at);
    return acceptor.getLocalAddress();
  }

  /** Stops accepting connections; open ones stay open. */
  public void stopListening() {
    acceptor.unbind();
  }

  /**
   * Starts to establish a connection. Data written before it is established is sent afterwards.
   *
   * @param mostIn maximum size of the input buffer in bytes
   */
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

  /** Returns the current time of the clock that time-stamps received data. */
  long time() {
    return clock.getAsLong();
  }

  /** Returns the number of connections that are open or being established. */
  public int open() {
    return open;
  }

  /**
   * Resumes reading. MINA does not wake its selector for this, which waits up to a second: a list of
   * one megabyte was received at 32 KiB a second. An empty flush wakes the selector.
   */
  void resumeRead(IoSession session) {
    session.resumeRead();
    processors.flush((NioSession) session);
  }

  /** Called once for each connection that has been closed. */
  void gone(Connection connection) {
    open--;
  }

  /** Returns the numbers of connections closed for protocol violations, by reason. */
  public Map<String, Long> junk() {
    return junk;
  }

  /**
   * Counts a connection that is closed for a protocol violation, and logs it, at most once a second,
   * so that misbehaving peers do not take the time of the others.
   */
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

  /** Closes all connections and stops the I/O threads. */
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

  /** Runs on MINA's threads and only hands events over to the event loop. */
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
          // The loop has processed the bytes meanwhile, before reading was suspended.
          session.resumeRead();
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

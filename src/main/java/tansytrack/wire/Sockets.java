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
  private static final int INITIAL_READ_BYTES = 1 << 11;
  private static final int MAX_READ_BYTES = 1 << 13;
  private static final int MAX_CLIENT_READ_BYTES = 1 << 12;

  // Holds what a client may write ahead of the answer to its open query.
  private static final int CLIENT_INPUT_BYTES = 1 << 17;

  // Holds the rows that are written at a time and a row of the maximum size.
  private static final int CLIENT_OUTPUT_BYTES = 1 << 16;

  // Holds a request with a statement and its header.
  private static final int REQUEST_OUTPUT_BYTES = 1 << 17;

  // Interval between log lines about closed connections.
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
  private final MemoryBudget memory;
  private Consumer<Connection> acceptHandler;
  private int openConnections;
  private final Map<String, Long> protocolErrors = new TreeMap<>();
  private int unloggedErrors;
  private long lastWarningAt;

  /**
   * Creates the sockets.
   *
   * @param eventLoop runs actions on the event loop
   * @param clock time stamps of received data, in nanoseconds
   */
  public Sockets(Consumer<Runnable> eventLoop, LongSupplier clock) {
    this(eventLoop, clock, MemoryBudget.limitByHeap());
  }

  /**
   * Creates the sockets with a given bound on the memory for clients and from engines.
   *
   * @param memoryLimit the bound in bytes
   */
  public Sockets(Consumer<Runnable> eventLoop, LongSupplier clock, long memoryLimit) {
    this.eventLoop = eventLoop;
    this.clock = clock;
    memory = new MemoryBudget(memoryLimit, eventLoop);
    configure(acceptor.getSessionConfig(), MAX_CLIENT_READ_BYTES);
    configure(connector.getSessionConfig(), MAX_READ_BYTES);
    acceptor.setReuseAddress(true);
    acceptor.setCloseOnDeactivation(false); // sessions stay open when listening ends
    acceptor.setBacklog(BACKLOG);
    acceptor.setHandler(new Handler());
    connector.setHandler(new Handler());
  }

  private static void configure(SocketSessionConfig config, int maxReadBytes) {
    config.setTcpNoDelay(true);
    config.setReadBufferSize(INITIAL_READ_BYTES);
    config.setMinReadBufferSize(INITIAL_READ_BYTES);
    config.setMaxReadBufferSize(maxReadBytes);
  }

  /** Sets the maximum number of accepted connections; further ones are closed at once. */
  public void maxAccepted(int max) {
    acceptor.maxAccepted = max;
  }

  /**
   * Closes surplus connections on the I/O thread. Clients can connect faster than the event loop
   * could reject them, and without free descriptors no connection could be accepted and no engine
   * reached.
   */
  private final class Acceptor extends NioSocketAcceptor {
    private final AtomicInteger accepted = new AtomicInteger();
    private volatile int maxAccepted = Integer.MAX_VALUE;

    Acceptor() {
      super(threads, processors);
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel channel)
        throws Exception {
      // MINA's own count is updated later, on another thread, so a whole backlog could exceed the
      // limit.
      if (accepted.get() < maxAccepted) {
        NioSession session = super.accept(processor, channel);
        if (session != null) {
          accepted.incrementAndGet();
          session.getCloseFuture().addListener(closed -> accepted.decrementAndGet());
        }
        return session;
      }
      SocketChannel surplus = channel.accept();
      if (surplus != null) {
        surplus.close();
      }
      return null;
    }
  }

  /**
   * Listens on an address and returns the one it is bound to.
   *
   * @param handler receives each accepted connection on the event loop, and must set its owner
   */
  public InetSocketAddress listen(InetSocketAddress address, Consumer<Connection> handler)
      throws IOException {
    acceptHandler = handler;
    acceptor.bind(address);
    return acceptor.getLocalAddress();
  }

  /** Stops accepting connections; open ones stay open. */
  public void stopListening() {
    acceptor.unbind();
  }

  /**
   * Starts to establish a connection. Data written before it is established is sent afterwards.
   *
   * @param maxInputBytes maximum size of the input buffer in bytes
   * @param inputBudget the budget in which a large input buffer counts, null for none
   */
  public Connection connect(
      InetSocketAddress address,
      int maxInputBytes,
      MemoryBudget inputBudget,
      Connection.Owner owner) {
    Connection connection =
        Connection.outgoing(this, maxInputBytes, inputBudget, REQUEST_OUTPUT_BYTES);
    connection.setOwner(owner);
    openConnections++;
    ConnectFuture connectFuture =
        connector.connect(
            address, (session, future) -> session.setAttribute(CONNECTION, connection));
    connection.connectFuture(connectFuture);
    connectFuture.addListener(
        completed -> {
          if (!connectFuture.isConnected()) {
            eventLoop.accept(() -> connection.connectFailed(connectFuture.getException()));
          }
        });
    return connection;
  }

  /** Returns the bound on the memory for clients and from engines. */
  public MemoryBudget memory() {
    return memory;
  }

  /** Returns the current time of the clock that time-stamps received data. */
  long now() {
    return clock.getAsLong();
  }

  /** Returns the number of connections that are open or being established. */
  public int openConnections() {
    return openConnections;
  }

  /**
   * Resumes reading. MINA does not wake its selector for this, which waits up to a second: a list
   * of one megabyte was received at 32 KiB a second. An empty flush wakes the selector.
   */
  void resumeRead(IoSession session) {
    session.resumeRead();
    processors.flush((NioSession) session);
  }

  /** Called once for each connection that has been closed. */
  void connectionReleased(Connection connection) {
    openConnections--;
  }

  /** Returns the numbers of connections closed for protocol violations, by reason. */
  public Map<String, Long> protocolErrors() {
    return protocolErrors;
  }

  /**
   * Counts a connection that is closed for a protocol violation, and logs it, at most once a
   * second, so that misbehaving peers do not take the time of the others.
   */
  void recordProtocolError(Connection connection, ProtocolException error) {
    protocolErrors.merge(error.counterLabel(), 1L, Long::sum);
    unloggedErrors++;
    if (clock.getAsLong() - lastWarningAt >= WARNING_INTERVAL_NANOS) {
      lastWarningAt = clock.getAsLong();
      Logger.warn(
          "connection with {} closed: {}{}",
          connection.remoteAddress(),
          error.getMessage(),
          unloggedErrors > 1 ? " (" + unloggedErrors + " closed since the last such line)" : "");
      unloggedErrors = 0;
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
      Connection outgoing = (Connection) session.getAttribute(CONNECTION);
      if (outgoing != null) {
        eventLoop.accept(() -> outgoing.sessionOpened(session));
        return;
      }
      Connection incoming =
          Connection.accepted(Sockets.this, CLIENT_INPUT_BYTES, CLIENT_OUTPUT_BYTES);
      session.setAttribute(CONNECTION, incoming);
      eventLoop.accept(
          () -> {
            openConnections++;
            acceptHandler.accept(incoming);
            incoming.sessionOpened(session);
          });
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
      long receivedAt = clock.getAsLong();
      Connection connection = (Connection) session.getAttribute(CONNECTION);
      IoBuffer bytes = (IoBuffer) message;
      if (connection.countUnread(bytes.remaining())) {
        session.suspendRead();
        if (!connection.tooManyUnread()) {
          // The loop has processed the bytes meanwhile, before reading was suspended.
          session.resumeRead();
        }
      }
      eventLoop.accept(() -> connection.received(bytes, receivedAt));
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
      Connection connection = (Connection) session.getAttribute(CONNECTION);
      if (connection != null) {
        eventLoop.accept(connection::inputEnded);
      }
      session.closeNow();
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      session.closeNow();
    }
  }
}

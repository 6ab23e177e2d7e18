package tansytrack.lab;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import tansytrack.lab.simulation.FaultSchedule;

/**
 * Relays the TCP connections from one manager to one engine, or to the command channel, with faults
 * by schedule. The active fault is looked up repeatedly, so that a fault also affects connections
 * that are open when it begins.
 */
final class StreamRelay implements AutoCloseable {

  private static final int FAULT_CHECK_MS = 5;
  private static final int BUFFER_BYTES = 8192;

  private final Supplier<FaultSchedule.StreamFault> activeFault;
  private final InetSocketAddress target;
  private final InetSocketAddress listenAddress;
  private final List<Socket> openSockets = new ArrayList<>();
  private ServerSocket listener;

  // Used by several threads; Random is thread-safe.
  private final Random random;

  private volatile boolean closed;

  StreamRelay(
      String host,
      InetSocketAddress target,
      Supplier<FaultSchedule.StreamFault> activeFault,
      long seed)
      throws IOException {
    random = new Random(seed);
    this.target = target;
    this.activeFault = activeFault;
    listener = listener(new InetSocketAddress(host, 0));
    listenAddress = (InetSocketAddress) listener.getLocalSocketAddress();
    FakeEngine.daemonThread(this::applyFaults).start();
    accept(listener);
  }

  private static ServerSocket listener(InetSocketAddress address) throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(address, 256);
    return socket;
  }

  /** The address that it listens at, as host:port. */
  String address() {
    return listenAddress.getAddress().getHostAddress() + ':' + listenAddress.getPort();
  }

  private void accept(ServerSocket listener) {
    FakeEngine.daemonThread(
            () -> {
              try {
                while (true) {
                  Socket connection = listener.accept();
                  FakeEngine.daemonThread(() -> relay(connection)).start();
                }
              } catch (IOException e) {
                // The listener was closed.
              }
            })
        .start();
  }

  private boolean isActive(FaultSchedule.StreamFaultKind kind) {
    FaultSchedule.StreamFault fault = activeFault.get();
    return fault != null && fault.kind() == kind;
  }

  /** Resets connections and closes or reopens the listener while the schedule says so. */
  private void applyFaults() {
    boolean refused = false;
    try {
      while (!closed) {
        Thread.sleep(FAULT_CHECK_MS);
        if (isActive(FaultSchedule.StreamFaultKind.RESET)
            || isActive(FaultSchedule.StreamFaultKind.REFUSED)) {
          resetConnections();
        }
        if (isActive(FaultSchedule.StreamFaultKind.REFUSED) != refused) {
          refused = !refused;
          synchronized (this) {
            if (refused) {
              listener.close();
            } else if (!closed) {
              listener = listener(listenAddress);
              accept(listener);
            }
          }
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      throw new IllegalStateException("a relay cannot listen again at " + listenAddress, e);
    }
  }

  private void resetConnections() {
    synchronized (openSockets) {
      for (Socket socket : openSockets) {
        try {
          socket.setSoLinger(true, 0);
          socket.close();
        } catch (IOException e) {
          // it is closed
        }
      }
      openSockets.clear();
    }
  }

  private void relay(Socket client) {
    try (client;
        Socket server = new Socket()) {
      client.setTcpNoDelay(true);
      server.setTcpNoDelay(true);
      server.connect(target);
      synchronized (openSockets) {
        openSockets.add(client);
        openSockets.add(server);
      }
      Thread responses = FakeEngine.daemonThread(() -> copy(server, client, false));
      responses.start();
      copy(client, server, true);
      responses.join();
    } catch (IOException e) {
      // The target refused the connection; the client's connection is closed.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void copy(Socket from, Socket to, boolean isRequest) {
    byte[] bytes = new byte[BUFFER_BYTES];
    boolean first = isRequest;
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
        FaultSchedule.StreamFault fault = activeFault.get();
        if (fault != null && fault.kind() == FaultSchedule.StreamFaultKind.SLOW) {
          Thread.sleep(fault.delayNanos() / 1_000_000);
        }
        if (first
            && fault != null
            && fault.kind() == FaultSchedule.StreamFaultKind.LATE
            && random.nextDouble() < fault.share()) {
          Thread.sleep(random.nextInt((int) (1 + fault.delayNanos() / 1_000_000)));
        }
        first = false;
        if (isActive(FaultSchedule.StreamFaultKind.SILENT)) {
          if (relayAfterSilence(from, out, Arrays.copyOf(bytes, count))) {
            return;
          }
          continue;
        }
        if (isRequest
            && fault != null
            && fault.kind() == FaultSchedule.StreamFaultKind.FLAKY
            && random.nextDouble() < fault.share()) {
          from.setSoLinger(true, 0);
          from.close();
          if (random.nextBoolean()) {
            Thread.sleep(random.nextInt((int) (1 + fault.delayNanos() / 1_000_000)));
            out.write(bytes, 0, count);
            Thread.sleep(FAULT_CHECK_MS);
          }
          return;
        }
        out.write(bytes, 0, count);
      }
    } catch (IOException e) {
      // One side closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      close(from);
      close(to);
    }
  }

  /**
   * Holds what a sender writes while the connection is silent, as its machine would, and then
   * relays it. If the sender resets the connection, which makes its machine discard that, reading
   * fails.
   *
   * @param received what was received when the silence was noticed
   * @return whether the sender has closed its side
   */
  private boolean relayAfterSilence(Socket from, OutputStream out, byte[] received)
      throws IOException, InterruptedException {
    ByteArrayOutputStream held = new ByteArrayOutputStream();
    held.writeBytes(received);
    byte[] bytes = new byte[BUFFER_BYTES];
    boolean ended = false;
    from.setSoTimeout(FAULT_CHECK_MS);
    while (isActive(FaultSchedule.StreamFaultKind.SILENT) && !closed) {
      if (ended) {
        Thread.sleep(FAULT_CHECK_MS);
        continue;
      }
      try {
        int count = from.getInputStream().read(bytes);
        ended = count < 0;
        held.write(bytes, 0, Math.max(0, count));
      } catch (SocketTimeoutException e) {
        // nothing more yet
      }
    }
    from.setSoTimeout(0);
    held.writeTo(out);
    return ended;
  }

  private void close(Socket socket) {
    synchronized (openSockets) {
      openSockets.remove(socket);
    }
    try {
      socket.close();
    } catch (IOException e) {
      // it is closed
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    synchronized (this) {
      listener.close();
    }
    synchronized (openSockets) {
      for (Socket socket : openSockets) {
        socket.close();
      }
    }
  }
}

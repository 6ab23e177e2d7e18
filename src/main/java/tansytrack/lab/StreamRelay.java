package tansytrack.lab;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
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

  private static final int LOOK_MS = 5;
  private static final int MOST = 8192;

  private final Supplier<FaultSchedule.StreamFault> now;
  private final InetSocketAddress target;
  private final InetSocketAddress at;
  private final List<Socket> open = new ArrayList<>();
  private ServerSocket listener;

  // Used by several threads; Random is thread-safe.
  private final Random chance;

  private volatile boolean over;

  StreamRelay(
      String host, InetSocketAddress target, Supplier<FaultSchedule.StreamFault> activeFault, long seed)
      throws IOException {
    chance = new Random(seed);
    this.target = target;
    this.now = activeFault;
    listener = listener(new InetSocketAddress(host, 0));
    at = (InetSocketAddress) listener.getLocalSocketAddress();
    StandInEngine.thread(this::watch).start();
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
    return at.getAddress().getHostAddress() + ':' + at.getPort();
  }

  private void accept(ServerSocket listener) {
    StandInEngine.thread(
            () -> {
              try {
                while (true) {
                  Socket connection = listener.accept();
                  StandInEngine.thread(() -> carry(connection)).start();
                }
              } catch (IOException e) {
                // The listener was closed.
              }
            })
        .start();
  }

  private boolean is(FaultSchedule.StreamFaultKind kind) {
    FaultSchedule.StreamFault fault = now.get();
    return fault != null && fault.kind() == kind;
  }

  /** Resets connections and closes or reopens the listener while the schedule says so. */
  private void watch() {
    boolean refused = false;
    try {
      while (!over) {
        Thread.sleep(LOOK_MS);
        if (is(FaultSchedule.StreamFaultKind.RESET) || is(FaultSchedule.StreamFaultKind.REFUSED)) {
          reset();
        }
        if (is(FaultSchedule.StreamFaultKind.REFUSED) != refused) {
          refused = !refused;
          synchronized (this) {
            if (refused) {
              listener.close();
            } else if (!over) {
              listener = listener(at);
              accept(listener);
            }
          }
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      throw new IllegalStateException("a relay cannot listen again at " + at, e);
    }
  }

  private void reset() {
    synchronized (open) {
      for (Socket socket : open) {
        try {
          socket.setSoLinger(true, 0);
          socket.close();
        } catch (IOException e) {
          // it is closed
        }
      }
      open.clear();
    }
  }

  private void carry(Socket client) {
    try (client;
        Socket server = new Socket()) {
      client.setTcpNoDelay(true);
      server.setTcpNoDelay(true);
      server.connect(target);
      synchronized (open) {
        open.add(client);
        open.add(server);
      }
      Thread responses = StandInEngine.thread(() -> pump(server, client, false));
      responses.start();
      pump(client, server, true);
      responses.join();
    } catch (IOException e) {
      // The target refused the connection; the client's connection is closed.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void pump(Socket from, Socket to, boolean isRequest) {
    byte[] bytes = new byte[MOST];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
        FaultSchedule.StreamFault fault = now.get();
        if (fault != null && fault.kind() == FaultSchedule.StreamFaultKind.SLOW) {
          Thread.sleep(fault.delayNanos() / 1_000_000);
        }
        while (is(FaultSchedule.StreamFaultKind.SILENT) && !over) {
          Thread.sleep(LOOK_MS);
        }
        if (isRequest
            && fault != null
            && fault.kind() == FaultSchedule.StreamFaultKind.FLAKY
            && chance.nextDouble() < fault.share()) {
          from.setSoLinger(true, 0);
          from.close();
          if (chance.nextBoolean()) {
            Thread.sleep(chance.nextInt((int) (1 + fault.delayNanos() / 1_000_000)));
            out.write(bytes, 0, count);
            Thread.sleep(LOOK_MS);
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

  private void close(Socket socket) {
    synchronized (open) {
      open.remove(socket);
    }
    try {
      socket.close();
    } catch (IOException e) {
      // it is closed
    }
  }

  @Override
  public void close() throws IOException {
    over = true;
    synchronized (this) {
      listener.close();
    }
    synchronized (open) {
      for (Socket socket : open) {
        socket.close();
      }
    }
  }
}

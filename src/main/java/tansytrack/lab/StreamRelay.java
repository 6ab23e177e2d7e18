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
 * The streams from one manager to one engine, or to the list: each connection goes on to the other
 * side, and breaks as the schedule says. What it holds now is asked for again and again, so that a
 * trouble that begins finds streams that are open.
 */
final class StreamRelay implements AutoCloseable {

  private static final int FAULT_CHECK_MS = 5;
  private static final int BUFFER_BYTES = 8192;

  private final Supplier<FaultSchedule.StreamFault> activeFault;
  private final InetSocketAddress target;
  private final InetSocketAddress listenAddress;
  private final List<Socket> openSockets = new ArrayList<>();
  private ServerSocket listener;
  private final Random random; // its own lock keeps threads apart
  private volatile boolean closed;

  StreamRelay(
      String host, InetSocketAddress target, Supplier<FaultSchedule.StreamFault> now, long seed)
      throws IOException {
    random = new Random(seed);
    this.target = target;
    this.activeFault = now;
    listener = listener(new InetSocketAddress(host, 0));
    listenAddress = (InetSocketAddress) listener.getLocalSocketAddress();
    FakeEngine.daemonThread(this::applyFaults).start();
    accept(listener);
  }

  private static ServerSocket listener(InetSocketAddress where) throws IOException {
    ServerSocket made = new ServerSocket();
    made.setReuseAddress(true);
    made.bind(where, 256);
    return made;
  }

  String address() {
    return listenAddress.getAddress().getHostAddress() + ':' + listenAddress.getPort();
  }

  private void accept(ServerSocket from) {
    FakeEngine.daemonThread(
            () -> {
              try {
                while (true) {
                  Socket one = from.accept();
                  FakeEngine.daemonThread(() -> relay(one)).start();
                }
              } catch (IOException e) {
                // closed
              }
            })
        .start();
  }

  private boolean isActive(FaultSchedule.StreamFaultKind kind) {
    FaultSchedule.StreamFault holds = activeFault.get();
    return holds != null && holds.kind() == kind;
  }

  /** Closes and opens the listener, and resets what is open, as the schedule goes on. */
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
      for (Socket one : openSockets) {
        try {
          one.setSoLinger(true, 0);
          one.close();
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
      Thread back = FakeEngine.daemonThread(() -> copy(server, client, false));
      back.start();
      copy(client, server, true);
      back.join();
    } catch (IOException e) {
      // refused beyond: the client's connection ends
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void copy(Socket from, Socket to, boolean asks) {
    byte[] bytes = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
        FaultSchedule.StreamFault holds = activeFault.get();
        if (holds != null && holds.kind() == FaultSchedule.StreamFaultKind.SLOW) {
          Thread.sleep(holds.delayNanos() / 1_000_000);
        }
        while (isActive(FaultSchedule.StreamFaultKind.SILENT) && !closed) {
          Thread.sleep(FAULT_CHECK_MS);
        }
        if (asks
            && holds != null
            && holds.kind() == FaultSchedule.StreamFaultKind.FLAKY
            && random.nextDouble() < holds.share()) {
          from.setSoLinger(true, 0);
          from.close();
          if (random.nextBoolean()) {
            Thread.sleep(random.nextInt((int) (1 + holds.delayNanos() / 1_000_000)));
            out.write(bytes, 0, count);
            Thread.sleep(FAULT_CHECK_MS);
          }
          return;
        }
        out.write(bytes, 0, count);
      }
    } catch (IOException e) {
      // one side ended
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      close(from);
      close(to);
    }
  }

  private void close(Socket one) {
    synchronized (openSockets) {
      openSockets.remove(one);
    }
    try {
      one.close();
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
      for (Socket one : openSockets) {
        one.close();
      }
    }
  }
}

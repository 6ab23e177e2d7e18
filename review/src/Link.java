import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * The network between a workload manager and one engine: a proxy that can be cut. During a cut open
 * connections stay open and silent, new ones never come up, and no byte is lost: as TCP does, the
 * sender's machine keeps what was written and delivers it, and then the end of the connection, when
 * the cut is over. Only a connection that its owner has reset delivers nothing more, because a
 * reset throws away what was not yet sent.
 */
final class Link {
  private static final int BACKLOG = 1;
  private final InetSocketAddress engine;
  private final Recorder record;
  private final String name;
  private final ServerSocketChannel server;
  private final List<SocketChannel> fillers = new ArrayList<>();
  private final List<Socket> accepted = new ArrayList<>();
  private volatile boolean cut;
  // Whether new connections are refused, as by an engine that has all connections it will take.
  final InetSocketAddress address;

  Link(String name, InetSocketAddress engine, Recorder record) throws IOException {
    this.name = name;
    this.engine = engine;
    this.record = record;
    server = ServerSocketChannel.open();
    server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), BACKLOG);
    server.configureBlocking(false);
    address = (InetSocketAddress) server.getLocalAddress();
    Threads.start(this::acceptAll);
  }

  String hostPort() {
    return "127.0.0.1:" + address.getPort();
  }

  private void acceptAll() {
    try {
      while (true) {
        SocketChannel channel = null;
        synchronized (this) {
          if (!cut) {
            channel = server.accept();
          }
        }
        if (channel == null) {
          Thread.sleep(1);
          continue;
        }
        channel.configureBlocking(true);
        Socket near = channel.socket();
        near.setTcpNoDelay(true);
        Threads.start(() -> connect(near));
      }
    } catch (IOException | InterruptedException e) {
      record.line("link %s ends: %s", name, e);
    }
  }

  private void connect(Socket near) {
    try {
      Socket far = new Socket();
      far.setTcpNoDelay(true);
      far.connect(engine, 2000);
      Threads.start(() -> pump(near, far, "manager"));
      pump(far, near, "engine");
    } catch (IOException e) {
      close(near);
    }
  }

  /** Passes on what one side sends, later if the link is cut. */
  private void pump(Socket from, Socket to, String sender) {
    byte[] bytes = new byte[1 << 16];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      while (true) {
        int count = in.read(bytes);
        if (count > 0 && cut) {
          // The sender's machine keeps the bytes. It drops them if the sender resets.
          byte[] kept = java.util.Arrays.copyOf(bytes, count);
          record.line("link %s keeps %d bytes of the %s", name, count, sender);
          boolean ended = false;
          while (cut) {
            from.setSoTimeout(20);
            try {
              int more = ended ? -1 : in.read(bytes);
              if (more < 0) {
                ended = true;
                Thread.sleep(5);
              } else {
                kept = java.util.Arrays.copyOf(kept, kept.length + more);
                System.arraycopy(bytes, 0, kept, kept.length - more, more);
              }
            } catch (java.net.SocketTimeoutException e) {
              // nothing more yet
            }
          }
          from.setSoTimeout(0);
          record.line("link %s delivers %d bytes of the %s", name, kept.length, sender);
          out.write(kept);
          if (ended) {
            break;
          }
        } else if (count < 0) {
          awaitEndOfCut();
          break;
        } else {
          out.write(bytes, 0, count);
        }
      }
      to.shutdownOutput();
    } catch (IOException | InterruptedException e) {
      // A reset: what was not delivered is dropped.
      awaitEndOfCut();
      reset(to);
      close(from);
    }
  }

  private void awaitEndOfCut() {
    try {
      while (cut) {
        Thread.sleep(5);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Cuts the link. */
  void cut() throws IOException, InterruptedException {
    synchronized (this) {
      cut = true;
    }
    // A full queue of connections that nobody accepts: further ones don't come up.
    while (true) {
      SocketChannel filler = SocketChannel.open();
      filler.configureBlocking(false);
      filler.connect(address);
      long until = System.nanoTime() + 20_000_000L;
      while (!filler.finishConnect() && System.nanoTime() < until) {
        Thread.sleep(1);
      }
      fillers.add(filler);
      if (!filler.isConnected()) {
        break;
      }
    }
    record.line("link %s is cut", name);
  }

  /** Ends the cut. */
  void restore() throws IOException {
    for (SocketChannel filler : fillers) {
      filler.close();
    }
    fillers.clear();
    synchronized (this) {
      cut = false;
    }
    record.line("link %s is whole again", name);
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // closed below
    }
    close(socket);
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // closed already
    }
  }
}

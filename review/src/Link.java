import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The network before one engine. While it is cut, open connections stay open and silent, and new
 * ones never come up. What was written before or during the cut arrives when it ends, as TCP sends
 * it again until it is taken; only what a reset had taken back is dropped.
 */
final class Link {
  private static final int BACKLOG = 8;
  private static final int ACCEPT_TIMEOUT_MS = 5;

  private final InetSocketAddress engine;
  private final Recorder record;
  private final ServerSocket server = new ServerSocket();
  private final String name;
  private boolean cut;
  private long cutAt;
  private boolean acceptorRests;
  // The cut begins with the next request that holds this text; null if none is due.
  private String cutsWith;
  private final List<Socket> fillers = new ArrayList<>();

  Link(String name, InetSocketAddress engine, Recorder record) throws IOException {
    this.name = name;
    this.engine = engine;
    this.record = record;
    server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), BACKLOG);
    server.setSoTimeout(ACCEPT_TIMEOUT_MS);
    Threads.start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /**
   * Cuts the link for a time, with the next request that holds the text: it has been written and
   * does not arrive any more. Returns false if there is no such request within 20 s.
   */
  boolean cutWithNext(String text, long ms) throws InterruptedException {
    synchronized (this) {
      cutsWith = text;
      long until = System.nanoTime() + 20_000_000_000L;
      while (!cut && System.nanoTime() < until) {
        wait(100);
      }
      cutsWith = null;
      if (!cut) {
        return false;
      }
      while (!acceptorRests) {
        wait();
      }
    }
    // Once the queue of the listening socket is full, the system drops what asks to connect.
    for (int i = 0; i < BACKLOG + 4; i++) {
      Socket filler = new Socket();
      try {
        filler.connect(new InetSocketAddress("127.0.0.1", server.getLocalPort()), 40);
        fillers.add(filler);
      } catch (IOException e) {
        break;
      }
    }
    record.line("link to %s is cut", name);
    Thread.sleep(Math.max(0, ms - (System.nanoTime() - cutAt) / 1_000_000));
    for (Socket filler : fillers) {
      try {
        filler.close();
      } catch (IOException e) {
        // It is closed.
      }
    }
    fillers.clear();
    synchronized (this) {
      cut = false;
      notifyAll();
    }
    record.line("link to %s is whole again", name);
    return true;
  }

  private synchronized void cutIfDue(byte[] bytes, int count) {
    if (cutsWith != null
        && count > 0
        && new String(bytes, 0, count, StandardCharsets.ISO_8859_1).contains(cutsWith)) {
      cut = true;
      cutAt = System.nanoTime();
      notifyAll();
    }
  }

  private void accept() {
    while (true) {
      try {
        synchronized (this) {
          while (cut) {
            acceptorRests = true;
            notifyAll();
            wait();
          }
          acceptorRests = false;
        }
        Socket near = server.accept();
        near.setTcpNoDelay(true);
        Threads.start(() -> open(near));
      } catch (SocketTimeoutException e) {
        // Looks whether the link is cut.
      } catch (IOException | InterruptedException e) {
        record.line("link to %s accepts no more: %s", name, e);
        return;
      }
    }
  }

  private void open(Socket near) {
    try {
      Socket far = new Socket();
      far.setTcpNoDelay(true);
      far.connect(engine);
      Threads.start(() -> pump(far, near));
      pump(near, far);
    } catch (IOException e) {
      close(near);
    }
  }

  private synchronized boolean awaitWhole() throws InterruptedException {
    boolean waited = cut;
    while (cut) {
      wait();
    }
    return waited;
  }

  private void pump(Socket from, Socket to) {
    byte[] bytes = new byte[1 << 16];
    try {
      InputStream in = from.getInputStream();
      while (true) {
        int count = in.read(bytes);
        cutIfDue(bytes, count);
        boolean waited = awaitWhole();
        if (count > 0 && waited) {
          count = readOn(from, in, bytes, count);
        }
        if (count < 0) {
          to.shutdownOutput();
          return;
        }
        to.getOutputStream().write(bytes, 0, count);
      }
    } catch (IOException | InterruptedException e) {
      close(from);
      close(to);
    }
  }

  /** Reads what came in during the cut; fails if the sender has reset the connection. */
  private static int readOn(Socket from, InputStream in, byte[] bytes, int count)
      throws IOException {
    int total = count;
    from.setSoTimeout(10);
    try {
      while (total < bytes.length) {
        int more = in.read(bytes, total, bytes.length - total);
        if (more < 0) {
          break;
        }
        total += more;
      }
    } catch (SocketTimeoutException e) {
      // All has been read.
    }
    from.setSoTimeout(0);
    return total;
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed.
    }
  }
}

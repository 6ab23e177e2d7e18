package tansytrack.lab.footprint;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A command channel server for a single manager. Each manager has its own address, so that its
 * bytes and the event number it resumes from can be measured separately. Bytes are those of HTTP
 * including heads, without TCP and IP overhead.
 */
final class CountingChannel implements AutoCloseable {

  private static final Pattern ASKED =
      Pattern.compile("GET /cmd/next\\?resume=(\\d{1,9})&block=(\\d{1,4}) ");
  private static final int LONGEST_HEAD = 1 << 13;
  private static final int END_OF_HEAD = 0x0d0a0d0a;

  private final ListEvents events;
  private final ServerSocket socket = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
  private final AtomicLong received = new AtomicLong();
  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong polls = new AtomicLong();

  /** The highest event number that the manager has acknowledged. */
  private int resumedFrom;

  /** When the manager first acknowledged that event, by System.nanoTime. */
  private long resumedAt;

  CountingChannel(ListEvents events) throws IOException {
    this.events = events;
    start(this::accept);
  }

  /** Host and port of this server. */
  String address() {
    return socket.getInetAddress().getHostAddress() + ':' + socket.getLocalPort();
  }

  /** Bytes received from the manager. */
  long received() {
    return received.get();
  }

  /** Bytes sent to the manager. */
  long sent() {
    return sent.get();
  }

  /** The number of polls by the manager. */
  long polls() {
    return polls.get();
  }

  /**
   * Waits until the manager acknowledges an event by polling for later ones. Returns the time of
   * that poll by System.nanoTime, or -1 if the deadline passes first.
   */
  synchronized long awaitEvent(int number, long until) throws InterruptedException {
    long left = until - System.nanoTime();
    while (resumedFrom < number && left > 0) {
      wait(left / 1_000_000 + 1);
      left = until - System.nanoTime();
    }
    return resumedFrom < number ? -1 : resumedAt;
  }

  private synchronized void resumed(int number) {
    if (number > resumedFrom) {
      resumedFrom = number;
      resumedAt = System.nanoTime();
      notifyAll();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket one = socket.accept();
        one.setTcpNoDelay(true);
        start(() -> serve(one));
      }
    } catch (IOException e) {
      // The server socket was closed.
    }
  }

  private static void start(Runnable what) {
    Thread thread = new Thread(what, "counting-channel");
    thread.setDaemon(true);
    thread.start();
  }

  private void serve(Socket one) {
    try (one) {
      DataInputStream in = new DataInputStream(one.getInputStream());
      while (true) {
        Matcher asked = ASKED.matcher(head(in));
        if (!asked.lookingAt()) {
          return;
        }
        polls.incrementAndGet();
        int resume = Integer.parseInt(asked.group(1));
        resumed(resume);
        byte[] body = events.next(resume, Long.parseLong(asked.group(2)));
        byte[] head =
            ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8);
        one.getOutputStream().write(head);
        one.getOutputStream().write(body);
        sent.addAndGet(head.length + body.length);
      }
    } catch (IOException e) {
      // The manager closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private String head(DataInputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int tail = 0;
    while (tail != END_OF_HEAD) {
      int next = in.read();
      if (next < 0 || head.size() > LONGEST_HEAD) {
        throw new EOFException();
      }
      head.write(next);
      tail = tail << 8 | next;
    }
    received.addAndGet(head.size());
    return head.toString(StandardCharsets.UTF_8);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}

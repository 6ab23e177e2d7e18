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

  private static final Pattern POLL_REQUEST =
      Pattern.compile("GET /cmd/next\\?resume=(\\d{1,9})&block=(\\d{1,4}) ");
  private static final int MAX_HEAD_BYTES = 1 << 13;
  private static final int END_OF_HEAD = 0x0d0a0d0a;

  private final EngineListEvents events;
  private final ServerSocket serverSocket =
      new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
  private final AtomicLong bytesReceived = new AtomicLong();
  private final AtomicLong bytesSent = new AtomicLong();
  private final AtomicLong pollCount = new AtomicLong();

  /** The highest event number that the manager has acknowledged. */
  private int lastAcknowledgedEvent;

  /** When the manager first acknowledged that event, by System.nanoTime. */
  private long acknowledgedAtNanos;

  CountingChannel(EngineListEvents events) throws IOException {
    this.events = events;
    start(this::acceptConnections);
  }

  /** Host and port of this server. */
  String address() {
    return serverSocket.getInetAddress().getHostAddress() + ':' + serverSocket.getLocalPort();
  }

  /** Bytes received from the manager. */
  long bytesReceived() {
    return bytesReceived.get();
  }

  /** Bytes sent to the manager. */
  long bytesSent() {
    return bytesSent.get();
  }

  /** The number of polls by the manager. */
  long pollCount() {
    return pollCount.get();
  }

  /**
   * Waits until the manager acknowledges an event by polling for later ones. Returns the time of
   * that poll by System.nanoTime, or -1 if the deadline passes first.
   */
  synchronized long awaitEvent(int number, long deadlineNanos) throws InterruptedException {
    long remainingNanos = deadlineNanos - System.nanoTime();
    while (lastAcknowledgedEvent < number && remainingNanos > 0) {
      wait(remainingNanos / 1_000_000 + 1);
      remainingNanos = deadlineNanos - System.nanoTime();
    }
    return lastAcknowledgedEvent < number ? -1 : acknowledgedAtNanos;
  }

  private synchronized void recordAcknowledgedEvent(int number) {
    if (number > lastAcknowledgedEvent) {
      lastAcknowledgedEvent = number;
      acknowledgedAtNanos = System.nanoTime();
      notifyAll();
    }
  }

  private void acceptConnections() {
    try {
      while (true) {
        Socket connection = serverSocket.accept();
        connection.setTcpNoDelay(true);
        start(() -> serve(connection));
      }
    } catch (IOException e) {
      // The server socket was closed.
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "counting-channel");
    thread.setDaemon(true);
    thread.start();
  }

  private void serve(Socket connection) {
    try (connection) {
      DataInputStream in = new DataInputStream(connection.getInputStream());
      while (true) {
        Matcher request = POLL_REQUEST.matcher(readHead(in));
        if (!request.lookingAt()) {
          return;
        }
        pollCount.incrementAndGet();
        int resume = Integer.parseInt(request.group(1));
        recordAcknowledgedEvent(resume);
        byte[] body = events.awaitAfter(resume, Long.parseLong(request.group(2)));
        byte[] head =
            ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8);
        connection.getOutputStream().write(head);
        connection.getOutputStream().write(body);
        bytesSent.addAndGet(head.length + body.length);
      }
    } catch (IOException e) {
      // The manager closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private String readHead(DataInputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int tail = 0;
    while (tail != END_OF_HEAD) {
      int next = in.read();
      if (next < 0 || head.size() > MAX_HEAD_BYTES) {
        throw new EOFException();
      }
      head.write(next);
      tail = tail << 8 | next;
    }
    bytesReceived.addAndGet(head.size());
    return head.toString(StandardCharsets.UTF_8);
  }

  @Override
  public void close() throws IOException {
    serverSocket.close();
  }
}

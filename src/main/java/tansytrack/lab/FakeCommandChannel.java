package tansytrack.lab;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A fake command channel on loopback, which serves numbered events to long polls. */
public final class FakeCommandChannel implements AutoCloseable {

  private static final Pattern POLL_REQUEST =
      Pattern.compile("GET /cmd/next\\?resume=(\\d{1,18})&block=(\\d{1,6}) ");
  private static final long MAX_BLOCK_MS = 5000;

  private final ServerSocket socket = new ServerSocket();
  private final List<String> events = new ArrayList<>();

  /** Starts to listen at the address; each connection is served on its own thread. */
  public FakeCommandChannel(InetSocketAddress address) throws IOException {
    socket.setReuseAddress(true);
    socket.bind(address, 256);
    FakeEngine.daemonThread(this::accept).start();
  }

  /** The address that it listens at, as host:port, with the actual port if 0 was requested. */
  public String address() {
    return socket.getInetAddress().getHostAddress() + ':' + socket.getLocalPort();
  }

  /** Publishes an event, given as JSON without its number. */
  public synchronized void publish(String nodes) {
    events.add("{\"cursor\":" + (events.size() + 1) + ",\"nodes\":" + nodes + '}');
    notifyAll();
  }

  /** All events up to now, in the form of the configuration's field {@code known}. */
  public synchronized String knownEvents() {
    return eventsAfter(0);
  }

  private String eventsAfter(int number) {
    return "{\"cursor\":"
        + Math.max(number, events.size())
        + ",\"cmds\":["
        + String.join(",", events.subList(Math.min(number, events.size()), events.size()))
        + "]}";
  }

  private synchronized String awaitEvents(int resume, long blockMs) throws InterruptedException {
    long deadline = System.nanoTime() + Math.min(blockMs, MAX_BLOCK_MS) * 1_000_000;
    for (long remainingMs = blockMs;
        events.size() <= resume && remainingMs > 0;
        remainingMs = (deadline - System.nanoTime()) / 1_000_000) {
      wait(remainingMs);
    }
    return eventsAfter(resume);
  }

  private void accept() {
    try {
      while (true) {
        Socket connection = socket.accept();
        FakeEngine.daemonThread(() -> serve(connection)).start();
      }
    } catch (IOException e) {
      // The socket was closed.
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      DataInputStream in = new DataInputStream(connection.getInputStream());
      while (true) {
        Matcher request = POLL_REQUEST.matcher(FakeEngine.readHead(in));
        String response =
            request.lookingAt()
                ? FakeEngine.response(
                    "200 OK",
                    "",
                    awaitEvents(
                        Integer.parseInt(request.group(1)), Long.parseLong(request.group(2))))
                : FakeEngine.response("404 Not Found", "", "");
        connection.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
      }
    } catch (IOException | InterruptedException e) {
      // The manager closed the connection.
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}

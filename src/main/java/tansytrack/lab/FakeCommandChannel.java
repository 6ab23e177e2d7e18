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

/** A command channel for the lab, on loopback: numbered events, asked for by long polls. */
public final class FakeCommandChannel implements AutoCloseable {

  private static final Pattern POLL_REQUEST =
      Pattern.compile("GET /cmd/next\\?resume=(\\d{1,18})&block=(\\d{1,6}) ");
  private static final long MAX_BLOCK_MS = 5000;

  private final ServerSocket socket = new ServerSocket();
  private final List<String> events = new ArrayList<>();

  /** Listens at the address at once; calls are answered on threads of its own. */
  public FakeCommandChannel(InetSocketAddress at) throws IOException {
    socket.setReuseAddress(true);
    socket.bind(at, 256);
    FakeEngine.daemonThread(this::accept).start();
  }

  /**
   * The address that it listens at, as host:port; the port is the real one where 0 was asked for.
   */
  public String address() {
    return socket.getInetAddress().getHostAddress() + ':' + socket.getLocalPort();
  }

  /** The next event, as JSON without its number. */
  public synchronized void publish(String nodes) {
    events.add("{\"cursor\":" + (events.size() + 1) + ",\"nodes\":" + nodes + '}');
    notifyAll();
  }

  /** All that was told up to now, in the form of `known`. */
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
    long until = System.nanoTime() + Math.min(blockMs, MAX_BLOCK_MS) * 1_000_000;
    for (long left = blockMs;
        events.size() <= resume && left > 0;
        left = (until - System.nanoTime()) / 1_000_000) {
      wait(left);
    }
    return eventsAfter(resume);
  }

  private void accept() {
    try {
      while (true) {
        Socket one = socket.accept();
        FakeEngine.daemonThread(() -> serve(one)).start();
      }
    } catch (IOException e) {
      // closed
    }
  }

  private void serve(Socket one) {
    try (one) {
      DataInputStream in = new DataInputStream(one.getInputStream());
      while (true) {
        Matcher asked = POLL_REQUEST.matcher(FakeEngine.readHead(in));
        String answer =
            asked.lookingAt()
                ? FakeEngine.response(
                    "200 OK",
                    "",
                    awaitEvents(Integer.parseInt(asked.group(1)), Long.parseLong(asked.group(2))))
                : FakeEngine.response("404 Not Found", "", "");
        one.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
      }
    } catch (IOException | InterruptedException e) {
      // the manager left
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}

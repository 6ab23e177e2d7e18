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
public final class StandInChannel implements AutoCloseable {

  private static final Pattern ASKED =
      Pattern.compile("GET /cmd/next\\?resume=(\\d{1,18})&block=(\\d{1,6}) ");
  private static final long LONGEST_BLOCK_MS = 5000;

  private final ServerSocket socket = new ServerSocket();
  private final List<String> events = new ArrayList<>();

  /** Starts to listen at the address; each connection is served on its own thread. */
  public StandInChannel(InetSocketAddress address) throws IOException {
    socket.setReuseAddress(true);
    socket.bind(address, 256);
    StandInEngine.thread(this::accept).start();
  }

  /** The address that it listens at, as host:port, with the actual port if 0 was requested. */
  public String address() {
    return socket.getInetAddress().getHostAddress() + ':' + socket.getLocalPort();
  }

  /** Publishes an event, given as JSON without its number. */
  public synchronized void tell(String nodes) {
    events.add("{\"cursor\":" + (events.size() + 1) + ",\"nodes\":" + nodes + '}');
    notifyAll();
  }

  /** All events up to now, in the form of the configuration's field {@code known}. */
  public synchronized String known() {
    return after(0);
  }

  private String after(int number) {
    return "{\"cursor\":"
        + Math.max(number, events.size())
        + ",\"cmds\":["
        + String.join(",", events.subList(Math.min(number, events.size()), events.size()))
        + "]}";
  }

  private synchronized String next(int resume, long blockMs) throws InterruptedException {
    long deadline = System.nanoTime() + Math.min(blockMs, LONGEST_BLOCK_MS) * 1_000_000;
    for (long remainingMs = blockMs;
        events.size() <= resume && remainingMs > 0;
        remainingMs = (deadline - System.nanoTime()) / 1_000_000) {
      wait(remainingMs);
    }
    return after(resume);
  }

  private void accept() {
    try {
      while (true) {
        Socket connection = socket.accept();
        StandInEngine.thread(() -> serve(connection)).start();
      }
    } catch (IOException e) {
      // The socket was closed.
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      DataInputStream in = new DataInputStream(connection.getInputStream());
      while (true) {
        Matcher request = ASKED.matcher(StandInEngine.head(in));
        String response =
            request.lookingAt()
                ? StandInEngine.say(
                    "200 OK",
                    "",
                    next(Integer.parseInt(request.group(1)), Long.parseLong(request.group(2))))
                : StandInEngine.say("404 Not Found", "", "");
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

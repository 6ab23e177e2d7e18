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

/** A command channel: numbered events, told by long polls. */
final class Channel {

  private static final Pattern CALL = Pattern.compile("GET /cmd/next\\?resume=(\\d+)&block=(\\d+) ");
  private final List<String> events = new ArrayList<>();
  private final ServerSocket socket = new ServerSocket();
  private int revision;

  Channel() throws IOException {
    socket.bind(new InetSocketAddress("127.0.0.1", 0), 100);
    Bench.daemon(
        () -> {
          try {
            while (true) {
              Socket connection = socket.accept();
              Bench.daemon(() -> serve(connection));
            }
          } catch (IOException e) {
            // closed
          }
        });
  }

  String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  static String member(Engine engine, String phase, long upSinceMs) {
    return "{\"id\":\"" + engine.id + "\",\"host_port\":\"" + engine.address()
        + "\",\"locality\":\"here\",\"flavor\":\"eight-core\",\"cell\":0,\"phase\":\"" + phase
        + "\",\"size\":1,\"up_since_ms\":" + upSinceMs + "}";
  }

  /** Adds an event; the first one must be complete. */
  synchronized void tell(boolean complete, List<String> members) {
    int number = events.size() + 1;
    events.add("{\"cursor\":" + number + ",\"nodes\":{\"revision\":" + ++revision + ",\"complete\":"
        + complete + ",\"members\":[" + String.join(",", members) + "]}}");
    notifyAll();
  }

  /** The events so far, in the form of `known`. */
  synchronized String known() {
    return after(0);
  }

  private String after(int number) {
    int from = Math.min(number, events.size());
    return "{\"cursor\":" + Math.max(number, events.size()) + ",\"cmds\":["
        + String.join(",", events.subList(from, events.size())) + "]}";
  }

  private synchronized String await(int number, long blockMs) throws InterruptedException {
    long until = System.nanoTime() + Math.min(blockMs, 5000) * 1_000_000;
    for (long left = blockMs; events.size() <= number && left > 0; left = (until - System.nanoTime()) / 1_000_000) {
      wait(left);
    }
    return after(number);
  }

  private void serve(Socket connection) {
    try (connection) {
      connection.setTcpNoDelay(true);
      DataInputStream in = new DataInputStream(connection.getInputStream());
      while (true) {
        Matcher call = CALL.matcher(Engine.readHead(in));
        byte[] body =
            (call.lookingAt() ? await(Integer.parseInt(call.group(1)), Long.parseLong(call.group(2))) : "")
                .getBytes(StandardCharsets.UTF_8);
        byte[] head = Bench.ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        connection.getOutputStream().write(all);
      }
    } catch (IOException | InterruptedException e) {
      // The manager closed the connection.
    }
  }
}

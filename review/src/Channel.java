import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The command channel: numbered events, served to long polls. */
final class Channel {
  private static final Pattern POLL = Pattern.compile("resume=(\\d+)&block=(\\d+)");
  private final Recorder record;
  private final int port;
  private final List<String> events = new ArrayList<>();
  // How much later than it is due each answer comes.
  volatile long answerDelayMs;

  Channel(Recorder record) throws IOException {
    this.record = record;
    ServerSocket server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
    port = server.getLocalPort();
    Threads.start(
        () -> {
          try {
            while (true) {
              Socket socket = server.accept();
              socket.setTcpNoDelay(true);
              Threads.start(() -> serve(socket));
            }
          } catch (IOException e) {
            record.line("channel accepts no more: %s", e);
          }
        });
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  /** Publishes an event: members as JSON objects, separated by commas. */
  synchronized void publish(boolean complete, String members) {
    int number = events.size() + 1;
    events.add(
        "{\"cursor\":"
            + number
            + ",\"nodes\":{\"revision\":"
            + number
            + ",\"complete\":"
            + complete
            + ",\"members\":["
            + members
            + "]}}");
    record.line("channel event %d: %s", number, members);
    notifyAll();
  }

  synchronized String after(int number) {
    return "{\"cursor\":"
        + Math.max(number, events.size())
        + ",\"cmds\":["
        + String.join(",", events.subList(Math.min(number, events.size()), events.size()))
        + "]}";
  }

  private void serve(Socket socket) {
    try (socket) {
      while (true) {
        Http.Request request = Http.read(socket.getInputStream());
        Matcher poll = POLL.matcher(request.path());
        if (!poll.find()) {
          return;
        }
        int resume = Integer.parseInt(poll.group(1));
        long until =
            System.nanoTime() + Math.min(5000, Long.parseLong(poll.group(2))) * 1_000_000L;
        String body;
        synchronized (this) {
          while (events.size() <= resume && System.nanoTime() < until) {
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
          }
          body = after(resume);
        }
        long delay = answerDelayMs;
        if (delay > 0) {
          Thread.sleep(delay);
        }
        socket.getOutputStream().write(Http.response("200 OK", "", body));
        if (body.contains("nodes")) {
          record.line("channel wrote an answer with the events after %d", resume);
        }
      }
    } catch (IOException | InterruptedException e) {
      // The manager closed the connection.
    }
  }
}

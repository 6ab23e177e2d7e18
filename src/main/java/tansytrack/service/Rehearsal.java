package tansytrack.service;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import tansytrack.settings.ManagerConfig;
import tansytrack.wire.Json;
import tansytrack.wire.ProtocolException;

/**
 * A short run of the whole manager on loopback, between a simulated engine and a simulated client.
 * A class data sharing archive that is created when the JVM exits contains the classes that serving
 * needs; without it, a manager on a fraction of a core loads and links classes for seconds.
 */
final class Rehearsal {

  private static final int TASKS = 200;

  /** Limit for one answer; after it the rehearsal ends early. */
  private static final int ANSWER_TIMEOUT_MS = 2000;

  private static final String PAGE = "a\tb\tc\n".repeat(40);

  private Rehearsal() {}

  /**
   * Runs the rehearsal with the settings of the configuration and returns the number of tasks
   * handled. If only some are handled, the archive is smaller, but valid.
   */
  static long run(ManagerConfig config) throws ProtocolException, InterruptedException {
    try (ServerSocket engine = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      startDaemonThread(() -> acceptConnections(engine));
      String address = "127.0.0.1:" + engine.getLocalPort();
      String knownEngines =
          "{\"cursor\":1,\"cmds\":[{\"cursor\":1,\"nodes\":{\"complete\":true,"
              + "\"members\":[{\"id\":\"e\","
              + "\"host_port\":\""
              + address
              + "\",\"phase\":\"ready\",\"locality\":\""
              + config.settings().zone()
              + "\",\"flavor\":\""
              + config.settings().engineTypes().keySet().iterator().next()
              + "\"}]}}]}";
      Service service =
          new Service(
              config.withAddresses(
                  "127.0.0.1:0",
                  address,
                  Json.parse(knownEngines.getBytes(StandardCharsets.UTF_8))));
      InetSocketAddress managerAddress = service.listen();
      Thread client = startDaemonThread(() -> runClient(managerAddress, config));
      Thread loop =
          startDaemonThread(
              () -> {
                try {
                  service.run();
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              });
      client.join();
      service.terminate();
      loop.join();
      return service.tasksHandled();
    } catch (IOException e) {
      System.err.println("tansytrack: rehearsal ended early: " + e);
      return 0;
    }
  }

  private static Thread startDaemonThread(Runnable task) {
    Thread thread = new Thread(task, "rehearsal");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static void acceptConnections(ServerSocket engine) {
    try {
      while (true) {
        Socket connection = engine.accept();
        startDaemonThread(() -> serveConnection(connection));
      }
    } catch (IOException e) {
      // the server socket was closed at the end of the rehearsal
    }
  }

  /**
   * Answers as an engine and as the command channel. POST starts a query, which is at first
   * reported as still running; {@code /cmd/} is a poll of the command channel, which reports no new
   * events; {@code GET /o/.../0} is a poll of a query, which returns the first of two pages, and
   * any other {@code GET /o/} fetches the second page. A GET elsewhere is a probe. What remains is
   * a DELETE, which cancels a query, or a PUT, which changes a priority.
   */
  private static void serveConnection(Socket connection) {
    try (connection) {
      DataInputStream in = new DataInputStream(connection.getInputStream());
      while (true) {
        String head = readHead(in);
        in.skipNBytes(contentLength(head));
        String answer =
            head.indexOf("POST") == 0
                ? response("202 Accepted", "", "")
                : head.indexOf("/cmd/") > 0
                    ? response("200 OK", "", "{\"cursor\":1,\"cmds\":[]}")
                    : head.indexOf("/0 HTTP") > 0
                        ? response(
                            "200 OK", "Page-Count: 2\r\nWork-Ms: 5.5\r\nPeak-Mb: 2.5\r\n", PAGE)
                        : head.indexOf("GET /o/") == 0
                            ? response("200 OK", "Page-No: 1\r\n", PAGE)
                            : head.indexOf("GET") == 0
                                ? response("200 OK", "X-Load: inflight:7;util:0.61\r\n", "")
                                : "HTTP/1.1 204 No Content\r\n\r\n";
        connection.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
      }
    } catch (IOException e) {
      // the connection was closed
    }
  }

  /** Reads the head of the next request, with the blank line that ends it. */
  static String readHead(DataInputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) in.readUnsignedByte());
    }
    return head.toString();
  }

  /** Returns the length of the body that follows the head. */
  static int contentLength(String head) {
    int start = head.indexOf("Content-Length: ");
    return start < 0
        ? 0
        : Integer.parseInt(head.substring(start + 16, head.indexOf("\r\n", start)));
  }

  /** Returns an HTTP response; each of the header fields ends with CR LF. */
  static String response(String status, String fields, String body) {
    return "HTTP/1.1 "
        + status
        + "\r\n"
        + fields
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /** Runs the client: a session that sends an empty query, SHOW STATS, and then tasks. */
  private static void runClient(InetSocketAddress managerAddress, ManagerConfig config) {
    try (Socket socket = new Socket()) {
      socket.connect(managerAddress);
      socket.setSoTimeout(ANSWER_TIMEOUT_MS);
      DataInputStream in = new DataInputStream(socket.getInputStream());
      socket.getOutputStream().write(ByteBuffer.allocate(8).putInt(8).putInt(3 << 16).array());
      awaitReadyForQuery(in);
      for (int i = 0; i < TASKS; i++) {
        int classIndex = i % config.settings().queryClasses().size();
        String text =
            i == 0
                ? ";"
                : i == 1
                    ? "show stats"
                    : "/* class="
                        + config.settings().queryClasses().get(classIndex).name()
                        + ",id="
                        + String.format("%016x", i)
                        + ",wait="
                        + ANSWER_TIMEOUT_MS
                        + ",tenant="
                        + config.settings().tenants().get(0).name()
                        + ",cost=5.0,mb=1,key=00000000000000a1 */"
                        + " SELECT day, count(*) FROM sales_"
                        + classIndex
                        + ".orders WHERE tag = '3f9c' GROUP BY day";
        byte[] body = (text + '\0').getBytes(StandardCharsets.UTF_8);
        socket
            .getOutputStream()
            .write(
                ByteBuffer.allocate(5 + body.length)
                    .put((byte) 'Q')
                    .putInt(4 + body.length)
                    .put(body)
                    .array());
        awaitReadyForQuery(in);
      }
    } catch (IOException e) {
      System.err.println("tansytrack: client of the rehearsal ended early: " + e);
    }
  }

  /** Reads messages up to the next ReadyForQuery. */
  private static void awaitReadyForQuery(DataInputStream in) throws IOException {
    int type;
    do {
      type = in.readUnsignedByte();
      in.skipNBytes(in.readInt() - 4);
    } while (type != 'Z');
  }
}

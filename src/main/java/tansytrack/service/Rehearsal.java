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
 * One short run of the whole manager on loopback, between an engine and a client made up here, so
 * that an archive of class data made at its end holds what serving needs: a manager on part of a
 * core loads and links for seconds otherwise.
 */
final class Rehearsal {

  private static final int TASKS = 200;
  private static final int ANSWER_TIMEOUT_MS =
      2000; // for one answer; then the rehearsal ends with what it has
  private static final String PAGE = "a\tb\tc\n".repeat(40);

  private Rehearsal() {}

  /**
   * Plays it with the settings of that configuration and gives the tasks handled; few only make the
   * archive smaller.
   */
  static long run(ManagerConfig config) throws ProtocolException, InterruptedException {
    try (ServerSocket engine = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      startDaemonThread(() -> acceptConnections(engine));
      String address = "127.0.0.1:" + engine.getLocalPort();
      String known =
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
                  "127.0.0.1:0", address, Json.parse(known.getBytes(StandardCharsets.UTF_8))));
      InetSocketAddress at = service.listen();
      Thread client = startDaemonThread(() -> runClient(at, config));
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
      System.err.println("tansytrack: the rehearsal ended early: " + e);
      return 0;
    }
  }

  private static Thread startDaemonThread(Runnable what) {
    Thread thread = new Thread(what, "rehearsal");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static void acceptConnections(ServerSocket engine) {
    try {
      while (true) {
        Socket one = engine.accept();
        startDaemonThread(() -> serveConnection(one));
      }
    } catch (IOException e) {
      // the rehearsal is over
    }
  }

  /**
   * Each query is said to run on at first; its result has two pages. The command channel has
   * nothing new.
   */
  private static void serveConnection(Socket one) {
    try (one) {
      DataInputStream in = new DataInputStream(one.getInputStream());
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
        one.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
      }
    } catch (IOException e) {
      // closed
    }
  }

  /** The head of the next call, up to its blank line. */
  static String readHead(DataInputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) in.readUnsignedByte());
    }
    return head.toString();
  }

  /** The length of the body behind it. */
  static int contentLength(String head) {
    int at = head.indexOf("Content-Length: ");
    return at < 0 ? 0 : Integer.parseInt(head.substring(at + 16, head.indexOf("\r\n", at)));
  }

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

  private static void runClient(InetSocketAddress at, ManagerConfig config) {
    try (Socket socket = new Socket()) {
      socket.connect(at);
      socket.setSoTimeout(ANSWER_TIMEOUT_MS);
      DataInputStream in = new DataInputStream(socket.getInputStream());
      socket.getOutputStream().write(ByteBuffer.allocate(8).putInt(8).putInt(3 << 16).array());
      awaitReadyForQuery(in);
      for (int i = 0; i < TASKS; i++) {
        int grade = i % config.settings().queryClasses().size();
        String text =
            i == 0
                ? ";"
                : i == 1
                    ? "show stats"
                    : "/* class="
                        + config.settings().queryClasses().get(grade).name()
                        + ",id="
                        + String.format("%016x", i)
                        + ",wait="
                        + ANSWER_TIMEOUT_MS
                        + ",tenant="
                        + config.settings().tenants().get(0).name()
                        + ",cost=5.0,mb=1,key=00000000000000a1 */"
                        + " SELECT day, count(*) FROM sales_"
                        + grade
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
      System.err.println("tansytrack: the rehearsal's client ended early: " + e);
    }
  }

  /** Reads up to the next ReadyForQuery. */
  private static void awaitReadyForQuery(DataInputStream in) throws IOException {
    int type;
    do {
      type = in.readUnsignedByte();
      in.skipNBytes(in.readInt() - 4);
    } while (type != 'Z');
  }
}

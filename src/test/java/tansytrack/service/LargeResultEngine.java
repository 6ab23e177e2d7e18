package tansytrack.service;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

/** An engine whose queries all end at the same moment, with results of the maximum size. */
final class LargeResultEngine implements AutoCloseable {

  private static final int PAGES = 8;
  private static final int ROWS_OF_A_PAGE = 1000;
  private static final String PAGE = "1\t2\t3\n".repeat(ROWS_OF_A_PAGE);

  /** What ends each result. */
  static final String COMMAND_TAG = "SELECT " + PAGES * ROWS_OF_A_PAGE;

  private final ServerSocket socket = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());
  private final CountDownLatch queries;

  /**
   * Starts the engine.
   *
   * @param queryCount the number of queries that it waits for
   */
  LargeResultEngine(int queryCount) throws IOException {
    queries = new CountDownLatch(queryCount);
    daemon(this::accept);
  }

  String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  private static void daemon(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket connection = socket.accept();
        daemon(() -> serve(connection));
      }
    } catch (IOException e) {
      // the server socket was closed
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      DataInputStream in = new DataInputStream(connection.getInputStream());
      while (true) {
        String head = Rehearsal.readHead(in);
        byte[] statement = new byte[Rehearsal.contentLength(head)];
        in.readFully(statement);
        connection
            .getOutputStream()
            .write(answer(head.split(" ")[1], statement.length).getBytes(StandardCharsets.UTF_8));
      }
    } catch (IOException e) {
      // the connection was closed
    }
  }

  private String answer(String path, int statementBytes) {
    if (statementBytes > 0) {
      queries.countDown();
    }
    if (path.startsWith("/cmd")) {
      return Rehearsal.response("200 OK", "", "{\"cursor\":0,\"cmds\":[]}");
    }
    int number = path.equals("/o") ? 0 : Integer.parseInt(path.substring(path.length() - 1));
    if (number == 0 && queries.getCount() > 0) {
      return Rehearsal.response("202 Accepted", "", "");
    }
    String field = number == 0 ? "Page-Count: " + PAGES : "Page-No: " + number;
    return Rehearsal.response("200 OK", field + "\r\n", PAGE);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}

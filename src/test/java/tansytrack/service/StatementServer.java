package tansytrack.service;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;

/**
 * An HTTP server that plays the engine and the command channel. The text of a statement selects how
 * the engine answers it.
 */
final class StatementServer implements AutoCloseable {

  final ServerSocket socket;
  final List<String> requests = new CopyOnWriteArrayList<>();
  final List<Socket> connections = new CopyOnWriteArrayList<>();
  final CountDownLatch deleteReceived = new CountDownLatch(1);
  final CountDownLatch postAnswered = new CountDownLatch(1);
  volatile String statement = "";
  volatile String channelAnswer = "";
  volatile boolean repeatsChannelAnswer;

  /** Number of the poll that the statement "late" leaves unanswered. */
  volatile int unansweredPoll;

  volatile int polls;
  volatile int pageRequests;

  /** Whether DELETE requests stay unanswered. */
  volatile boolean ignoresDelete;

  /** Delay in milliseconds of the answer to a channel's first poll. */
  volatile long firstPollDelayMs;

  StatementServer() {
    try {
      socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    new Thread(this::accept).start();
  }

  String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  private void accept() {
    try {
      while (true) {
        Socket connection = socket.accept();
        connections.add(connection);
        new Thread(() -> serve(connection)).start();
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
        byte[] body = new byte[Rehearsal.contentLength(head)];
        in.readFully(body);
        String requestLine = head.substring(0, head.indexOf(" HTTP"));
        if (requestLine.startsWith("POST")) {
          statement = new String(body, StandardCharsets.UTF_8);
        }
        requests.add(
            requestLine.startsWith("POST")
                ? requestLine + ' ' + statement + '\n' + head
                : requestLine);
        String answer = answer(requestLine);
        if (answer.equals("cut")) {
          return;
        }
        if (!answer.equals("silent")) {
          connection.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
        }
        (requestLine.startsWith("POST") ? postAnswered : new CountDownLatch(1)).countDown();
      }
    } catch (IOException e) {
      // the connection was closed
    }
  }

  private String crash() {
    try {
      close();
    } catch (IOException e) {
      // treated as closed
    }
    return "cut";
  }

  private static String response(String status, String fields, String body) {
    return Rehearsal.response(status, fields, body);
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // requests are answered one at a time
  private String answer(String requestLine) {
    if (requestLine.startsWith("GET /cmd")) {
      return channelAnswer(requestLine);
    }
    if (requestLine.startsWith("DELETE")) {
      deleteReceived.countDown();
      return ignoresDelete ? "silent" : response("204 No Content", "", "");
    }
    boolean poll = requestLine.startsWith("POST") || requestLine.endsWith("/0");
    polls += poll ? 1 : 0;
    pageRequests += poll ? 0 : 1;
    return answerToStatement(requestLine, poll);
  }

  private String channelAnswer(String requestLine) {
    String answer = channelAnswer;
    channelAnswer = repeatsChannelAnswer ? answer : "";
    boolean first = requestLine.endsWith("&block=1");
    if (first && firstPollDelayMs > 0) {
      LockSupport.parkNanos(firstPollDelayMs * 1_000_000L);
    }
    return !answer.isEmpty()
        ? response("200 OK", "", answer)
        : !first ? "silent" : response("200 OK", "", "{\"cursor\":0,\"cmds\":[]}");
  }

  private String answerToStatement(String requestLine, boolean poll) {
    String headers = "Page-Count: 1\r\nWork-Ms: 5.5\r\nPeak-Mb: 2\r\n";
    String result = response("200 OK", headers, "a\tb\tc\n");
    int stalledRequests = statement.equals("stalldie") ? 1 : 0;
    return switch (statement) {
      case "die", "stalldie" ->
          polls <= stalledRequests
              ? "silent"
              : polls < stalledRequests + 3 ? response("202 Accepted", "", "") : crash();
      case "ok" -> response("200 OK", headers, "a\tb\tc\n\t\t\n");
      case "late" ->
          polls == unansweredPoll
              ? "silent"
              : polls < 4
                  ? response("202 Accepted", "", "")
                  : response("200 OK", headers, "1\t2\t3\n");
      case "full" -> response("503 Full", "X-Not-Run: 1\r\n", "");
      case "fullonce" ->
          polls < 2
              ? response("503 Full", "X-Not-Run: 1\r\n", "")
              : response("200 OK", headers, "");
      case "past" -> response("504 Over", "X-Not-Run: 1\r\n", "");
      case "error" -> response("500 No", "", "");
      case "found" -> polls < 2 ? "cut" : response("200 OK", headers, "f\tf\tf\n");
      case "cutlate" ->
          polls == 1
              ? response("202 Accepted", "", "")
              : polls == 2 ? "cut" : response("200 OK", headers, "g\tg\tg\n");
      case "restarted" ->
          polls < 2
              ? "cut"
              : polls == 2 ? response("500 No", "", "") : response("200 OK", headers, "");
      case "noise" -> polls < 4 ? "x".repeat(9000 * polls) : result;
      case "endless" ->
          polls < 2 ? "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx" : result;
      case "short" ->
          polls < 2 ? "HTTP/1.1 200 OK\r\nPage-Count: 1\r\nContent-Length: 60\r\n\r\na" : result;
      case "wronglength" -> polls < 2 ? result.replace("Length: 6", "Length: 0") : result;
      case "hints" -> "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 100 Go\r\n\r\n" + result;
      case "twice" -> result + result;
      case "never" -> polls < 3 ? "silent" : result;
      case "cut" -> "cut";
      case "junk" -> "HTTP/9 whatever\r\n\r\n";
      case "twocolumns" -> response("200 OK", headers, "a\tb\n");
      case "halfrow" -> response("200 OK", headers, "a\tb\tc");
      case "manypages" -> response("200 OK", "Page-Count: 1000000\r\n", "a\tb\tc\n");
      case "badnumber" -> response("200 OK", "Page-Count: x\r\n", "a\tb\tc\n");
      default -> answerInPages(requestLine, poll, result);
    };
  }

  private String answerInPages(String requestLine, boolean poll, String goodResult) {
    return switch (statement) {
      case "forgotten" -> polls < 2 ? goodResult : response("404 Not Found", "", "");
      case "pages" ->
          poll
              ? response("200 OK", "Page-Count: 3\r\n", "a\tb\tc\n")
              : response(
                  "200 OK",
                  "Page-No: " + requestLine.charAt(requestLine.length() - 1) + "\r\n",
                  "d\te\tf\n");
      case "spoiltpage" ->
          poll
              ? response("200 OK", "Page-Count: 2\r\n", "a\tb\tc\n")
              : pageRequests == 1
                  ? "cut"
                  : pageRequests == 2
                      ? goodResult
                      : response("200 OK", "Page-No: 1\r\n", "d\te\tf\n");
      case "cutpage" -> poll ? response("200 OK", "Page-Count: 2\r\n", "a\tb\tc\n") : "cut";
      case "lostpage" ->
          poll ? response("200 OK", "Page-Count: 2\r\n", "a\tb\tc\n") : response("500 No", "", "");
      default -> "silent";
    };
  }

  @Override
  public void close() throws IOException {
    socket.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }
}

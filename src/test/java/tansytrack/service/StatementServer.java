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

/** An HTTP server that answers as the statement that it is sent names; the command channel too. */
final class StatementServer implements AutoCloseable {

  final ServerSocket socket;
  final List<String> calls = new CopyOnWriteArrayList<>();
  final List<Socket> open = new CopyOnWriteArrayList<>();
  final CountDownLatch deleted = new CountDownLatch(1);
  final CountDownLatch posted = new CountDownLatch(1);
  volatile String statement = "";
  volatile String list = "";
  volatile boolean keepsList;
  volatile int lastNews; // the question that this one leaves open
  volatile int asked;
  volatile int pagesAsked;
  volatile boolean mute; // to DELETE
  volatile long firstDelay; // ms that the first question for the list waits

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
        Socket one = socket.accept();
        open.add(one);
        new Thread(() -> serve(one)).start();
      }
    } catch (IOException e) {
      // closed
    }
  }

  private void serve(Socket one) {
    try (one) {
      DataInputStream in = new DataInputStream(one.getInputStream());
      while (true) {
        String head = Rehearsal.readHead(in);
        byte[] body = new byte[Rehearsal.contentLength(head)];
        in.readFully(body);
        String call = head.substring(0, head.indexOf(" HTTP"));
        if (call.startsWith("POST")) {
          statement = new String(body, StandardCharsets.UTF_8);
        }
        calls.add(call.startsWith("POST") ? call + ' ' + statement + '\n' + head : call);
        String answer = answer(call);
        if (answer.equals("cut")) {
          return;
        }
        if (!answer.equals("silent")) {
          one.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
        }
        (call.startsWith("POST") ? posted : new CountDownLatch(1)).countDown();
      }
    } catch (IOException e) {
      // gone
    }
  }

  private String die() {
    try {
      close();
    } catch (IOException e) {
      // as good as closed
    }
    return "cut";
  }

  private static String say(String status, String fields, String body) {
    return Rehearsal.response(status, fields, body);
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // one call is answered at a time
  private String answer(String call) {
    if (call.startsWith("GET /cmd")) {
      return list(call);
    }
    if (call.startsWith("DELETE")) {
      deleted.countDown();
      return mute ? "silent" : say("204 No Content", "", "");
    }
    boolean news = call.startsWith("POST") || call.endsWith("/0");
    asked += news ? 1 : 0;
    pagesAsked += news ? 0 : 1;
    return answerToStatement(call, news);
  }

  private String list(String call) {
    String told = list;
    list = keepsList ? told : "";
    boolean first = call.endsWith("&block=1");
    if (first && firstDelay > 0) {
      LockSupport.parkNanos(firstDelay * 1_000_000L);
    }
    return !told.isEmpty()
        ? say("200 OK", "", told)
        : !first ? "silent" : say("200 OK", "", "{\"cursor\":0,\"cmds\":[]}");
  }

  private String answerToStatement(String call, boolean news) {
    String done = "Page-Count: 1\r\nWork-Ms: 5.5\r\nPeak-Mb: 2\r\n";
    String good = say("200 OK", done, "a\tb\tc\n");
    int stalls = statement.equals("stalldie") ? 1 : 0;
    return switch (statement) {
      case "die", "stalldie" ->
          asked <= stalls ? "silent" : asked < stalls + 3 ? say("202 Accepted", "", "") : die();
      case "ok" -> say("200 OK", done, "a\tb\tc\n\t\t\n");
      case "late" ->
          asked == lastNews
              ? "silent"
              : asked < 4 ? say("202 Accepted", "", "") : say("200 OK", done, "1\t2\t3\n");
      case "full" -> say("503 Full", "X-Not-Run: 1\r\n", "");
      case "fullonce" ->
          asked < 2 ? say("503 Full", "X-Not-Run: 1\r\n", "") : say("200 OK", done, "");
      case "past" -> say("504 Over", "X-Not-Run: 1\r\n", "");
      case "error" -> say("500 No", "", "");
      case "found" -> asked < 2 ? "cut" : say("200 OK", done, "f\tf\tf\n");
      case "cutlate" ->
          asked == 1
              ? say("202 Accepted", "", "")
              : asked == 2 ? "cut" : say("200 OK", done, "g\tg\tg\n");
      case "restarted" ->
          asked < 2 ? "cut" : asked == 2 ? say("500 No", "", "") : say("200 OK", done, "");
      case "noise" -> asked < 4 ? "x".repeat(9000 * asked) : good;
      case "endless" -> asked < 2 ? "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx" : good;
      case "short" ->
          asked < 2 ? "HTTP/1.1 200 OK\r\nPage-Count: 1\r\nContent-Length: 60\r\n\r\na" : good;
      case "wronglength" -> asked < 2 ? good.replace("Length: 6", "Length: 0") : good;
      case "hints" -> "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 100 Go\r\n\r\n" + good;
      case "twice" -> good + good;
      case "never" -> asked < 3 ? "silent" : good;
      case "cut" -> "cut";
      case "junk" -> "HTTP/9 whatever\r\n\r\n";
      case "twocolumns" -> say("200 OK", done, "a\tb\n");
      case "halfrow" -> say("200 OK", done, "a\tb\tc");
      case "manypages" -> say("200 OK", "Page-Count: 1000000\r\n", "a\tb\tc\n");
      case "badnumber" -> say("200 OK", "Page-Count: x\r\n", "a\tb\tc\n");
      default -> answerInPages(call, news, good);
    };
  }

  private String answerInPages(String call, boolean news, String good) {
    return switch (statement) {
      case "pages" ->
          news
              ? say("200 OK", "Page-Count: 3\r\n", "a\tb\tc\n")
              : say("200 OK", "Page-No: " + call.charAt(call.length() - 1) + "\r\n", "d\te\tf\n");
      case "spoiltpage" ->
          news
              ? say("200 OK", "Page-Count: 2\r\n", "a\tb\tc\n")
              : pagesAsked == 1
                  ? "cut"
                  : pagesAsked == 2 ? good : say("200 OK", "Page-No: 1\r\n", "d\te\tf\n");
      case "cutpage" -> news ? say("200 OK", "Page-Count: 2\r\n", "a\tb\tc\n") : "cut";
      case "lostpage" ->
          news ? say("200 OK", "Page-Count: 2\r\n", "a\tb\tc\n") : say("500 No", "", "");
      default -> "silent";
    };
  }

  @Override
  public void close() throws IOException {
    socket.close();
    for (Socket one : open) {
      one.close();
    }
  }
}

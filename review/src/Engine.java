import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An engine as PROTOCOL.md describes it. A statement names its run time in a string literal
 * ('run=NNN', in milliseconds); the rows of its result name the engine and the id of
 * the request.
 */
final class Engine {
  private static final Pattern RUN = Pattern.compile("run=(\\d+)");
  private static final int PAGE_BYTES = 6_000;
  private static final int ROWS = 20;
  private static final int MIN_COPY_DELAY_MS = 2;
  private static final int MAX_COPY_DELAY_MS = 8;

  /** Receives what the engine runs. */
  interface Listener {
    /** A statement has come whole and starts. */
    default void started(String engine, String id, String statementClass, String statement) {}

    /** A statement ended well, was deleted, or was dropped because nobody asked for it. */
    default void ended(String engine, String id, String how) {}
  }

  private static final class Query {
    final String id;
    final long endsAt;
    long askedAt = System.nanoTime();
    boolean good;
    boolean given;
    List<String> pages;

    Query(String id, long runMs) {
      this.id = id;
      endsAt = System.nanoTime() + runMs * 1_000_000;
    }
  }

  final String id;
  private final int port;
  private final Recorder record;
  private final Listener listener;
  private final Map<String, Query> queries = new HashMap<>();
  // The share of good answers that come twice, and how much later the second one comes.
  volatile double secondCopies;
  volatile int copiesSent;
  private final Random random;

  Engine(String id, Recorder record, Listener listener) throws IOException {
    this.id = id;
    this.record = record;
    this.listener = listener;
    random = new Random(id.hashCode());
    ServerSocket server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
    port = server.getLocalPort();
    Threads.start(() -> accept(server));
    Threads.start(this::watch);
  }

  InetSocketAddress address() {
    return new InetSocketAddress("127.0.0.1", port);
  }

  String hostPort() {
    return "127.0.0.1:" + port;
  }

  private void accept(ServerSocket server) {
    try {
      while (true) {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        Threads.start(() -> serve(socket));
      }
    } catch (IOException e) {
      record.line("engine %s accepts no more: %s", id, e);
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      while (true) {
        Http.Request request = Http.read(socket.getInputStream());
        byte[] response = answer(request);
        OutputStream out = socket.getOutputStream();
        synchronized (out) {
          out.write(response);
        }
        if (response[9] == '2' && response[11] == '0') {
          maybeSendAgain(out, response);
        }
      }
    } catch (IOException | InterruptedException e) {
      // The other side closed the connection.
    }
  }

  /** Sends a second copy of a good answer some milliseconds later, where that is asked for. */
  private void maybeSendAgain(OutputStream out, byte[] response) {
    int delay;
    synchronized (random) {
      if (secondCopies <= 0 || random.nextDouble() >= secondCopies) {
        return;
      }
      delay = MIN_COPY_DELAY_MS + random.nextInt(MAX_COPY_DELAY_MS - MIN_COPY_DELAY_MS + 1);
      copiesSent++;
    }
    Threads.start(
        () -> {
          try {
            Thread.sleep(delay);
            synchronized (out) {
              out.write(response);
            }
          } catch (IOException | InterruptedException e) {
            // The connection is closed.
          }
        });
  }

  private byte[] answer(Http.Request request) throws InterruptedException {
    if (request.path().equals("/stats") || request.path().equals("/alive")) {
      return Http.response("200 OK", load(), "");
    }
    if (request.method().equals("POST") && request.path().equals("/o")) {
      String query = request.fields().get("x-req");
      Matcher run = RUN.matcher(request.body());
      synchronized (this) {
        queries.put(query, new Query(query, run.find() ? Long.parseLong(run.group(1)) : 100));
      }
      record.line("engine %s starts %s %s", id, query, request.fields().get("x-class"));
      listener.started(id, query, request.fields().get("x-class"), request.body());
      return news(query);
    }
    String[] parts = request.path().split("/");
    if (parts.length < 3 || !parts[1].equals("o")) {
      return Http.response("500 Internal Server Error", "", "");
    }
    return switch (request.method()) {
      case "GET" ->
          parts.length < 4 || parts[3].equals("0")
              ? news(parts[2])
              : page(parts[2], Integer.parseInt(parts[3]));
      case "DELETE" -> {
        end(parts[2], "deleted");
        yield Http.response("204 No Content", "", "");
      }
      default -> Http.response("204 No Content", "", "");
    };
  }

  private synchronized String load() {
    long open = queries.values().stream().filter(query -> !query.good).count();
    return String.format(
        Locale.ROOT,
        "X-Load: inflight:%d;x1:0.30;x0:%.2f\r\n",
        open,
        Math.min(0.9, open / 40.0));
  }

  /** Splits a result into pages of whole rows. */
  private static List<String> pages(String rows) {
    List<String> pages = new ArrayList<>();
    int from = 0;
    while (rows.length() - from > PAGE_BYTES) {
      int to = rows.lastIndexOf('\n', from + PAGE_BYTES - 1) + 1;
      pages.add(rows.substring(from, to));
      from = to;
    }
    pages.add(rows.substring(from));
    return pages;
  }

  /** Waits up to 250 ms for the end of a query. */
  private byte[] news(String queryId) throws InterruptedException {
    long until = System.nanoTime() + 250_000_000L;
    synchronized (this) {
      Query query = queries.get(queryId);
      while (query != null && !query.given) {
        query.askedAt = System.nanoTime();
        if (query.good) {
          return Http.response(
              "200 OK",
              "Page-Count: " + query.pages.size() + "\r\nWork-Ms: 200\r\nPeak-Mb: 8\r\n",
              query.pages.get(0));
        }
        long now = System.nanoTime();
        if (now >= until) {
          return Http.response("202 Accepted", "", "");
        }
        wait(Math.max(1, (until - now) / 1_000_000));
      }
    }
    return Http.response("500 Internal Server Error", "", "");
  }

  private synchronized byte[] page(String queryId, int number) {
    Query query = queries.get(queryId);
    if (query == null || !query.good || number >= query.pages.size()) {
      return Http.response("500 Internal Server Error", "", "");
    }
    query.askedAt = System.nanoTime();
    return Http.response("200 OK", "Page-No: " + number + "\r\n", query.pages.get(number));
  }

  private void end(String queryId, String how) {
    boolean ended;
    synchronized (this) {
      Query query = queries.remove(queryId);
      ended = query != null && !query.good;
      if (query != null) {
        query.given = true;
      }
      notifyAll();
    }
    if (ended) {
      record.line("engine %s ends %s: %s", id, queryId, how);
      listener.ended(id, queryId, how);
    }
  }

  /** Ends queries whose work is done, and drops those that nobody has asked for in 2 s. */
  private void watch() {
    try {
      while (true) {
        Thread.sleep(2);
        List<String> done = new ArrayList<>();
        List<String> dropped = new ArrayList<>();
        synchronized (this) {
          long now = System.nanoTime();
          for (Query query : queries.values()) {
            if (!query.good && now >= query.endsAt) {
              query.good = true;
              query.pages = pages((id + "\t" + query.id + "\tnone\n").repeat(ROWS));
              query.askedAt = now;
              done.add(query.id);
            } else if (now - query.askedAt > 2_000_000_000L) {
              dropped.add(query.id);
            }
          }
          if (!done.isEmpty()) {
            notifyAll();
          }
        }
        for (String query : done) {
          record.line("engine %s ends %s: good", id, query);
          listener.ended(id, query, "good");
        }
        for (String query : dropped) {
          end(query, "not asked for in 2 s");
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

package tansytrack.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against results that are served without their last rows: an engine told too small a length
 * for a page, and what came of it ended between two rows.
 */
class TruncatedPageTest {

  /** When the rest of a truncated page is written. */
  private enum Rest {
    WITH_THE_PAGE,
    /** As the manager has taken the page for complete, and has sent its next request. */
    BEHIND_THE_NEXT_REQUEST,
    NEVER,
    /** With the page, and each connection announces its end and ends behind its response. */
    BEFORE_THE_ANNOUNCED_END
  }

  private static final int PAGES = 3;

  /** An engine that truncates one page of each query, the first time that it is requested. */
  private static final class TruncatingEngine implements AutoCloseable {
    private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<String> pages;
    private final Rest rest;
    private final int truncatedPage;
    private final Set<Integer> truncatedAt = new HashSet<>();
    private volatile int length;

    TruncatingEngine(List<String> pages, int truncatedPage, Rest rest) throws IOException {
      this.pages = pages;
      this.truncatedPage = truncatedPage;
      this.rest = rest;
      new Thread(this::accept).start();
    }

    String address() {
      return "127.0.0.1:" + socket.getLocalPort();
    }

    private void accept() {
      try {
        while (true) {
          Socket connection = socket.accept();
          new Thread(() -> serve(connection)).start();
        }
      } catch (IOException e) {
        // the server socket was closed
      }
    }

    private void serve(Socket connection) {
      try (connection) {
        DataInputStream in = new DataInputStream(connection.getInputStream());
        String withheld = "";
        while (true) {
          String head = Rehearsal.readHead(in);
          in.skipNBytes(Rehearsal.contentLength(head));
          String answer = withheld + answer(head);
          withheld = "";
          int end = answer.indexOf(REST_MARK);
          if (end >= 0) {
            withheld = rest == Rest.NEVER ? "" : answer.substring(end + 1);
            answer = answer.substring(0, end);
          }
          if (rest == Rest.WITH_THE_PAGE || rest == Rest.BEFORE_THE_ANNOUNCED_END) {
            answer += withheld;
            withheld = "";
          }
          connection.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
          boolean announced = rest == Rest.BEFORE_THE_ANNOUNCED_END && !head.startsWith("GET /cmd");
          if (announced || (rest == Rest.NEVER && end >= 0)) {
            return;
          }
        }
      } catch (IOException e) {
        // the connection was closed
      }
    }

    private static final char REST_MARK = '\0';

    private synchronized String answer(String head) {
      if (head.startsWith("GET /cmd")) {
        return Rehearsal.response("200 OK", "", "{\"cursor\":0,\"cmds\":[]}");
      }
      String path = head.split(" ")[1];
      int number = path.equals("/o") ? 0 : Integer.parseInt(path.substring(path.length() - 1));
      String page = pages.get(number);
      String close = rest == Rest.BEFORE_THE_ANNOUNCED_END ? "Connection: close\r\n" : "";
      String response =
          Rehearsal.response(
              "200 OK",
              close
                  + (number == 0
                      ? "Page-Count: " + pages.size() + "\r\n"
                      : "Page-No: " + number + "\r\n"),
              page);
      if (number != truncatedPage || !truncatedAt.add(length)) {
        return response;
      }
      int bodyStart = response.length() - page.length();
      return response
              .substring(0, bodyStart)
              .replace("Content-Length: " + page.length(), "Content-Length: " + length)
          + page.substring(0, length)
          + REST_MARK
          + page.substring(length);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** Pages of four rows each; the rows begin with the given text. */
  private static List<String> pages(String rowStart) {
    List<String> pages = new ArrayList<>();
    for (int page = 0; page < PAGES; page++) {
      StringBuilder rows = new StringBuilder();
      for (int row = 0; row < 4; row++) {
        rows.append(rowStart).append('\t').append(page).append('\t').append(row).append('\n');
      }
      pages.add(rows.toString());
    }
    return pages;
  }

  private static String expectedAnswer(List<String> pages) {
    String rows = String.join("", pages);
    int count = rows.length() - rows.replace("\n", "").length();
    return rows.replace('\t', ',').replace('\n', ';') + "SELECT " + count;
  }

  /** A page is truncated at each of its bytes in turn, and each result is served whole. */
  private static void serveTruncatedAtEachByte(List<String> pages, int truncatedPage, Rest rest)
      throws Exception {
    try (TruncatingEngine engine = new TruncatingEngine(pages, truncatedPage, rest)) {
      ServiceFixture.RunningManager running =
          new ServiceFixture.RunningManager(ServiceFixture.config(engine.address()));
      try (ServiceTest.Client client = new ServiceTest.Client(running.address).startSession()) {
        for (int length = 0; length < pages.get(truncatedPage).length(); length++) {
          engine.length = length;
          String task = ServiceTest.Client.task("safe", String.format("%016x", length + 1), "ok");
          assertThat(client.query(task)).as("length %d", length).isEqualTo(expectedAnswer(pages));
        }
      } finally {
        running.stop();
      }
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"Head office", "HTTP/1.1 200 OK", "HTTP/1.1 100 Go", "x", ""})
  void theRestInTheSameReadFailsThePage(String rowStart) throws Exception {
    serveTruncatedAtEachByte(pages(rowStart), PAGES - 1, Rest.WITH_THE_PAGE);
    serveTruncatedAtEachByte(pages(rowStart), 1, Rest.WITH_THE_PAGE);
  }

  @ParameterizedTest
  @ValueSource(strings = {"Head office", "HTTP/1.1 200 OK", "HTTP/1.1 100 Go", "x", ""})
  void theRestInALaterReadFailsThePage(String rowStart) throws Exception {
    serveTruncatedAtEachByte(pages(rowStart), PAGES - 1, Rest.BEHIND_THE_NEXT_REQUEST);
    serveTruncatedAtEachByte(pages(rowStart), 1, Rest.BEHIND_THE_NEXT_REQUEST);
  }

  @ParameterizedTest
  @EnumSource(Rest.class)
  void aResultOfOnePageIsServedWhole(Rest rest) throws Exception {
    serveTruncatedAtEachByte(pages("Hajj desk").subList(0, 1), 0, rest);
  }

  /** A connection that ends behind a truncated page leaves the end of that page unconfirmed. */
  @Test
  void aPageThatItsConnectionDoesNotOutliveIsRequestedAgain() throws Exception {
    serveTruncatedAtEachByte(pages("Head office"), PAGES - 1, Rest.NEVER);
  }
}

package tansytrack.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.DummySession;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests a connection whose session accepts written data and has not counted it yet, as when the I/O
 * thread is within the write.
 */
class HttpConnectionTest implements HttpConnection.Pool, HttpConnection.ResponseHandler {

  private final List<HttpConnection.Failure> failures = new ArrayList<>();

  @Override
  public void connectionIdle(HttpConnection line) {}

  @Override
  public void connectionClosed(HttpConnection line) {}

  @Override
  public void responseReceived(HttpCodec.Response answer) {}

  @Override
  public void requestFailed(HttpConnection.Failure why) {
    failures.add(why);
  }

  /**
   * A request that may have been sent must not be reported as unsent: it would be sent again, and
   * the query would run twice.
   */
  @ParameterizedTest(name = "connected: {0}, closed by {1}: {2}")
  @CsvSource({
    "true, this side, BROKEN",
    "true, the I/O thread, UNSENT",
    "false, the I/O thread, UNSENT"
  })
  void submittedBytesCountAsPossiblySent(boolean up, String by, HttpConnection.Failure expected) {
    Sockets sockets = new Sockets(note -> {}, () -> 5);
    HttpConnection connection =
        new HttpConnection(sockets, new InetSocketAddress("127.0.0.1", 1), 1 << 16, null, this);
    if (up) {
      connection.connection().sessionOpened(new DummySession());
    }
    connection.send(HttpRequest.post("/o", () -> "", new byte[0]), this);
    if (by.equals("this side")) {
      // Bytes received before the request, which the loop processes only now.
      connection
          .connection()
          .received(IoBuffer.wrap("HTTP/1.1".getBytes(StandardCharsets.US_ASCII)), 4);
    } else {
      connection.connection().closeAndNotify();
    }
    assertThat(failures).containsExactly(expected);
    sockets.close();
  }
}

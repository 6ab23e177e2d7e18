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
 * A line whose session takes what it is handed, and has counted none of it yet: the system's thread
 * is in the write.
 */
class HttpLineTest implements HttpConnection.Pool, HttpConnection.ResponseHandler {

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

  /** Guards against a second copy: a call that may have left is made again as if none of it had. */
  @ParameterizedTest(name = "up: {0}, ended by {1}: {2}")
  @CsvSource({"true, us, BROKEN", "true, the system, UNSENT", "false, the system, UNSENT"})
  void whatWasHandedOverMayHaveLeft(boolean up, String by, HttpConnection.Failure told) {
    Sockets sockets = new Sockets(note -> {}, () -> 5);
    HttpConnection line =
        new HttpConnection(sockets, new InetSocketAddress("127.0.0.1", 1), 1 << 16, this);
    if (up) {
      line.connection().sessionOpened(new DummySession());
    }
    line.send("POST", "/o", "", new byte[0], this);
    if (by.equals("us")) {
      // Noise from before the call, which the loop reads only now.
      line.connection().received(IoBuffer.wrap("HTTP/1.1".getBytes(StandardCharsets.US_ASCII)), 4);
    } else {
      line.connection().closeAndNotify();
    }
    assertThat(failures).containsExactly(told);
    sockets.close();
  }
}

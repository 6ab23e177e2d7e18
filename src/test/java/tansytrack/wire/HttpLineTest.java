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
class HttpLineTest implements HttpLine.Holder, HttpLine.Caller {

  private final List<HttpLine.Failure> failures = new ArrayList<>();

  @Override
  public void free(HttpLine line) {}

  @Override
  public void lost(HttpLine line) {}

  @Override
  public void answered(Http.Answer answer) {}

  @Override
  public void failed(HttpLine.Failure why) {
    failures.add(why);
  }

  /**
   * A request that may have been sent must not be reported as unsent: it would be sent again, and the
   * query would run twice.
   */
  @ParameterizedTest(name = "connected: {0}, closed by {1}: {2}")
  @CsvSource({"true, this side, BROKEN", "true, the I/O thread, UNSENT", "false, the I/O thread, UNSENT"})
  void whatWasHandedOverMayHaveLeft(boolean up, String by, HttpLine.Failure told) {
    Sockets sockets = new Sockets(note -> {}, () -> 5);
    HttpLine line = new HttpLine(sockets, new InetSocketAddress("127.0.0.1", 1), 1 << 16, this);
    if (up) {
      line.connection().came(new DummySession());
    }
    line.call("POST", "/o", "", new byte[0], this);
    if (by.equals("this side")) {
      // Bytes received before the request, which the loop processes only now.
      line.connection().heard(IoBuffer.wrap("HTTP/1.1".getBytes(StandardCharsets.US_ASCII)), 4);
    } else {
      line.connection().drop();
    }
    assertThat(failures).containsExactly(told);
    sockets.close();
  }
}

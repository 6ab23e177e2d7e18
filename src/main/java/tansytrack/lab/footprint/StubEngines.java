package tansytrack.lab.footprint;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * A few HTTP listeners that stand in for thousands of engines: each responds at once for any engine
 * and reports that it is idle. Counts the bytes of load probes separately from those of tasks.
 */
final class StubEngines implements AutoCloseable {

  private static final AttributeKey UNPARSED_TEXT = new AttributeKey(StubEngines.class, "rest");
  private static final int LISTENER_COUNT = 4;
  private static final int BACKLOG = 4096;
  private static final int MAX_REQUEST_BYTES = 1 << 16;
  private static final String LOAD_HEADER = "X-Load: busy_reqs:0\r\n";
  private static final byte[] STATS_RESPONSE =
      bytes("HTTP/1.1 200 OK\r\n" + LOAD_HEADER + "Content-Length: 0\r\n\r\n");
  private static final String RESULT_ROWS = "monday\t12\tnone\n";
  private static final byte[] RESULT_RESPONSE =
      bytes(
          "HTTP/1.1 200 OK\r\nPage-Count: 1\r\nPeak-Mb: 1\r\nWork-Ms: 1.0\r\n"
              + LOAD_HEADER
              + "Content-Length: "
              + RESULT_ROWS.length()
              + "\r\n\r\n"
              + RESULT_ROWS);
  private static final byte[] NO_CONTENT_RESPONSE = bytes("HTTP/1.1 204 No Content\r\n\r\n");

  private final NioSocketAcceptor acceptor = new NioSocketAcceptor();
  private final List<String> addresses = new ArrayList<>();
  private final AtomicLong probes = new AtomicLong();
  private final AtomicLong probeBytesIn = new AtomicLong();
  private final AtomicLong probeBytesOut = new AtomicLong();
  private final AtomicLong tasks = new AtomicLong();

  StubEngines() throws IOException {
    acceptor.setReuseAddress(true);
    acceptor.setBacklog(BACKLOG);
    acceptor.getSessionConfig().setTcpNoDelay(true);
    acceptor.setHandler(new Handler());
    for (int number = 1; number <= LISTENER_COUNT; number++) {
      acceptor.bind(new InetSocketAddress("127.0.0." + number, 0));
    }
    acceptor.getLocalAddresses().stream()
        .map(InetSocketAddress.class::cast)
        .map(address -> address.getAddress().getHostAddress() + ':' + address.getPort())
        .sorted()
        .forEach(addresses::add);
  }

  /** Host and port of each listener. */
  List<String> addresses() {
    return addresses;
  }

  /** The number of load probes answered. */
  long probes() {
    return probes.get();
  }

  /** Bytes of probe requests, including heads. */
  long probeBytesIn() {
    return probeBytesIn.get();
  }

  /** Bytes of probe responses, including heads. */
  long probeBytesOut() {
    return probeBytesOut.get();
  }

  /** The number of tasks received. */
  long tasks() {
    return tasks.get();
  }

  /** The number of connections that are open now. */
  int connections() {
    return acceptor.getManagedSessionCount();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private final class Handler extends IoHandlerAdapter {

    @Override
    public void messageReceived(IoSession session, Object message) {
      IoBuffer buffer = (IoBuffer) message;
      byte[] received = new byte[buffer.remaining()];
      buffer.get(received);
      String unparsed = (String) session.getAttribute(UNPARSED_TEXT, "");
      String text = unparsed + new String(received, StandardCharsets.ISO_8859_1);
      int length = requestLength(text);
      while (length > 0) {
        respond(session, text.substring(0, length));
        text = text.substring(length);
        length = requestLength(text);
      }
      session.setAttribute(UNPARSED_TEXT, text);
      if (text.length() > MAX_REQUEST_BYTES) {
        session.closeNow();
      }
    }

    /** The length of the first request including its body, or 0 while it is incomplete. */
    private int requestLength(String text) {
      int head = text.indexOf("\r\n\r\n") + 4;
      if (head < 4) {
        return 0;
      }
      int body = 0;
      for (String line : text.substring(0, head).split("\r\n")) {
        if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
          body = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
        }
      }
      return text.length() < head + body ? 0 : head + body;
    }

    private void respond(IoSession session, String request) {
      byte[] response;
      if (request.startsWith("GET /stats")) {
        response = STATS_RESPONSE;
        probes.incrementAndGet();
        probeBytesIn.addAndGet(request.length());
        probeBytesOut.addAndGet(response.length);
      } else if (request.startsWith("POST /o")) {
        response = RESULT_RESPONSE;
        tasks.incrementAndGet();
      } else {
        response = NO_CONTENT_RESPONSE;
      }
      session.write(IoBuffer.wrap(response));
    }

    @Override
    public void inputClosed(IoSession session) {
      session.closeNow();
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      session.closeNow();
    }
  }

  @Override
  public void close() {
    acceptor.dispose(false);
  }
}

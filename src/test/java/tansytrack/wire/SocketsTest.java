package tansytrack.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what the I/O threads do on their own. */
class SocketsTest {

  /**
   * Many clients that connect while the event loop is busy must not take the last descriptors. In
   * this test the loop processes no event at all.
   */
  @Test
  void surplusConnectionsAreClosedWhenAccepted() throws IOException {
    Sockets sockets = new Sockets(note -> {}, () -> 0);
    sockets.maxAccepted(2);
    InetSocketAddress at = sockets.listen(new InetSocketAddress("127.0.0.1", 0), connection -> {});
    List<Socket> clients = new ArrayList<>();
    int closed = 0;
    for (int i = 0; i < 20; i++) {
      Socket client = new Socket(at.getAddress(), at.getPort());
      client.setSoTimeout(i < 2 ? 200 : 60_000);
      clients.add(client);
    }
    for (int i = 0; i < 20; i++) {
      Socket client = clients.get(i);
      try {
        closed += client.getInputStream().read() < 0 ? 1 : 0;
      } catch (IOException e) {
        assertThat(i).as("a connection within the limit stays open").isLessThan(2);
      }
    }
    assertThat(closed).isEqualTo(18);
    for (Socket client : clients) {
      client.close();
    }
    sockets.close();
  }
}

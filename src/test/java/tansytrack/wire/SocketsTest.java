package tansytrack.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What happens before the loop hears of it. */
class SocketsTest {

  /**
   * Guards against crowds that take the last descriptor while the loop is busy: here it never takes
   * a note.
   */
  @Test
  void moreConnectionsThanThereMayBeAreClosedWhereTheyAreAccepted() throws IOException {
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
        assertThat(i).as("one within the bound stays open").isLessThan(2);
      }
    }
    assertThat(closed).isEqualTo(18);
    for (Socket client : clients) {
      client.close();
    }
    sockets.close();
  }
}

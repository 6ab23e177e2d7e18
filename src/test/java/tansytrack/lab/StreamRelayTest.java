package tansytrack.lab;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import tansytrack.lab.simulation.FaultSchedule;

/** Tests what becomes of bytes that are sent while a relayed connection is silent. */
class StreamRelayTest {

  private static final int READ_TIMEOUT_MS = 20_000;
  private static final FaultSchedule.StreamFault SILENCE =
      new FaultSchedule.StreamFault(
          0, Long.MAX_VALUE, null, null, FaultSchedule.StreamFaultKind.SILENT, 0, 0);

  /** How the sender gives up the connection while it is silent. */
  private enum Ending {
    CLOSE,
    RESET
  }

  /** Returns what arrives when a sender writes during a silence and gives up the connection. */
  private static String received(Ending ending) throws IOException {
    AtomicReference<FaultSchedule.StreamFault> fault = new AtomicReference<>();
    try (ServerSocket target = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        StreamRelay relay =
            new StreamRelay(
                "127.0.0.1", (InetSocketAddress) target.getLocalSocketAddress(), fault::get, 1)) {
      String[] address = relay.address().split(":", 2);
      Socket sender = new Socket(address[0], Integer.parseInt(address[1]));
      try (Socket receiver = target.accept()) {
        receiver.setSoTimeout(READ_TIMEOUT_MS);
        InputStream in = receiver.getInputStream();
        sender.getOutputStream().write('a');
        String text = Character.toString(in.read());
        fault.set(SILENCE);
        sender.getOutputStream().write('b');
        if (ending == Ending.RESET) {
          sender.setSoLinger(true, 0);
          sender.close();
        } else {
          sender.close();
          fault.set(null);
        }
        return text + new String(in.readAllBytes(), StandardCharsets.US_ASCII);
      }
    }
  }

  @Test
  void bytesBeforeACloseAreDelivered() throws IOException {
    assertThat(received(Ending.CLOSE)).isEqualTo("ab");
  }

  /** Guards against a cut link that delivers what the sender's machine has discarded. */
  @Test
  void bytesBeforeAResetAreDiscarded() throws IOException {
    assertThat(received(Ending.RESET)).isEqualTo("a");
  }
}

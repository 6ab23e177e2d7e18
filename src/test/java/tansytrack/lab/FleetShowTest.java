package tansytrack.lab;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * {@code fleet show}, SHOW FLEET and SHOW STATS of two manager processes, and the error messages
 * where there is nothing to show.
 */
class FleetShowTest {

  @TempDir Path folder;
  private final List<ManagerProcess> managers = new ArrayList<>();
  private final FakeCommandChannel channel;
  private final int[] ports = new int[2];

  FleetShowTest() throws IOException {
    channel = new FakeCommandChannel(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    channel.publish("{\"revision\":1,\"complete\":true,\"members\":[]}");
    for (int i = 0; i < 2; i++) {
      try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
        ports[i] = free.getLocalPort();
      }
    }
  }

  private ManagerProcess manager(String name, String operator) throws IOException {
    ManagerProcess manager =
        new ManagerProcess(name, folder.resolve(name), channel, "127.0.0.1", operator);
    managers.add(manager);
    return manager;
  }

  private String fleet(int index) {
    return "fleet { place: \"p"
        + index
        + "\" address: \"127.0.0.1:"
        + ports[index]
        + "\" probe_every_ms: 100\n peers { name: \"m"
        + (1 - index)
        + "\" address: \"127.0.0.1:"
        + ports[1 - index]
        + "\" } }";
  }

  private String outputOf(int code, String log, String... arguments)
      throws IOException, InterruptedException {
    assertThat(managers.get(0).startProgram(log, arguments).waitFor()).isEqualTo(code);
    return Files.readString(managers.get(0).folder.resolve(log));
  }

  private static String addressOf(ManagerProcess manager) {
    return "127.0.0.1:" + manager.listenAddress.getPort();
  }

  @AfterEach
  void end() throws IOException {
    managers.forEach(ManagerProcess::close);
    channel.close();
  }

  @Test
  void showsTwoManagersAsTableAndJson() throws Exception {
    ManagerProcess first = manager("m0", fleet(0));
    ManagerProcess second = manager("m1", fleet(1));
    first.start();
    second.start();
    LabClient.Answer answer;
    do {
      try (LabClient client = new LabClient(first.listenAddress, 3000)) {
        answer = client.query("show fleet");
      }
    } while (answer.rowCount() < 2 || !answer.cells().get(1).get(3).equals("SERVING"));
    assertThat(outputOf(0, "table", "fleet", "show", addressOf(first)).lines())
        .hasSize(3)
        .anyMatch(line -> line.matches("m0 +p0 +ALIVE +SERVING .*"))
        .anyMatch(line -> line.matches("m1 +p1 +ALIVE +SERVING .*"));
    assertThat(outputOf(0, "json", "fleet", "show", addressOf(first), "--json"))
        .startsWith("{\"members\":[{\"name\":\"m0\",\"place\":\"p0\"")
        .contains("\"standing\":\"ALIVE\"");
    try (LabClient client = new LabClient(first.listenAddress, 3000)) {
      assertThat(client.query("SHOW STATS").cells())
          .contains(List.of("fleet.there", "2"), List.of("fleet.reckoned", "2"));
    }
  }

  @Test
  void reportsWhatCannotBeShown() throws Exception {
    manager("m0", "log { }").start();
    assertThat(outputOf(1, "none", "fleet", "show", addressOf(managers.get(0))))
        .contains("no fleet section");
    assertThat(outputOf(2, "word", "fleet", "show", "nowhere"))
        .contains("'nowhere'; allowed: an address with a port");
    assertThat(outputOf(2, "gone", "fleet", "show", "127.0.0.1:9"))
        .contains("127.0.0.1:9 cannot be asked");
    ManagerProcess own =
        manager(
            "m2",
            "fleet { address: \"127.0.0.1:"
                + ports[0]
                + "\"\n peers { name: \"m2\" address: \"127.0.0.1:"
                + ports[1]
                + "\" } }");
    assertThat(
            own.startProgram("own", "serve", "--operator", own.operatorFile().toString()).waitFor())
        .isEqualTo(2);
    assertThat(own.folder.resolve("own")).content().contains("'m2' is this manager's own name");
  }
}

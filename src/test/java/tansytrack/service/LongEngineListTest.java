package tansytrack.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tansytrack.lab.FakeCommandChannel;
import tansytrack.lab.footprint.SyntheticEngineList;
import tansytrack.wire.ProtocolException;

/** Lists of thousands of engines, from the command channel or from the configuration file. */
class LongEngineListTest {

  private static final int ENGINES = 6200;
  private static final long TIMEOUT_NANOS = 20_000_000_000L;
  private static final long POLL_INTERVAL_MS = 20;

  /** Far longer than the transfer of a list and the channel's timeout. */
  private static final long QUIET_MS = 3000;

  /** No server listens at these addresses: the tests send no task, the settings allow no probes. */
  private static final SyntheticEngineList LIST =
      new SyntheticEngineList(ENGINES, List.of("127.101.202.103:18080", "127.104.205.106:18080"));

  @Test
  void aListOfThousandsOfEnginesIsReadFromTheChannel()
      throws IOException, InterruptedException, ProtocolException {
    try (FakeCommandChannel channel =
        new FakeCommandChannel(new InetSocketAddress("127.0.0.1", 0))) {
      channel.publish("{\"revision\":1,\"complete\":false,\"members\":[]}");
      ServiceFixture.RunningManager running =
          new ServiceFixture.RunningManager(ServiceTest.config(channel.address()));
      try (ServiceTest.Client client = new ServiceTest.Client(running.address).startSession()) {
        channel.publish(LIST.completeList());
        String stats = awaitStats(client, "channel.lists,2;");
        assertThat(stats).doesNotContain("channel.failed");
        // The engine of the file is no longer listed, and is removed a little later.
        stats = awaitStats(client, "engines.known,6200;");
        assertThat(stats).contains("engines.not_shown,");
      } finally {
        running.stop();
      }
    }
  }

  /**
   * Guards against suspended reads that resume only when something else wakes the selector. Here
   * nothing else wakes it until the list must have arrived.
   */
  @Test
  void aLongListIsReadCompletelyWithoutOtherEvents()
      throws IOException, InterruptedException, ProtocolException {
    try (FakeCommandChannel channel =
        new FakeCommandChannel(new InetSocketAddress("127.0.0.1", 0))) {
      channel.publish("{\"revision\":1,\"complete\":false,\"members\":[]}");
      ServiceFixture.RunningManager running =
          new ServiceFixture.RunningManager(ServiceTest.config(channel.address()));
      try {
        channel.publish(LIST.completeList());
        Thread.sleep(QUIET_MS);
        try (ServiceTest.Client client = new ServiceTest.Client(running.address).startSession()) {
          assertThat(client.query("SHOW STATS"))
              .contains("channel.lists,2;")
              .doesNotContain("channel.silent")
              .doesNotContain("channel.failed");
        }
      } finally {
        running.stop();
      }
    }
  }

  /** Polls SHOW STATS until it contains the text, and fails after a timeout. */
  private static String awaitStats(ServiceTest.Client client, String text)
      throws IOException, InterruptedException {
    long deadline = System.nanoTime() + TIMEOUT_NANOS;
    String stats = client.query("SHOW STATS");
    while (!stats.contains(text) && System.nanoTime() < deadline) {
      Thread.sleep(POLL_INTERVAL_MS);
      stats = client.query("SHOW STATS");
    }
    assertThat(stats).contains(text);
    return stats;
  }

  @Test
  void aListOfThousandsOfEnginesIsReadFromTheFile(@TempDir Path folder) throws IOException {
    Path file = folder.resolve("config.json");
    String known = "{'cursor':1,'cmds':[{'cursor':1,'nodes':" + LIST.completeList() + "}]}";
    String config =
        ServiceTest.config("127.0.0.1:9")
            .replaceFirst("'known':.*,'settings'", "'known':" + known + ",'settings'");
    Files.writeString(file, config.replace('\'', '"'));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    int code =
        Service.check(file.toString(), null, new PrintStream(out, true, StandardCharsets.UTF_8));
    assertThat(out.toString(StandardCharsets.UTF_8)).contains(ENGINES + " engines");
    assertThat(code).isZero();
  }
}

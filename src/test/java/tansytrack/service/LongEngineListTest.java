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
import tansytrack.lab.StandInChannel;
import tansytrack.lab.footprint.SyntheticEngineList;
import tansytrack.wire.ProtocolException;

/** A list of thousands of engines, told by the command channel or read from the file. */
class LongEngineListTest {

  private static final int ENGINES = 6200;
  private static final long PATIENCE_NANOS = 20_000_000_000L;
  private static final long PAUSE_MS = 20;
  private static final long QUIET_MS =
      3000; // far more than a list takes, and the channel's patience

  /** Addresses where nothing listens: no task is sent here, and the settings allow no probe. */
  private static final SyntheticEngineList LIST =
      new SyntheticEngineList(ENGINES, List.of("127.101.202.103:18080", "127.104.205.106:18080"));

  @Test
  void aListOfThousandsOfEnginesIsTakenFromTheChannel()
      throws IOException, InterruptedException, ProtocolException {
    try (StandInChannel channel = new StandInChannel(new InetSocketAddress("127.0.0.1", 0))) {
      channel.tell("{\"revision\":1,\"complete\":false,\"members\":[]}");
      ServiceFixture.Running running =
          new ServiceFixture.Running(ServiceTest.config(channel.address()));
      try (ServiceTest.Client client = new ServiceTest.Client(running.at).started()) {
        channel.tell(LIST.completeList());
        String stats = statsWith(client, "channel.lists,2;");
        assertThat(stats).doesNotContain("channel.failed");
        // The engine of the file has left the list, and is forgotten a little later.
        stats = statsWith(client, "engines.known,6200;");
        assertThat(stats).contains("engines.not_shown,");
      } finally {
        running.end();
      }
    }
  }

  /**
   * Guards against reading that is suspended and goes on only as something else wakes the selector:
   * here nothing does, until the list must have come.
   */
  @Test
  void aLongListComesInOneGoThoughNothingElseHappens()
      throws IOException, InterruptedException, ProtocolException {
    try (StandInChannel channel = new StandInChannel(new InetSocketAddress("127.0.0.1", 0))) {
      channel.tell("{\"revision\":1,\"complete\":false,\"members\":[]}");
      ServiceFixture.Running running =
          new ServiceFixture.Running(ServiceTest.config(channel.address()));
      try {
        channel.tell(LIST.completeList());
        Thread.sleep(QUIET_MS);
        try (ServiceTest.Client client = new ServiceTest.Client(running.at).started()) {
          assertThat(client.ask("SHOW STATS"))
              .contains("channel.lists,2;")
              .doesNotContain("channel.silent")
              .doesNotContain("channel.failed");
        }
      } finally {
        running.end();
      }
    }
  }

  /** The counters once they contain that text, or the last ones before patience ends. */
  private static String statsWith(ServiceTest.Client client, String text)
      throws IOException, InterruptedException {
    long until = System.nanoTime() + PATIENCE_NANOS;
    String stats = client.ask("SHOW STATS");
    while (!stats.contains(text) && System.nanoTime() < until) {
      Thread.sleep(PAUSE_MS);
      stats = client.ask("SHOW STATS");
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

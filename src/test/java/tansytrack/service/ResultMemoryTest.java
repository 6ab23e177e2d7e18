package tansytrack.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Guards against results that are held without a bound, or never answered for want of memory. */
class ResultMemoryTest {

  private static final int CLIENTS = 10;

  // Two results and what they take on their way to the clients.
  private static final long MEMORY_BYTES = 150_000;

  @Test
  void resultsBeyondTheMemoryWaitAndAreServed() throws Exception {
    try (LargeResultEngine engine = new LargeResultEngine(CLIENTS)) {
      String config =
          ServiceFixture.config(engine.address())
              .replace("'cpu_of_kind':[4]", "'cpu_of_kind':[400]")
              .replace("'memory_by_kind_mb':[1000]", "'memory_by_kind_mb':[100000]")
              .replace("'deadline_ms':300", "'deadline_ms':30000");
      ServiceFixture.RunningManager running =
          new ServiceFixture.RunningManager(config, MEMORY_BYTES);
      List<ServiceTest.Client> clients = new ArrayList<>();
      try {
        for (int i = 0; i < CLIENTS; i++) {
          ServiceTest.Client client = new ServiceTest.Client(running.address).startSession();
          clients.add(client);
          String task = ServiceTest.Client.task("safe", String.format("%016x", i + 1), "ok");
          client.send(ServiceTest.Client.message('Q', task));
        }
        for (ServiceTest.Client client : clients) {
          assertThat(client.readAnswer()).endsWith(LargeResultEngine.COMMAND_TAG);
        }
        String stats = clients.get(0).query("SHOW STATS");
        assertThat(counter(stats, "results.waited_for_memory")).isPositive();
        assertThat(counter(stats, "memory.held.most.bytes")).isLessThanOrEqualTo(MEMORY_BYTES);
        assertThat(counter(stats, "memory.held.bytes")).isZero();
      } finally {
        for (ServiceTest.Client client : clients) {
          client.close();
        }
        running.stop();
      }
    }
  }

  private static long counter(String stats, String name) {
    Matcher matcher = Pattern.compile(Pattern.quote(name) + ",(\\d+);").matcher(stats);
    assertThat(matcher.find()).as(name).isTrue();
    return Long.parseLong(matcher.group(1));
  }
}

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** The command channel answers each call 2 s late, and an engine is set to drain meanwhile. */
final class SlowDiscovery extends Case {
  private static final int ENGINES = 6;
  private static final int CLIENTS = 12;
  private static final long DELAY_MS = 2_000;
  // "counts as told 7 s later at the latest, whether or not it arrived"
  private static final double TOLD_MS = 7_000;
  // rules.drain_grace_ms, and "each time limit is 50 ms longer"
  private static final double GRACE_MS = 1_000 + 50;
  private static final long SLOW_MS = 24_000;

  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger late = new AtomicInteger();
  private volatile double drainedAt = Double.MAX_VALUE;
  private volatile boolean over;

  public static void main(String[] args) throws IOException {
    run(new SlowDiscovery(), args);
  }

  @Override
  int play() throws Exception {
    Channel channel = new Channel(record);
    Engine.Listener listener =
        new Engine.Listener() {
          @Override
          public void started(String engine, String id, String kind, String statement) {
            double since = record.now() - drainedAt;
            if (engine.equals("engine-0") && since > TOLD_MS + GRACE_MS) {
              late.incrementAndGet();
              record.line(
                  "request %s WAS SENT to %s, %.0f ms after the channel had that it drains",
                  id, engine, since);
            }
          }
        };
    List<String> members = new ArrayList<>();
    List<String> draining = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      Engine engine = new Engine("engine-" + i, record, listener, 3, i);
      String address = "127.0.0.1:" + engine.address().getPort();
      members.add(Settings.member(engine.id, address, "eight-core", "ready"));
      draining.add(Settings.member(engine.id, address, "eight-core", "draining"));
    }
    channel.publish(true, String.join(",", members));
    try (ManagerProcess manager =
        new ManagerProcess(root, temporary, "n1", new Settings(channel), record)) {
      for (int i = 0; i < CLIENTS; i++) {
        long seed = i;
        Threads.start(() -> ask(manager, new Random(seed)));
      }
      Thread.sleep(6_000);
      channel.answerDelayMs = trouble ? DELAY_MS : 0;
      record.line("the channel's answers come %d ms late", channel.answerDelayMs);
      Thread.sleep(4_000);
      drainedAt = record.now();
      channel.publish(false, draining.get(0));
      Thread.sleep(SLOW_MS - 4_000);
      channel.answerDelayMs = 0;
      Thread.sleep(2_000);
      over = true;
      try (Client client = new Client(manager.address, 3000)) {
        for (List<String> row : client.query("SHOW STATS").rows()) {
          record.line("counter %s %s", row.get(0), row.get(1));
        }
      }
    }
    record.line("served %d; sent too late %d", served.get(), late.get());
    return late.get() > 0 ? BROKEN : served.get() > 200 ? HELD : COULD_NOT_RUN;
  }

  private void ask(ManagerProcess manager, Random random) {
    try (Client client = new Client(manager.address, 10_000)) {
      while (!over) {
        long work = 100 + random.nextInt(200);
        String id = String.format("%016x", random.nextLong());
        Client.Answer answer =
            client.query(
                String.format(
                    Locale.ROOT,
                    "/* class=lookup,id=%s,wait=7000,tenant=ernakulam,cost=%d,mb=16 */ SELECT day,"
                        + " count(*), max(note) FROM sales_%d.orders WHERE tag = 'run=%d'",
                    id,
                    work,
                    random.nextInt(20),
                    work));
        record.line("client has for %s: %s %s", id, answer.code(), answer.text());
        if (answer.served()) {
          served.incrementAndGet();
        }
        Thread.sleep(random.nextInt(100));
      }
    } catch (IOException | InterruptedException e) {
      record.line("a client ended: %s", e);
    }
  }
}

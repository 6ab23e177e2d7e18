import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Some good answers of engines tell a length that does not fit: it is less than the body has. */
final class ShortLength extends Case {
  private static final int ENGINES = 6;
  private static final int CLIENTS = 40;
  private static final long PLAY_MS = 45_000;
  private static final double SPOILT = 0.03;
  private static final int ROWS = 24;

  // The rows that an engine made for a request.
  private final Map<String, String> made = new ConcurrentHashMap<>();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger wrong = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger failed = new AtomicInteger();
  private volatile boolean over;

  public static void main(String[] args) throws IOException {
    run(new ShortLength(), args);
  }

  /** The figures of a day: a row an hour, with its label, a count and a mark. */
  private String rows(String engine, String id) {
    return made.computeIfAbsent(
        id,
        key -> {
          Random random = new Random(Long.parseUnsignedLong(id, 16));
          StringBuilder rows = new StringBuilder();
          for (int hour = 0; hour < ROWS; hour++) {
            rows.append(
                String.format(
                    "H%02d\t%d\t%s\n", hour, random.nextInt(1000), random.nextBoolean() ? "a" : "b"));
          }
          return rows.toString();
        });
  }

  @Override
  int play() throws Exception {
    Channel channel = new Channel(record);
    List<Engine> engines = new ArrayList<>();
    List<String> members = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      Engine engine = new Engine("engine-" + i, record, new Engine.Listener() {}, 1, i);
      engine.result = this::rows;
      engine.shortLengths = trouble ? SPOILT : 0;
      engines.add(engine);
      members.add(
          Settings.member(
              engine.id,
              "127.0.0.1:" + engine.address().getPort(),
              i % 2 == 0 ? "eight-core" : "sixteen-core",
              "ready"));
    }
    channel.publish(true, String.join(",", members));
    try (ManagerProcess manager =
        new ManagerProcess(root, temporary, "n1", new Settings(channel), record)) {
      for (int i = 0; i < CLIENTS; i++) {
        long seed = i;
        Threads.start(() -> ask(manager, new Random(seed)));
        Thread.sleep(20);
      }
      Thread.sleep(PLAY_MS);
      over = true;
      Thread.sleep(3_000);
    }
    record.line(
        "served %d, of them with other rows than the engine made %d; refused %d, failed %d;"
            + " answers with a wrong length %d",
        served.get(),
        wrong.get(),
        refused.get(),
        failed.get(),
        engines.stream().mapToInt(engine -> engine.shortSent).sum());
    return wrong.get() > 0 ? BROKEN : served.get() > 500 ? HELD : COULD_NOT_RUN;
  }

  private void ask(ManagerProcess manager, Random random) {
    while (!over) {
      try (Client client = new Client(manager.address, 25_000)) {
        for (int i = 0; i < 50 && !over; i++) {
          one(client, random);
          Thread.sleep(random.nextInt(300));
        }
      } catch (IOException e) {
        if (!over) {
          record.line("a client's connection ended: %s", e);
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void one(Client client, Random random) throws IOException {
    String kind = random.nextDouble() < 0.85 ? "lookup" : "report";
    long run = kind.equals("lookup") ? 50 + random.nextInt(300) : 500 + random.nextInt(1000);
    String id = String.format("%016x", random.nextLong());
    String tenant = List.of("ernakulam", "thrissur", "kozhikode").get(random.nextInt(3));
    Client.Answer answer =
        client.query(
            String.format(
                Locale.ROOT,
                "/* class=%s,id=%s,wait=%d,tenant=%s,cost=%d,mb=64 */ SELECT hour, count(*),"
                    + " max(mark) FROM sales_%d.orders WHERE tag = 'run=%d' GROUP BY hour",
                kind,
                id,
                kind.equals("lookup") ? 7000 : 18000,
                tenant,
                kind.equals("lookup") ? run : 2 * run,
                random.nextInt(20),
                run));
    if (!answer.served()) {
      (answer.code().startsWith("53") ? refused : failed).incrementAndGet();
      record.line("client has for %s: %s %s", id, answer.code(), answer.text());
      return;
    }
    served.incrementAndGet();
    StringBuilder rows = new StringBuilder();
    answer.rows().forEach(row -> rows.append(String.join("\t", row)).append('\n'));
    if (rows.toString().equals(made.get(id))) {
      record.line("client has for %s: served, all %d rows", id, answer.rows().size());
    } else {
      wrong.incrementAndGet();
      record.line(
          "client has for %s: served WITH %d ROWS of the %d that its engine made",
          id, answer.rows().size(), ROWS);
    }
  }
}

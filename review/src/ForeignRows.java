import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Second copies of answers, under a load that takes the descriptors that the limit leaves. */
final class ForeignRows extends Case {
  private static final int ENGINES = 8;
  // "Clients hold a third of the descriptor limit at most": 85 of 256.
  private static final int SOCKETS = Integer.getInteger("sockets", 256);
  private static final int CLIENTS = 84;
  private static final long PLAY_MS = 60_000;

  // Requests that an engine has run to a good end, and those that clients were told are served.
  private final Map<String, String> ranWell = new ConcurrentHashMap<>();
  private final Map<String, String> toldServed = new ConcurrentHashMap<>();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger foreign = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger failed = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private volatile boolean over;

  public static void main(String[] args) throws IOException {
    run(new ForeignRows(), args);
  }

  @Override
  int play() throws Exception {
    Channel channel = new Channel(record);
    Engine.Listener listener =
        new Engine.Listener() {
          @Override
          public void ended(String engine, String id, String how) {
            if (how.equals("good")) {
              ranWell.put(id, engine);
            }
          }
        };
    List<Engine> engines = new ArrayList<>();
    List<String> members = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      Engine engine = new Engine("engine-" + i, record, listener);
      engine.secondCopies = trouble ? 0.03 : 0;
      engines.add(engine);
      members.add(
          Settings.member(
              engine.id,
              engine.hostPort(),
              i % 2 == 0 ? "eight-core" : "sixteen-core",
              "ready"));
    }
    channel.publish(true, String.join(",", members));
    Settings settings = new Settings(channel);
    settings.sockets = SOCKETS;
    try (ManagerProcess manager = new ManagerProcess(root, temporary, "n1", settings, record)) {
      for (int i = 0; i < CLIENTS; i++) {
        long seed = i;
        Threads.start(() -> ask(manager, new Random(seed)));
        Thread.sleep(20);
      }
      Thread.sleep(PLAY_MS);
      over = true;
      // Engines drop what nobody has asked for in 2 s.
      Thread.sleep(6_000);
      try (Client client = new Client(manager.address, 3000)) {
        for (List<String> row : client.query("SHOW STATS").rows()) {
          record.line("counter %s %s", row.get(0), row.get(1));
        }
      }
    }
    int neverRan = 0;
    for (Map.Entry<String, String> one : toldServed.entrySet()) {
      if (!ranWell.containsKey(one.getKey())) {
        neverRan++;
        record.line(
            "%s %s: the client was told that it is served, NO ENGINE RAN IT TO ITS END",
            one.getValue(), one.getKey());
      }
    }
    record.line("told served and run to its end by no engine: %d", neverRan);
    record.line(
        "served %d, of them with rows of another request %d; refused %d, failed %d, lost %d;"
            + " second copies %d",
        served.get(),
        foreign.get(),
        refused.get(),
        failed.get(),
        lost.get(),
        engines.stream().mapToInt(engine -> engine.copiesSent).sum());
    return foreign.get() + neverRan > 0 ? BROKEN : served.get() > 500 ? HELD : COULD_NOT_RUN;
  }

  private void ask(ManagerProcess manager, Random random) {
    while (!over) {
      try (Client client = new Client(manager.address, 25_000)) {
        for (int i = 0; i < 50 && !over; i++) {
          one(client, random);
          Thread.sleep(random.nextInt(250));
        }
      } catch (IOException e) {
        if (!over) {
          lost.incrementAndGet();
          record.line("a client's connection ended: %s", e);
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Draws from a lognormal distribution with that mean and variation; in milliseconds. */
  private static long work(double mean, double variation, Random random) {
    double variance = Math.log(1 + variation * variation);
    double draw = Math.exp(Math.sqrt(variance) * random.nextGaussian() - variance / 2);
    return (long) Math.max(20, mean * Math.min(4, draw));
  }

  private void one(Client client, Random random) throws IOException {
    double draw = random.nextDouble();
    String kind = draw < 0.8 ? "lookup" : draw < 0.95 ? "report" : "load";
    // Means and variations as in the site file.
    long work =
        kind.equals("lookup")
            ? work(230, 1.1, random)
            : kind.equals("report") ? work(3100, 1.4, random) : work(4000, 0.6, random);
    long run = kind.equals("lookup") ? work : work / 2;
    String id = String.format("%016x", random.nextLong());
    String tenant =
        List.of("ernakulam", "ernakulam", "ernakulam", "thrissur", "kozhikode")
            .get(random.nextInt(5));
    String statement =
        String.format(
            Locale.ROOT,
            "/* class=%s,id=%s,wait=%d,tenant=%s,cost=%d,mb=64%s */ SELECT day, count(*), max(note)"
                + " FROM sales_%d.orders WHERE tag = 'run=%d'",
            kind,
            id,
            kind.equals("lookup") ? 7000 : 18000,
            tenant,
            work,
            kind.equals("load") ? String.format(",key=%016x", random.nextLong()) : "",
            random.nextInt(20),
            run);
    Client.Answer answer = client.query(statement);
    if (!answer.served()) {
      (answer.code().startsWith("53") ? refused : failed).incrementAndGet();
      record.line("client %s: %s %s", id, answer.code(), answer.text());
      return;
    }
    served.incrementAndGet();
    toldServed.put(id, kind);
    boolean own = answer.rows().stream().allMatch(row -> row.get(1).equals(id));
    if (!own) {
      foreign.incrementAndGet();
      record.line("client %s: served WITH THE ROWS OF %s", id, answer.rows().get(0));
    } else {
      record.line("client %s: served, %d rows", id, answer.rows().size());
    }
  }
}

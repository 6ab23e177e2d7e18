import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One of six engines is cut off for 5.9 s; no request may have two attempts out at once. */
final class TwoAttempts extends Case {
  private static final int ENGINES = 6;
  private static final int CLIENTS = 200;
  private static final double TASKS_PER_S = 60;
  private static final long CUT_MS = 5_900;
  // "each time limit is 50 ms longer"
  private static final double SLACK_MS = 50;

  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger failed = new AtomicInteger();
  private final Attempts attempts = new Attempts();
  private final LinkedBlockingQueue<String[]> due = new LinkedBlockingQueue<>();

  /** The attempts that are out, by request: engine and time of the start. */
  private final class Attempts implements Engine.Listener {
    private final Map<String, Map<String, Double>> out = new HashMap<>();
    private final AtomicInteger together = new AtomicInteger();

    @Override
    public synchronized void started(String engine, String id, String kind, String statement) {
      out.computeIfAbsent(id, key -> new HashMap<>()).put(engine, record.now());
    }

    @Override
    public synchronized void ended(String engine, String id, String how) {
      Map<String, Double> open = out.get(id);
      Double since = open == null ? null : open.remove(engine);
      if (since == null) {
        return;
      }
      for (Map.Entry<String, Double> other : open.entrySet()) {
        double both = record.now() - Math.max(since, other.getValue());
        if (both > SLACK_MS) {
          together.incrementAndGet();
          record.line(
              "request %s HAD TWO ATTEMPTS OUT for %.0f ms, at %s and %s",
              id, both, engine, other.getKey());
        }
      }
    }
  }

  public static void main(String[] args) throws IOException {
    run(new TwoAttempts(), args);
  }

  @Override
  int play() throws Exception {
    Channel channel = new Channel(record);
    List<Link> links = new ArrayList<>();
    List<String> members = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      Engine engine = new Engine("engine-" + i, record, attempts, 3, i);
      Link link = new Link(engine.id, engine.address(), record);
      links.add(link);
      members.add(
          Settings.member(
              engine.id, link.address(), i % 2 == 0 ? "eight-core" : "sixteen-core", "ready"));
    }
    channel.publish(true, String.join(",", members));
    try (ManagerProcess manager =
        new ManagerProcess(root, temporary, "n1", new Settings(channel), record)) {
      for (int i = 0; i < CLIENTS; i++) {
        Threads.start(() -> serve(manager));
      }
      Thread arrivals = Threads.start(this::arrive);
      Thread.sleep(12_000);
      if (trouble) {
        if (!links.get(1).cutWithNext("X-Class: report", CUT_MS)) {
          return COULD_NOT_RUN;
        }
      } else {
        Thread.sleep(CUT_MS);
      }
      Thread.sleep(12_000);
      arrivals.interrupt();
      Thread.sleep(3_000);
      try (Client client = new Client(manager.address, 3000)) {
        for (List<String> row : client.query("SHOW STATS").rows()) {
          record.line("counter %s %s", row.get(0), row.get(1));
        }
      }
    }
    record.line(
        "served %d, refused %d, failed %d; requests with two attempts out at once: %d",
        served.get(), refused.get(), failed.get(), attempts.together.get());
    return attempts.together.get() > 0 ? BROKEN : served.get() > 500 ? HELD : COULD_NOT_RUN;
  }

  private void arrive() {
    Random random = new Random();
    try {
      while (true) {
        Thread.sleep((long) (-1000 / TASKS_PER_S * Math.log(1 - random.nextDouble())));
        double draw = random.nextDouble();
        String kind = draw < 0.8 ? "lookup" : draw < 0.94 ? "report" : "load";
        long work =
            (long)
                (kind.equals("lookup")
                    ? 100 + 300 * random.nextDouble()
                    : 3800 + 800 * random.nextDouble());
        String id = String.format("%016x", random.nextLong());
        String statement =
            String.format(
                Locale.ROOT,
                "/* class=%s,id=%s,wait=%d,tenant=%s,cost=%d,mb=64%s */ SELECT day, count(*),"
                    + " max(note) FROM sales_%d.orders WHERE tag = 'run=%d'",
                kind,
                id,
                kind.equals("lookup") ? 7000 : 18000,
                List.of("ernakulam", "ernakulam", "ernakulam", "thrissur", "kozhikode")
                    .get(random.nextInt(5)),
                work,
                kind.equals("load") ? String.format(",key=%016x", random.nextLong()) : "",
                random.nextInt(20),
                kind.equals("lookup") ? work : work / 2);
        due.add(new String[] {id, statement});
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void serve(ManagerProcess manager) {
    while (true) {
      try {
        serveOnOneConnection(manager, due.take());
      } catch (IOException e) {
        record.line("a client's connection ended: %s", e);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Sends that task and others; the connection is closed once it has been idle for 4 s. */
  private void serveOnOneConnection(ManagerProcess manager, String[] first)
      throws IOException, InterruptedException {
      try (Client client = new Client(manager.address, 25_000)) {
        for (String[] task = first; task != null; task = due.poll(4, TimeUnit.SECONDS)) {
          record.line("client sends %s %s", task[0], task[1].substring(3, task[1].indexOf(',')));
          Client.Answer answer = client.query(task[1]);
          (answer.served() ? served : answer.code().startsWith("53") ? refused : failed)
              .incrementAndGet();
          record.line("client has for %s: %s %s", task[0], answer.code(), answer.text());
        }
      }
  }
}

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Good answers of engines bring a second copy, some milliseconds late. */
public final class LateCopy {

  private LateCopy() {}

  public static void main(String[] args) throws IOException {
    Bench.main(args[0], LateCopy::run);
  }

  private static int run(Bench bench) throws Exception {
    int from = Integer.getInteger("from", 2), to = Integer.getInteger("to", 12);
    Random random = new Random(58);
    List<Engine> engines = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      // 40 to 700 ms of work, by the id.
      engines.add(new Engine(bench, "engine-" + i, "127.0.0." + (1 + i), id -> 40 + Math.floorMod(id.hashCode() * 31L, 660L)));
    }
    AtomicInteger copies = new AtomicInteger();
    for (Engine engine : engines) {
      engine.afterGoodAnswer =
          (connection, answer) -> {
            int chance, delay;
            synchronized (random) {
              chance = random.nextInt(10);
              delay = from + random.nextInt(to - from + 1);
            }
            if (bench.trouble && chance == 0) {
              Bench.sleep(delay);
              connection.getOutputStream().write(answer);
              bench.log("engine " + engine.id + ": a second copy, " + delay + " ms late: "
                  + new String(answer, answer.length - 40, 16, java.nio.charset.StandardCharsets.US_ASCII));
              copies.incrementAndGet();
            }
          };
    }
    Channel channel = new Channel();
    channel.tell(true, engines.stream().map(engine -> Channel.member(engine, "ready", 0)).toList());
    String settings =
        Settings.of(
            Settings.grade("lookup", "idempotent", 5000, "") + "," + Settings.grade("report", "idempotent", 5000, "")
                + "," + Settings.grade("load", "at_most_once", 5000, ""));
    var listen = Bench.freeAddress("127.0.0.1");
    Bench.Manager manager =
        bench.new Manager("n1", listen, Bench.config("n1", listen, channel.address(), channel.known(), 1024, settings), "");
    manager.start();
    manager.awaitReady();
    AtomicLong numbers = new AtomicLong();
    AtomicInteger served = new AtomicInteger(), foreign = new AtomicInteger(), other = new AtomicInteger();
    double end = bench.ms() + 45_000;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      String grade = i % 8 == 7 ? "load" : "lookup";
      clients.add(
          Bench.daemon(
              () -> {
                try (PgClient client = new PgClient(listen, 8000)) {
                  while (bench.ms() < end) {
                    String id = Settings.id(numbers.incrementAndGet());
                    bench.log("client asks " + id + " " + grade);
                    PgClient.Answer answer = client.query(Settings.sql(grade, id, 4500, ""));
                    boolean right = String.join("\n", answer.rows()).concat("\n").equals(Engine.rows(id));
                    bench.log("client gets " + id + " " + answer.kind() + " " + answer.code() + " " + answer.rows()
                        + (answer.served() && !right ? "  ROWS OF ANOTHER STATEMENT" : ""));
                    (!answer.served() ? other : right ? served : foreign).incrementAndGet();
                  }
                } catch (IOException e) {
                  bench.log("client: " + e);
                  other.incrementAndGet();
                }
              }));
    }
    for (Thread client : clients) {
      client.join();
    }
    bench.log(copies + " second copies, " + served + " served, " + foreign + " served with rows of another statement, "
        + other + " not served");
    System.out.println(copies + " copies, " + served + " served, " + foreign + " foreign, " + other + " not served");
    if (served.get() < 100 || bench.trouble && copies.get() == 0) {
      return Bench.COULD_NOT_RUN;
    }
    return foreign.get() > 0 ? Bench.BROKEN : Bench.HELD;
  }
}

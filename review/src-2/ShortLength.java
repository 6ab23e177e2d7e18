import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Some good answers of engines tell a length that is too small. */
public final class ShortLength {

  private static final String[] DESKS = {"Head office", "Kiosk", "Hajj desk", "Branch"};

  private ShortLength() {}

  public static void main(String[] args) throws IOException {
    Bench.main(args[0], ShortLength::run);
  }

  /** Eight rows; each begins with the name of a desk. */
  private static String rows(String id) {
    StringBuilder rows = new StringBuilder();
    for (int i = 0; i < 8; i++) {
      rows.append(DESKS[i % DESKS.length]).append('\t').append(id).append('\t').append(i).append('\n');
    }
    return rows.toString();
  }

  private static int run(Bench bench) throws Exception {
    Random random = new Random(58);
    AtomicInteger spoilt = new AtomicInteger();
    List<Engine> engines = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      Engine engine = new Engine(bench, "engine-" + i, "127.0.0." + (1 + i), id -> 10 + Math.floorMod(id.hashCode() * 31L, 40L));
      engine.pages = id -> List.of(rows(id));
      engine.goodAnswer =
          answer -> {
            String text = new String(answer, StandardCharsets.US_ASCII);
            String body = text.substring(text.indexOf("\r\n\r\n") + 4);
            int told;
            synchronized (random) {
              if (!bench.trouble || random.nextInt(10) > 0) {
                return answer;
              }
              told = random.nextInt(body.length());
            }
            spoilt.incrementAndGet();
            bench.log("engine " + engine.id + ": an answer of " + body.length() + " bytes tells " + told + ", for "
                + body.substring(12, 29).strip());
            return text.replace("Content-Length: " + body.length(), "Content-Length: " + told)
                .getBytes(StandardCharsets.US_ASCII);
          };
      engines.add(engine);
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
    AtomicInteger whole = new AtomicInteger(), cut = new AtomicInteger(), other = new AtomicInteger();
    double end = bench.ms() + 30_000;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      String grade = i == 7 ? "load" : "lookup";
      clients.add(
          Bench.daemon(
              () -> {
                try (PgClient client = new PgClient(listen, 8000)) {
                  while (bench.ms() < end) {
                    String id = Settings.id(numbers.incrementAndGet());
                    bench.log("client asks " + id + " " + grade);
                    PgClient.Answer answer = client.query(Settings.sql(grade, id, 4500, ""));
                    boolean all = (String.join("\n", answer.rows()) + '\n').equals(rows(id));
                    bench.log("client gets " + id + " " + answer.kind() + " " + answer.code() + ", " + answer.rows().size()
                        + " rows" + (answer.served() && !all ? "  NOT ALL ROWS, TOLD AS SERVED" : ""));
                    (!answer.served() ? other : all ? whole : cut).incrementAndGet();
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
    String result = spoilt + " spoilt answers, " + whole + " served whole, " + cut + " served with rows missing, " + other
        + " not served";
    bench.log(result);
    System.out.println(result);
    if (whole.get() < 100 || bench.trouble && spoilt.get() == 0) {
      return Bench.COULD_NOT_RUN;
    }
    return cut.get() > 0 ? Bench.BROKEN : Bench.HELD;
  }
}

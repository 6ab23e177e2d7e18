import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A manager with many open requests is told to end; the platform kills it as early as the page allows. */
public final class LastAnswers {

  private static final int ROUNDS = 5;
  private static final int CLIENTS = 300;
  private static final long WORK_MS = 6000;
  private static final long KILL_AFTER_MS = 3700;

  private LastAnswers() {}

  public static void main(String[] args) throws IOException {
    Bench.main(args[0], LastAnswers::run);
  }

  private static int run(Bench bench) throws Exception {
    List<Engine> engines = new ArrayList<>();
    for (int i = 1; i <= 10; i++) {
      engines.add(new Engine(bench, "engine-" + i, "127.0.0." + (1 + i), id -> WORK_MS));
    }
    Channel channel = new Channel();
    channel.tell(true, engines.stream().map(engine -> Channel.member(engine, "ready", 0)).toList());
    String settings =
        Settings.of(
                Settings.grade("lookup", "idempotent", 25_000, "") + "," + Settings.grade("report", "idempotent", 25_000, "")
                    + "," + Settings.grade("load", "at_most_once", 25_000, ""))
            .replace("\"cpu_of_kind\":[8]", "\"cpu_of_kind\":[16]")
            .replace("\"memory_by_kind_mb\":[8192]", "\"memory_by_kind_mb\":[16384]");
    var listen = Bench.freeAddress("127.0.0.1");
    Bench.Manager manager =
        bench.new Manager("n1", listen, Bench.config("n1", listen, channel.address(), channel.known(), 1024, settings), "");
    manager.start();
    manager.awaitReady();
    int lostInAll = 0, answeredInAll = 0;
    for (int round = 0; round < ROUNDS; round++) {
      double[] sigtermAt = new double[1];
      AtomicInteger answered = new AtomicInteger(), lost = new AtomicInteger(), early = new AtomicInteger();
      double[] last = new double[1];
      CountDownLatch asked = new CountDownLatch(CLIENTS);
      List<Thread> clients = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        long number = round * 1000L + i;
        clients.add(Bench.daemon(() -> ask(bench, listen, number, asked, sigtermAt, last, answered, early, lost)));
      }
      if (!asked.await(10, TimeUnit.SECONDS)) {
        throw new IOException("the clients do not get to ask");
      }
      Bench.sleep(1500);
      if (bench.trouble) {
        manager.signal("TERM");
        sigtermAt[0] = bench.ms();
        while (bench.ms() < sigtermAt[0] + KILL_AFTER_MS) {
          Bench.sleep((long) Math.max(0, sigtermAt[0] + KILL_AFTER_MS - 1 - bench.ms()));
        }
        boolean alive = manager.process.isAlive();
        manager.process.destroyForcibly();
        bench.log(String.format(alive ? "SIGKILL %.1f ms after SIGTERM" : "the manager had ended by itself", bench.ms() - sigtermAt[0]));
        manager.process.waitFor();
      }
      for (Thread client : clients) {
        client.join(20_000);
      }
      String result = "round " + (round + 1) + ": " + answered + " answered (" + early + " before SIGTERM), "
          + lost + " lost, the last answer " + String.format("%.1f", last[0]) + " ms after SIGTERM";
      bench.log(result);
      System.out.println(result);
      lostInAll += lost.get();
      answeredInAll += answered.get();
      if (bench.trouble && round + 1 < ROUNDS) {
        manager.start();
        manager.awaitReady();
      }
    }
    if (answeredInAll + lostInAll < ROUNDS * CLIENTS) {
      return Bench.COULD_NOT_RUN;
    }
    return lostInAll > 0 ? Bench.BROKEN : Bench.HELD;
  }

  private static void ask(Bench bench, java.net.InetSocketAddress listen, long number, CountDownLatch asked,
      double[] sigtermAt, double[] last, AtomicInteger answered, AtomicInteger early, AtomicInteger lost) {
    String id = Settings.id(number);
    String grade = number % 2 == 0 ? "report" : "load";
    try (PgClient client = new PgClient(listen, 24_000)) {
      client.send(Settings.sql(grade, id, 24_000, ""));
      bench.log("client asks " + id + " " + grade + ", waits 24000 ms");
      asked.countDown();
      PgClient.Answer answer = client.read();
      double after = sigtermAt[0] == 0 ? 0 : bench.ms() - sigtermAt[0];
      answered.incrementAndGet();
      early.addAndGet(sigtermAt[0] == 0 ? 1 : 0);
      synchronized (last) {
        last[0] = Math.max(last[0], after);
      }
      bench.log("client gets " + id + " " + answer.kind() + " " + answer.code()
          + (sigtermAt[0] == 0 ? "" : String.format(", %.1f ms after SIGTERM", after)));
    } catch (IOException e) {
      lost.incrementAndGet();
      bench.log("client of " + id + " gets no answer: LOST, " + e);
    }
  }
}

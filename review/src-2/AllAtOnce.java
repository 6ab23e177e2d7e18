import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** All clients ask at once; each result has the greatest size and short rows. */
public final class AllAtOnce {

  private static final int CLIENTS = 300;
  private static final int ROUNDS = 4;
  private static final int PAGES = 8; // of 6,000 bytes: 48,000 in all
  private static final int ROWS_OF_A_PAGE = 1000; // of three columns with one character each
  private static final long SPACED_MS = 10; // without the disruption, 100 requests a second

  private AllAtOnce() {}

  public static void main(String[] args) throws IOException {
    Bench.main(args[0], AllAtOnce::run);
  }

  private static int run(Bench bench) throws Exception {
    List<String> pages = Collections.nCopies(PAGES, "1\t2\t3\n".repeat(ROWS_OF_A_PAGE));
    List<Engine> engines = new ArrayList<>();
    for (int i = 1; i <= 10; i++) {
      Engine engine = new Engine(bench, "engine-" + i, "127.0.0." + (1 + i), id -> 400);
      engine.pages = id -> pages;
      engines.add(engine);
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
    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(new Client(listen));
    }
    AtomicInteger served = new AtomicInteger(), other = new AtomicInteger(), lost = new AtomicInteger();
    for (int round = 0; round < ROUNDS && manager.process.isAlive(); round++) {
      CountDownLatch done = new CountDownLatch(CLIENTS);
      CountDownLatch go = new CountDownLatch(1);
      for (int i = 0; i < CLIENTS; i++) {
        int number = i;
        String id = Settings.id(round * 1000L + i);
        Bench.daemon(
            () -> {
              try {
                go.await();
                Bench.sleep(bench.trouble ? 0 : number * SPACED_MS);
                bench.log("client asks " + id);
                int rows = clients.get(number).query(Settings.sql("lookup", id, 20_000, ""));
                bench.log("client gets " + id + (rows < 0 ? " an error" : " " + rows + " rows"));
                (rows == PAGES * ROWS_OF_A_PAGE ? served : other).incrementAndGet();
              } catch (IOException | InterruptedException e) {
                bench.log("client of " + id + " gets no answer: LOST, " + e);
                lost.incrementAndGet();
              }
              done.countDown();
            });
      }
      go.countDown();
      done.await(25, TimeUnit.SECONDS);
      bench.log("round " + (round + 1) + " is over");
    }
    Bench.sleep(500);
    boolean alive = manager.process.isAlive();
    String result = served + " served, " + other + " refused or failed, " + lost + " without an answer; the manager "
        + (alive ? "runs" : "has ended with code " + manager.process.exitValue());
    bench.log(result);
    System.out.println(result);
    return !alive || lost.get() > 0 ? Bench.BROKEN : Bench.HELD;
  }

  /** A client that reads at full speed and counts rows. */
  private static final class Client {
    private final Socket socket = new Socket();
    private final DataInputStream in;

    Client(InetSocketAddress address) throws IOException {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(25_000);
      socket.connect(address);
      in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16));
      byte[] body = Bench.ascii("user\0app\0database\0bi\0\0");
      socket.getOutputStream().write(
          ByteBuffer.allocate(8 + body.length).putInt(8 + body.length).putInt(3 << 16).put(body).array());
      read();
    }

    int query(String sql) throws IOException {
      byte[] text = Bench.ascii(sql + '\0');
      socket.getOutputStream().write(
          ByteBuffer.allocate(5 + text.length).put((byte) 'Q').putInt(4 + text.length).put(text).array());
      return read();
    }

    private int read() throws IOException {
      int rows = 0;
      while (true) {
        int type = in.readUnsignedByte();
        in.skipNBytes(in.readInt() - 4);
        rows = type == 'E' ? -1_000_000 : type == 'D' ? rows + 1 : rows;
        if (type == 'Z') {
          return rows;
        }
      }
    }
  }
}

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** A client sends many commands at once on its session. */
public final class ManyCommands {

  private static final int COMMANDS = 500;

  private ManyCommands() {}

  public static void main(String[] args) throws IOException {
    Bench.main(args[0], ManyCommands::run);
  }

  private static int run(Bench bench) throws Exception {
    List<Engine> engines = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      engines.add(new Engine(bench, "engine-" + i, "127.0.0." + (1 + i), id -> 20));
    }
    Channel channel = new Channel();
    channel.tell(true, engines.stream().map(engine -> Channel.member(engine, "ready", 0)).toList());
    String settings =
        Settings.of(
            Settings.grade("lookup", "idempotent", 25_000, "") + "," + Settings.grade("report", "idempotent", 25_000, "")
                + "," + Settings.grade("load", "at_most_once", 25_000, ""));
    var listen = Bench.freeAddress("127.0.0.1");
    Bench.Manager manager =
        bench.new Manager("n1", listen, Bench.config("n1", listen, channel.address(), channel.known(), 1024, settings), "");
    manager.start();
    manager.awaitReady();
    int served = 0, other = 0, bytes = 0;
    try (PgClient client = new PgClient(listen, 30_000)) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      for (int i = 0; i < COMMANDS; i++) {
        byte[] text = Bench.ascii(Settings.sql("lookup", Settings.id(i), 24_000, "") + '\0');
        all.writeBytes(ByteBuffer.allocate(5 + text.length).put((byte) 'Q').putInt(4 + text.length).put(text).array());
      }
      bytes = all.size();
      if (bench.trouble) {
        bench.log("client writes " + COMMANDS + " commands at once, " + bytes + " bytes");
        client.socket.getOutputStream().write(all.toByteArray());
      }
      for (int i = 0; i < COMMANDS; i++) {
        PgClient.Answer answer =
            bench.trouble ? client.read() : client.query(Settings.sql("lookup", Settings.id(i), 24_000, ""));
        bench.log("client gets the answer to " + Settings.id(i) + ": " + answer.kind() + " " + answer.code());
        served += answer.served() ? 1 : 0;
        other += answer.served() ? 0 : 1;
      }
    } catch (IOException e) {
      bench.log("the connection ends: " + e);
    }
    int lost = COMMANDS - served - other;
    String result = bytes + " bytes of " + COMMANDS + " commands: " + served + " served, " + other + " refused or failed, "
        + lost + " without an answer";
    bench.log(result);
    System.out.println(result);
    return lost > 0 ? Bench.BROKEN : Bench.HELD;
  }
}

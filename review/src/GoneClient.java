import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Bad clients send a request and go at once, to a manager that keeps a ledger. The rule: a manager
 * does not crash, and answers what it has taken.
 */
final class GoneClient extends Case {
  private static final int BAD_CLIENTS = 20;

  public static void main(String[] args) throws Exception {
    run(new GoneClient(), args);
  }

  @Override
  int play() throws Exception {
    Engine a = new Engine("a", record, new Engine.Listener() {});
    Engine b = new Engine("b", record, new Engine.Listener() {});
    Channel channel = new Channel(record);
    channel.publish(
        true,
        Settings.member("a", a.hostPort(), "eight-core", "ready")
            + ','
            + Settings.member("b", b.hostPort(), "eight-core", "ready"));
    Path operator = temporary.resolve("operator.textproto");
    Files.writeString(
        operator,
        """
        ledger {
          folder: "LEDGER"
          billing {
            period: MONTH
            zone: "Asia/Kolkata"
            grace_hours: 48
            decimals: 2
            rounding: HALF_EVEN
            rates { per_task: "0.002" per_work_second: "0.015" per_gb_second: "0.001" }
          }
        }
        """
            .replace("LEDGER", temporary.resolve("ledger").toString()));
    try (ManagerProcess manager =
        new ManagerProcess(
            root, temporary, "n1", new Settings(channel), record, " --operator " + operator)) {
      Load load = new Load(manager, record);
      load.steady("lookup", 20, 7500, 200);
      load.steady("load", 1, 20000, 2600);
      Thread.sleep(5000);
      for (int i = 0; i < BAD_CLIENTS && manager.alive(); i++) {
        String id = Load.newId();
        String statement = Load.statement("lookup", id, 2000, 200, "");
        if (trouble) {
          record.line("a bad client sends %s, names no tenant, and goes", id);
          try {
            Client.askAndGo(manager.address, statement);
          } catch (IOException e) {
            record.line("its connection fails: %s", e);
          }
        } else {
          try (Client client = new Client(manager.address, 5000)) {
            record.line("a client sends %s, names no tenant, and waits", id);
            record.line("it gets %s", client.query(statement).code());
          }
        }
        Thread.sleep(50);
      }
      Thread.sleep(2000);
      boolean alive = manager.alive();
      record.line("answers: %s", load.stop());
      record.line("the manager is %s", alive ? "alive" : "dead");
      return alive ? HELD : BROKEN;
    }
  }
}

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * One engine of six is cut off for less than 6 s. At most 1 in 100 requests is given up early, after
 * 2 s. The rule: nothing begins more than 0.1 s after its client has gone.
 */
final class LateStart extends Case {
  private static final int PATIENCE_MS = 2000;
  private static final int CUT_MS = 5800; // a cut takes some 20 ms to begin; "for 6 s"
  private static final int LATEST_START_MS = 100;
  // "The simulator's rules hold here [...]; each time limit is 50 ms longer."
  private static final int SLACK_MS = 50;

  private volatile Load load;
  private int late;
  private int twice;
  private int lateLoads;
  private final Set<String> startedOnce = new HashSet<>();

  public static void main(String[] args) throws Exception {
    run(new LateStart(), args);
  }

  private synchronized void started(String engine, String id, String queryClass) {
    long goneFor = load == null ? -1 : load.goneForMs(id);
    if (goneFor > LATEST_START_MS + SLACK_MS) {
      late++;
      record.line(
          "BROKEN: %s %s begins at %s, %d ms after its client has gone",
          queryClass, id, engine, goneFor);
      lateLoads += queryClass.equals("load") ? 1 : 0;
    }
    twice += startedOnce.add(id) ? 0 : 1;
  }

  @Override
  int play() throws Exception {
    Engine.Listener listener =
        new Engine.Listener() {
          @Override
          public void started(String engine, String id, String queryClass, String statement) {
            LateStart.this.started(engine, id, queryClass);
          }
        };
    Channel channel = new Channel(record);
    List<Link> links = new ArrayList<>();
    List<String> members = new ArrayList<>();
    for (String id : List.of("a", "b", "c", "d", "e", "f")) {
      Link link = new Link(id, new Engine(id, record, listener).address(), record);
      links.add(link);
      members.add(Settings.member(id, link.hostPort(), "sixteen-core", "ready"));
    }
    channel.publish(true, String.join(",", members));
    try (ManagerProcess manager =
        new ManagerProcess(root, temporary, "n1", new Settings(channel), record)) {
      load = new Load(manager, record);
      load.patienceMs = PATIENCE_MS;
      load.steady("lookup", 104, 7500, 200);
      load.steady("load", 6, 20000, 1300);
      Thread.sleep(20000);
      Link cutOff = links.get(0);
      if (trouble) {
        cutOff.cut();
      }
      Thread.sleep(CUT_MS);
      if (trouble) {
        cutOff.restore();
      }
      Thread.sleep(5000);
      record.line("answers: %s", load.stop());
      record.line(
          "begun after their client had gone: %d, %d of them loads; begun at two engines: %d",
          late, lateLoads, twice);
      return late == 0 ? HELD : BROKEN;
    }
  }
}

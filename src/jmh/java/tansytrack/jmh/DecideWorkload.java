package tansytrack.jmh;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import tansytrack.Decide;
import tansytrack.api.Actions;
import tansytrack.api.EngineEntry;
import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;
import tansytrack.api.Settings;
import tansytrack.api.TaskRequest;
import tansytrack.settings.ManagerConfig;
import tansytrack.wire.Json;
import tansytrack.wire.ProtocolException;

/**
 * One decision module before engines that end each task at once, on virtual time. Plain tasks may
 * go to any engine; scarce ones only to the one engine of a kind of its own, so that they wait
 * there.
 */
final class DecideWorkload implements Actions {

  private static final long MS = 1_000_000L;
  private static final long TASK_GAP = 370_000L; // virtual time between tasks: 2,700 a second
  private static final long SWEEP_GAP = 50 * MS;
  private static final long LEFT = 3000 * MS; // of a plain task, to its cut-off
  private static final long LEFT_SCARCE = 60_000 * MS; // these must not end their wait
  private static final long COST = MS;
  private static final int MOST_FILL = 10_000;
  private static final LoadReport IDLE =
      new LoadReport(Double.NaN, 0, Double.NaN, Double.NaN, Double.NaN);
  private static final String CONFIGURATION =
      "{\"name\":\"bench\",\"listen\":\"127.0.0.1:0\",\"seed\":\"a7\",\"limits\":{\"sockets\":1024},"
          + "\"channel\":\"127.0.0.1:9\",\"settings\":{\"siblings\":%d,\"zone\":\"zone-0\","
          + "\"skus\":[\"usual\",\"rare\"],\"extra\":{\"cpu_of_kind\":[8,8],"
          + "\"memory_by_kind_mb\":[8192,8192],\"memory_heeded\":true,\"grant_cap\":0.5,"
          + "\"tells_cost\":true,\"threads_by_class\":[1,1],\"is_load\":[false,false],"
          + "\"class_waits\":[false,false]},\"grades\":[{\"name\":\"plain\",\"repeat\":"
          + "\"idempotent\",\"objective_ms\":1000,\"deadline_ms\":3000,\"worth\":1},"
          + "{\"name\":\"scarce\",\"repeat\":\"idempotent\",\"objective_ms\":1000,\"deadline_ms\":"
          + "60000,\"worth\":1,\"runs_on\":[\"rare\"]}],\"tenants\":[%s],\"policy_limits\":{"
          + "\"may_probe\":true,\"cancel\":true,\"max_attempts\":3,\"connect_timeout_ms\":250,"
          + "\"conn_idle_ms\":30000},\"reporting\":{\"columns\":[\"busy_reqs\"],\"how\":\"pull\"},"
          + "\"rules\":{\"answer_slack_ms\":20,\"drain_grace_ms\":1000}}}";

  private final Decide module;
  private final int tenants;
  private long now = 100_000 * MS;
  private long number;
  private String sentTo; // the engine of the last forward, until it is taken
  private int refused;

  DecideWorkload(int engines, int managers, int tenants) {
    this.tenants = tenants;
    module = new Decide(settings(managers, tenants), this);
    List<EngineEntry> list = new ArrayList<>();
    for (int i = 0; i < engines; i++) {
      list.add(entry(i));
    }
    module.onEngineList(now, true, list);
    module.decide(now);
    for (EngineEntry engine : list) {
      module.onProbeEnd(now, engine.id(), Outcome.OK, IDLE);
    }
    module.decide(now);
    sweep();
  }

  private static EngineEntry entry(int number) {
    return new EngineEntry(
        String.format(Locale.ROOT, "engine-%06d", number),
        1,
        "zone-" + number % 15,
        number == 0 ? "rare" : "usual",
        number,
        EngineEntry.State.READY,
        0);
  }

  private static Settings settings(int managers, int tenants) {
    StringBuilder named = new StringBuilder();
    for (int i = 0; i < tenants; i++) {
      named.append(i == 0 ? "" : ",").append("{\"name\":\"t").append(i).append("\",\"portion\":1}");
    }
    String text = String.format(Locale.ROOT, CONFIGURATION, managers, named);
    try {
      return ManagerConfig.fromJson(Json.parse(text.getBytes(StandardCharsets.UTF_8))).settings();
    } catch (ProtocolException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Offers scarce tasks until so many wait. */
  void fill(int waiting) {
    int wait = 0;
    for (int i = 0; wait < waiting && i < MOST_FILL; i++) {
      sentTo = null;
      offer("scarce", LEFT_SCARCE);
      module.decide(now);
      wait += sentTo == null ? 1 : 0;
    }
    if (wait < waiting || refused > 0) {
      throw new IllegalStateException(wait + " of " + waiting + " wait, " + refused + " refused");
    }
  }

  private String offer(String grade, long left) {
    String id = Long.toHexString(++number);
    String tenant = "t" + number % tenants;
    module.onTask(now, new TaskRequest(id, grade, tenant, null, now + left, COST, 1, -1));
    return id;
  }

  void taskWithOutcome() {
    now += TASK_GAP;
    sentTo = null;
    String id = offer("plain", LEFT);
    module.decide(now);
    if (sentTo == null) {
      throw new IllegalStateException("a plain task was not sent");
    }
    module.onForwardEnd(now, id, 0, sentTo, Outcome.OK, MS, true, COST, 1, IDLE);
    module.decide(now);
  }

  void sweep() {
    now += SWEEP_GAP;
    module.onWakeUp(now, "sweep");
    module.decide(now);
  }

  @Override
  public void forward(String task, String engine, long timeOut) {
    sentTo = engine;
  }

  @Override
  public void reject(String task, long pause) {
    refused++;
  }

  @Override
  public void abort(String task) {
    refused++;
  }

  @Override
  public void assignResources(String task, long memoryMb, int priority) {}

  @Override
  public void probe(String engine) {}

  @Override
  public void cancel(String task, int index) {}

  @Override
  public void scheduleWakeUp(long in, String token) {}

  @Override
  public void log(String text) {}
}

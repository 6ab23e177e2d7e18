package tansytrack.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import tansytrack.Decide;
import tansytrack.api.Actions;
import tansytrack.api.DecisionModule;
import tansytrack.api.EngineEntry;
import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;
import tansytrack.api.Settings;
import tansytrack.api.TaskRequest;
import tansytrack.settings.InvalidInputException;
import tansytrack.settings.SettingsParser;

/**
 * The bench's wire on one side, the module's interface on the other; each instance is a module of
 * its own.
 */
public final class SimulatorAdapter {

  private static final int LISTS = 16;

  private final Fields in;
  private final OutputStream out;
  private final PrintStream err;
  private final BiFunction<Settings, Actions, DecisionModule> start;
  private final StringBuilder reply = new StringBuilder();
  private final Map<String, Instance> instances = new HashMap<>();
  private final List<List<EngineEntry>> lists = new ArrayList<>();
  private final Set<Instance> touched = new LinkedHashSet<>();
  private final double[] row = new double[16];
  private long lineNumber;
  private boolean failed;

  /** An adapter over the decisions of this program. */
  public SimulatorAdapter(InputStream in, OutputStream out, PrintStream err) {
    this(in, out, err, Decide::new);
  }

  SimulatorAdapter(
      InputStream in,
      OutputStream out,
      PrintStream err,
      BiFunction<Settings, Actions, DecisionModule> start) {
    this.start = start;
    this.in = new Fields(in);
    this.out = out;
    this.err = err;
    for (int i = 0; i < LISTS; i++) {
      lists.add(List.of());
    }
  }

  /** Serves until the input ends: 0, or 2 after a line that does not follow the wire. */
  public int run() throws IOException {
    try {
      while (nextLine()) {
        if (!in.blank()) {
          batch();
        }
      }
      return 0;
    } catch (InvalidInputException | ArithmeticException e) {
      err.println(
          "tansytrack: line " + lineNumber + ": " + e.getMessage() + " in '" + in.whole() + "'");
      return 2;
    }
  }

  private boolean nextLine() throws IOException {
    lineNumber++;
    return in.next();
  }

  private void batch() throws IOException {
    String word = in.text("message");
    if (!word.equals("BATCH")) {
      throw new Fields.Malformed("expected BATCH, not " + word);
    }
    long now = in.time("clock");
    reply.setLength(0);
    while (true) {
      if (!nextLine()) {
        throw new Fields.Malformed("input ended inside a batch");
      }
      if (in.blank()) {
        continue;
      }
      String event = in.text("message");
      if (event.equals("OVER_TO_YOU")) {
        break;
      }
      event(now, event);
    }
    for (Instance instance : touched) {
      guarded(instance, () -> instance.module.decide(now));
    }
    touched.clear();
    reply.append("FINISHED\n");
    out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  private void event(long now, String event) throws IOException {
    switch (event) {
      case "REGISTER" -> register();
      case "ATTACH" -> attach();
      case "EXIT" -> touched.remove(instances.remove(in.text("manager_id")));
      case "BACKENDS_CHANGED" -> changed(now, told());
      case "INCOMING" -> incoming(now, told());
      case "RESOLVED" -> resolved(now, told());
      case "SAMPLED" -> sampled(now, told());
      case "SIGNAL" -> signal(now, told());
      case "WAKEUP" -> {
        Instance to = told();
        String token = in.text("nonce");
        guarded(to, () -> to.module.onWakeUp(now, token));
      }
      case "ABANDONED" -> {
        Instance to = told();
        String task = in.text("op_id");
        guarded(to, () -> to.module.onClientLeft(now, task));
      }
      case "INBOX", "ACK_FIRST" -> told();
      default -> throw new Fields.Malformed("unknown event " + event);
    }
  }

  /** The instance that an event is for; it may act in this batch. */
  private Instance told() {
    String name = in.text("manager_id");
    Instance to = instances.get(name);
    if (to == null) {
      throw new Fields.Malformed("no instance " + name);
    }
    touched.add(to);
    return to;
  }

  /** A failure inside the decisions is said once, and ends the day. */
  private void guarded(Instance instance, Runnable call) {
    if (failed) {
      return;
    }
    try {
      call.run();
    } catch (RuntimeException e) {
      failed = true;
      StackTraceElement[] trace = e.getStackTrace();
      String what = e + (trace.length > 0 ? " at " + trace[0] : "");
      reply
          .append("DIE ")
          .append(instance.name)
          .append(' ')
          .append(what.replace('\n', ' '))
          .append('\n');
    }
  }

  private int slot() {
    long slot = in.integer("slot", -1);
    if (slot < 0 || slot >= LISTS) {
      throw new Fields.Malformed("slot out of range");
    }
    return (int) slot;
  }

  private void register() throws IOException {
    int slot = slot();
    long count = in.integer("members", 0);
    List<EngineEntry> entries = new ArrayList<>();
    for (long i = 0; i < count; i++) {
      if (!nextLine() || !in.text("entry").equals("M")) {
        throw new Fields.Malformed("expected an M line");
      }
      double size = in.number("scale");
      String place = in.textOrEmpty("locality");
      EngineEntry.State state =
          switch ((int) in.integer("availability", -1)) {
            case 0 -> EngineEntry.State.GONE;
            case 1 -> EngineEntry.State.READY;
            case 2 -> EngineEntry.State.DRAINING;
            default -> throw new Fields.Malformed("unknown availability");
          };
      String id = in.text("engine");
      String kind = in.textOrEmpty("shape");
      long startedAt = in.time("up_since_ms");
      int cell = in.more() ? (int) in.integer("pack", 0) : 0;
      entries.add(new EngineEntry(id, size, place, kind, cell, state, startedAt));
    }
    lists.set(slot, entries);
  }

  private void attach() {
    Instance instance = new Instance(in.text("manager_id"));
    long seed = in.integer("init_seed", 0);
    SettingsParser boot = new SettingsParser();
    while (in.more()) {
      boot.put(in.text("pair"));
    }
    instance.columns = boot.reportColumns();
    touched.remove(instances.put(instance.name, instance));
    touched.add(instance);
    Settings settings = boot.toSettings(seed);
    guarded(instance, () -> instance.module = start.apply(settings, instance));
  }

  private void changed(long now, Instance to) {
    in.integer("rev", 0);
    int kind = (int) in.integer("kind", -1);
    if (kind < 0 || kind > 3) {
      throw new Fields.Malformed("unknown kind of list");
    }
    if (kind == 3) {
      return;
    }
    List<EngineEntry> entries = lists.get(slot());
    guarded(to, () -> to.module.onEngineList(now, kind != 0, entries));
  }

  private void incoming(long now, Instance to) {
    String id = in.text("op_id");
    String grade = in.textOrEmpty("tier_class");
    String tenant = in.textOrEmpty("party");
    long key = in.integer("relation", -1);
    long until = in.time("valid_until_ms");
    long cost = in.time("est_cost_ms");
    double memory = in.number("want_mb");
    long set = in.integer("source_set", -1);
    in.integer("attrs", 0);
    TaskRequest offer =
        new TaskRequest(id, grade, tenant, key < 0 ? null : key, until, cost, memory, set);
    guarded(to, () -> to.module.onTask(now, offer));
  }

  private void resolved(long now, Instance to) {
    String task = in.text("op_id");
    long told = in.integer("true_cost", 0);
    String engine = in.text("engine");
    long lag = in.time("lag_ms");
    boolean over = in.integer("terminal", 0) == 1;
    Outcome outcome = outcome(in.text("state_code"));
    int index = (int) in.integer("trial", 0);
    LoadReport report = report(to);
    long cost = (told >> 12) * 1_000_000L;
    double memory = (told & 4095) * 4.0;
    guarded(
        to,
        () ->
            to.module.onForwardEnd(
                now, task, index, engine, outcome, lag, over, cost, memory, report));
  }

  private void sampled(long now, Instance to) {
    String engine = in.text("engine");
    Outcome outcome = outcome(in.text("state_code"));
    in.time("lag_ms");
    LoadReport report = report(to);
    guarded(to, () -> to.module.onProbeEnd(now, engine, outcome, report));
  }

  private void signal(long now, Instance to) {
    String task = in.text("op_id");
    int index = (int) in.integer("trial", 0);
    String engine = in.text("engine");
    int what = (int) in.integer("what", 0);
    double amount = in.number("amount");
    if (what >= 1 && what <= 3) {
      DecisionModule.Progress progress = DecisionModule.Progress.values()[what - 1];
      guarded(to, () -> to.module.onProgress(now, task, index, engine, progress, amount));
    }
  }

  private LoadReport report(Instance to) {
    int count = in.more() ? in.row("health_info", row) : 0;
    if (count == 0) {
      return null;
    }
    return new LoadReport(
        column(to, "cpu_share", count),
        column(to, "busy_reqs", count),
        column(to, "pending", count),
        column(to, "x0", count),
        column(to, "x1", count));
  }

  private double column(Instance to, String name, int count) {
    int at = to.columns.indexOf(name);
    return at < 0 || at >= count ? Double.NaN : row[at];
  }

  private static Outcome outcome(String code) {
    return switch (code) {
      case "OK" -> Outcome.OK;
      case "INTERNAL" -> Outcome.ERROR;
      case "RESOURCE_EXHAUSTED" -> Outcome.FULL;
      case "DEADLINE_EXCEEDED" -> Outcome.TIME_OUT;
      case "UNAVAILABLE" -> Outcome.UNREACHED;
      case "ABORTED" -> Outcome.RESET;
      case "CANCELLED" -> Outcome.CANCELLED;
      case "TOO_LATE" -> Outcome.NEVER_SENT;
      default -> throw new Fields.Malformed("unknown outcome " + code);
    };
  }

  /** One workload manager: its module, and its actions as lines of the reply. */
  private final class Instance implements Actions {
    final String name;
    DecisionModule module;
    List<String> columns = List.of();

    Instance(String name) {
      this.name = name;
    }

    private StringBuilder say(String word) {
      return reply.append(word).append(' ').append(name).append(' ');
    }

    /** Nanoseconds as milliseconds, to the microsecond; cut, never rounded up. */
    private void time(long nanos) {
      long micros = nanos / 1000;
      long part = Math.abs(micros % 1000);
      reply
          .append(micros / 1000)
          .append('.')
          .append((char) ('0' + part / 100))
          .append((char) ('0' + part / 10 % 10))
          .append((char) ('0' + part % 10));
    }

    @Override
    public void forward(String task, String engine, long timeOut) {
      say("FORWARD").append(task).append(' ').append(engine).append(' ');
      time(timeOut);
      reply.append('\n');
    }

    @Override
    public void reject(String task, long pause) {
      say("BOUNCE").append(task).append(' ');
      time(pause);
      reply.append('\n');
    }

    @Override
    public void abort(String task) {
      say("FINISH_ERROR").append(task).append('\n');
    }

    @Override
    public void assignResources(String task, long memoryMb, int priority) {
      say("PROVIDE")
          .append(task)
          .append(' ')
          .append(memoryMb)
          .append(' ')
          .append(priority)
          .append('\n');
    }

    @Override
    public void probe(String engine) {
      say("HEALTH_CHECK").append(engine).append('\n');
    }

    @Override
    public void cancel(String task, int index) {
      say("CANCEL").append(task).append(' ').append(index).append('\n');
    }

    @Override
    public void scheduleWakeUp(long in, String token) {
      say("DEFER");
      time(in);
      reply.append(' ').append(token).append('\n');
    }

    @Override
    public void log(String text) {
      say("RECORD").append(text).append('\n');
    }
  }
}

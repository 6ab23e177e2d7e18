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
 * Connects decision modules to the simulator: reads its events line by line, calls the module of
 * the manager that each event is for, and writes the actions as lines of the reply.
 */
public final class SimulatorAdapter {

  private static final int MAX_LISTS = 16;

  private final FieldReader fields;
  private final OutputStream out;
  private final PrintStream err;
  private final BiFunction<Settings, Actions, DecisionModule> moduleFactory;
  private final StringBuilder reply = new StringBuilder();
  private final Map<String, Instance> instances = new HashMap<>();
  private final List<List<EngineEntry>> engineLists = new ArrayList<>();
  private final Set<Instance> pendingInstances = new LinkedHashSet<>();
  private final double[] reportFigures = new double[16];
  private long lineNumber;
  private boolean failed;

  /** Creates an adapter whose managers use {@link Decide}. */
  public SimulatorAdapter(InputStream in, OutputStream out, PrintStream err) {
    this(in, out, err, Decide::new);
  }

  SimulatorAdapter(
      InputStream in,
      OutputStream out,
      PrintStream err,
      BiFunction<Settings, Actions, DecisionModule> moduleFactory) {
    this.moduleFactory = moduleFactory;
    this.fields = new FieldReader(in);
    this.out = out;
    this.err = err;
    for (int i = 0; i < MAX_LISTS; i++) {
      engineLists.add(List.of());
    }
  }

  /** Serves until the input ends and returns the exit code: 0, or 2 after a malformed line. */
  public int run() throws IOException {
    try {
      while (nextLine()) {
        if (!fields.isBlank()) {
          processBatch();
        }
      }
      return 0;
    } catch (InvalidInputException | ArithmeticException e) {
      err.println(
          "tansytrack: line "
              + lineNumber
              + ": "
              + e.getMessage()
              + " in '"
              + fields.excerpt()
              + "'");
      return 2;
    }
  }

  private boolean nextLine() throws IOException {
    lineNumber++;
    return fields.nextLine();
  }

  private void processBatch() throws IOException {
    String message = fields.text("message");
    if (!message.equals("BATCH")) {
      throw new FieldReader.MalformedLineException("expected BATCH, not " + message);
    }
    long now = fields.timeNanos("clock");
    reply.setLength(0);
    while (true) {
      if (!nextLine()) {
        throw new FieldReader.MalformedLineException("input ended inside a batch");
      }
      if (fields.isBlank()) {
        continue;
      }
      String event = fields.text("message");
      if (event.equals("OVER_TO_YOU")) {
        break;
      }
      processEvent(now, event);
    }
    for (Instance instance : pendingInstances) {
      callModule(instance, () -> instance.module.decide(now));
    }
    pendingInstances.clear();
    reply.append("FINISHED\n");
    out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  private void processEvent(long now, String event) throws IOException {
    switch (event) {
      case "REGISTER" -> registerList();
      case "ATTACH" -> attachManager();
      case "EXIT" -> pendingInstances.remove(instances.remove(fields.text("manager_id")));
      case "BACKENDS_CHANGED" -> onEngineList(now, receiver());
      case "INCOMING" -> onTask(now, receiver());
      case "RESOLVED" -> onForwardEnd(now, receiver());
      case "SAMPLED" -> onProbeEnd(now, receiver());
      case "SIGNAL" -> onProgress(now, receiver());
      case "WAKEUP" -> {
        Instance instance = receiver();
        String token = fields.text("nonce");
        callModule(instance, () -> instance.module.onWakeUp(now, token));
      }
      case "ABANDONED" -> {
        Instance instance = receiver();
        String task = fields.text("op_id");
        callModule(instance, () -> instance.module.onClientLeft(now, task));
      }
      case "INBOX", "ACK_FIRST" -> receiver();
      default -> throw new FieldReader.MalformedLineException("unknown event " + event);
    }
  }

  /** Returns the instance that an event is for and marks it to decide in this batch. */
  private Instance receiver() {
    String name = fields.text("manager_id");
    Instance instance = instances.get(name);
    if (instance == null) {
      throw new FieldReader.MalformedLineException("no instance " + name);
    }
    pendingInstances.add(instance);
    return instance;
  }

  /** Runs a call of a module. Its first failure is reported; after that no module is called. */
  private void callModule(Instance instance, Runnable call) {
    if (failed) {
      return;
    }
    try {
      call.run();
    } catch (RuntimeException e) {
      failed = true;
      StackTraceElement[] trace = e.getStackTrace();
      String failure = e + (trace.length > 0 ? " at " + trace[0] : "");
      reply
          .append("DIE ")
          .append(instance.name)
          .append(' ')
          .append(failure.replace('\n', ' '))
          .append('\n');
    }
  }

  private int slot() {
    long slot = fields.integer("slot", -1);
    if (slot < 0 || slot >= MAX_LISTS) {
      throw new FieldReader.MalformedLineException("slot out of range");
    }
    return (int) slot;
  }

  private void registerList() throws IOException {
    int slot = slot();
    long count = fields.integer("members", 0);
    List<EngineEntry> entries = new ArrayList<>();
    for (long i = 0; i < count; i++) {
      if (!nextLine() || !fields.text("entry").equals("M")) {
        throw new FieldReader.MalformedLineException("expected an M line");
      }
      double size = fields.number("scale");
      String zone = fields.textOrEmpty("locality");
      EngineEntry.State state =
          switch ((int) fields.integer("availability", -1)) {
            case 0 -> EngineEntry.State.GONE;
            case 1 -> EngineEntry.State.READY;
            case 2 -> EngineEntry.State.DRAINING;
            default -> throw new FieldReader.MalformedLineException("unknown availability");
          };
      String id = fields.text("engine");
      String type = fields.textOrEmpty("shape");
      long startedAt = fields.timeNanos("up_since_ms");
      int cell = fields.hasMore() ? (int) fields.integer("pack", 0) : 0;
      entries.add(new EngineEntry(id, size, zone, type, cell, state, startedAt));
    }
    engineLists.set(slot, entries);
  }

  private void attachManager() {
    Instance instance = new Instance(fields.text("manager_id"));
    long seed = fields.integer("init_seed", 0);
    SettingsParser parser = new SettingsParser();
    while (fields.hasMore()) {
      parser.put(fields.text("pair"));
    }
    instance.reportColumns = parser.reportColumns();
    pendingInstances.remove(instances.put(instance.name, instance));
    pendingInstances.add(instance);
    Settings settings = parser.toSettings(seed);
    callModule(instance, () -> instance.module = moduleFactory.apply(settings, instance));
  }

  private void onEngineList(long now, Instance instance) {
    fields.integer("rev", 0);
    int listKind = (int) fields.integer("kind", -1);
    if (listKind < 0 || listKind > 3) {
      throw new FieldReader.MalformedLineException("unknown kind of list");
    }
    if (listKind == 3) {
      return;
    }
    List<EngineEntry> entries = engineLists.get(slot());
    callModule(instance, () -> instance.module.onEngineList(now, listKind != 0, entries));
  }

  private void onTask(long now, Instance instance) {
    String id = fields.text("op_id");
    String queryClass = fields.textOrEmpty("tier_class");
    String tenant = fields.textOrEmpty("party");
    long key = fields.integer("relation", -1);
    long deadline = fields.timeNanos("valid_until_ms");
    long cost = fields.timeNanos("est_cost_ms");
    double memoryMb = fields.number("want_mb");
    long dataSet = fields.integer("source_set", -1);
    fields.integer("attrs", 0);
    TaskRequest request =
        new TaskRequest(
            id, queryClass, tenant, key < 0 ? null : key, deadline, cost, memoryMb, dataSet);
    callModule(instance, () -> instance.module.onTask(now, request));
  }

  private void onForwardEnd(long now, Instance instance) {
    String task = fields.text("op_id");
    long costAndMemory = fields.integer("true_cost", 0);
    String engine = fields.text("engine");
    long lag = fields.timeNanos("lag_ms");
    boolean over = fields.integer("terminal", 0) == 1;
    Outcome outcome = outcome(fields.text("state_code"));
    int index = (int) fields.integer("trial", 0);
    LoadReport report = report(instance);
    long cost = (costAndMemory >> 12) * 1_000_000L;
    double memoryMb = (costAndMemory & 4095) * 4.0;
    callModule(
        instance,
        () ->
            instance.module.onForwardEnd(
                now, task, index, engine, outcome, lag, over, cost, memoryMb, report));
  }

  private void onProbeEnd(long now, Instance instance) {
    String engine = fields.text("engine");
    Outcome outcome = outcome(fields.text("state_code"));
    fields.timeNanos("lag_ms");
    LoadReport report = report(instance);
    callModule(instance, () -> instance.module.onProbeEnd(now, engine, outcome, report));
  }

  private void onProgress(long now, Instance instance) {
    String task = fields.text("op_id");
    int index = (int) fields.integer("trial", 0);
    String engine = fields.text("engine");
    int progressCode = (int) fields.integer("what", 0);
    double amount = fields.number("amount");
    if (progressCode >= 1 && progressCode <= 3) {
      DecisionModule.Progress progress = DecisionModule.Progress.values()[progressCode - 1];
      callModule(
          instance, () -> instance.module.onProgress(now, task, index, engine, progress, amount));
    }
  }

  private LoadReport report(Instance instance) {
    int count = fields.hasMore() ? fields.numbers("health_info", reportFigures) : 0;
    if (count == 0) {
      return null;
    }
    return new LoadReport(
        column(instance, "cpu_share", count),
        column(instance, "busy_reqs", count),
        column(instance, "pending", count),
        column(instance, "x0", count),
        column(instance, "x1", count));
  }

  private double column(Instance instance, String name, int count) {
    int index = instance.reportColumns.indexOf(name);
    return index < 0 || index >= count ? Double.NaN : reportFigures[index];
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
      default -> throw new FieldReader.MalformedLineException("unknown outcome " + code);
    };
  }

  /** One workload manager: its module, and the actions that it writes to the reply. */
  private final class Instance implements Actions {
    final String name;
    DecisionModule module;
    List<String> reportColumns = List.of();

    Instance(String name) {
      this.name = name;
    }

    private StringBuilder appendAction(String action) {
      return reply.append(action).append(' ').append(name).append(' ');
    }

    /** Writes nanoseconds as milliseconds with three decimals, rounded towards zero. */
    private void appendMillis(long nanos) {
      long micros = nanos / 1000;
      long fraction = Math.abs(micros % 1000);
      reply
          .append(micros / 1000)
          .append('.')
          .append((char) ('0' + fraction / 100))
          .append((char) ('0' + fraction / 10 % 10))
          .append((char) ('0' + fraction % 10));
    }

    @Override
    public void forward(String task, String engine, long timeoutNanos) {
      appendAction("FORWARD").append(task).append(' ').append(engine).append(' ');
      appendMillis(timeoutNanos);
      reply.append('\n');
    }

    @Override
    public void reject(String task, long retryAfterNanos) {
      appendAction("BOUNCE").append(task).append(' ');
      appendMillis(retryAfterNanos);
      reply.append('\n');
    }

    @Override
    public void abort(String task) {
      appendAction("FINISH_ERROR").append(task).append('\n');
    }

    @Override
    public void assignResources(String task, long memoryMb, int priority) {
      appendAction("PROVIDE")
          .append(task)
          .append(' ')
          .append(memoryMb)
          .append(' ')
          .append(priority)
          .append('\n');
    }

    @Override
    public void probe(String engine) {
      appendAction("HEALTH_CHECK").append(engine).append('\n');
    }

    @Override
    public void cancel(String task, int index) {
      appendAction("CANCEL").append(task).append(' ').append(index).append('\n');
    }

    @Override
    public void scheduleWakeUp(long delayNanos, String token) {
      appendAction("DEFER");
      appendMillis(delayNanos);
      reply.append(' ').append(token).append('\n');
    }

    @Override
    public void log(String text) {
      appendAction("RECORD").append(text).append('\n');
    }
  }
}

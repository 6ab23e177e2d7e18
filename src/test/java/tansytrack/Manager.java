package tansytrack;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tansytrack.api.Actions;
import tansytrack.api.DecisionModule;
import tansytrack.api.EngineEntry;
import tansytrack.api.EngineStatus;
import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;
import tansytrack.api.QueryClass;
import tansytrack.api.Settings;
import tansytrack.api.TaskRequest;

/** One workload manager under test: plain settings, a clock, and what the module did. */
final class Manager implements Actions {

  static final long MS = 1_000_000L;

  int siblings = 1;
  int position = Settings.UNKNOWN_INDEX;
  long seed = 7;
  boolean cancels = true;
  boolean copies;
  boolean probes;
  long connectTime;
  boolean tenants = true; // does the deployment name any?
  Settings.ColdStartLimit cold;
  Settings.RetryBudget ration;
  final List<String> did = new ArrayList<>();
  final List<String> logs = new ArrayList<>();
  final List<String> provided = new ArrayList<>();
  private Decide module;
  private long now = 100_000 * MS;
  private long due; // the next sweep

  static QueryClass grade(
      String name,
      QueryClass.RetrySafety repeat,
      QueryClass.DeduplicationScope scope,
      boolean inOrder,
      String... kinds) {
    return new QueryClass(
        name,
        repeat,
        scope,
        5000 * MS,
        1000 * MS,
        2,
        20_000 * MS,
        1,
        0.5,
        inOrder,
        Set.of(),
        Set.of(kinds),
        1,
        name.equals("load"),
        name.equals("short"));
  }

  private Decide module() {
    if (module == null) {
      module =
          new Decide(
              new Settings(
                  seed,
                  siblings,
                  position,
                  "here",
                  List.of(
                      grade(
                          "short",
                          QueryClass.RetrySafety.IDEMPOTENT,
                          QueryClass.DeduplicationScope.ALL,
                          false),
                      grade(
                          "stamp",
                          QueryClass.RetrySafety.DEDUPLICATED,
                          QueryClass.DeduplicationScope.ALL,
                          false),
                      grade(
                          "cell",
                          QueryClass.RetrySafety.DEDUPLICATED,
                          QueryClass.DeduplicationScope.CELL,
                          false),
                      grade(
                          "once",
                          QueryClass.RetrySafety.NON_IDEMPOTENT,
                          QueryClass.DeduplicationScope.ALL,
                          true),
                      grade(
                          "load",
                          QueryClass.RetrySafety.IDEMPOTENT,
                          QueryClass.DeduplicationScope.ALL,
                          false),
                      grade(
                          "bound",
                          QueryClass.RetrySafety.IDEMPOTENT,
                          QueryClass.DeduplicationScope.ALL,
                          false,
                          "big")),
                  tenants
                      ? List.of(
                          new Settings.Tenant("a", 0.75, 100), new Settings.Tenant("b", 0.25, 100))
                      : List.of(),
                  Map.of(
                      "small",
                      new Settings.EngineType(4, 1000),
                      "big",
                      new Settings.EngineType(8, 2000)),
                  new Settings.Capabilities(
                      probes,
                      cancels,
                      copies,
                      true,
                      500 * MS,
                      3,
                      true,
                      0.5,
                      true,
                      true,
                      0,
                      false,
                      connectTime),
                  1000 * MS,
                  cold,
                  300 * MS,
                  ration),
              this);
    }
    return module;
  }

  static EngineEntry engine(
      String id, String kind, int cell, EngineEntry.State state, long startedAt) {
    return new EngineEntry(id, 1, "here", kind, cell, state, startedAt * MS);
  }

  static EngineEntry small(String id) {
    return engine(id, "small", id.hashCode(), EngineEntry.State.READY, 0);
  }

  static EngineEntry big(String id) {
    return engine(id, "big", id.hashCode(), EngineEntry.State.READY, 0);
  }

  Manager list(boolean complete, EngineEntry... entries) {
    return list(complete, List.of(entries));
  }

  Manager list(boolean complete, List<EngineEntry> entries) {
    module().onEngineList(now, complete, entries);
    module().decide(now);
    return this;
  }

  /**
   * Takes a task: "id grade tenant", and then any of key=, cost=, left= (milliseconds), mb=, set=.
   */
  Manager take(String words) {
    String[] word = words.split(" ");
    Long key = null;
    long cost = 100;
    long left = 20_000;
    double mb = 10;
    long set = -1;
    for (int i = 3; i < word.length; i++) {
      long value = Long.parseLong(word[i].substring(word[i].indexOf('=') + 1));
      switch (word[i].substring(0, word[i].indexOf('='))) {
        case "key" -> key = value;
        case "cost" -> cost = value;
        case "left" -> left = value;
        case "mb" -> mb = value;
        default -> set = value;
      }
    }
    module()
        .onTask(
            now,
            new TaskRequest(
                word[0],
                word[1],
                word[2].equals("-") ? "" : word[2],
                key,
                now + left * MS,
                cost * MS,
                mb,
                set));
    return this;
  }

  Manager decide() {
    module().decide(now);
    return this;
  }

  Manager takeAll(int count, String words) {
    for (int i = 0; i < count; i++) {
      take(words.replace("#", "" + i));
    }
    return decide();
  }

  /** The forward of that task that has the given index ends on the engine it was sent to. */
  Manager end(String task, int index, Outcome outcome) {
    return end(task, index, outcome, null);
  }

  Manager end(String task, int index, Outcome outcome, LoadReport report) {
    String engine =
        did.stream()
            .filter(line -> line.startsWith("forward " + task + " "))
            .skip(index)
            .findFirst()
            .orElse("  ")
            .split(" ")[2];
    module()
        .onForwardEnd(now, task, index, engine, outcome, 0, outcome == Outcome.OK, 0, 0, report);
    return decide();
  }

  /** The first forward of that task is said to stand still. */
  Manager waits(String task) {
    return note(task, DecisionModule.Progress.WAITING, 2);
  }

  /** Or to have done a share of its work. */
  Manager tells(String task, double share) {
    return note(task, DecisionModule.Progress.FRACTION_DONE, share);
  }

  private Manager note(String task, DecisionModule.Progress what, double amount) {
    String engine = did("forward " + task + " ").get(0).split(" ")[2];
    module().onProgress(now, task, 0, engine, what, amount);
    return decide();
  }

  /** In one batch: a sweep, the end of a probe, a listing and a task. */
  Manager atOnce(EngineEntry entry, String task) {
    module().onWakeUp(now, "sweep");
    module().onProbeEnd(now, entry.id(), Outcome.OK, null);
    module().onEngineList(now, false, List.of(entry));
    return take(task).decide();
  }

  /** It is told to end; answers count for so many milliseconds more. */
  Manager admit(boolean open) {
    module().onAdmissionChange(now, open);
    return this;
  }

  Manager siblings(int count) {
    module().onManagerCount(now, count);
    return this;
  }

  long now() {
    return now;
  }

  Manager stop(long ms) {
    module().onShutdown(now, now + ms * MS);
    return decide();
  }

  Manager leave(String task) {
    return leaves(task).decide();
  }

  /** Its client leaves, and more news comes in the same batch. */
  Manager leaves(String task) {
    module().onClientLeft(now, task);
    return this;
  }

  /** So many probes of it have ended, in the same batch as what follows. */
  Manager probes(String engine, int count) {
    for (int i = 0; i < count; i++) {
      module().onProbeEnd(now, engine, Outcome.FULL, null);
    }
    return this;
  }

  Manager probed(String engine, Outcome outcome, LoadReport report) {
    module().onProbeEnd(now, engine, outcome, report);
    return decide();
  }

  /** Lets time pass, with the module's sweeps. */
  Manager pass(long ms) {
    long end = now + ms * MS;
    while (due <= end) {
      now = due;
      module().onWakeUp(now, "sweep");
      module().decide(now);
    }
    now = end;
    return this;
  }

  /** Ids of the engines that it has records of. */
  List<String> known() {
    return module().engineStatuses(now).stream().map(EngineStatus::id).toList();
  }

  /** Everything done so far that begins with the words. */
  List<String> did(String words) {
    return did.stream().filter(line -> line.startsWith(words)).toList();
  }

  long sentTo(String engine) {
    return did.stream()
        .filter(line -> line.startsWith("forward") && line.endsWith(" " + engine))
        .count();
  }

  @Override
  public void forward(String task, String engine, long timeOut) {
    did.add("forward " + task + " " + engine);
  }

  @Override
  public void reject(String task, long pause) {
    did.add("bounce " + task);
  }

  @Override
  public void abort(String task) {
    did.add("abort " + task);
  }

  @Override
  public void assignResources(String task, long memoryMb, int priority) {
    provided.add(task + " " + memoryMb + " " + priority);
  }

  @Override
  public void probe(String engine) {
    did.add("probe " + engine);
  }

  @Override
  public void cancel(String task, int index) {
    did.add("cancel " + task + " " + index);
  }

  @Override
  public void scheduleWakeUp(long in, String token) {
    due = now + in;
  }

  @Override
  public void log(String text) {
    logs.add(text);
  }
}

package tansytrack.state;

import static java.util.stream.Collectors.toSet;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import org.tinylog.Logger;
import tansytrack.api.Actions;
import tansytrack.api.Decisions;
import tansytrack.api.EngineEntry;
import tansytrack.api.EngineView;
import tansytrack.api.Grade;
import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;
import tansytrack.api.Settings;
import tansytrack.api.TaskOffer;
import tansytrack.settings.Config;
import tansytrack.wire.Connection;
import tansytrack.wire.Http;
import tansytrack.wire.Junk;
import tansytrack.wire.PgSession;
import tansytrack.wire.Sockets;
import tansytrack.wire.Statement;

/**
 * The state of a running workload manager: client sessions, open tasks and connections to engines.
 * It passes events from the sockets to the decision module and carries out the module's actions.
 * All methods run on the event loop's thread.
 */
public final class Manager implements Actions, PgSession.Front {

  private static final long MS = 1_000_000L;

  // For the files of the program itself, its listener and command channel, and for clients that
  // connect while all other descriptors are in use.
  private static final int SPARE_DESCRIPTORS = 64;

  // Of those, the ones that clients may not use: with no more left, a new client is rejected.
  private static final int LAST_DESCRIPTORS = 24;

  // A request is sent at least this long before the engine closes its connection as idle.
  private static final long LONGEST_LAG = 3000 * MS;

  // Interval of the checks of sessions and idle connections.
  private static final long ROUND = 500 * MS;
  private static final String[] COLUMNS = {"c1", "c2", "c3"};

  // SQLSTATE system_error: unlike 53300, it does not promise that the statement has not run.
  private static final String FAILED = "58000";

  // Counter names, indexed by the ordinals of TaskWatch.End.
  private static final String[] ENDED = {
    "tasks.handled", "tasks.bounced", "tasks.aborted", "tasks.abandoned", "tasks.time_up"
  };
  private static final String SHOW_STATS = "show stats";
  private static final String SHOW_FLEET = "show fleet";
  private static final String[] STATS = {"counter", "count"};

  /**
   * Limit for the counters by engine in SHOW STATS, in characters, as the answer has to fit into a
   * session's output buffer.
   */
  private static final int LONGEST_ENGINE_STATS = 1 << 17;

  private final Config config;
  private final Timers timers;
  private final Sockets sockets;
  private final Counters counters = new Counters();
  private final Decisions module;
  private final TaskWatch watch;
  private final Siblings siblings;
  private final EngineLines.Limits limits;
  private int mostSessions;
  private final SecureRandom secrets = new SecureRandom();
  private final Intake intake;
  // Classes whose queries run one at a time for each key.
  private final Set<String> orderedClasses;
  private final Map<String, OpenTask> tasks = new HashMap<>();
  private final Map<String, EngineLines> engines = new LinkedHashMap<>();
  // In the order of their creation.
  private final Map<Integer, PgSession> sessions = new LinkedHashMap<>();
  private final ArrayDeque<OpenTask> finished = new ArrayDeque<>();
  private final ArrayDeque<Runnable> later = new ArrayDeque<>();
  private int sessionNumber;
  // Whether the module was last told that new tasks are admitted.
  private boolean admitted = true;
  // The number of tasks that have not been answered.
  private int owed;
  // Whether the module has received events since its last decision.
  private boolean told;

  /** Creates the manager and, through the given factory, its decision module. */
  public Manager(
      Config config,
      Timers timers,
      Sockets sockets,
      BiFunction<Settings, Actions, Decisions> start,
      TaskWatch watch,
      Siblings siblings) {
    this.config = config;
    this.watch = watch;
    this.siblings = siblings;
    this.timers = timers;
    this.sockets = sockets;
    limits =
        new EngineLines.Limits(
            config.connectTime(), Math.max(config.idleTime() / 2, config.idleTime() - LONGEST_LAG));
    descriptors(config.mostDescriptors());
    intake =
        new Intake(
            config.settings().grades().stream().map(Grade::name).collect(toSet()),
            config.settings().tenants().stream().map(Settings.Tenant::name).collect(toSet()));
    orderedClasses =
        config.settings().grades().stream()
            .filter(Grade::inOrder)
            .map(Grade::name)
            .collect(toSet());
    module = start.apply(config.settings(), this);
    timers.at(timers.now() + ROUND, this::round);
  }

  // ---- Called by the event loop ----

  @Override
  public void later(Runnable what) {
    later.add(what);
  }

  /**
   * Runs deferred actions and lets the module decide on the events it has received, until neither is
   * left.
   */
  public void turn() {
    while (told || !later.isEmpty()) {
      for (int i = later.size(); i > 0; i--) {
        later.poll().run();
      }
      if (told) {
        told = false;
        module.decide(timers.now());
        // Removed only after the decision, as the module may still act on a task in the same
        // decision in which it learns that the task is over.
        for (OpenTask task = finished.poll(); task != null; task = finished.poll()) {
          if (task.out == 0) {
            tasks.remove(task.id, task);
          }
        }
      }
    }
  }

  /** Sets the number of file descriptors that the process may use in all. */
  public void descriptors(int most) {
    limits.most = most - SPARE_DESCRIPTORS;
    mostSessions = most / 2;
    sockets.mostAccepted(mostSessions + LAST_DESCRIPTORS);
  }

  /** Returns the event counters of this manager. */
  public Counters counters() {
    return counters;
  }

  /** Returns the number of known engines. */
  public int engineCount() {
    return engines.size();
  }

  /**
   * Asks the engines about the forwards that the previous run left unresolved. Called once the
   * engines are known.
   */
  public void inquire() {
    if (!watch.left().isEmpty()) {
      new Inquiry(this, timers, watch).start(watch.left());
    }
  }

  EngineLines engine(String id) {
    return engines.get(id);
  }

  /** Tells the module how many managers share the engines from now on. */
  public void siblings(int count) {
    told = true;
    module.siblings(timers.now(), count);
  }

  /**
   * Tells the module that the manager is stopping and that no answer given after the given time is
   * delivered.
   */
  public void stopping(long until) {
    told = true;
    module.stopping(timers.now(), until);
  }

  /** Whether every task is answered and every answer has been sent. */
  public boolean idle() {
    return owed == 0 && sessions.values().stream().noneMatch(PgSession::busy);
  }

  /** Ends all sessions, and each connection to an engine once its open request has ended. */
  public void close() {
    engines.values().forEach(EngineLines::retire);
    new ArrayList<>(sessions.values()).forEach(PgSession::end);
  }

  private void round() {
    new ArrayList<>(sessions.values()).forEach(PgSession::round);
    // Not removed at once, as the module may still act on an engine in the same decision in which
    // it learns that the engine is gone.
    engines.values().removeIf(engine -> engine.forgotten(2 * ROUND));
    engines.values().forEach(EngineLines::trim);
    timers.at(timers.now() + ROUND, this::round);
  }

  // ---- Called by the command channel ----

  /**
   * Takes over a list of engines.
   *
   * @param complete whether the list is complete; otherwise it holds only changes
   * @param addresses the addresses of the engines that are not gone, by their ids
   */
  public void engines(
      boolean complete, List<EngineEntry> entries, Map<String, InetSocketAddress> addresses) {
    counters.add("channel.lists");
    if (complete) {
      engines.values().stream()
          .filter(engine -> !addresses.containsKey(engine.id))
          .forEach(EngineLines::retire);
    }
    for (EngineEntry entry : entries) {
      if (entry.state() != EngineEntry.State.GONE) {
        engines
            .computeIfAbsent(
                entry.id(), id -> new EngineLines(id, sockets, timers, limits, counters))
            .listed(addresses.get(entry.id()), entry.state() == EngineEntry.State.READY);
      } else if (engines.containsKey(entry.id())) {
        engines.get(entry.id()).retire();
      }
    }
    tasks.values().forEach(task -> task.forwards.forEach(OpenForward::undrained));
    told = true;
    module.engines(timers.now(), complete, entries);
  }

  // ---- Called for clients ----

  /** Creates a session on an accepted connection; if there is no room, a session is rejected. */
  public void accepted(Connection connection) {
    counters.add("clients.connections");
    int number = ++sessionNumber;
    PgSession session = new PgSession(connection, this, number, secrets.nextInt());
    if (sessions.size() >= mostSessions
        || sockets.open() > limits.most + SPARE_DESCRIPTORS - LAST_DESCRIPTORS) {
      counters.add("clients.too_many");
      PgSession given = leastNeeded();
      (given == null ? session : given).refuse();
    }
    sessions.put(number, session);
  }

  /**
   * Returns the session to close when there is no room for a new one, or null. Many clients that
   * connect and send nothing thus displace each other and not the clients that send queries.
   */
  private PgSession leastNeeded() {
    PgSession least = null;
    for (PgSession one : sessions.values()) {
      if (one.dispensable() > (least == null ? -1 : least.dispensable())) {
        least = one;
      }
    }
    return least;
  }

  @Override
  public void query(PgSession session, byte[] text, long at) {
    counters.add("clients.queries");
    Statement statement;
    TaskOffer offer;
    String stamp;
    try {
      statement = Statement.read(text);
      if (statement.is(SHOW_STATS)) {
        session.rows(STATS, List.of(stats()));
        return;
      }
      if (statement.is(SHOW_FLEET) && siblings.members() != null) {
        session.rows(Siblings.COLUMNS, List.of(fleet()));
        return;
      }
      offer = intake.offer(statement, at);
      stamp = Intake.stamp(statement);
      if (tasks.containsKey(offer.id())) {
        throw new Junk("field id: a task with this id is open");
      }
    } catch (Junk e) {
      counters.add("clients.unusable");
      session.unusable(e.getMessage());
      return;
    }
    OpenTask task =
        new OpenTask(
            offer.id(),
            offer.grade(),
            statement.body(),
            offer.cutOffAt(),
            offer.key() != null && orderedClasses.contains(offer.grade()),
            stamp,
            session);
    session.open(task);
    owed++;
    tasks.put(task.id, task);
    counters.add("tasks.taken");
    told = true;
    if (watch.admits() != admitted) {
      admitted = !admitted;
      module.admit(timers.now(), admitted);
    }
    watch.taken(timers.now(), offer);
    module.task(timers.now(), offer);
  }

  private static void row(StringBuilder rows, String name, long value) {
    rows.append(name).append('\t').append(value).append('\n');
  }

  private byte[] stats() {
    StringBuilder rows = new StringBuilder();
    counters.all().forEach((kind, count) -> row(rows, kind, count));
    sockets.junk().forEach((reason, count) -> row(rows, "connections.junk." + reason, count));
    siblings.counts().forEach((kind, count) -> row(rows, kind, count));
    engineStats(rows);
    return rows.toString().getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Appends the module's view of the engines next to the numbers of forwards on the sockets. They
   * differ only by events that the module has not yet received. Of thousands of engines only the
   * first ones are shown, with the number of those that are not.
   */
  private void engineStats(StringBuilder rows) {
    row(rows, "engines.known", engines.size());
    int most = rows.length() + LONGEST_ENGINE_STATS;
    int notShown = 0;
    for (EngineView view : module.view(timers.now())) {
      if (rows.length() > most) {
        notShown++;
      } else {
        engineStats(rows, view);
      }
    }
    if (notShown > 0) {
      row(rows, "engines.not_shown", notShown);
    }
  }

  private void engineStats(StringBuilder rows, EngineView view) {
    EngineLines engine = engines.get(view.id());
    String name = "engine." + view.id();
    row(rows, name + ".forwards.module", view.forwards());
    row(rows, name + ".forwards.sockets", engine == null ? 0 : engine.forwards);
    row(rows, name + ".report.age.ms", view.reportAge() < 0 ? -1 : view.reportAge() / MS);
    row(rows, name + ".excluded", view.excluded() ? 1 : 0);
  }

  private byte[] fleet() {
    StringBuilder rows = new StringBuilder();
    siblings.members().forEach(member -> rows.append(String.join("\t", member)).append('\n'));
    return rows.toString().getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public void cancel(int number, int secret) {
    PgSession session = sessions.get(number);
    if (session != null && session.fits(secret) && session.open() instanceof OpenTask task) {
      counters.add("clients.cancels");
      abandon(
          task,
          TaskWatch.End.ABANDONED,
          () -> session.error("57014", "canceling statement due to user request"));
    }
  }

  @Override
  public void gone(PgSession session) {
    if (session.open() instanceof OpenTask task) {
      counters.add("clients.left");
      abandon(task, TaskWatch.End.ABANDONED, () -> {});
    }
  }

  @Override
  public void malformed(String why) {
    counters.add("clients.malformed." + why.replace(' ', '_'));
  }

  @Override
  public void over(PgSession session) {
    sessions.remove(session.number());
  }

  /**
   * Ends a task whose deadline has passed: the client gets an error, and the module is told that no
   * answer is needed any more.
   */
  void timeUp(OpenTask task) {
    if (!task.answered()) {
      PgSession session = task.session;
      abandon(
          task,
          TaskWatch.End.TIME_UP,
          () -> session.error(FAILED, "the time is up; the statement may have run"));
    }
  }

  private void abandon(OpenTask task, TaskWatch.End end, Runnable say) {
    if (!task.answered()) {
      over(task, end, 0, say);
      told = true;
      module.abandoned(timers.now(), task.id);
    }
  }

  // ---- Results of forwards and probes ----

  /** Handles the end of a forward; the pages are null unless its outcome is OK. */
  void ended(
      OpenForward forward,
      Outcome outcome,
      long cost,
      double memory,
      LoadReport report,
      List<byte[]> pages) {
    OpenTask task = forward.task;
    task.out--;
    forward.engine.forwards--;
    counters.add("forwards.ended." + outcome);
    boolean served = outcome == Outcome.OK && !task.answered();
    watch.ended(timers.now(), task.id, forward.index, outcome, cost, memory, served);
    if (served) {
      PgSession session = task.session;
      over(task, TaskWatch.End.HANDLED, forward.bytes(), () -> session.rows(COLUMNS, pages));
    }
    boolean over = task.answered();
    forget(task);
    told = true;
    module.outcome(
        timers.now(),
        task.id,
        forward.index,
        forward.engine.id,
        outcome,
        timers.now() - forward.at,
        over,
        cost,
        memory,
        report);
  }

  /** Ends a task. Every task is answered, or given up, through this method. */
  private void over(OpenTask task, TaskWatch.End end, long bytes, Runnable say) {
    owed--;
    counters.add(ENDED[end.ordinal()]);
    task.session.open(null);
    task.session = null;
    task.forwards.forEach(OpenForward::takeBack);
    forget(task);
    watch.answered(timers.now(), task.id, end, bytes, say);
  }

  private void forget(OpenTask task) {
    if (task.answered() && task.out == 0) {
      finished.add(task);
    }
  }

  /** Handles the end of a probe. */
  void probed(EngineLines engine, Outcome outcome, LoadReport report) {
    counters.add("probes.ended." + outcome);
    told = true;
    module.probed(timers.now(), engine.id, outcome, report);
  }

  /** Returns the load report of a response, or null if it has none. */
  LoadReport report(Http.Answer answer) throws Junk {
    String load = answer.field("x-load");
    return load == null ? null : config.report(figures(load));
  }

  private double[] figures(String told) throws Junk {
    double[] figures = new double[config.columns().size()];
    Arrays.fill(figures, Double.NaN);
    for (int from = 0; from < told.length(); ) {
      int end = told.indexOf(';', from);
      end = end < 0 ? told.length() : end;
      int colon = told.indexOf(':', from);
      if (colon < 0 || colon > end) {
        throw new Junk("a load report without a figure");
      }
      int column = config.column(told.substring(from, colon).strip());
      if (column >= 0) {
        figures[column] = Http.amount(told.substring(colon + 1, end).strip());
      }
      from = end + 1;
    }
    return figures;
  }

  // ---- Actions ----

  @Override
  public void forward(String id, String engine, long timeOut) {
    OpenTask task = tasks.get(id);
    counters.add("forwards.sent");
    OpenForward forward =
        new OpenForward(this, timers, task, task.forwards.size(), engines.get(engine));
    task.forwards.add(forward);
    task.out++;
    forward.engine.forwards++;
    forward.due(timeOut > 0 ? Math.min(timers.now() + timeOut, task.cutOffAt) : task.cutOffAt);
    watch.sent(timers.now(), id, forward.index, engine, task.memoryMb, forward::start);
  }

  @Override
  public void bounce(String id, long pause) {
    OpenTask task = tasks.get(id);
    if (task != null && !task.answered()) {
      PgSession session = task.session;
      over(
          task,
          TaskWatch.End.BOUNCED,
          0,
          () ->
              session.error(
                  "53300",
                  pause > 0
                      ? "no room at present, after=" + (pause + MS - 1) / MS
                      : "no room at present"));
    }
  }

  @Override
  public void abort(String id) {
    OpenTask task = tasks.get(id);
    if (task != null && !task.answered()) {
      PgSession session = task.session;
      over(
          task,
          TaskWatch.End.ABORTED,
          0,
          () -> session.error(FAILED, "the statement failed; it may have run"));
    }
  }

  @Override
  public void provide(String id, long memoryMb, int priority) {
    OpenTask task = tasks.get(id);
    boolean changed = task.priority != priority;
    task.memoryMb = memoryMb;
    task.priority = priority;
    if (changed && task.out > 0) {
      task.forwards.forEach(forward -> forward.priority(priority));
    }
  }

  @Override
  public void probe(String id) {
    counters.add("probes.sent");
    new Probe(this, engines.get(id)).start(timers, config.connectTime());
  }

  @Override
  public void cancel(String id, int index) {
    OpenTask task = tasks.get(id);
    if (task != null && index < task.forwards.size()) {
      counters.add("forwards.cancelled");
      task.forwards.get(index).cancel();
    }
  }

  @Override
  public void wake(long in, String token) {
    timers.at(
        timers.now() + in,
        () -> {
          told = true;
          module.woken(timers.now(), token);
        });
  }

  @Override
  public void log(String text) {
    Logger.info(text);
  }
}

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
import tansytrack.api.DecisionModule;
import tansytrack.api.EngineEntry;
import tansytrack.api.EngineStatus;
import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;
import tansytrack.api.QueryClass;
import tansytrack.api.Settings;
import tansytrack.api.TaskRequest;
import tansytrack.settings.ManagerConfig;
import tansytrack.wire.Connection;
import tansytrack.wire.HttpCodec;
import tansytrack.wire.PgSession;
import tansytrack.wire.ProtocolException;
import tansytrack.wire.Sockets;
import tansytrack.wire.Statement;

/**
 * What a running workload manager holds, between the module on one side and the sockets on the
 * other.
 */
public final class Manager implements Actions, PgSession.Handler {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final int RESERVED_DESCRIPTORS =
      64; // files of the program itself, its listener and channel,
  // and clients that come while all others are in use
  private static final int MIN_FREE_DESCRIPTORS =
      24; // of those: with no more left no client is taken in
  private static final long IDLE_TIMEOUT_MARGIN_NANOS =
      3000 * NANOS_PER_MS; // a call leaves so long before its connection is closed as idle
  private static final long ROUND_INTERVAL_NANOS =
      500 * NANOS_PER_MS; // between rounds over sessions and idle connections
  private static final String[] RESULT_COLUMNS = {"c1", "c2", "c3"};
  private static final String SQLSTATE_FAILED = "58000"; // no refusal: it promises nothing
  private static final String[] TASK_END_COUNTERS = {
    "tasks.handled", "tasks.bounced", "tasks.aborted", "tasks.abandoned", "tasks.time_up"
  }; // by TaskWatch.End
  private static final String SHOW_STATS = "show stats";
  private static final String SHOW_FLEET = "show fleet";
  private static final String[] STATS_COLUMNS = {"counter", "count"};

  /** Characters of the counters by engine: their messages have to fit what a session may hold. */
  private static final int MAX_ENGINE_STATS_CHARS = 1 << 17;

  private final ManagerConfig config;
  private final Timers timers;
  private final Sockets sockets;
  private final Counters counters = new Counters();
  private final DecisionModule module;
  private final TaskListener listener;
  private final PeerManagers peerManagers;
  private final EngineConnections.Limits limits;
  private int maxSessions;
  private final SecureRandom random = new SecureRandom();
  private final TaskParser taskParser;
  private final Set<String> orderedClasses; // whose queries run one at a time, by key
  private final Map<String, OpenTask> tasks = new HashMap<>();
  private final Map<String, EngineConnections> engines = new LinkedHashMap<>();
  private final Map<Integer, PgSession> sessions = new LinkedHashMap<>(); // the oldest first
  private final ArrayDeque<OpenTask> finished = new ArrayDeque<>();
  private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
  private int lastProcessId;
  private boolean admitting = true; // as the module was last told
  private int unansweredTasks; // answers
  private boolean decisionPending; // the module has heard something and not yet decided

  public Manager(
      ManagerConfig config,
      Timers timers,
      Sockets sockets,
      BiFunction<Settings, Actions, DecisionModule> start,
      TaskListener watch,
      PeerManagers siblings) {
    this.config = config;
    this.listener = watch;
    this.peerManagers = siblings;
    this.timers = timers;
    this.sockets = sockets;
    limits =
        new EngineConnections.Limits(
            config.connectTimeoutNanos(),
            Math.max(
                config.idleTimeoutNanos() / 2,
                config.idleTimeoutNanos() - IDLE_TIMEOUT_MARGIN_NANOS));
    updateMaxDescriptors(config.maxDescriptors());
    taskParser =
        new TaskParser(
            config.settings().queryClasses().stream().map(QueryClass::name).collect(toSet()),
            config.settings().tenants().stream().map(Settings.Tenant::name).collect(toSet()));
    orderedClasses =
        config.settings().queryClasses().stream()
            .filter(QueryClass::serializedByKey)
            .map(QueryClass::name)
            .collect(toSet());
    module = start.apply(config.settings(), this);
    timers.schedule(timers.now() + ROUND_INTERVAL_NANOS, this::checkSessionsAndEngines);
  }

  // ---- The loop's side ----

  @Override
  public void defer(Runnable what) {
    deferred.add(what);
  }

  /** Lets the module decide on all that it has heard, until nothing is left to be told. */
  public void processPending() {
    while (decisionPending || !deferred.isEmpty()) {
      for (int i = deferred.size(); i > 0; i--) {
        deferred.poll().run();
      }
      if (decisionPending) {
        decisionPending = false;
        module.decide(timers.now());
        // Only now: the module may act on a task in the very turn in which it hears that it is
        // over.
        for (OpenTask task = finished.poll(); task != null; task = finished.poll()) {
          if (task.openForwards == 0) {
            tasks.remove(task.id, task);
          }
        }
      }
    }
  }

  /** How many descriptors there are in all. */
  public void updateMaxDescriptors(int most) {
    limits.maxOpenConnections = most - RESERVED_DESCRIPTORS;
    maxSessions = most / 2;
    sockets.maxAccepted(maxSessions + MIN_FREE_DESCRIPTORS);
  }

  public Counters counters() {
    return counters;
  }

  public int engineCount() {
    return engines.size();
  }

  /**
   * Asks what became of the forwards that the life before left out; the engines are known by then.
   */
  public void resolveForwards() {
    if (!listener.unresolvedForwards().isEmpty()) {
      new ForwardResolution(this, timers, listener).start(listener.unresolvedForwards());
    }
  }

  EngineConnections engine(String id) {
    return engines.get(id);
  }

  /** So many managers share the engines from now on. */
  public void managerCountChanged(int count) {
    decisionPending = true;
    module.onManagerCount(timers.now(), count);
  }

  /** The manager is to end, and no answer given after that time will count. */
  public void beginShutdown(long until) {
    decisionPending = true;
    module.onShutdown(timers.now(), until);
  }

  /** Is no answer owed, and none still being read? */
  public boolean idle() {
    return unansweredTasks == 0 && sessions.values().stream().noneMatch(PgSession::busy);
  }

  /** Ends all sessions, and each connection to an engine once its call has ended. */
  public void close() {
    engines.values().forEach(EngineConnections::retire);
    new ArrayList<>(sessions.values()).forEach(PgSession::closeAfterFlush);
  }

  private void checkSessionsAndEngines() {
    new ArrayList<>(sessions.values()).forEach(PgSession::checkProgress);
    // Not at once: the module may act on an engine in the very turn in which it hears that it has
    // gone.
    engines.values().removeIf(engine -> engine.retiredLongerThan(2 * ROUND_INTERVAL_NANOS));
    engines.values().forEach(EngineConnections::closeExpiredIdle);
    timers.schedule(timers.now() + ROUND_INTERVAL_NANOS, this::checkSessionsAndEngines);
  }

  // ---- The command channel's side ----

  /** Engines as listed, and where those are that have not gone. */
  public void engines(
      boolean complete, List<EngineEntry> entries, Map<String, InetSocketAddress> addresses) {
    counters.increment("channel.lists");
    if (complete) {
      engines.values().stream()
          .filter(engine -> !addresses.containsKey(engine.id))
          .forEach(EngineConnections::retire);
    }
    for (EngineEntry entry : entries) {
      if (entry.state() != EngineEntry.State.GONE) {
        engines
            .computeIfAbsent(
                entry.id(), id -> new EngineConnections(id, sockets, timers, limits, counters))
            .updateListing(addresses.get(entry.id()), entry.state() == EngineEntry.State.READY);
      } else if (engines.containsKey(entry.id())) {
        engines.get(entry.id()).retire();
      }
    }
    tasks.values().forEach(task -> task.forwards.forEach(OpenForward::engineListChanged));
    decisionPending = true;
    module.onEngineList(timers.now(), complete, entries);
  }

  // ---- The clients' side ----

  public void connectionAccepted(Connection connection) {
    counters.increment("clients.connections");
    int number = ++lastProcessId;
    PgSession session = new PgSession(connection, this, number, random.nextInt());
    if (sessions.size() >= maxSessions
        || sockets.openConnections()
            > limits.maxOpenConnections + RESERVED_DESCRIPTORS - MIN_FREE_DESCRIPTORS) {
      counters.increment("clients.too_many");
      PgSession given = sessionToEvict();
      (given == null ? session : given).rejectConnection();
    }
    sessions.put(number, session);
  }

  /**
   * Guards against crowds that connect and say nothing: they make room for each other, and for the
   * usual clients.
   */
  private PgSession sessionToEvict() {
    PgSession least = null;
    for (PgSession one : sessions.values()) {
      if (one.evictionPriority() > (least == null ? -1 : least.evictionPriority())) {
        least = one;
      }
    }
    return least;
  }

  @Override
  public void query(PgSession session, byte[] text, long at) {
    counters.increment("clients.queries");
    Statement statement;
    TaskRequest offer;
    String stamp;
    try {
      statement = Statement.parse(text);
      if (statement.equalsIgnoringCase(SHOW_STATS)) {
        session.sendRows(STATS_COLUMNS, List.of(statsRows()));
        return;
      }
      if (statement.equalsIgnoringCase(SHOW_FLEET) && peerManagers.members() != null) {
        session.sendRows(PeerManagers.MEMBER_COLUMNS, List.of(memberRows()));
        return;
      }
      offer = taskParser.parseTask(statement, at);
      stamp = TaskParser.idempotencyKey(statement);
      if (tasks.containsKey(offer.id())) {
        throw new ProtocolException("field id: a task with this id is open");
      }
    } catch (ProtocolException e) {
      counters.increment("clients.unusable");
      session.rejectQuery(e.getMessage());
      return;
    }
    OpenTask task =
        new OpenTask(
            offer.id(),
            offer.queryClass(),
            statement.body(),
            offer.deadlineNanos(),
            offer.key() != null && orderedClasses.contains(offer.queryClass()),
            stamp,
            session);
    session.openQuery(task);
    unansweredTasks++;
    tasks.put(task.id, task);
    counters.increment("tasks.taken");
    decisionPending = true;
    if (listener.acceptsTasks() != admitting) {
      admitting = !admitting;
      module.onAdmissionChange(timers.now(), admitting);
    }
    listener.taskAccepted(timers.now(), offer);
    module.onTask(timers.now(), offer);
  }

  private static void appendRow(StringBuilder rows, String name, long value) {
    rows.append(name).append('\t').append(value).append('\n');
  }

  private byte[] statsRows() {
    StringBuilder rows = new StringBuilder();
    counters.asMap().forEach((kind, count) -> appendRow(rows, kind, count));
    sockets
        .protocolErrors()
        .forEach((reason, count) -> appendRow(rows, "connections.junk." + reason, count));
    peerManagers.counts().forEach((kind, count) -> appendRow(rows, kind, count));
    appendEngineStats(rows);
    return rows.toString().getBytes(StandardCharsets.UTF_8);
  }

  /**
   * The module's view beside what is on the sockets: they differ only by news that it has not yet
   * been told. Of thousands of engines the first ones are shown, and how many are not.
   */
  private void appendEngineStats(StringBuilder rows) {
    appendRow(rows, "engines.known", engines.size());
    int most = rows.length() + MAX_ENGINE_STATS_CHARS;
    int notShown = 0;
    for (EngineStatus view : module.engineStatuses(timers.now())) {
      if (rows.length() > most) {
        notShown++;
      } else {
        appendEngineStats(rows, view);
      }
    }
    if (notShown > 0) {
      appendRow(rows, "engines.not_shown", notShown);
    }
  }

  private void appendEngineStats(StringBuilder rows, EngineStatus view) {
    EngineConnections engine = engines.get(view.id());
    String name = "engine." + view.id();
    appendRow(rows, name + ".forwards.module", view.openForwards());
    appendRow(rows, name + ".forwards.sockets", engine == null ? 0 : engine.openForwards);
    appendRow(
        rows,
        name + ".report.age.ms",
        view.reportAgeNanos() < 0 ? -1 : view.reportAgeNanos() / NANOS_PER_MS);
    appendRow(rows, name + ".excluded", view.excluded() ? 1 : 0);
  }

  private byte[] memberRows() {
    StringBuilder rows = new StringBuilder();
    peerManagers.members().forEach(member -> rows.append(String.join("\t", member)).append('\n'));
    return rows.toString().getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public void cancelRequested(int number, int secret) {
    PgSession session = sessions.get(number);
    if (session != null
        && session.matchesSecretKey(secret)
        && session.openQuery() instanceof OpenTask task) {
      counters.increment("clients.cancels");
      abandon(
          task,
          TaskListener.TaskEnd.ABANDONED,
          () -> session.sendError("57014", "canceling statement due to user request"));
    }
  }

  @Override
  public void sessionEnded(PgSession session) {
    if (session.openQuery() instanceof OpenTask task) {
      counters.increment("clients.left");
      abandon(task, TaskListener.TaskEnd.ABANDONED, () -> {});
    }
  }

  @Override
  public void protocolViolated(String why) {
    counters.increment("clients.malformed." + why.replace(' ', '_'));
  }

  @Override
  public void sessionReleased(PgSession session) {
    sessions.remove(session.processId());
  }

  /**
   * The client waits no longer: it is told so, and the module that nobody needs an answer any more.
   */
  void taskTimedOut(OpenTask task) {
    if (!task.answered()) {
      PgSession session = task.session;
      abandon(
          task,
          TaskListener.TaskEnd.TIME_UP,
          () -> session.sendError(SQLSTATE_FAILED, "the time is up; the statement may have run"));
    }
  }

  private void abandon(OpenTask task, TaskListener.TaskEnd end, Runnable say) {
    if (!task.answered()) {
      endTask(task, end, 0, say);
      decisionPending = true;
      module.onClientLeft(timers.now(), task.id);
    }
  }

  // ---- What has become of a forward ----

  void forwardEnded(
      OpenForward forward,
      Outcome outcome,
      long cost,
      double memory,
      LoadReport report,
      List<byte[]> pages) {
    OpenTask task = forward.task;
    task.openForwards--;
    forward.engine.openForwards--;
    counters.increment("forwards.ended." + outcome);
    boolean served = outcome == Outcome.OK && !task.answered();
    listener.forwardEnded(timers.now(), task.id, forward.index, outcome, cost, memory, served);
    if (served) {
      PgSession session = task.session;
      endTask(
          task,
          TaskListener.TaskEnd.HANDLED,
          forward.resultBytes(),
          () -> session.sendRows(RESULT_COLUMNS, pages));
    }
    boolean over = task.answered();
    removeIfFinished(task);
    decisionPending = true;
    module.onForwardEnd(
        timers.now(),
        task.id,
        forward.index,
        forward.engine.id,
        outcome,
        timers.now() - forward.createdAt,
        over,
        cost,
        memory,
        report);
  }

  /** The one place where a task stops being owed an answer. */
  private void endTask(OpenTask task, TaskListener.TaskEnd end, long bytes, Runnable say) {
    unansweredTasks--;
    counters.increment(TASK_END_COUNTERS[end.ordinal()]);
    task.session.openQuery(null);
    task.session = null;
    task.forwards.forEach(OpenForward::withdrawUnsent);
    removeIfFinished(task);
    listener.beforeAnswer(timers.now(), task.id, end, bytes, say);
  }

  private void removeIfFinished(OpenTask task) {
    if (task.answered() && task.openForwards == 0) {
      finished.add(task);
    }
  }

  /** What has come of a probe. */
  void probeEnded(EngineConnections engine, Outcome outcome, LoadReport report) {
    counters.increment("probes.ended." + outcome);
    decisionPending = true;
    module.onProbeEnd(timers.now(), engine.id, outcome, report);
  }

  /** The load that an answer told, or null. */
  LoadReport parseLoadReport(HttpCodec.Response answer) throws ProtocolException {
    String load = answer.header("x-load");
    return load == null ? null : config.toLoadReport(parseLoadFigures(load));
  }

  private double[] parseLoadFigures(String told) throws ProtocolException {
    double[] figures = new double[config.reportColumns().size()];
    Arrays.fill(figures, Double.NaN);
    for (int from = 0; from < told.length(); ) {
      int end = told.indexOf(';', from);
      end = end < 0 ? told.length() : end;
      int colon = told.indexOf(':', from);
      if (colon < 0 || colon > end) {
        throw new ProtocolException("a load report without a figure");
      }
      int column = config.columnIndex(told.substring(from, colon).strip());
      if (column >= 0) {
        figures[column] = HttpCodec.parseNonNegative(told.substring(colon + 1, end).strip());
      }
      from = end + 1;
    }
    return figures;
  }

  // ---- Actions ----

  @Override
  public void forward(String id, String engine, long timeOut) {
    OpenTask task = tasks.get(id);
    counters.increment("forwards.sent");
    OpenForward forward =
        new OpenForward(this, timers, task, task.forwards.size(), engines.get(engine));
    task.forwards.add(forward);
    task.openForwards++;
    forward.engine.openForwards++;
    forward.setDeadline(
        timeOut > 0 ? Math.min(timers.now() + timeOut, task.deadline) : task.deadline);
    listener.beforeForward(timers.now(), id, forward.index, engine, task.memoryMb, forward::start);
  }

  @Override
  public void reject(String id, long pause) {
    OpenTask task = tasks.get(id);
    if (task != null && !task.answered()) {
      PgSession session = task.session;
      endTask(
          task,
          TaskListener.TaskEnd.BOUNCED,
          0,
          () ->
              session.sendError(
                  "53300",
                  pause > 0
                      ? "no room at present, after=" + (pause + NANOS_PER_MS - 1) / NANOS_PER_MS
                      : "no room at present"));
    }
  }

  @Override
  public void abort(String id) {
    OpenTask task = tasks.get(id);
    if (task != null && !task.answered()) {
      PgSession session = task.session;
      endTask(
          task,
          TaskListener.TaskEnd.ABORTED,
          0,
          () -> session.sendError(SQLSTATE_FAILED, "the statement failed; it may have run"));
    }
  }

  @Override
  public void assignResources(String id, long memoryMb, int priority) {
    OpenTask task = tasks.get(id);
    boolean changed = task.priority != priority;
    task.memoryMb = memoryMb;
    task.priority = priority;
    if (changed && task.openForwards > 0) {
      task.forwards.forEach(forward -> forward.sendPriority(priority));
    }
  }

  @Override
  public void probe(String id) {
    counters.increment("probes.sent");
    new Probe(this, engines.get(id)).start(timers, config.connectTimeoutNanos());
  }

  @Override
  public void cancel(String id, int index) {
    OpenTask task = tasks.get(id);
    if (task != null && index < task.forwards.size()) {
      counters.increment("forwards.cancelled");
      task.forwards.get(index).cancel();
    }
  }

  @Override
  public void scheduleWakeUp(long in, String token) {
    timers.schedule(
        timers.now() + in,
        () -> {
          decisionPending = true;
          module.onWakeUp(timers.now(), token);
        });
  }

  @Override
  public void log(String text) {
    Logger.info(text);
  }
}

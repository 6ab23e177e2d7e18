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
import tansytrack.wire.MemoryBudget;
import tansytrack.wire.PgSession;
import tansytrack.wire.ProtocolException;
import tansytrack.wire.RowWriter;
import tansytrack.wire.Sockets;
import tansytrack.wire.Statement;

/**
 * The state of a running workload manager: client sessions, open tasks and connections to engines.
 * It passes events from the sockets to the decision module and carries out the module's actions.
 * All methods run on the event loop's thread.
 */
public final class Manager implements Actions, PgSession.Handler {

  private static final long NANOS_PER_MS = 1_000_000L;

  // For the files of the program itself, its listener and command channel, and for clients that
  // connect while all other descriptors are in use.
  private static final int RESERVED_DESCRIPTORS = 64;

  // The part of the reserved descriptors that clients do not get: a new client is rejected when
  // fewer descriptors than this are free.
  private static final int MIN_FREE_DESCRIPTORS = 24;

  // A request is sent at least this long before the engine closes its connection as idle.
  private static final long IDLE_TIMEOUT_MARGIN_NANOS = 3000 * NANOS_PER_MS;

  // Interval of the checks of sessions and idle connections.
  private static final long CHECK_INTERVAL_NANOS = 500 * NANOS_PER_MS;
  private static final String[] RESULT_COLUMNS = {"c1", "c2", "c3"};

  // SQLSTATE system_error: unlike 53300, it does not promise that the statement has not run.
  private static final String SQLSTATE_FAILED = "58000";

  // Counter names, indexed by the ordinals of TaskListener.TaskEnd.
  private static final String[] TASK_END_COUNTERS = {
    "tasks.handled", "tasks.bounced", "tasks.aborted", "tasks.abandoned", "tasks.time_up"
  };
  private static final String SHOW_STATS = "show stats";
  private static final String SHOW_FLEET = "show fleet";
  private static final String[] STATS_COLUMNS = {"counter", "count"};

  /**
   * Limit for the counters by engine in SHOW STATS, in characters, as the answer takes memory until
   * its client has read it.
   */
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
  // Classes whose queries run one at a time for each key.
  private final Set<String> orderedClasses;
  private final Map<String, OpenTask> tasks = new HashMap<>();
  private final Map<String, EngineConnections> engines = new LinkedHashMap<>();
  // In the order of their creation.
  private final Map<Integer, PgSession> sessions = new LinkedHashMap<>();
  // Tasks that were answered since the last decision.
  private final ArrayDeque<OpenTask> answeredTasks = new ArrayDeque<>();
  private final ArrayDeque<OpenTask> removableTasks = new ArrayDeque<>();
  private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
  private int lastProcessId;
  // Whether the module was last told that new tasks are admitted.
  private boolean moduleAdmitsTasks = true;
  // The number of tasks that have not been answered.
  private int unansweredTasks;
  // Whether the module has received events since its last decision.
  private boolean decisionPending;

  /** Creates the manager and, through the given factory, its decision module. */
  public Manager(
      ManagerConfig config,
      Timers timers,
      Sockets sockets,
      BiFunction<Settings, Actions, DecisionModule> moduleFactory,
      TaskListener listener,
      PeerManagers peerManagers) {
    this.config = config;
    this.listener = listener;
    this.peerManagers = peerManagers;
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
    module = moduleFactory.apply(config.settings(), this);
    timers.schedule(timers.now() + CHECK_INTERVAL_NANOS, this::checkSessionsAndEngines);
  }

  // ---- Called by the event loop ----

  @Override
  public void defer(Runnable action) {
    deferred.add(action);
  }

  @Override
  public void runLater(long delayNanos, Runnable action) {
    timers.schedule(timers.now() + delayNanos, action);
  }

  @Override
  public MemoryBudget memory() {
    return sockets.memory();
  }

  /**
   * Runs deferred actions and lets the module decide on the events it has received, until neither
   * is left.
   */
  public void processPending() {
    while (decisionPending || !deferred.isEmpty()) {
      for (int i = deferred.size(); i > 0; i--) {
        deferred.poll().run();
      }
      if (decisionPending) {
        decisionPending = false;
        module.decide(timers.now());
        // Only after the decision, by which the module has cancelled what it can.
        for (OpenTask task = answeredTasks.poll(); task != null; task = answeredTasks.poll()) {
          task.forwards.forEach(OpenForward::abandonUnansweredStart);
        }
        // Removed only after the decision, as the module may still act on a task in the same
        // decision in which it learns that the task has ended.
        for (OpenTask task = removableTasks.poll(); task != null; task = removableTasks.poll()) {
          if (task.openForwards == 0) {
            tasks.remove(task.id, task);
          }
        }
      }
    }
  }

  /** Sets the number of file descriptors that the process may use in all. */
  public void updateMaxDescriptors(int max) {
    limits.maxOpenConnections = max - RESERVED_DESCRIPTORS;
    maxSessions = max / 2;
    sockets.maxAccepted(maxSessions + MIN_FREE_DESCRIPTORS);
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
  public void resolveForwards() {
    if (!listener.unresolvedForwards().isEmpty()) {
      new ForwardResolution(this, timers, listener).start(listener.unresolvedForwards());
    }
  }

  EngineConnections engine(String id) {
    return engines.get(id);
  }

  /** Tells the module how many managers share the engines from now on. */
  public void managerCountChanged(int count) {
    decisionPending = true;
    module.onManagerCount(timers.now(), count);
  }

  /**
   * Tells the module that the manager is stopping and that no answer given after the given time is
   * delivered.
   */
  public void beginShutdown(long deadline) {
    decisionPending = true;
    module.onShutdown(timers.now(), deadline);
  }

  /** Whether every task and message is answered and every answer has been sent. */
  public boolean idle() {
    return unansweredTasks == 0
        && sessions.values().stream()
            .noneMatch(session -> session.busy() || session.waitsForMemory());
  }

  /** Ends all sessions, and each connection to an engine once its open request has ended. */
  public void close() {
    engines.values().forEach(EngineConnections::retire);
    new ArrayList<>(sessions.values()).forEach(PgSession::closeAfterFlush);
  }

  private void checkSessionsAndEngines() {
    new ArrayList<>(sessions.values()).forEach(PgSession::checkProgress);
    // Not removed at once, as the module may still act on an engine in the same decision in which
    // it learns that the engine is gone.
    engines.values().removeIf(engine -> engine.retiredLongerThan(2 * CHECK_INTERVAL_NANOS));
    engines.values().forEach(EngineConnections::closeExpiredIdle);
    timers.schedule(timers.now() + CHECK_INTERVAL_NANOS, this::checkSessionsAndEngines);
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

  // ---- Called for clients ----

  /**
   * Creates a session on an accepted connection. Beyond the limits on sessions and descriptors, a
   * session is closed with an error: the one that {@link #sessionToEvict} returns, or the new one.
   */
  public void connectionAccepted(Connection connection) {
    counters.increment("clients.connections");
    int processId = ++lastProcessId;
    PgSession session = new PgSession(connection, this, processId, random.nextInt());
    if (sessions.size() >= maxSessions
        || sockets.openConnections()
            > limits.maxOpenConnections + RESERVED_DESCRIPTORS - MIN_FREE_DESCRIPTORS) {
      counters.increment("clients.too_many");
      PgSession evicted = sessionToEvict();
      (evicted == null ? session : evicted).rejectConnection();
    }
    sessions.put(processId, session);
  }

  /**
   * Returns the session to close when there is no room for a new one, or null. Many clients that
   * connect and send nothing thus displace each other and not the clients that send queries.
   */
  private PgSession sessionToEvict() {
    PgSession candidate = null;
    for (PgSession session : sessions.values()) {
      if (session.evictionPriority() > (candidate == null ? -1 : candidate.evictionPriority())) {
        candidate = session;
      }
    }
    return candidate;
  }

  @Override
  public void query(PgSession session, byte[] sql, long receivedAt) {
    counters.increment("clients.queries");
    Statement statement;
    TaskRequest request;
    String idempotencyKey;
    try {
      statement = Statement.parse(sql);
      if (statement.equalsIgnoringCase(SHOW_STATS)) {
        sendReport(session, STATS_COLUMNS, statsRows());
        return;
      }
      if (statement.equalsIgnoringCase(SHOW_FLEET) && peerManagers.members() != null) {
        sendReport(session, PeerManagers.MEMBER_COLUMNS, memberRows());
        return;
      }
      request = taskParser.parseTask(statement, receivedAt);
      idempotencyKey = TaskParser.idempotencyKey(statement);
      if (tasks.containsKey(request.id())) {
        throw new ProtocolException("field id: a task with this id is open");
      }
    } catch (ProtocolException e) {
      counters.increment("clients.unusable");
      session.rejectQuery(e.getMessage());
      return;
    }
    OpenTask task =
        new OpenTask(
            request.id(),
            request.queryClass(),
            statement.body(),
            request.deadlineNanos(),
            request.key() != null && orderedClasses.contains(request.queryClass()),
            idempotencyKey,
            session);
    session.openQuery(task);
    unansweredTasks++;
    tasks.put(task.id, task);
    counters.increment("tasks.taken");
    decisionPending = true;
    if (listener.acceptsTasks() != moduleAdmitsTasks) {
      moduleAdmitsTasks = !moduleAdmitsTasks;
      module.onAdmissionChange(timers.now(), moduleAdmitsTasks);
    }
    listener.taskAccepted(timers.now(), request);
    module.onTask(timers.now(), request);
  }

  private void sendReport(PgSession session, String[] columns, byte[] rows) {
    MemoryBudget.Reservation reservation =
        memory().tryReserve(MemoryBudget.Purpose.RESULT, RowWriter.memoryOfResult(rows.length));
    if (reservation == null) {
      session.sendError(MemoryBudget.SQLSTATE_OUT_OF_MEMORY, "no memory for the rows at present");
    } else {
      session.sendRows(columns, List.of(rows), reservation::release);
    }
  }

  private static void appendRow(StringBuilder rows, String name, long value) {
    rows.append(name).append('\t').append(value).append('\n');
  }

  private byte[] statsRows() {
    StringBuilder rows = new StringBuilder();
    counters.asMap().forEach((name, count) -> appendRow(rows, name, count));
    sockets
        .protocolErrors()
        .forEach((reason, count) -> appendRow(rows, "connections.junk." + reason, count));
    peerManagers.counts().forEach((name, count) -> appendRow(rows, name, count));
    appendRow(rows, "memory.limit.bytes", memory().limit());
    appendRow(rows, "memory.held.bytes", memory().held());
    appendRow(rows, "memory.held.most.bytes", memory().mostHeld());
    appendRow(rows, "memory.waiting", memory().waiting());
    appendEngineStats(rows);
    return rows.toString().getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Appends the module's view of the engines next to the numbers of forwards on the sockets. They
   * differ only by events that the module has not yet received. Of thousands of engines only the
   * first ones are shown, with the number of those that are not.
   */
  private void appendEngineStats(StringBuilder rows) {
    appendRow(rows, "engines.known", engines.size());
    int maxLength = rows.length() + MAX_ENGINE_STATS_CHARS;
    int notShown = 0;
    for (EngineStatus status : module.engineStatuses(timers.now())) {
      if (rows.length() > maxLength) {
        notShown++;
      } else {
        appendEngineStats(rows, status);
      }
    }
    if (notShown > 0) {
      appendRow(rows, "engines.not_shown", notShown);
    }
  }

  private void appendEngineStats(StringBuilder rows, EngineStatus status) {
    EngineConnections engine = engines.get(status.id());
    String name = "engine." + status.id();
    appendRow(rows, name + ".forwards.module", status.openForwards());
    appendRow(rows, name + ".forwards.sockets", engine == null ? 0 : engine.openForwards);
    appendRow(
        rows,
        name + ".report.age.ms",
        status.reportAgeNanos() < 0 ? -1 : status.reportAgeNanos() / NANOS_PER_MS);
    appendRow(rows, name + ".excluded", status.excluded() ? 1 : 0);
  }

  private byte[] memberRows() {
    StringBuilder rows = new StringBuilder();
    peerManagers.members().forEach(member -> rows.append(String.join("\t", member)).append('\n'));
    return rows.toString().getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public void cancelRequested(int processId, int secretKey) {
    PgSession session = sessions.get(processId);
    if (session != null
        && session.matchesSecretKey(secretKey)
        && session.openQuery() instanceof OpenTask task) {
      counters.increment("clients.cancels");
      endAndNotifyModule(
          task,
          TaskListener.TaskEnd.ABANDONED,
          () -> session.sendError("57014", "canceling statement due to user request"));
    }
  }

  @Override
  public void sessionEnded(PgSession session) {
    if (session.openQuery() instanceof OpenTask task) {
      counters.increment("clients.left");
      endAndNotifyModule(task, TaskListener.TaskEnd.ABANDONED, () -> {});
    }
  }

  @Override
  public void protocolViolated(String reason) {
    counters.increment("clients.malformed." + reason.replace(' ', '_'));
  }

  @Override
  public void sessionReleased(PgSession session) {
    sessions.remove(session.processId());
  }

  /**
   * Ends a task whose deadline has passed: the client gets an error, and the module is told that no
   * answer is needed any more.
   */
  void taskTimedOut(OpenTask task) {
    if (!task.answered()) {
      PgSession session = task.session;
      endAndNotifyModule(
          task,
          TaskListener.TaskEnd.TIME_UP,
          () -> session.sendError(SQLSTATE_FAILED, "the time is up; the statement may have run"));
    }
  }

  private void endAndNotifyModule(OpenTask task, TaskListener.TaskEnd end, Runnable sendAnswer) {
    if (!task.answered()) {
      endTask(task, end, 0, sendAnswer);
      decisionPending = true;
      module.onClientLeft(timers.now(), task.id);
    }
  }

  // ---- Results of forwards and probes ----

  /**
   * Handles the first response that shows that the engine has received a forward, by the given
   * time.
   */
  void forwardReceived(OpenForward forward, long receivedBy) {
    decisionPending = true;
    module.onForwardReceived(
        timers.now(), forward.task.id, forward.index, forward.engine.id, receivedBy);
  }

  /** Handles the end of a forward; the result is null unless its outcome is OK. */
  void forwardEnded(
      OpenForward forward,
      Outcome outcome,
      long workNanos,
      double memoryMb,
      LoadReport report,
      ResultPages result) {
    OpenTask task = forward.task;
    task.openForwards--;
    forward.engine.openForwards--;
    counters.increment("forwards.ended." + outcome);
    boolean served = outcome == Outcome.OK && !task.answered();
    listener.forwardEnded(
        timers.now(), task.id, forward.index, outcome, workNanos, memoryMb, served);
    if (served) {
      PgSession session = task.session;
      endTask(
          task,
          TaskListener.TaskEnd.HANDLED,
          forward.resultBytes(),
          () -> session.sendRows(RESULT_COLUMNS, result.pages(), result::release));
    } else if (result != null) {
      result.release();
    }
    boolean taskAnswered = task.answered();
    markRemovableIfFinished(task);
    decisionPending = true;
    module.onForwardEnd(
        timers.now(),
        task.id,
        forward.index,
        forward.engine.id,
        outcome,
        timers.now() - forward.createdAt,
        taskAnswered,
        workNanos,
        memoryMb,
        report);
  }

  /** Ends a task. Every task is answered, or given up, through this method. */
  private void endTask(OpenTask task, TaskListener.TaskEnd end, long bytes, Runnable sendAnswer) {
    unansweredTasks--;
    counters.increment(TASK_END_COUNTERS[end.ordinal()]);
    task.session.openQuery(null);
    task.session = null;
    task.statement = null; // no start request is sent any more
    task.forwards.forEach(OpenForward::withdrawUnsent);
    answeredTasks.add(task);
    markRemovableIfFinished(task);
    listener.beforeAnswer(timers.now(), task.id, end, bytes, sendAnswer);
  }

  private void markRemovableIfFinished(OpenTask task) {
    if (task.answered() && task.openForwards == 0) {
      removableTasks.add(task);
    }
  }

  /** Handles the end of a probe. */
  void probeEnded(EngineConnections engine, Outcome outcome, LoadReport report) {
    counters.increment("probes.ended." + outcome);
    decisionPending = true;
    module.onProbeEnd(timers.now(), engine.id, outcome, report);
  }

  /** Returns the load report of a response, or null if it has none. */
  LoadReport parseLoadReport(HttpCodec.Response response) throws ProtocolException {
    String load = response.header("x-load");
    return load == null ? null : config.toLoadReport(parseLoadFigures(load));
  }

  private double[] parseLoadFigures(String report) throws ProtocolException {
    double[] figures = new double[config.reportColumns().size()];
    Arrays.fill(figures, Double.NaN);
    for (int start = 0; start < report.length(); ) {
      int end = report.indexOf(';', start);
      end = end < 0 ? report.length() : end;
      int colon = report.indexOf(':', start);
      if (colon < 0 || colon > end) {
        throw new ProtocolException("a load report without a figure");
      }
      int column = config.columnIndex(report.substring(start, colon).strip());
      if (column >= 0) {
        figures[column] = HttpCodec.parseNonNegative(report.substring(colon + 1, end).strip());
      }
      start = end + 1;
    }
    return figures;
  }

  // ---- Actions ----

  @Override
  public void forward(String id, String engine, long timeout) {
    OpenTask task = tasks.get(id);
    counters.increment("forwards.sent");
    OpenForward forward =
        new OpenForward(this, timers, task, task.forwards.size(), engines.get(engine));
    task.forwards.add(forward);
    task.openForwards++;
    forward.engine.openForwards++;
    forward.setDeadline(
        timeout > 0 ? Math.min(timers.now() + timeout, task.deadline) : task.deadline);
    if (task.answered()) {
      // The module has not yet learned of the task's end. The forward ends as not sent, and the
      // listener, for which the task may be complete, gets no record of it.
      forward.start();
    } else {
      listener.beforeForward(
          timers.now(), id, forward.index, engine, task.memoryMb, forward::start);
    }
  }

  @Override
  public void reject(String id, long retryAfter) {
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
                  retryAfter > 0
                      ? "no room at present, after="
                          + (retryAfter + NANOS_PER_MS - 1) / NANOS_PER_MS
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
    if (changed && !task.answered()) {
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
  public void scheduleWakeUp(long delay, String token) {
    timers.schedule(
        timers.now() + delay,
        () -> {
          decisionPending = true;
          module.onWakeUp(timers.now(), token);
        });
  }

  @Override
  public boolean reportsArrivals() {
    return true;
  }

  @Override
  public void log(String text) {
    Logger.info(text);
  }
}

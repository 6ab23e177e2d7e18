package tansytrack;

import static tansytrack.util.MathUtil.clamp;
import static tansytrack.util.MathUtil.movingAverage;
import static tansytrack.util.MathUtil.pickWeighted;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import tansytrack.api.Actions;
import tansytrack.api.DecisionModule;
import tansytrack.api.EngineEntry;
import tansytrack.api.EngineStatus;
import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;
import tansytrack.api.QueryClass;
import tansytrack.api.Settings;
import tansytrack.api.TaskRequest;
import tansytrack.policy.EngineSubset;
import tansytrack.policy.ExecutedTasks;
import tansytrack.policy.SlowStart;
import tansytrack.util.EngineList;
import tansytrack.util.EventLoop;
import tansytrack.util.KeyQueue;
import tansytrack.util.SlidingWindow;
import tansytrack.util.TenantQueue;

/**
 * Makes every decision of a workload manager: admission, queueing, the choice of an engine,
 * retries, final answers and engine health.
 *
 * <p>Each manager has one instance, created with its settings and a receiver of actions. The
 * methods of {@link DecisionModule} report events and only post messages to actors; {@link #decide}
 * then processes all messages and issues the resulting {@link Actions}. The class does no input or
 * output and reads no clock: the caller passes the present time, in nanoseconds, with each call.
 * All times and durations are in nanoseconds. The reasons for the design are in docs/design.md.
 */
public final class Decide implements DecisionModule {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final Set<Outcome> NOT_EXECUTED =
      EnumSet.of(Outcome.FULL, Outcome.UNREACHED, Outcome.NEVER_SENT);
  // Weight of one new sample in a moving average.
  private static final double SMOOTHING_FACTOR = 0.05;
  // The shortest time between two sweeps, the periodic checks of queued tasks and engines.
  private static final long MIN_SWEEP_INTERVAL_NANOS = 25 * NANOS_PER_MS;
  // The longest time between two sweeps, used where tasks are rare; it must stay below the
  // deadline margin.
  private static final long MAX_SWEEP_INTERVAL_NANOS = 50 * NANOS_PER_MS;
  // A task is answered at least this long before its deadline.
  private static final long DEADLINE_MARGIN_NANOS = 60 * NANOS_PER_MS;

  // The queues: limits on their length, the longest wait, and the divisor that gives the part of a
  // task's remaining time that it may spend in a queue.
  private static final int MAX_QUEUED_PER_TENANT = 32;
  private static final int MAX_QUEUED_TOTAL = 4096;
  private static final long MAX_QUEUE_WAIT_NANOS = 5000 * NANOS_PER_MS;
  private static final int QUEUE_WAIT_DIVISOR = 5;

  // The price of engine work while tasks wait. A wait up to this duration sets no price.
  private static final long PRICE_FREE_WAIT_NANOS = 150 * NANOS_PER_MS;
  // The factor by which the price falls in each sweep interval.
  private static final double PRICE_DECAY_PER_SWEEP = 0.96;
  // The lowest price above 0, as a fraction of the mean value of tasks.
  private static final double MIN_PRICE_FRACTION = 0.02;
  // The part of the difference between a class's mean value and the overall mean that is ignored
  // when a task's value is compared with the price.
  private static final double CLASS_VALUE_DISCOUNT = 0.8;

  // The concurrency limit: its first and its highest value in threads per core.
  private static final double INITIAL_THREADS_PER_CORE = 2;
  private static final double MAX_THREADS_PER_CORE = 4;
  // At or above this CPU utilization fast answers do not raise the limit.
  private static final double BUSY_UTILIZATION = 0.8;
  // At or above this CPU utilization, or fraction of granted memory, an engine is under pressure.
  private static final double SATURATED_UTILIZATION = 0.95;
  // Natural logarithm of the slowdown, relative to the best one seen, up to which answers count as
  // normal.
  private static final double STRAINED_LOG_SLOWDOWN = Math.log(2);
  // Natural logarithm of the slowdown above which one answer halves the limit.
  private static final double SEVERE_LOG_SLOWDOWN = Math.log(5);
  // How long one sign of pressure counts; also the shortest time between two halvings of a limit.
  private static final long PRESSURE_DURATION_NANOS = 1000 * NANOS_PER_MS;
  // A task that needs less than this fraction of the manager's share of a pool's memory is admitted
  // to an idle engine even if the pool's memory is used up.
  private static final double SMALL_TASK_MEMORY_FRACTION = 0.25;
  // Natural logarithm of a task's value relative to the mean: the threshold of the top priority,
  // and the step to each priority below it.
  private static final double TOP_PRIORITY_LOG_VALUE = -0.7;
  private static final double PRIORITY_LOG_VALUE_STEP = 1.1;
  // A memory grant exceeds the estimate by this many mean deviations of the memory needed.
  private static final double GRANT_DEVIATIONS = 2;
  // The excess over the estimate until deviations have been reported.
  private static final double INITIAL_GRANT_MARGIN = 0.25;

  // Health and reports. An engine is suspected when -log10 of the probability of its present
  // silence exceeds this value.
  private static final double SUSPICION_THRESHOLD = 4;
  // A shorter silence never makes an engine suspected.
  private static final long MIN_SILENCE_NANOS = 400 * NANOS_PER_MS;
  // The number of answers expected between two signs of life, until it has been learned.
  private static final double INITIAL_EXPECTED_ANSWERS = 1;
  // A forward is stalled when its remaining time exceeds this multiple of the expected run time.
  private static final double STALLED_RUN_FACTOR = 3;
  // The time from the suspicion of an engine to the first trial task; it doubles up to the maximum.
  private static final long INITIAL_TRIAL_INTERVAL_NANOS = 1000 * NANOS_PER_MS;
  private static final long MAX_TRIAL_INTERVAL_NANOS = 4000 * NANOS_PER_MS;
  // An engine is suspected when the fraction of failed answers exceeds the fleet's mean by this.
  private static final double FAILURE_RATE_LIMIT = 0.3;
  // An engine that gave a sign of life within this time is not probed.
  private static final long PROBE_AFTER_SILENCE_NANOS = 1000 * NANOS_PER_MS;
  private static final long MIN_PROBE_INTERVAL_NANOS = 400 * NANOS_PER_MS;
  // The time constant with which a report loses weight against the average, because other managers
  // send tasks to the engine as well.
  private static final double REPORT_DECAY_NANOS = 8000 * NANOS_PER_MS;
  // An older load report is ignored.
  private static final long REPORT_MAX_AGE_NANOS = 3000 * NANOS_PER_MS;
  // The time scale of an engine's mean slowdown: after a gap of this length it is half forgotten.
  private static final long SLOWDOWN_WINDOW_NANOS = 8000 * NANOS_PER_MS;

  // The random choice of an engine. The load per core that an idle engine counts with.
  private static final double IDLE_LOAD_PER_CORE = 0.15;
  // The number of data sets per engine that count as warm.
  private static final int MAX_WARM_DATA_SETS = 4;
  // The exponent that turns the time saved by warm data sets into a weight.
  private static final double WARM_DATA_EXPONENT = 6;
  // The weight factor of an engine on which a bulk load of this manager holds the data set.
  private static final double BULK_LOAD_CONFLICT_FACTOR = 0.02;
  // The weight factor of an engine in another zone, where traffic between zones has a price.
  private static final double CROSS_ZONE_FACTOR = 0.5;

  private final Settings settings;
  private final Settings.Capabilities capabilities;
  private final Actions actions;
  private final SplittableRandom random;
  private final EventLoop eventLoop = new EventLoop();
  private final EngineList engineList = new EngineList();
  private final EngineSubset subset;
  private final SlowStart slowStart;
  // The engines in use, and those that still have open forwards.
  private final Map<String, Engine> engines = new TreeMap<>();
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final ExecutedTasks executedTasks = new ExecutedTasks();
  private final Map<String, ClassStatistics> classStatistics = new TreeMap<>();
  private final Map<String, EnginePool> pools = new TreeMap<>();
  private final Map<String, TenantQueue<Task>> tenantQueues = new TreeMap<>();
  private final Dispatcher dispatcher = new Dispatcher();
  private long now;
  // The time of the first engine list, or -1.
  private long firstListAt = -1;
  // The number of managers that share the engines.
  private int managerCount;
  // Whether new tasks are rejected, because the manager could not record them.
  private boolean admissionClosed;

  /** Creates the module of one manager; it issues its actions to {@code actions}. */
  public Decide(Settings settings, Actions actions) {
    this.settings = settings;
    capabilities = settings.capabilities();
    managerCount = settings.managerCount();
    subset = new EngineSubset(settings, engineList);
    this.actions = actions;
    random = new SplittableRandom(settings.seed());
    slowStart = new SlowStart(settings, actions.reportsArrivals(), random);
    for (QueryClass queryClass : settings.queryClasses()) {
      String poolKey =
          new TreeSet<>(queryClass.allowedZones())
              + "/"
              + new TreeSet<>(queryClass.allowedEngineTypes());
      classStatistics.put(
          queryClass.name(),
          new ClassStatistics(
              queryClass, pools.computeIfAbsent(poolKey, key -> new EnginePool(queryClass))));
    }
    settings
        .tenants()
        .forEach(
            tenant ->
                tenantQueues.put(
                    tenant.name(), new TenantQueue<>(Math.max(tenant.share(), 0.001))));
    if (tenantQueues.isEmpty()) {
      // The settings name no tenants: all tasks share one queue.
      tenantQueues.put("", new TenantQueue<>(1));
    }
    actions.scheduleWakeUp(MIN_SWEEP_INTERVAL_NANOS, "sweep");
  }

  // ---- Events: ids are resolved to objects, and each event is posted as a message ----

  @Override
  public void onEngineList(long at, boolean complete, List<EngineEntry> entries) {
    now = at;
    firstListAt = firstListAt < 0 ? at : firstListAt;
    Map<String, EngineEntry> entriesById = new TreeMap<>();
    entries.forEach(entry -> entriesById.put(entry.id(), entry));
    if (complete) {
      engineList.replaceAll(entriesById.values());
    } else {
      entriesById.values().forEach(engineList::put);
    }
    slowStart.onEngineList(at, entriesById.values());
    boolean subsetChanged = subset.updateLevels(managerCount);
    Stream.concat(entries.stream(), subsetChanged ? engineList.all().stream() : Stream.empty())
        .filter(subset::uses)
        .forEach(entry -> engines.computeIfAbsent(entry.id(), Engine::new));
    engines.values().stream()
        .filter(engine -> complete || subsetChanged || entriesById.containsKey(engine.id))
        .forEach(
            engine ->
                engine.postListing(
                    entriesById.getOrDefault(engine.id, engineList.find(engine.id))));
  }

  @Override
  public void onTask(long at, TaskRequest request) {
    now = at;
    ClassStatistics statistics = classStatistics.get(request.queryClass());
    if (statistics == null || admissionClosed) {
      actions.reject(
          request.id(),
          statistics != null && capabilities.retryAfter() ? capabilities.maxRetryAfterNanos() : 0);
    } else if (executedTasks.contains(request.id())) {
      // Rule 2: the same task again, behind its client's leaving.
      actions.abort(request.id());
    } else {
      Task task = new Task(request, statistics);
      tasks.put(task.id, task);
      dispatcher.post(() -> dispatcher.onTask(task));
    }
  }

  @Override
  public void onAdmissionChange(long at, boolean open) {
    now = at;
    admissionClosed = !open;
  }

  @Override
  public void onManagerCount(long at, int count) {
    now = at;
    managerCount = Math.max(1, count);
    if (firstListAt >= 0) {
      // The number of listed engines in use may change.
      onEngineList(at, false, List.of());
    }
  }

  @Override
  public void onForwardEnd(
      long at,
      String id,
      int index,
      String engine,
      Outcome outcome,
      long elapsedNanos,
      boolean taskAnswered,
      long cost,
      double memoryMb,
      LoadReport report) {
    now = at;
    Forward forward = findForward(engine, id, index);
    if (forward != null) {
      forward.engine.post(
          () ->
              forward.engine.onForwardEnd(forward, outcome, taskAnswered, cost, memoryMb, report));
    }
  }

  @Override
  public void onForwardReceived(long at, String id, int index, String engine, long receivedBy) {
    now = at;
    Forward forward = findForward(engine, id, index);
    if (forward != null) {
      forward.engine.post(() -> forward.request.confirm(receivedBy));
    }
  }

  @Override
  public void onProbeEnd(long at, String engine, Outcome outcome, LoadReport report) {
    now = at;
    Engine probedEngine = engines.get(engine);
    if (probedEngine != null) {
      probedEngine.post(() -> probedEngine.onProbeEnd(outcome, report));
    }
  }

  @Override
  public void onProgress(
      long at, String id, int index, String engine, Progress progress, double amount) {
    now = at;
    Forward forward = findForward(engine, id, index);
    if (forward != null) {
      Task task = forward.task;
      boolean hasFraction = progress == Progress.FRACTION_DONE && amount > 0;
      long age = Math.max(NANOS_PER_MS, now - forward.sentAt);
      double projectedRunTime = age / clamp(amount, 0.001, 1);
      forward.engine.post(forward.engine::onSignOfLife);
      if (hasFraction) {
        forward.engine.post(
            () ->
                forward.engine.updateSlowdown(
                    task, Math.log(projectedRunTime / task.isolatedRunTime())));
      }
      boolean stalled =
          progress == Progress.WAITING
              || hasFraction
                  && projectedRunTime - age > STALLED_RUN_FACTOR * task.expectedRunTime();
      if (capabilities.cancellation() && stalled) {
        // The forward waits for a bulk load or for memory, or the engine is overloaded. Where
        // forwards cannot be cancelled, a second one would only add to the overload.
        dispatcher.post(() -> dispatcher.retryStalled(forward));
      }
    }
  }

  @Override
  public void onWakeUp(long at, String token) {
    now = at;
    engines.values().stream()
        .filter(
            engine ->
                !engine.openForwards.isEmpty()
                    || capabilities.probing() && now >= engine.nextProbeAt)
        .forEach(engine -> engine.post(engine::sweep));
    dispatcher.post(dispatcher::sweep);
    actions.scheduleWakeUp(dispatcher.sweepInterval(), token);
  }

  @Override
  public void onClientLeft(long at, String id) {
    now = at;
    Task task = tasks.get(id);
    if (task != null) {
      dispatcher.post(() -> dispatcher.finish(task));
    }
  }

  @Override
  public void onShutdown(long at, long until) {
    now = at;
    dispatcher.post(() -> dispatcher.shutdownAt = until - DEADLINE_MARGIN_NANOS);
  }

  @Override
  public List<EngineStatus> engineStatuses(long at) {
    return engines.values().stream()
        .filter(engine -> engine.entry != null)
        .map(
            engine ->
                new EngineStatus(
                    engine.id,
                    engine.openForwards.size(),
                    engine.report == null ? -1 : at - engine.reportAt,
                    !engine.usable()))
        .toList();
  }

  private Forward findForward(String engine, String task, int index) {
    Engine found = engines.get(engine);
    return found == null
        ? null
        : found.openForwards.stream()
            .filter(forward -> forward.index == index && forward.task.id.equals(task))
            .findFirst()
            .orElse(null);
  }

  /**
   * Processes all events first, so that no task is dispatched that ends in the same batch; then
   * dispatches queued tasks.
   */
  @Override
  public void decide(long at) {
    now = at;
    eventLoop.runUntilIdle();
    dispatcher.post(dispatcher::dispatchNext);
    eventLoop.runUntilIdle();
  }

  // ---- Concurrency limits, query classes, tasks, forwards ----

  /** An adaptive limit on the threads of this manager's tasks, on one engine or in a pool. */
  private class ConcurrencyLimit {
    double maxThreads;
    int usedThreads; // of this manager's tasks there
    double logSlowdownToBest; // mean ln of the slowdown relative to the best one seen
    long halvedAt;
    long pressureUntil;

    /**
     * Tells whether a task of the class may start. Without pressure, threads up to the initial
     * limit are always allowed. Slow answers are no sign of pressure while cores of this manager's
     * share are idle: otherwise, while work has a price, tasks with too low an estimate are
     * admitted, appear slow, and the limit never grows again.
     */
    boolean allows(QueryClass queryClass, double cores) {
      boolean underPressure =
          logSlowdownToBest > STRAINED_LOG_SLOWDOWN && usedThreads >= cores || now < pressureUntil;
      return !underPressure && usedThreads < cores * INITIAL_THREADS_PER_CORE
          || usedThreads + queryClass.threads() <= Math.max(maxThreads, queryClass.threads());
    }

    void onAnswer(QueryClass queryClass, double relativeLogSlowdown, boolean busy, double limit) {
      logSlowdownToBest =
          movingAverage(logSlowdownToBest, relativeLogSlowdown, 2 * SMOOTHING_FACTOR);
      if (relativeLogSlowdown > SEVERE_LOG_SLOWDOWN) {
        halve();
      } else if (relativeLogSlowdown < STRAINED_LOG_SLOWDOWN && !busy) {
        maxThreads = Math.min(maxThreads + queryClass.threads(), limit);
      }
    }

    void halve() {
      if (now - halvedAt <= PRESSURE_DURATION_NANOS) {
        return;
      }
      halvedAt = now;
      maxThreads = Math.max(maxThreads / 2, 1);
    }

    void onOverload() {
      pressureUntil = now + PRESSURE_DURATION_NANOS;
      halve();
    }
  }

  /**
   * The engines that certain query classes are restricted to, with the price of work on them and
   * one concurrency limit over all of them.
   */
  private final class EnginePool extends ConcurrencyLimit {
    final EngineSubset.EngineGroup group;
    // This manager's share of the cores, each engine's counted by its present capacity fraction.
    double cores;
    double memoryMb; // this manager's share of the memory
    double grantedMb; // memory granted to this manager's tasks
    // The pool's limit replaces the engines' limits, because this manager's share of an engine is
    // less than one thread, on average.
    boolean usesPoolLimit;
    double price; // of engine work, in earnings per nanosecond; 0 unless tasks wait

    EnginePool(QueryClass queryClass) {
      group =
          subset.group(
              entry -> // rule 6: placement by zone and engine type
              (queryClass.allowedZones().isEmpty()
                          || queryClass.allowedZones().contains(entry.zone()))
                      && (queryClass.allowedEngineTypes().isEmpty()
                          || queryClass.allowedEngineTypes().contains(entry.type())));
    }

    private void adjustSubstitutes() {
      List<EngineEntry> healthy =
          engines.values().stream()
              .filter(engine -> engine.healthy() && engine.servedPools.contains(this))
              .map(engine -> engine.entry)
              .toList();
      EngineEntry changed =
          group.adjustSubstitutes(
              healthy, entry -> !engines.containsKey(entry.id()) && slowStart.isWarm(now, entry));
      if (changed != null) {
        engines.computeIfAbsent(changed.id(), Engine::new).postListing(changed);
      }
    }

    private void updateCapacity() {
      double previousCores = cores, surplusThreads = 0;
      cores = memoryMb = grantedMb = usedThreads = 0;
      for (Engine engine : engines.values()) {
        if (engine.usable() && engine.servedPools.contains(this)) {
          cores += engine.cores * engine.capacityFraction() * engine.share();
          memoryMb += engine.totalMemoryMb * engine.share();
          usedThreads += engine.limit.usedThreads;
          surplusThreads += engine.cores * INITIAL_THREADS_PER_CORE * engine.share() - 1;
          grantedMb += engine.grantedMb;
        }
      }
      usesPoolLimit = surplusThreads < 0;
      maxThreads =
          previousCores == 0
              ? cores * INITIAL_THREADS_PER_CORE
              : maxThreads * cores / previousCores;
    }
  }

  /** The statistics of one query class. */
  private static final class ClassStatistics {
    final QueryClass queryClass;
    final EnginePool pool;
    double costBias = 1; // reported cost divided by estimated cost
    double memoryBias = 1; // reported memory divided by estimated memory
    double memoryMargin = INITIAL_GRANT_MARGIN; // added to the bias in a memory grant
    double meanCost = Double.NaN; // of accepted tasks, in nanoseconds of work
    double meanRunTime = Double.NaN; // of tasks that succeeded, in nanoseconds
    double logSlowdown = Double.NaN; // mean ln of run time over isolated run time, on all engines
    double bestLogSlowdown = Double.NaN; // the lowest value that this mean has had
    double meanLogValue = Double.NaN; // mean ln of earnings per nanosecond of work
    // In the present dispatch pass no engine had capacity for a task of this class that has no key
    // and no earlier forwards.
    boolean noCapacity;

    ClassStatistics(QueryClass queryClass, EnginePool pool) {
      this.queryClass = queryClass;
      this.pool = pool;
    }
  }

  /** A task that has been accepted and not yet answered. */
  private final class Task {
    final String id;
    final ClassStatistics statistics;
    final QueryClass queryClass;
    final TenantQueue<Task> tenantQueue; // null where unknown: such a task is never queued
    final Long key; // null where the task has none, or its class is not serialized by key
    KeyQueue<Task> keyQueue; // null where key is null
    final long deadline;
    final double cost; // nanoseconds of work
    final double logValue; // ln of earnings per nanosecond of work
    final TaskRequest request;
    boolean waitsForKey; // waits for earlier tasks of its key
    boolean queued; // waits in the tenant's queue
    boolean finished;
    long enqueuedAt;
    long queueDeadline; // the time at which its queue wait budget ends
    int forwardsSent; // sent so far
    final List<Forward> openForwards = new ArrayList<>(2);
    // The engines on which it ended with an error; they count as failed once it succeeds elsewhere.
    final List<Engine> failedEngines = new ArrayList<>(2);
    Forward firstExecuted; // the earliest forward that an engine may have executed
    long cancelledForwards; // bit set of the indexes of cancelled forwards

    Task(TaskRequest request, ClassStatistics statistics) {
      this.request = request;
      id = request.id();
      this.statistics = statistics;
      queryClass = statistics.queryClass;
      tenantQueue = tenantQueues.get(request.tenant());
      key = queryClass.serializedByKey() ? request.key() : null;
      deadline = request.deadlineNanos();
      double usualCost = Double.isNaN(statistics.meanCost) ? NANOS_PER_MS : statistics.meanCost;
      cost =
          Math.max(
              NANOS_PER_MS,
              request.estimatedCostNanos() > 0
                  ? request.estimatedCostNanos() * statistics.costBias
                  : usualCost);
      statistics.meanCost = movingAverage(statistics.meanCost, cost, SMOOTHING_FACTOR);
      logValue = Math.log(Math.max(queryClass.earnings(), 1e-9) / cost);
    }

    /** Returns the expected run time on an otherwise idle engine. */
    double isolatedRunTime() {
      return Math.max(cost / queryClass.threads(), 5 * NANOS_PER_MS);
    }

    /** Returns the expected run time at the fleet's present slowdown. */
    double expectedRunTime() {
      return isolatedRunTime()
          * (Double.isNaN(statistics.logSlowdown) ? 2 : Math.exp(statistics.logSlowdown));
    }

    /**
     * Returns the earnings per nanosecond of work, corrected for most of the difference between its
     * class and the overall mean, so that load shedding never drops a whole class.
     */
    double value() {
      return Math.exp(
          logValue - CLASS_VALUE_DISCOUNT * (statistics.meanLogValue - dispatcher.meanLogValue));
    }

    long queueWaitBudget() {
      return Math.min(MAX_QUEUE_WAIT_NANOS, Math.max(0, deadline - now) / QUEUE_WAIT_DIVISOR);
    }

    /**
     * Returns the fraction of the queue wait budget that is used; 0 during the first short wait.
     */
    double budgetUsed() {
      long waited = now - enqueuedAt;
      return waited > PRICE_FREE_WAIT_NANOS
          ? Math.min(1, waited / (double) (queueDeadline - enqueuedAt))
          : 0;
    }

    /** Tells whether the deadline is too near, or the task would outlast the shutdown. */
    boolean cannotEndInTime() {
      return deadline - now <= DEADLINE_MARGIN_NANOS
          || expectedRunTime() > dispatcher.shutdownAt - now;
    }

    boolean isIdempotent() {
      return queryClass.retrySafety() == QueryClass.RetrySafety.IDEMPOTENT;
    }

    /**
     * Rule 2: tells whether the task may go to that engine, given what its earlier forwards may
     * have executed.
     */
    boolean mayRetryOn(Engine engine) {
      if (!openForwards.isEmpty() && !capabilities.hedging()) {
        return false;
      }
      // The earliest forward that may have been executed: a later one may have ended while that
      // one is still open.
      Forward first =
          openForwards.isEmpty()
                  || firstExecuted != null && firstExecuted.index < openForwards.get(0).index
              ? firstExecuted
              : openForwards.get(0);
      if (first == null || isIdempotent()) {
        return true;
      }
      // The request may leave this much later, while its connection is being opened.
      long elapsed =
          now - first.sentAt + MAX_SWEEP_INTERVAL_NANOS + capabilities.connectTimeoutNanos();
      return queryClass.retrySafety() == QueryClass.RetrySafety.DEDUPLICATED
          && elapsed < queryClass.deduplicationWindowNanos()
          && switch (queryClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> first.engine.entry.zone().equals(engine.entry.zone());
            case CELL -> first.engine.entry.cell() == engine.entry.cell();
          };
    }

    /** Rule 2: tells whether the client may safely retry the task after a rejection. */
    boolean mayReject() {
      return isIdempotent()
          || firstExecuted == null && openForwards.isEmpty()
          || queryClass.retrySafety() == QueryClass.RetrySafety.DEDUPLICATED
              && queryClass.deduplicationScope() == QueryClass.DeduplicationScope.ALL;
    }
  }

  /** One attempt to execute a task on an engine. */
  private record Forward(
      Task task,
      Engine engine,
      int index,
      long sentAt,
      double memoryMb,
      boolean warmData,
      SlowStart.SentRequest request) {}

  // ---- The dispatcher: tenant queues, dispatching, final answers ----

  /** The actor that queues tasks, dispatches them to engines and gives their final answers. */
  private final class Dispatcher extends EventLoop.Actor {
    final Map<Long, KeyQueue<Task>> keyQueues = new TreeMap<>();
    final SlidingWindow recentTasks =
        new SlidingWindow(); // tasks within the window of the retry budget (rule 7)
    final SlidingWindow recentRetries = new SlidingWindow(); // retries within that window
    // Mean ln of run time over the usual one, where the engine had read the data set recently.
    double warmDataLogRatio;
    double coldDataLogRatio = 0.1; // the same where it had not
    boolean hasLoadReports; // whether any engine has ever reported its load
    boolean mostSuspected; // whether most of the fleet is suspected; then suspicion excludes none
    int queuedTasks;
    // Answers must be given by this time; Long.MAX_VALUE unless the manager is shutting down.
    long shutdownAt = Long.MAX_VALUE;
    long lastSentAt;
    long lastSweepAt = now;
    long lastTaskAt = now;
    double meanTaskInterval =
        1000 * NANOS_PER_MS; // mean time between accepted tasks; starts as for rare tasks
    double meanSendInterval = 10 * NANOS_PER_MS; // mean time between sends while tasks wait
    double meanLogValue = Double.NaN; // mean ln of the earnings per nanosecond of accepted tasks
    double meanCost = Double.NaN; // of accepted tasks, in nanoseconds of work

    Dispatcher() {
      super(eventLoop);
    }

    /**
     * Returns the time to the next sweep. It is longer where few tasks come, so that the cost of
     * sweeps does not grow with the number of managers.
     */
    long sweepInterval() {
      return (long) clamp(meanTaskInterval / 2, MIN_SWEEP_INTERVAL_NANOS, MAX_SWEEP_INTERVAL_NANOS);
    }

    /**
     * Returns the time between probes of an engine. It is longer with fewer tasks and more
     * managers, so that probes do not cost more than they tell.
     */
    long probeInterval() {
      return (long)
          Math.max(
              MIN_PROBE_INTERVAL_NANOS,
              engines.size() * meanTaskInterval * Math.sqrt(managerCount));
    }

    private void onTask(Task task) {
      recentTasks.add(now, 1);
      meanTaskInterval =
          movingAverage(
              meanTaskInterval, Math.min(now - lastTaskAt, 1000 * NANOS_PER_MS), SMOOTHING_FACTOR);
      lastTaskAt = now;
      meanLogValue = movingAverage(meanLogValue, task.logValue, SMOOTHING_FACTOR);
      meanCost = movingAverage(meanCost, task.cost, SMOOTHING_FACTOR);
      slowStart.onTask(task.cost);
      task.statistics.meanLogValue =
          movingAverage(task.statistics.meanLogValue, task.logValue, SMOOTHING_FACTOR);
      if (task.cannotEndInTime()) {
        rejectOrAbort(task);
        return;
      }
      if (task.key != null) {
        // The queue is looked up only here: one found when the event arrived may have been removed
        // before this message was processed.
        task.keyQueue = keyQueues.computeIfAbsent(task.key, KeyQueue::new);
        task.keyQueue.tasks.add(task);
        if (task.keyQueue.tasks.peek() != task || !isKeyAvailable(task.keyQueue)) {
          task.waitsForKey = true;
          return;
        }
      }
      enqueue(task);
    }

    boolean isKeyAvailable(KeyQueue<Task> keyQueue) {
      return keyQueue.openForwards == 0 && now >= keyQueue.cooldownUntilNanos;
    }

    /**
     * Adds the task to its tenant's queue. Gives it up at once if its value is below the price, a
     * queue is full, or the expected wait exceeds its budget.
     */
    private void enqueue(Task task) {
      task.waitsForKey = false;
      task.enqueuedAt = now;
      task.queueDeadline = now + task.queueWaitBudget();
      int tenantQueued = task.tenantQueue == null ? 0 : task.tenantQueue.tasks.size();
      boolean belowPrice = task.forwardsSent == 0 && task.value() < task.statistics.pool.price;
      boolean noCapacity = !canBeSent(task);
      if (belowPrice && (noCapacity || !task.statistics.pool.usesPoolLimit)
          || noCapacity
              && (task.tenantQueue == null
                  || queuedTasks >= MAX_QUEUED_TOTAL
                  || tenantQueued >= MAX_QUEUED_PER_TENANT
                  || expectedWait(task) > task.queueWaitBudget())) {
        giveUp(task);
      } else if (task.tenantQueue == null) {
        route(task); // a task of no tenant is sent at once or rejected
      } else {
        addToQueue(task);
      }
    }

    private void addToQueue(Task task) {
      task.tenantQueue.tasks.add(queuePosition(task.tenantQueue.tasks, task), task);
      task.queued = true;
      queuedTasks++;
    }

    private void removeFromQueue(Task task) {
      queuedTasks -= task.queued && task.tenantQueue.tasks.remove(task) ? 1 : 0;
      task.queued = false;
    }

    private int queuePosition(ArrayList<Task> queue, Task task) {
      return (int) queue.stream().filter(queued -> queued.deadline <= task.deadline).count();
    }

    /**
     * Returns the expected time in the queue: the send interval times the number of tasks ahead,
     * plus the shortest remaining mean run time of any open forward on an engine of the pool.
     */
    private double expectedWait(Task task) {
      double totalWeight = 0;
      for (TenantQueue<Task> queue : tenantQueues.values()) {
        totalWeight += queue.tasks.isEmpty() && queue != task.tenantQueue ? 0 : queue.weight;
      }
      double tasksAhead =
          queuePosition(task.tenantQueue.tasks, task) * totalWeight / task.tenantQueue.weight;
      double minRemaining =
          engines.values().stream()
              .filter(engine -> engine.ready && engine.servedPools.contains(task.statistics.pool))
              .mapToDouble(Engine::minRemainingTime)
              .min()
              .orElse(Double.MAX_VALUE);
      return Math.min(queuedTasks, tasksAhead) * meanSendInterval
          + (minRemaining == Double.MAX_VALUE ? 0 : minRemaining);
    }

    private boolean canBeSent(Task task) {
      EnginePool pool = task.statistics.pool;
      return (!pool.usesPoolLimit || pool.allows(task.queryClass, pool.cores))
          && engines.values().stream().anyMatch(engine -> engine.canTake(task));
    }

    /**
     * Dispatches one task, by smooth weighted round-robin over the tenants that have a task which
     * can be sent.
     */
    private void dispatchNext() {
      classStatistics.values().forEach(statistics -> statistics.noCapacity = false);
      Task selected = null;
      TenantQueue<Task> selectedQueue = null;
      double totalWeight = 0;
      for (TenantQueue<Task> queue : tenantQueues.values()) {
        Task next = nextSendable(queue.tasks);
        queue.currentWeight += next != null ? queue.weight : 0;
        totalWeight += next != null ? queue.weight : 0;
        if (next != null
            && (selectedQueue == null || queue.currentWeight > selectedQueue.currentWeight)) {
          selectedQueue = queue;
          selected = next;
        }
      }
      if (selectedQueue != null) {
        selectedQueue.currentWeight -= totalWeight;
        removeFromQueue(selected);
        route(selected);
      }
    }

    private void route(Task task) {
      Engine engine = pickEngine(task);
      engine.post(() -> engine.send(task));
    }

    /**
     * Recomputes the figures of the whole fleet; called by each sweep and whenever an engine is
     * listed, suspected or cleared.
     */
    private void updateCapacity() {
      mostSuspected =
          engines.values().stream()
                  .filter(engine -> engine.ready)
                  .mapToDouble(engine -> engine.suspected ? engine.cores : -engine.cores)
                  .sum()
              > 0;
      pools.values().forEach(EnginePool::updateCapacity);
    }

    /**
     * Returns the queued task with the earliest deadline that can be sent, or null. A task that can
     * be sent to no engine does not block those behind it.
     */
    private Task nextSendable(ArrayList<Task> queue) {
      for (int i = 0; i < queue.size(); i++) {
        Task task = queue.get(i);
        boolean unconstrained = task.forwardsSent == 0 && task.keyQueue == null;
        // Where a task without a key and earlier forwards cannot be sent, no other of its class
        // can.
        if (!task.statistics.noCapacity) {
          if (canBeSent(task)) {
            return task;
          }
          task.statistics.noCapacity |= unconstrained;
        }
      }
      return null;
    }

    private void onSent(Task task) {
      double interval = Math.min(now - lastSentAt, 1000 * NANOS_PER_MS);
      meanSendInterval =
          queuedTasks > 0 || now > task.enqueuedAt
              ? movingAverage(meanSendInterval, interval, SMOOTHING_FACTOR)
              : meanSendInterval;
      lastSentAt = now;
      if (task.tenantQueue != null) {
        // The remaining queued tasks have not been considered yet.
        dispatchNext();
      }
    }

    /**
     * Returns a task that no longer fits its engine to the queue, within its remaining queue wait
     * budget.
     */
    private void requeue(Task task) {
      if (task.finished) {
        return;
      }
      if (now >= task.queueDeadline || task.tenantQueue == null) {
        giveUp(task);
      } else {
        addToQueue(task);
      }
    }

    /** Gives a task up; with an open forward it only stops waiting for another one. */
    private void giveUp(Task task) {
      removeFromQueue(task);
      if (task.openForwards.isEmpty()) {
        rejectOrAbort(task);
      }
    }

    /** Rule 1: gives the one final answer of a task without a result. */
    private void rejectOrAbort(Task task) {
      if (task.mayReject()) {
        actions.reject(
            task.id,
            capabilities.retryAfter()
                ? Math.min(
                    capabilities.maxRetryAfterNanos(),
                    (long) (queuedTasks * meanSendInterval) + PRICE_FREE_WAIT_NANOS)
                : 0);
      } else {
        actions.abort(task.id);
      }
      finish(task);
    }

    /** Ends a task: cancels its open forwards, which stay with their engines until they end. */
    private void finish(Task task) {
      removeFromQueue(task);
      task.finished = true;
      tasks.remove(task.id);
      forgetIfNotExecuted(task);
      task.openForwards.forEach(this::cancel);
      if (task.keyQueue != null) {
        task.keyQueue.tasks.remove(task);
        releaseKey(task.keyQueue);
      }
    }

    /** A finished task that no engine can have executed may be sent again under its id. */
    private void forgetIfNotExecuted(Task task) {
      if (task.finished && task.firstExecuted == null && task.openForwards.isEmpty()) {
        executedTasks.remove(task.id);
      }
    }

    private void cancel(Forward forward) {
      if (capabilities.cancellation()
          && (forward.task.cancelledForwards & 1L << forward.index) == 0) {
        forward.task.cancelledForwards |= 1L << forward.index;
        actions.cancel(forward.task.id, forward.index);
      }
    }

    /**
     * Rule 5: enqueues the next task of a key once the one before has ended and the key's cooldown
     * is over.
     */
    private void releaseKey(KeyQueue<Task> keyQueue) {
      Task head = keyQueue.tasks.peek();
      if (isKeyAvailable(keyQueue) && head == null) {
        keyQueues.remove(keyQueue.key);
      } else if (isKeyAvailable(keyQueue) && head.waitsForKey) {
        enqueue(head);
      }
    }

    private void onForwardEnd(Forward forward, Outcome outcome, boolean taskAnswered) {
      Task task = forward.task;
      task.openForwards.remove(forward);
      if (!NOT_EXECUTED.contains(outcome)
          && (task.firstExecuted == null || forward.index < task.firstExecuted.index)) {
        task.firstExecuted = forward;
      }
      forgetIfNotExecuted(task);
      if (task.keyQueue != null) {
        task.keyQueue.openForwards--;
        if (outcome == Outcome.TIME_OUT
            || outcome == Outcome.RESET
            || outcome == Outcome.CANCELLED) {
          // One sweep interval is added, as the query may end on the engine after this event.
          task.keyQueue.cooldownUntilNanos =
              now + settings.keyCooldownNanos() + MAX_SWEEP_INTERVAL_NANOS;
        }
      }
      if (!task.finished && (taskAnswered || outcome == Outcome.OK)) {
        finish(task);
      } else if (!task.finished && task.openForwards.isEmpty() && !task.queued) {
        retryOrAnswer(task);
      } else if (task.finished && task.keyQueue != null) {
        releaseKey(task.keyQueue);
      }
    }

    /** All forwards failed: enqueues the task again where the rules allow, or else answers it. */
    private void retryOrAnswer(Task task) {
      boolean attemptsLeft =
          task.forwardsSent < capabilities.maxForwards() && !task.cannotEndInTime();
      boolean retry =
          attemptsLeft
              && (task.firstExecuted == null
                  || task.queryClass.retrySafety() != QueryClass.RetrySafety.NON_IDEMPOTENT);
      if (retry) {
        enqueue(task);
      } else {
        rejectOrAbort(task);
      }
    }

    /**
     * Cancels a stalled forward, or sends a second one, where the query class, the rules and the
     * capabilities allow.
     */
    private void retryStalled(Forward forward) {
      Task task = forward.task;
      if (task.finished
          || task.queued
          || task.queryClass.retrySafety() == QueryClass.RetrySafety.NON_IDEMPOTENT
          || !retryBudgetAllows()
          || task.forwardsSent >= capabilities.maxForwards()
          || task.deadline - now < 2 * task.isolatedRunTime()) {
        return;
      }
      if (!capabilities.hedging()) {
        cancel(forward);
      } else if (task.openForwards.size() < 2) {
        enqueue(task);
      }
    }

    /** Rule 7: tells whether one more retry is within the retry budget. */
    boolean retryBudgetAllows() {
      Settings.RetryBudget budget = settings.retryBudget();
      return budget == null
          || recentRetries.count() + 1
              <= budget.spareAttempts() + budget.extraPerRequest() * recentTasks.count();
    }

    /**
     * Updates the price of engine work in each pool. While tasks wait, tasks whose value is below
     * the price are rejected early, so that expensive ones do not take all capacity.
     */
    private void updatePrices() {
      double usualValue = Math.exp(meanLogValue);
      double decay =
          Math.pow(PRICE_DECAY_PER_SWEEP, (now - lastSweepAt) / (double) MIN_SWEEP_INTERVAL_NANOS);
      lastSweepAt = now;
      for (EnginePool pool : pools.values()) {
        // The largest fraction of a queue wait budget that any queued task has used.
        double budgetUsed =
            tenantQueues.values().stream()
                .flatMap(queue -> queue.tasks.stream())
                .filter(task -> task.statistics.pool == pool)
                .mapToDouble(Task::budgetUsed)
                .max()
                .orElse(0);
        double newPrice =
            budgetUsed > 0 ? usualValue * Math.pow(MIN_PRICE_FRACTION, 1 - budgetUsed) : 0;
        pool.price = Math.max(newPrice, pool.price * decay);
        pool.price = pool.price < usualValue * MIN_PRICE_FRACTION ? 0 : pool.price;
      }
    }

    private void sweep() {
      engines.values().removeIf(engine -> engine.awaitsRemoval && engine.openForwards.isEmpty());
      slowStart.evictUnused(now, id -> engines.containsKey(id) || engineList.find(id) != null);
      updateCapacity();
      pools.values().forEach(EnginePool::adjustSubstitutes);
      updatePrices();
      long window = settings.retryBudget() == null ? 0 : settings.retryBudget().windowNanos();
      // Tasks are removed early rather than late, so that the budget is never overestimated.
      recentTasks.evictBefore(now - window + 2 * MAX_SWEEP_INTERVAL_NANOS + 1);
      recentRetries.evictBefore(now - window);
      tenantQueues.values().stream()
          .flatMap(queue -> queue.tasks.stream())
          .filter(task -> now >= task.queueDeadline)
          .toList()
          .forEach(this::giveUp);
      for (KeyQueue<Task> keyQueue : new ArrayList<>(keyQueues.values())) {
        for (Task task : new ArrayList<>(keyQueue.tasks)) {
          double needed = Math.max(DEADLINE_MARGIN_NANOS, task.expectedRunTime());
          if (task.waitsForKey && task.deadline - now <= needed) {
            rejectOrAbort(task);
          }
        }
        releaseKey(keyQueue);
      }
      if (shutdownAt < Long.MAX_VALUE) {
        new ArrayList<>(tasks.values())
            .stream()
                .filter(
                    task ->
                        !task.finished
                            && (now >= shutdownAt
                                || task.openForwards.isEmpty() && task.cannotEndInTime()))
                .forEach(this::rejectOrAbort);
      }
    }
  }

  /**
   * Picks one of the engines that can take the task, at random and weighted against their load; an
   * engine without a fresh report counts as average.
   */
  private Engine pickEngine(Task task) {
    double average =
        engines.values().stream()
            .filter(engine -> engine.ready && engine.hasFreshReport())
            .mapToDouble(engine -> engine.load(1))
            .average()
            .orElse(1);
    List<Engine> candidates =
        engines.values().stream().filter(engine -> engine.canTake(task)).toList();
    double[] weights =
        candidates.stream().mapToDouble(engine -> engine.weight(task, average)).toArray();
    return candidates.get(pickWeighted(weights, random.nextDouble()));
  }

  // ---- Engines: state, concurrency limit and health; every task is sent from here ----

  /** The actor of one engine: it sends tasks there and tracks its load and health. */
  private final class Engine extends EventLoop.Actor {
    final String id;
    EngineEntry entry; // as last listed
    boolean ready;
    // The engine is gone, not listed, or not in the subset any more; it is removed once its
    // forwards have ended.
    boolean awaitsRemoval;
    final List<EnginePool> servedPools = new ArrayList<>(2);
    boolean isSubstitute; // a substitute for others of the subset; it is not used while cold
    int subsetLevel; // one in 2^level managers uses the engine
    double cores = 1;
    double totalMemoryMb;
    final ArrayList<Forward> openForwards = new ArrayList<>();
    double grantedMb; // memory granted to this manager's tasks there
    final ConcurrencyLimit limit = new ConcurrencyLimit();
    double logSlowdownToFleet; // mean ln of its slowdown relative to the mean of all engines
    long slowdownUpdatedAt = now;
    double observedShare; // moving average of this manager's share of the engine's tasks
    LoadReport report;
    long reportAt;
    int threadsSentSinceReport;
    double otherTasks; // the tasks in the last report, less this manager's at the time
    double otherMemoryMb; // the memory in the last report, less this manager's at the time
    long nextProbeAt;
    int failedProbes;
    long lastSweepAt;
    long lastSignOfLifeAt; // the last sign of life, or the first send to the idle engine since then
    double expectedAnswers; // the number of answers expected since then by usual run times
    // Mean of expectedAnswers, and of its deviation, when a sign of life arrives.
    double meanExpectedAnswers = INITIAL_EXPECTED_ANSWERS;
    double expectedAnswersDeviation = INITIAL_EXPECTED_ANSWERS;
    double failureRate; // moving average of the fraction of failed answers
    boolean unreachable; // at the last attempt; excludes the engine even if most are suspected
    boolean suspected;
    long nextTrialAt;
    long trialInterval;
    final SlowStart.EngineRecord start;
    final LinkedHashSet<Long> warmDataSets =
        new LinkedHashSet<>(); // data sets last read, oldest first

    Engine(String id) {
      super(eventLoop);
      this.id = id;
      start = slowStart.engine(now, id);
      nextProbeAt = now + (long) (random.nextDouble() * dispatcher.probeInterval());
    }

    private void postListing(EngineEntry listing) {
      post(() -> onListing(listing));
    }

    private void onListing(EngineEntry listing) {
      // Posted for each engine, so that the capacity is also updated after the last engine of a
      // list. A single message for the whole list would be processed before some of its entries.
      dispatcher.post(dispatcher::updateCapacity);
      boolean isUsed = listing != null && subset.uses(listing);
      ready = isUsed && listing.state() == EngineEntry.State.READY;
      awaitsRemoval = !isUsed || listing.state() == EngineEntry.State.GONE;
      servedPools.clear();
      if (listing == null) {
        return;
      }
      // A sweep may have removed the engine since the event arrived.
      engines.putIfAbsent(id, this);
      pools.values().stream().filter(pool -> pool.group.uses(listing)).forEach(servedPools::add);
      isSubstitute = subset.isSubstitute(listing);
      subsetLevel = subset.level(listing);
      boolean restarted =
          entry == null
              || listing.startedAtNanos() != 0
                  && listing.startedAtNanos() != entry.startedAtNanos();
      logTransition(listing, restarted);
      entry = listing;
      Settings.EngineType type = settings.engineTypes().get(listing.type());
      cores = type != null && type.cores() > 0 ? type.cores() : Math.max(1, listing.size());
      totalMemoryMb = type == null ? 0 : type.memoryMb();
      if (restarted) {
        // A new process: nothing learned about the old one applies.
        warmDataSets.clear();
        suspected = unreachable = false;
        report = null;
        logSlowdownToFleet = limit.logSlowdownToBest = failureRate = 0;
        limit.pressureUntil = failedProbes = 0;
        limit.maxThreads = cores * INITIAL_THREADS_PER_CORE * share();
      }
    }

    /** Logs a change of state, and a start as long as the engine is cold. */
    private void logTransition(EngineEntry listing, boolean restarted) {
      if (restarted && start.mayBeCold(now)) {
        long ageMs = (now - listing.startedAtNanos()) / NANOS_PER_MS;
        actions.log(
            "engine " + id + " listed as " + listing.state() + ", started " + ageMs + " ms ago");
      } else if (entry != null && entry.state() != listing.state()) {
        actions.log("engine " + id + " listed as " + listing.state());
      }
    }

    // -- Eligibility --

    boolean usable() {
      return ready && !unreachable && (!suspected || dispatcher.mostSuspected);
    }

    boolean healthy() {
      return ready && !unreachable && !suspected && capacityFraction() >= 1;
    }

    private double capacityFraction() {
      return start.capacityFraction(now);
    }

    /** Rule 4: tells whether the slow start of the engine admits the task. */
    private boolean slowStartAllows(Task task) {
      return isSubstitute
          ? !start.mayBeCold(now)
          : start.allows(now, task.cost, cores, maxExpectedManagers());
    }

    private double expectedManagers() {
      return managerCount / (double) (1 << subsetLevel);
    }

    private double maxExpectedManagers() {
      return SlowStart.maxManagers(managerCount, expectedManagers());
    }

    /**
     * Checks every rule on sending. Rule 3 (draining engines) is applied without its grace period,
     * as lists arrive late.
     */
    private boolean rulesAllow(Task task) {
      return ready
          && servedPools.contains(task.statistics.pool)
          && task.mayRetryOn(this)
          && slowStartAllows(task)
          && task.forwardsSent < capabilities.maxForwards()
          && (task.forwardsSent == 0 || dispatcher.retryBudgetAllows())
          && (task.keyQueue == null
              || task.keyQueue.tasks.peek() == task
                  && (task.forwardsSent > 0 || dispatcher.isKeyAvailable(task.keyQueue)));
    }

    /** Tells whether rules, health and free capacity permit sending the task here. */
    boolean canTake(Task task) {
      if (!rulesAllow(task)
          || !task.openForwards.isEmpty() && task.openForwards.get(0).engine == this) {
        return false;
      }
      return !usable()
          ? now >= nextTrialAt && task.isIdempotent()
          : threadsFit(task) && memoryFits(task);
    }

    /**
     * Returns this manager's share of the engine: an even one, or more where its tasks are seen to
     * make up more of the load.
     */
    private double share() {
      return Math.max(1 / expectedManagers(), observedShare);
    }

    /**
     * Checks the engine's concurrency limit, or the pool's where this manager's share of an engine
     * is less than one thread.
     */
    private boolean threadsFit(Task task) {
      EnginePool pool = task.statistics.pool;
      return pool.usesPoolLimit
          ? now >= limit.pressureUntil && pool.allows(task.queryClass, pool.cores)
          : limit.allows(task.queryClass, cores * share() * capacityFraction());
    }

    /** Adds the threads and memory of a task; negative values remove them. */
    private void addUsage(int threads, double memoryMb) {
      limit.usedThreads += threads;
      grantedMb += memoryMb;
      for (EnginePool pool : pools.values()) {
        // Tasks on an unusable engine take no capacity of the pool.
        boolean isCounted = usable() && servedPools.contains(pool);
        pool.usedThreads += isCounted ? threads : 0;
        pool.grantedMb += isCounted ? memoryMb : 0;
      }
    }

    /**
     * Checks the memory limit. It always applies: beyond it an engine spills, waits or pages, and
     * its reports come too late.
     */
    private boolean memoryFits(Task task) {
      EnginePool pool = task.statistics.pool;
      boolean reported =
          hasFreshReport() && !Double.isNaN(report.grantedMemoryFraction()) && !pool.usesPoolLimit;
      double neededMb = memoryGrantMb(task);
      double limitMb = reported ? totalMemoryMb - otherMemoryMb : totalMemoryMb * share();
      if (totalMemoryMb <= 0 || grantedMb + neededMb <= limitMb) {
        return true;
      }
      boolean fitsPool =
          pool.grantedMb + neededMb <= pool.memoryMb
              || neededMb < SMALL_TASK_MEMORY_FRACTION * pool.memoryMb;
      return openForwards.isEmpty() && (!reported && fitsPool || pool.usedThreads == 0);
    }

    /** Returns the memory to grant, or, where engines ignore grants, the memory it will use. */
    private double memoryGrantMb(Task task) {
      double neededMb =
          task.request.estimatedMemoryMb()
              * (task.statistics.memoryBias + task.statistics.memoryMargin);
      double maxMb =
          capabilities.maxGrantFraction() > 0 && totalMemoryMb > 0
              ? capabilities.maxGrantFraction() * totalMemoryMb
              : neededMb;
      return Math.min(neededMb, maxMb);
    }

    /**
     * Returns the priority. It is higher for tasks that earn much for their work, and for bulk
     * loads, as other tasks wait for the data sets that they hold.
     */
    private int priority(Task task) {
      double logRelativeValue = task.logValue - dispatcher.meanLogValue;
      int priority =
          3
              - (int)
                  clamp(
                      Math.ceil(
                          (TOP_PRIORITY_LOG_VALUE - logRelativeValue) / PRIORITY_LOG_VALUE_STEP),
                      0,
                      3);
      return task.queryClass.bulkLoad() ? Math.max(2, priority) : priority;
    }

    private void send(Task task) {
      if (task.finished) {
        // The client left, or the task was answered, after it had been dispatched.
        return;
      }
      if (!canTake(task)) {
        dispatcher.post(() -> dispatcher.requeue(task));
        return;
      }
      double memoryMb = memoryGrantMb(task);
      if (capabilities.memoryGrants() || capabilities.priorities()) {
        actions.assignResources(
            task.id,
            capabilities.memoryGrants() ? (long) Math.ceil(memoryMb) : 0,
            capabilities.priorities() ? priority(task) : 1);
      }
      if (task.queryClass.retrySafety() != QueryClass.RetrySafety.IDEMPOTENT) {
        executedTasks.add(task.id);
      }
      actions.forward(task.id, id, 0);
      boolean warmData = warmDataSets.remove(task.request.dataSet());
      Forward forward =
          new Forward(
              task, this, task.forwardsSent, now, memoryMb, warmData, start.onSent(now, task.cost));
      expectedAnswers = openForwards.isEmpty() ? 0 : expectedAnswers;
      lastSignOfLifeAt = openForwards.isEmpty() ? now : lastSignOfLifeAt;
      lastSweepAt = openForwards.isEmpty() ? now : lastSweepAt;
      openForwards.add(forward);
      // Recorded here and not by a message: its end, or the next task of its key, may be in the
      // same batch and must find the forward open.
      task.openForwards.add(forward);
      if (task.keyQueue != null) {
        task.keyQueue.openForwards++;
      }
      if (task.forwardsSent++ > 0) {
        dispatcher.recentRetries.add(now, 1);
      }
      addUsage(task.queryClass.threads(), memoryMb);
      threadsSentSinceReport += task.queryClass.threads();
      warmDataSets.add(task.request.dataSet());
      if (warmDataSets.size() > MAX_WARM_DATA_SETS) {
        warmDataSets.remove(warmDataSets.iterator().next());
      }
      // trialInterval and nextTrialAt have an effect only while the engine is suspected.
      trialInterval = Math.min(MAX_TRIAL_INTERVAL_NANOS, trialInterval * 2);
      nextTrialAt = now + trialInterval;
      dispatcher.post(() -> dispatcher.onSent(task));
    }

    // -- Outcomes and reports --

    private void onForwardEnd(
        Forward forward,
        Outcome outcome,
        boolean taskAnswered,
        long cost,
        double memoryMb,
        LoadReport received) {
      openForwards.remove(forward);
      forward.request.confirm(now);
      addUsage(-forward.task.queryClass.threads(), -forward.memoryMb);
      onReport(received);
      if (outcome == Outcome.OK) {
        failureRate = movingAverage(failureRate, 0, 4 * SMOOTHING_FACTOR);
        onSignOfLife();
        onSuccess(forward, cost, memoryMb);
        forward.task.failedEngines.forEach(engine -> engine.post(engine::onFailure));
      } else if (outcome == Outcome.ERROR && forward.task.isIdempotent()) {
        // The task itself may be faulty and fail on every engine.
        forward.task.failedEngines.add(this);
      } else if (outcome == Outcome.ERROR
          || outcome == Outcome.UNREACHED
          || outcome == Outcome.RESET) {
        unreachable |= outcome == Outcome.UNREACHED;
        if (outcome == Outcome.UNREACHED) {
          start.onUnreachable(now);
        }
        if (unreachable) {
          suspect("unreachable" + coldLoad());
        }
        onFailure();
      } else if (outcome == Outcome.FULL || outcome == Outcome.TIME_OUT) {
        limit.onOverload();
        forward.task.statistics.pool.onOverload();
      }
      dispatcher.post(() -> dispatcher.onForwardEnd(forward, outcome, taskAnswered));
    }

    /** Describes what this manager sent to the engine in the last window, if it is cold. */
    private String coldLoad() {
      if (!start.mayBeCold(now)) {
        return "";
      }
      return ", sent "
          + start.recentRequests(now)
          + " tasks of "
          + (long) start.recentWork(now) / NANOS_PER_MS
          + " ms while cold in the last window";
    }

    /**
     * Counts a failed answer; an engine that fails fast looks idle and would attract more tasks.
     */
    private void onFailure() {
      failureRate = movingAverage(failureRate, 1, 4 * SMOOTHING_FACTOR);
      if (!suspected && failureRate > failureRateLimit()) {
        suspect("its answers fail");
      }
    }

    private void onSuccess(Forward forward, long reportedCost, double reportedMemoryMb) {
      Task task = forward.task;
      ClassStatistics statistics = task.statistics;
      if (reportedCost > 0) {
        statistics.costBias =
            clamp(
                movingAverage(
                    statistics.costBias,
                    reportedCost * statistics.costBias / task.cost,
                    SMOOTHING_FACTOR),
                0.2,
                5);
      }
      if (reportedMemoryMb > 0 && task.request.estimatedMemoryMb() > 0) {
        double memoryRatio = reportedMemoryMb / task.request.estimatedMemoryMb();
        double deviation = Math.abs(memoryRatio - statistics.memoryBias);
        statistics.memoryMargin =
            movingAverage(statistics.memoryMargin, GRANT_DEVIATIONS * deviation, SMOOTHING_FACTOR);
        statistics.memoryBias =
            clamp(movingAverage(statistics.memoryBias, memoryRatio, SMOOTHING_FACTOR), 0.2, 5);
      }
      long runTime = Math.max(NANOS_PER_MS, now - forward.sentAt);
      double isolatedRunTime =
          reportedCost > 0
              ? Math.max(reportedCost / task.queryClass.threads(), 5 * NANOS_PER_MS)
              : task.isolatedRunTime();
      double logRatio = Math.log(runTime / isolatedRunTime);
      statistics.meanRunTime = movingAverage(statistics.meanRunTime, runTime, SMOOTHING_FACTOR);
      statistics.logSlowdown = movingAverage(statistics.logSlowdown, logRatio, SMOOTHING_FACTOR);
      statistics.bestLogSlowdown =
          Double.isNaN(statistics.bestLogSlowdown)
              ? statistics.logSlowdown
              : Math.min(statistics.bestLogSlowdown, statistics.logSlowdown);
      double relativeLogSlowdown = logRatio - Math.max(0, statistics.bestLogSlowdown);
      dispatcher.warmDataLogRatio =
          movingAverage(
              dispatcher.warmDataLogRatio,
              logRatio - statistics.logSlowdown,
              forward.warmData ? SMOOTHING_FACTOR / 5 : 0);
      dispatcher.coldDataLogRatio =
          movingAverage(
              dispatcher.coldDataLogRatio,
              logRatio - statistics.logSlowdown,
              forward.warmData ? 0 : SMOOTHING_FACTOR / 5);
      updateSlowdown(task, logRatio);
      boolean busy = hasFreshReport() && report.cpuUtilization() >= BUSY_UTILIZATION;
      limit.onAnswer(task.queryClass, relativeLogSlowdown, busy, cores * MAX_THREADS_PER_CORE);
      statistics.pool.onAnswer(
          task.queryClass, relativeLogSlowdown, busy, statistics.pool.cores * MAX_THREADS_PER_CORE);
    }

    /** Updates the slowdown relative to the fleet; a sample counts more where they are rare. */
    private void updateSlowdown(Task task, double logRatio) {
      double weight =
          clamp(
              (now - slowdownUpdatedAt) / (double) SLOWDOWN_WINDOW_NANOS,
              2 * SMOOTHING_FACTOR,
              0.5);
      logSlowdownToFleet =
          Double.isNaN(task.statistics.logSlowdown)
              ? logSlowdownToFleet
              : movingAverage(logSlowdownToFleet, logRatio - task.statistics.logSlowdown, weight);
      slowdownUpdatedAt = now;
    }

    private boolean hasFreshReport() {
      return report != null && now - reportAt <= REPORT_MAX_AGE_NANOS;
    }

    private void onReport(LoadReport received) {
      if (received == null) {
        return;
      }
      dispatcher.hasLoadReports |=
          !Double.isNaN(received.cpuUtilization()) || !Double.isNaN(received.activeTasks());
      report = received;
      reportAt = now;
      threadsSentSinceReport = 0;
      otherTasks = Math.max(0, received.activeTasks() - openForwards.size());
      otherMemoryMb = Math.max(0, received.grantedMemoryFraction() * totalMemoryMb - grantedMb);
      if (received.cpuUtilization() < BUSY_UTILIZATION && received.activeTasks() >= 0) {
        // While cores are idle, whatever others do not use is available to this manager.
        double freeFraction =
            1 - otherTasks / (cores * capacityFraction() * INITIAL_THREADS_PER_CORE);
        observedShare =
            movingAverage(observedShare, Math.max(0, freeFraction), 2 * SMOOTHING_FACTOR);
      } else if (received.activeTasks() >= 4) {
        observedShare =
            movingAverage(
                observedShare,
                Math.min(1, openForwards.size() / received.activeTasks()),
                8 * SMOOTHING_FACTOR);
      }
      if (received.cpuUtilization() >= SATURATED_UTILIZATION
          || received.grantedMemoryFraction() >= SATURATED_UTILIZATION) {
        limit.pressureUntil = now + PRESSURE_DURATION_NANOS;
      }
    }

    private void onProbeEnd(Outcome outcome, LoadReport received) {
      if (outcome == Outcome.OK) {
        failedProbes = 0;
        onReport(received);
      } else if (outcome != Outcome.FULL && ++failedProbes >= 2) {
        suspect("probes failed");
      }
    }

    // -- Health: the probability of the present silence, given the earlier ones --

    private void onSignOfLife() {
      expectedAnswersDeviation =
          movingAverage(
              expectedAnswersDeviation,
              Math.abs(expectedAnswers - meanExpectedAnswers),
              SMOOTHING_FACTOR);
      meanExpectedAnswers = movingAverage(meanExpectedAnswers, expectedAnswers, SMOOTHING_FACTOR);
      expectedAnswers = 0;
      lastSignOfLifeAt = now;
      unreachable = false;
      nextTrialAt = Math.min(nextTrialAt, now + MIN_SILENCE_NANOS);
      if (suspected && failedProbes < 2 && failureRate <= failureRateLimit()) {
        suspected = false;
        dispatcher.updateCapacity();
        actions.log("engine " + id + " answers again and receives tasks");
      }
    }

    private void sweep() {
      if (capabilities.probing()
          && ready
          && now >= nextProbeAt
          && now - lastSignOfLifeAt >= PROBE_AFTER_SILENCE_NANOS) {
        nextProbeAt =
            now + (failedProbes > 0 ? MIN_PROBE_INTERVAL_NANOS : dispatcher.probeInterval());
        actions.probe(id);
      }
      openForwards.forEach(
          forward ->
              expectedAnswers +=
                  Math.min(now - lastSweepAt, now - forward.sentAt)
                      / forward.task.expectedRunTime());
      lastSweepAt = now;
      long silence = now - lastSignOfLifeAt;
      double suspicion =
          expectedAnswers
              / (Math.max(meanExpectedAnswers, INITIAL_EXPECTED_ANSWERS) + expectedAnswersDeviation)
              / Math.log(10);
      if (!suspected && silence > MIN_SILENCE_NANOS && suspicion > SUSPICION_THRESHOLD) {
        suspect("silent for " + silence / NANOS_PER_MS + " ms");
      }
      if (suspected && !dispatcher.mostSuspected) {
        openForwards.stream()
            .filter(forward -> now - forward.sentAt > MIN_SILENCE_NANOS)
            .forEach(forward -> dispatcher.post(() -> dispatcher.retryStalled(forward)));
      }
    }

    /**
     * Returns the limit relative to the fleet's mean: where all engines fail alike, excluding one
     * of them does not help.
     */
    private double failureRateLimit() {
      return FAILURE_RATE_LIMIT
          + engines.values().stream()
              .filter(engine -> engine.ready && engine != this)
              .mapToDouble(engine -> engine.failureRate)
              .average()
              .orElse(0);
    }

    private void suspect(String reason) {
      if (suspected) {
        return;
      }
      suspected = true;
      dispatcher.updateCapacity();
      trialInterval = INITIAL_TRIAL_INTERVAL_NANOS;
      nextTrialAt = now + trialInterval;
      actions.log("engine " + id + " suspected: " + reason + "; it receives trial tasks only");
    }

    // -- Figures for the choice of an engine --

    /**
     * Returns the time until the first open forward should end, by the mean run time of its class.
     */
    double minRemainingTime() {
      return openForwards.stream()
          .mapToDouble(
              forward ->
                  Math.max(
                      0,
                      forward.sentAt
                          - now
                          + (Double.isNaN(forward.task.statistics.meanRunTime)
                              ? 0
                              : forward.task.statistics.meanRunTime)))
          .min()
          .orElse(Double.MAX_VALUE);
    }

    /**
     * Returns the load per core: the reported utilization and tasks, or else this manager's
     * threads; plus the threads sent since the report.
     */
    double load(double average) {
      double warmCores = cores * capacityFraction();
      if (!dispatcher.hasLoadReports || !hasFreshReport()) {
        return (dispatcher.hasLoadReports ? average : 0)
            + limit.usedThreads / (warmCores * share());
      }
      double tasksPerCore = (otherTasks + limit.usedThreads) / warmCores;
      return Double.isNaN(report.cpuUtilization())
          ? Double.isNaN(tasksPerCore) ? average : tasksPerCore
          : report.cpuUtilization()
              + (Double.isNaN(tasksPerCore) ? 0 : tasksPerCore)
              + threadsSentSinceReport / warmCores;
    }

    /** Returns the weight of this engine in the random choice for the task. */
    double weight(Task task, double average) {
      double reportWeight =
          hasFreshReport()
              ? Math.exp((reportAt - now) * (1 / share() - 1) / REPORT_DECAY_NANOS)
              : 1;
      double load = IDLE_LOAD_PER_CORE + average + (load(average) - average) * reportWeight;
      double weight =
          cores * capacityFraction() / (load * load * load) / Math.exp(2 * logSlowdownToFleet);
      boolean warmData = warmDataSets.contains(task.request.dataSet());
      weight *=
          warmData
              ? Math.exp(
                  WARM_DATA_EXPONENT
                      * clamp(dispatcher.coldDataLogRatio - dispatcher.warmDataLogRatio, 0, 0.5))
              : 1;
      if (start.needsPermit(now, task.cost, cores, maxExpectedManagers())) {
        // Compensates for the permit: the engine is chosen as often as if none were needed.
        double chance = start.permitChance(now, task.cost, cores, maxExpectedManagers());
        weight /= Math.max(chance, 1e-9);
      }
      weight *=
          capabilities.crossZonePriced() && !entry.zone().equals(settings.zone())
              ? CROSS_ZONE_FACTOR
              : 1;
      boolean mayConflict = task.queryClass.bulkLoad() || task.queryClass.waitsForBulkLoads();
      boolean conflicts =
          mayConflict
              && openForwards.stream()
                  .anyMatch(
                      forward ->
                          forward.task.queryClass.bulkLoad()
                              && forward.task.request.dataSet() == task.request.dataSet());
      weight *= conflicts ? BULK_LOAD_CONFLICT_FACTOR : 1;
      return weight;
    }
  }
}

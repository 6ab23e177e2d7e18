package tansytrack;

// Every decision of a workload manager. One instance a manager: new Decide(settings, actions); then
// any calls
// that tell it something, which only put notes into inboxes; then decide(now), which empties them
// and acts.
// The interface is tansytrack.api: Decisions (in), Actions (out), Settings (at first). Why:
// docs/design.md

import static tansytrack.util.MathUtil.*;

import java.util.*;
import java.util.stream.Stream;
import tansytrack.api.*;
import tansytrack.policy.EngineSubset;
import tansytrack.util.*;

public final class Decide implements DecisionModule {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final Set<Outcome> NOT_EXECUTED =
      EnumSet.of(Outcome.FULL, Outcome.UNREACHED, Outcome.NEVER_SENT);
  private static final double SMOOTHING_FACTOR = 0.05; // weight of one new sample in a running mean
  private static final long MIN_SWEEP_INTERVAL_NANOS =
      25 * NANOS_PER_MS; // how often waiters and engines are seen to
  private static final long MAX_SWEEP_INTERVAL_NANOS =
      50 * NANOS_PER_MS; // where tasks are rare; under the margin below
  private static final long DEADLINE_MARGIN_NANOS =
      60 * NANOS_PER_MS; // a task is answered so long before its cut-off

  // The queues: the source's bounds, its longest wait, and the design's part of the client's time
  // left.
  private static final int MAX_QUEUED_PER_TENANT = 32;
  private static final int MAX_QUEUED_TOTAL = 4096;
  private static final long MAX_QUEUE_WAIT_NANOS = 5000 * NANOS_PER_MS;
  private static final int QUEUE_WAIT_DIVISOR = 5;

  // The price of engine work while tasks wait: after how long a wait, and how it falls.
  private static final long PRICE_FREE_WAIT_NANOS = 150 * NANOS_PER_MS;
  private static final double PRICE_DECAY_PER_SWEEP = 0.96; // a sweep
  private static final double MIN_PRICE_FRACTION = 0.02; // of the usual worth
  private static final double CLASS_VALUE_DISCOUNT =
      0.8; // of what sets a grade's worth apart: left out

  // The room: the design's bound, what counts as busy and slow, and how long one sign of pressure
  // lasts.
  private static final double INITIAL_THREADS_PER_CORE = 2;
  private static final double MAX_THREADS_PER_CORE = 4;
  private static final double BUSY_UTILIZATION = 0.8;
  private static final double SATURATED_UTILIZATION = 0.95;
  private static final double STRAINED_LOG_SLOWDOWN = Math.log(2);
  private static final double SEVERE_LOG_SLOWDOWN = Math.log(5);
  private static final long PRESSURE_DURATION_NANOS = 1000 * NANOS_PER_MS;
  private static final double COLD_BUDGET_FRACTION =
      0.9; // of the cold budget: the rest is for misjudgement
  private static final double COLD_SAFETY_DEVIATIONS = 4; // kept clear of it where chance decides
  private static final double COLD_LIMIT_TOLERANCE =
      2; // the rule's room for chance, in roots and in tasks
  private static final double SMALL_TASK_MEMORY_FRACTION =
      0.25; // of our part of a market's memory: always let in
  private static final double TOP_PRIORITY_LOG_VALUE =
      -0.7; // ln of worth over the mean: the top priority
  private static final double PRIORITY_LOG_VALUE_STEP = 1.1; // and for each one under it
  private static final double GRANT_DEVIATIONS = 2; // times the mean deviation of what was needed
  private static final double INITIAL_GRANT_MARGIN =
      0.25; // over the estimate, until its scatter is told

  // Health and reports.
  private static final double SUSPICION_THRESHOLD =
      4; // -log10 of the chance of a silence: suspected
  private static final long MIN_SILENCE_NANOS = 400 * NANOS_PER_MS;
  private static final double INITIAL_EXPECTED_SIGNS =
      1; // signs owed between two signs, until learned
  private static final double STALLED_RUN_FACTOR =
      3; // usual runs still to go: better taken elsewhere
  private static final long INITIAL_TRIAL_INTERVAL_NANOS = 1000 * NANOS_PER_MS;
  private static final long MAX_TRIAL_INTERVAL_NANOS = 4000 * NANOS_PER_MS;
  private static final double FAILURE_RATE_LIMIT = 0.3; // part of failed answers that is suspected
  private static final long PROBE_AFTER_SILENCE_NANOS =
      1000 * NANOS_PER_MS; // what our own answers tell of is not probed
  private static final long MIN_PROBE_INTERVAL_NANOS = 400 * NANOS_PER_MS;
  private static final double REPORT_DECAY_NANOS =
      8000 * NANOS_PER_MS; // into the average, as others send there too
  private static final long REPORT_MAX_AGE_NANOS = 3000 * NANOS_PER_MS;
  private static final long SLOWDOWN_WINDOW_NANOS =
      8000 * NANOS_PER_MS; // after which an engine's pace is half forgotten

  // The draw.
  private static final double IDLE_LOAD_PER_CORE =
      0.15; // load a core of an engine that does nothing
  private static final int MAX_WARM_DATA_SETS = 4;
  private static final double WARM_DATA_EXPONENT =
      6; // for how much faster warm data sets are seen to be
  private static final double BULK_LOAD_CONFLICT_FACTOR =
      0.02; // of one where a load of ours holds it
  private static final double CROSS_ZONE_FACTOR =
      0.5; // of one in another place, where crossing costs

  private final Settings settings;
  private final Settings.Capabilities capabilities;
  private final Actions actions;
  private final SplittableRandom random;
  private final EventLoop eventLoop = new EventLoop();
  private final EngineList engineList = new EngineList();
  private final EngineSubset subset;
  private final Map<String, Engine> engines = new TreeMap<>(); // used, or with forwards still out
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Map<String, ClassStatistics> classStatistics = new TreeMap<>();
  private final Map<String, EnginePool> pools = new TreeMap<>();
  private final Map<String, TenantQueue<Task>> tenantQueues = new TreeMap<>();
  private final Dispatcher dispatcher = new Dispatcher();
  private long now;
  private long firstListAt = -1; // when it was first told of engines
  private int managerCount; // managers that share the engines
  private boolean admissionClosed; // nothing new is let in: it could not be kept

  public Decide(Settings settings, Actions actions) {
    this.settings = settings;
    capabilities = settings.capabilities();
    managerCount = settings.managerCount();
    subset = new EngineSubset(settings, engineList);
    this.actions = actions;
    random = new SplittableRandom(settings.seed());
    for (QueryClass grade : settings.queryClasses()) {
      String bounds =
          new TreeSet<>(grade.allowedZones()) + "/" + new TreeSet<>(grade.allowedEngineTypes());
      classStatistics.put(
          grade.name(),
          new ClassStatistics(grade, pools.computeIfAbsent(bounds, key -> new EnginePool(grade))));
    }
    settings
        .tenants()
        .forEach(of -> tenantQueues.put(of.name(), new TenantQueue<>(Math.max(of.share(), 0.001))));
    if (tenantQueues.isEmpty()) {
      tenantQueues.put("", new TenantQueue<>(1));
    } // none is told apart: all are one
    actions.scheduleWakeUp(MIN_SWEEP_INTERVAL_NANOS, "sweep");
  }

  // ---- The door: ids become objects, and everything heard becomes a note ----

  public void onEngineList(long at, boolean complete, List<EngineEntry> entries) {
    now = at;
    firstListAt = firstListAt < 0 ? at : firstListAt;
    Map<String, EngineEntry> named = new TreeMap<>();
    entries.forEach(entry -> named.put(entry.id(), entry));
    if (complete) {
      engineList.replaceAll(named.values());
    } else {
      named.values().forEach(engineList::put);
    }
    boolean moved = subset.updateLevels(managerCount);
    Stream.concat(entries.stream(), moved ? engineList.all().stream() : Stream.empty())
        .filter(subset::uses)
        .forEach(entry -> engines.computeIfAbsent(entry.id(), Engine::new));
    engines.values().stream()
        .filter(engine -> complete || moved || named.containsKey(engine.id))
        .forEach(
            engine ->
                engine.postListing(named.getOrDefault(engine.id, engineList.find(engine.id))));
  }

  public void onTask(long at, TaskRequest offer) {
    now = at;
    ClassStatistics row = classStatistics.get(offer.queryClass());
    if (row == null || admissionClosed) {
      actions.reject(
          offer.id(),
          row != null && capabilities.retryAfter() ? capabilities.maxRetryAfterNanos() : 0);
    } else {
      Task task = new Task(offer, row);
      tasks.put(task.id, task);
      dispatcher.post(() -> dispatcher.taken(task));
    }
  }

  public void onAdmissionChange(long at, boolean open) {
    now = at;
    admissionClosed = !open;
  }

  public void onManagerCount(long at, int count) {
    now = at;
    managerCount = Math.max(1, count);
    if (firstListAt >= 0) {
      onEngineList(at, false, List.of());
    } // fewer or more of those listed may be used
  }

  public void onForwardEnd(
      long at,
      String id,
      int index,
      String engine,
      Outcome outcome,
      long lag,
      boolean over,
      long cost,
      double memoryMb,
      LoadReport report) {
    now = at;
    Forward forward = findForward(engine, id, index);
    if (forward != null) {
      forward.engine.post(
          () -> forward.engine.onForwardEnd(forward, outcome, over, cost, memoryMb, report));
    }
  }

  public void onProbeEnd(long at, String engine, Outcome outcome, LoadReport report) {
    now = at;
    Engine from = engines.get(engine);
    if (from != null) {
      from.post(() -> from.onProbeEnd(outcome, report));
    }
  }

  public void onProgress(
      long at, String id, int index, String engine, Progress what, double amount) {
    now = at;
    Forward forward = findForward(engine, id, index);
    if (forward != null) {
      Task task = forward.task;
      boolean told = what == Progress.FRACTION_DONE && amount > 0;
      long age = Math.max(NANOS_PER_MS, now - forward.sentAt);
      double run = age / clamp(amount, 0.001, 1);
      forward.engine.post(forward.engine::onSignOfLife);
      if (told) {
        forward.engine.post(
            () -> forward.engine.updateSlowdown(task, Math.log(run / task.isolatedRunTime())));
      }
      boolean hopeless =
          what == Progress.WAITING
              || told && run - age > STALLED_RUN_FACTOR * task.expectedRunTime();
      if (capabilities.cancellation() && hopeless) {
        // Stuck behind a load, for memory or in a jam. Where it can't be taken back, leave the
        // crowd.
        dispatcher.post(() -> dispatcher.retryStalled(forward));
      }
    }
  }

  public void onWakeUp(long at, String token) {
    now = at;
    engines.values().stream()
        .filter(
            one -> !one.openForwards.isEmpty() || capabilities.probing() && now >= one.nextProbeAt)
        .forEach(one -> one.post(one::sweep));
    dispatcher.post(dispatcher::sweep);
    actions.scheduleWakeUp(dispatcher.sweepInterval(), token);
  }

  public void onClientLeft(long at, String id) {
    now = at;
    Task task = tasks.get(id);
    if (task != null) {
      dispatcher.post(() -> dispatcher.finish(task));
    }
  }

  public void onShutdown(long at, long until) {
    now = at;
    dispatcher.post(() -> dispatcher.shutdownAt = until - DEADLINE_MARGIN_NANOS);
  }

  public List<EngineStatus> engineStatuses(long at) {
    return engines.values().stream()
        .filter(one -> one.entry != null)
        .map(
            one ->
                new EngineStatus(
                    one.id,
                    one.openForwards.size(),
                    one.report == null ? -1 : at - one.reportAt,
                    !one.usable()))
        .toList();
  }

  private Forward findForward(String engine, String task, int index) {
    Engine at = engines.get(engine);
    return at == null
        ? null
        : at.openForwards.stream()
            .filter(forward -> forward.index == index && forward.task.id.equals(task))
            .findFirst()
            .orElse(null);
  }

  /** All news first, so that no turn goes to a task whose end is in this batch; then the turns. */
  public void decide(long at) {
    now = at;
    eventLoop.runUntilIdle();
    dispatcher.post(dispatcher::dispatchNext);
    eventLoop.runUntilIdle();
  }

  // ---- The grade table, tasks, forwards ----

  /** The room: a bound on our threads, of one engine or of a market. */
  private class ConcurrencyLimit {
    double maxThreads;
    int usedThreads; // of our tasks there
    double logSlowdown; // ln of how much slower than the best seen
    long halvedAt;
    long pressureUntil;

    /**
     * Binds only under pressure; our threads up to the first bound are that too. Slow answers are
     * none while cores of our part idle: under a price tasks guessed too low got in, and it never
     * grew again.
     */
    boolean allows(QueryClass grade, double able) {
      boolean pressed =
          logSlowdown > STRAINED_LOG_SLOWDOWN && usedThreads >= able || now < pressureUntil;
      return !pressed && usedThreads < able * INITIAL_THREADS_PER_CORE
          || usedThreads + grade.threads() <= Math.max(maxThreads, grade.threads());
    }

    void onAnswer(QueryClass grade, double above, boolean busy, double most) {
      logSlowdown = movingAverage(logSlowdown, above, 2 * SMOOTHING_FACTOR);
      if (above > SEVERE_LOG_SLOWDOWN) {
        halve();
      } else if (above < STRAINED_LOG_SLOWDOWN && !busy) {
        maxThreads = Math.min(maxThreads + grade.threads(), most);
      }
    }

    void halve() {
      if (now - halvedAt <= PRESSURE_DURATION_NANOS) {
        return;
      }
      halvedAt = now;
      maxThreads = Math.max(maxThreads / 2, 1);
    }

    void onRefusal() {
      pressureUntil = now + PRESSURE_DURATION_NANOS;
      halve();
    }
  }

  /** Engines that grades are bound to, the price of work there, and the room of them all. */
  private final class EnginePool extends ConcurrencyLimit {
    final EngineSubset.EngineGroup group;
    double cores; // cores, our part of them
    double memoryMb; // likewise
    double grantedMb; // of that, to our tasks
    boolean limitedAsWhole; // our part of an engine holds no thread, on average
    double price; // of engine work, in earnings; 0 unless tasks wait

    EnginePool(QueryClass grade) {
      group =
          subset.group(
              entry -> // rule 6: placement
              (grade.allowedZones().isEmpty() || grade.allowedZones().contains(entry.zone()))
                      && (grade.allowedEngineTypes().isEmpty()
                          || grade.allowedEngineTypes().contains(entry.type())));
    }

    private void adjustSubstitutes() {
      List<EngineEntry> healthy =
          engines.values().stream()
              .filter(engine -> engine.healthy() && engine.servedPools.contains(this))
              .map(engine -> engine.entry)
              .toList();
      EngineEntry moved =
          group.adjustSubstitutes(
              healthy,
              entry ->
                  !engines.containsKey(entry.id())
                      && capacityFraction(entry.startedAtNanos()) >= 1);
      if (moved != null) {
        engines.computeIfAbsent(moved.id(), Engine::new).postListing(moved);
      }
    }

    private void updateCapacity() {
      double before = cores, parts = 0;
      cores = memoryMb = grantedMb = usedThreads = 0;
      for (Engine engine : engines.values()) {
        if (engine.usable() && engine.servedPools.contains(this)) {
          cores += engine.cores * engine.capacityFraction() * engine.share();
          memoryMb += engine.totalMemoryMb * engine.share();
          usedThreads += engine.limit.usedThreads;
          parts += engine.cores * INITIAL_THREADS_PER_CORE * engine.share() - 1;
          grantedMb += engine.grantedMb;
        }
      }
      limitedAsWhole = parts < 0;
      maxThreads = before == 0 ? cores * INITIAL_THREADS_PER_CORE : maxThreads * cores / before;
    }
  }

  /** What differs by service grade. */
  private static final class ClassStatistics {
    final QueryClass queryClass;
    final EnginePool pool;
    double costBias = 1; // told cost over estimated cost
    double memoryBias = 1; // told memory over estimated memory, and its scatter
    double memoryMargin = INITIAL_GRANT_MARGIN;
    double meanCost = Double.NaN; // of the tasks taken, in nanoseconds of work
    double meanRunTime = Double.NaN; // of the handled, in nanoseconds
    double logSlowdown = Double.NaN; // ln of run time over undisturbed run time, on all engines
    double bestLogSlowdown = Double.NaN; // the lowest that usual has been
    double meanLogValue = Double.NaN; // ln of the earnings for the work of its tasks
    boolean noCapacity; // at this turn

    ClassStatistics(QueryClass grade, EnginePool market) {
      this.queryClass = grade;
      this.pool = market;
    }
  }

  private final class Task {
    final String id;
    final ClassStatistics statistics;
    final QueryClass queryClass;
    final TenantQueue<Task> tenantQueue; // null: unknown, never held
    final Long key; // null: none
    KeyQueue<Task> keyQueue; // where its grade keeps order
    final long deadline;
    final double cost; // nanoseconds of work
    final double logValue; // earnings for its work
    final TaskRequest request;
    boolean waitsForKey; // waits for its key
    boolean queued; // waits for room
    boolean finished;
    long enqueuedAt;
    long queueDeadline; // end of the budget in the queue
    int forwardsSent; // sent so far
    final List<Forward> openForwards = new ArrayList<>(2);
    final List<Engine> failedEngines = new ArrayList<>(2); // held against them once it is handled
    Forward firstExecuted; // the first that may have run
    long cancelledForwards; // a bit a forward

    Task(TaskRequest offer, ClassStatistics row) {
      this.request = offer;
      id = offer.id();
      this.statistics = row;
      queryClass = row.queryClass;
      tenantQueue = tenantQueues.get(offer.tenant());
      key = queryClass.serializedByKey() ? offer.key() : null;
      deadline = offer.deadlineNanos();
      double usual = Double.isNaN(row.meanCost) ? NANOS_PER_MS : row.meanCost;
      cost =
          Math.max(
              NANOS_PER_MS,
              offer.estimatedCostNanos() > 0 ? offer.estimatedCostNanos() * row.costBias : usual);
      row.meanCost = movingAverage(row.meanCost, cost, SMOOTHING_FACTOR);
      logValue = Math.log(Math.max(queryClass.earnings(), 1e-9) / cost);
    }

    /** Run time on an engine that does nothing else. */
    double isolatedRunTime() {
      return Math.max(cost / queryClass.threads(), 5 * NANOS_PER_MS);
    }

    /** And as the fleet runs now. */
    double expectedRunTime() {
      return isolatedRunTime()
          * (Double.isNaN(statistics.logSlowdown) ? 2 : Math.exp(statistics.logSlowdown));
    }

    /**
     * Earnings for its work, most of what sets its grade apart left out: no grade is shed whole.
     */
    double value() {
      return Math.exp(
          logValue - CLASS_VALUE_DISCOUNT * (statistics.meanLogValue - dispatcher.meanLogValue));
    }

    long queueWaitBudget() {
      return Math.min(MAX_QUEUE_WAIT_NANOS, Math.max(0, deadline - now) / QUEUE_WAIT_DIVISOR);
    }

    /** The part of its budget that a waiter has used, once it has waited at all long. */
    double budgetUsed() {
      long waited = now - enqueuedAt;
      return waited > PRICE_FREE_WAIT_NANOS
          ? Math.min(1, waited / (double) (queueDeadline - enqueuedAt))
          : 0;
    }

    /** Nothing can come of it: its cut-off is too near, or it would outlast a manager that ends. */
    boolean cannotEndInTime() {
      return deadline - now <= DEADLINE_MARGIN_NANOS
          || expectedRunTime() > dispatcher.shutdownAt - now;
    }

    boolean isIdempotent() {
      return queryClass.retrySafety() == QueryClass.RetrySafety.IDEMPOTENT;
    }

    /** Rule 2: may it go to that engine, given what its earlier forwards may have done? */
    boolean mayRetryOn(Engine engine) {
      if (!openForwards.isEmpty() && !capabilities.hedging()) {
        return false;
      }
      // The earliest that may have run: a later one may have ended while that one is still out.
      Forward first =
          openForwards.isEmpty()
                  || firstExecuted != null && firstExecuted.index < openForwards.get(0).index
              ? firstExecuted
              : openForwards.get(0);
      if (first == null || isIdempotent()) {
        return true;
      }
      // It leaves up to so much later, as the connection for it comes up.
      long since =
          now - first.sentAt + MAX_SWEEP_INTERVAL_NANOS + capabilities.connectTimeoutNanos();
      return queryClass.retrySafety() == QueryClass.RetrySafety.DEDUPLICATED
          && since < queryClass.deduplicationWindowNanos()
          && switch (queryClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> first.engine.entry.zone().equals(engine.entry.zone());
            case CELL -> first.engine.entry.cell() == engine.entry.cell();
          };
    }

    /** Rule 2: does a bounce keep its promise that trying again is harmless? */
    boolean mayReject() {
      return isIdempotent()
          || firstExecuted == null && openForwards.isEmpty()
          || queryClass.retrySafety() == QueryClass.RetrySafety.DEDUPLICATED
              && queryClass.deduplicationScope() == QueryClass.DeduplicationScope.ALL;
    }
  }

  private record Forward(
      Task task, Engine engine, int index, long sentAt, double memoryMb, boolean warmData) {}

  // ---- The gate: tenant queues, turns, final answers ----

  private final class Dispatcher extends EventLoop.Actor {
    final Map<Long, KeyQueue<Task>> keyQueues = new TreeMap<>();
    final SlidingWindow taken = new SlidingWindow(); // times within the ration's window (rule 7)
    final SlidingWindow recentRetries = new SlidingWindow();
    double warmLogRatio; // mean ln of run time over the usual with a warm data set
    double coldLogRatio = 0.1; // and without
    boolean hasLoadReports; // has any engine ever told its load?
    boolean mostSuspected; // of the fleet: then no engine is kept out for it
    int queuedTasks;
    long shutdownAt = Long.MAX_VALUE; // the manager ends: what is answered later is lost
    long lastSentAt;
    long lastSweepAt = now;
    long lastTaskAt = now;
    double meanTaskInterval = 1000 * NANOS_PER_MS; // mean time between tasks taken; from rare on
    double meanSendInterval = 10 * NANOS_PER_MS; // mean time between sends, while tasks wait
    double meanLogValue = Double.NaN; // mean ln of the worth of the tasks taken
    double meanCost = Double.NaN; // of the tasks taken, in nanoseconds of work

    Dispatcher() {
      super(eventLoop);
    }

    /** Rarer where few tasks come: what sweeps cost must not grow with the managers. */
    long sweepInterval() {
      return (long) clamp(meanTaskInterval / 2, MIN_SWEEP_INTERVAL_NANOS, MAX_SWEEP_INTERVAL_NANOS);
    }

    /**
     * Guards against probes that cost more than they tell: rarer with fewer tasks and more
     * managers.
     */
    long probeInterval() {
      return (long)
          Math.max(
              MIN_PROBE_INTERVAL_NANOS,
              engines.size() * meanTaskInterval * Math.sqrt(managerCount));
    }

    private void taken(Task task) {
      taken.add(now, 1);
      meanTaskInterval =
          movingAverage(
              meanTaskInterval, Math.min(now - lastTaskAt, 1000 * NANOS_PER_MS), SMOOTHING_FACTOR);
      lastTaskAt = now;
      meanLogValue = movingAverage(meanLogValue, task.logValue, SMOOTHING_FACTOR);
      meanCost = movingAverage(meanCost, task.cost, SMOOTHING_FACTOR);
      task.statistics.meanLogValue =
          movingAverage(task.statistics.meanLogValue, task.logValue, SMOOTHING_FACTOR);
      if (task.cannotEndInTime()) {
        rejectOrAbort(task);
        return;
      }
      if (task.key != null) {
        // Looked up only now: one named at the door may have been dropped before its task got here.
        task.keyQueue = keyQueues.computeIfAbsent(task.key, KeyQueue::new);
        task.keyQueue.tasks.add(task);
        if (task.keyQueue.tasks.peek() != task || !isKeyAvailable(task.keyQueue)) {
          task.waitsForKey = true;
          return;
        }
      }
      enqueue(task);
    }

    boolean isKeyAvailable(KeyQueue<Task> line) {
      return line.openForwards == 0 && now >= line.cooldownUntilNanos;
    }

    /**
     * Into its tenant's queue; refused at once if it earns little, fits no bound or waits too long.
     */
    private void enqueue(Task task) {
      task.waitsForKey = false;
      task.enqueuedAt = now;
      task.queueDeadline = now + task.queueWaitBudget();
      int depth = task.tenantQueue == null ? 0 : task.tenantQueue.waiters.size();
      boolean cheap = task.forwardsSent == 0 && task.value() < task.statistics.pool.price;
      boolean full = !canBeSent(task);
      if (cheap && (full || !task.statistics.pool.limitedAsWhole)
          || full
              && (task.tenantQueue == null
                  || queuedTasks >= MAX_QUEUED_TOTAL
                  || depth >= MAX_QUEUED_PER_TENANT
                  || expectedWait(task) > task.queueWaitBudget())) {
        giveUp(task);
      } else if (task.tenantQueue == null) {
        route(task); // of no tenant: at once or not at all
      } else {
        addToQueue(task);
      }
    }

    private void addToQueue(Task task) {
      task.tenantQueue.waiters.add(queuePosition(task.tenantQueue.waiters, task), task);
      task.queued = true;
      queuedTasks++;
    }

    private void removeFromQueue(Task task) {
      queuedTasks -= task.queued && task.tenantQueue.waiters.remove(task) ? 1 : 0;
      task.queued = false;
    }

    private int queuePosition(ArrayList<Task> waiters, Task task) {
      return (int) waiters.stream().filter(waiter -> waiter.deadline <= task.deadline).count();
    }

    /**
     * The send spacing behind it, plus, with no room, the least remaining mean run time on an
     * engine.
     */
    private double expectedWait(Task task) {
      double weights = 0;
      for (TenantQueue<Task> tenant : tenantQueues.values()) {
        weights += tenant.waiters.isEmpty() && tenant != task.tenantQueue ? 0 : tenant.weight;
      }
      double ahead =
          queuePosition(task.tenantQueue.waiters, task) * weights / task.tenantQueue.weight;
      double least =
          engines.values().stream()
              .filter(engine -> engine.ready && engine.servedPools.contains(task.statistics.pool))
              .mapToDouble(Engine::minRemainingTime)
              .min()
              .orElse(Double.MAX_VALUE);
      return Math.min(queuedTasks, ahead) * meanSendInterval
          + (least == Double.MAX_VALUE ? 0 : least);
    }

    private boolean canBeSent(Task task) {
      EnginePool market = task.statistics.pool;
      return (!market.limitedAsWhole || market.allows(task.queryClass, market.cores))
          && engines.values().stream().anyMatch(engine -> engine.canTake(task));
    }

    /** One turn: smooth weighted round-robin over the tenants whose next waiter fits some room. */
    private void dispatchNext() {
      classStatistics.values().forEach(row -> row.noCapacity = false);
      Task chosen = null;
      TenantQueue<Task> best = null;
      double total = 0;
      for (TenantQueue<Task> tenant : tenantQueues.values()) {
        Task next = nextSendable(tenant.waiters);
        tenant.currentWeight += next != null ? tenant.weight : 0;
        total += next != null ? tenant.weight : 0;
        if (next != null && (best == null || tenant.currentWeight > best.currentWeight)) {
          best = tenant;
          chosen = next;
        }
      }
      if (best != null) {
        best.currentWeight -= total;
        removeFromQueue(chosen);
        route(chosen);
      }
    }

    private void route(Task task) {
      Engine engine = pickEngine(task);
      engine.post(() -> engine.send(task));
    }

    /**
     * The fleet as a whole, at the sweep and whenever an engine is listed, suspected or cleared.
     */
    private void updateCapacity() {
      mostSuspected =
          engines.values().stream()
                  .filter(engine -> engine.ready)
                  .mapToDouble(engine -> engine.suspect ? engine.cores : -engine.cores)
                  .sum()
              > 0;
      pools.values().forEach(EnginePool::updateCapacity);
    }

    /**
     * The waiter with least time left that fits; one that fits nowhere steps aside for those that
     * do.
     */
    private Task nextSendable(ArrayList<Task> waiters) {
      for (int i = 0; i < waiters.size(); i++) {
        Task task = waiters.get(i);
        boolean plain = task.forwardsSent == 0 && task.keyQueue == null;
        if (!task.statistics.noCapacity) { // no room for a plain one is none for the others
          if (canBeSent(task)) {
            return task;
          }
          task.statistics.noCapacity |= plain;
        }
      }
      return null;
    }

    private void onSent(Task task) {
      double wait = Math.min(now - lastSentAt, 1000 * NANOS_PER_MS);
      meanSendInterval =
          queuedTasks > 0 || now > task.enqueuedAt
              ? movingAverage(meanSendInterval, wait, SMOOTHING_FACTOR)
              : meanSendInterval;
      lastSentAt = now;
      if (task.tenantQueue != null) {
        dispatchNext();
      } // the others had no turn
    }

    /** The re-check failed: back into the queue, within the budget that it has left. */
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

    /** Gives a task up; one that still has a forward out only stops waiting for a further one. */
    private void giveUp(Task task) {
      removeFromQueue(task);
      if (task.openForwards.isEmpty()) {
        rejectOrAbort(task);
      }
    }

    /** Rule 1: the one final answer. */
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

    /** Nothing more is owed or sent; its forwards stay with their engines until they end. */
    private void finish(Task task) {
      removeFromQueue(task);
      task.finished = true;
      tasks.remove(task.id);
      task.openForwards.forEach(this::cancel);
      if (task.keyQueue != null) {
        task.keyQueue.tasks.remove(task);
        releaseKey(task.keyQueue);
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
     * Rule 5: the next task of a key is wanted once the one before is over and the key has rested.
     */
    private void releaseKey(KeyQueue<Task> line) {
      Task head = line.tasks.peek();
      if (isKeyAvailable(line) && head == null) {
        keyQueues.remove(line.key);
      } else if (isKeyAvailable(line) && head.waitsForKey) {
        enqueue(head);
      }
    }

    private void onForwardEnd(Forward forward, Outcome outcome, boolean over) {
      Task task = forward.task;
      task.openForwards.remove(forward);
      if (!NOT_EXECUTED.contains(outcome)
          && (task.firstExecuted == null || forward.index < task.firstExecuted.index)) {
        task.firstExecuted = forward;
      }
      if (task.keyQueue != null) {
        task.keyQueue.openForwards--;
        if (outcome == Outcome.TIME_OUT
            || outcome == Outcome.RESET
            || outcome == Outcome.CANCELLED) {
          task.keyQueue.cooldownUntilNanos =
              now
                  + settings.keyCooldownNanos()
                  + MAX_SWEEP_INTERVAL_NANOS; // news of its end crosses
        }
      }
      if (!task.finished && (over || outcome == Outcome.OK)) {
        finish(task);
      } else if (!task.finished && task.openForwards.isEmpty() && !task.queued) {
        retryOrAnswer(task);
      } else if (task.finished && task.keyQueue != null) {
        releaseKey(task.keyQueue);
      }
    }

    /** Its forwards all failed: wanted again where the rules leave a way, else answered at once. */
    private void retryOrAnswer(Task task) {
      boolean left = task.forwardsSent < capabilities.maxForwards() && !task.cannotEndInTime();
      boolean may =
          left
              && (task.firstExecuted == null
                  || task.queryClass.retrySafety() != QueryClass.RetrySafety.NON_IDEMPOTENT);
      if (may) {
        enqueue(task);
      } else {
        rejectOrAbort(task);
      }
    }

    /**
     * A forward stuck on its engine: taken back, or doubled, where grade, rules and levers allow.
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

    /** Rule 7: one more further forward within the ration? */
    boolean retryBudgetAllows() {
      Settings.RetryBudget rule = settings.retryBudget();
      return rule == null
          || recentRetries.count() + 1
              <= rule.spareAttempts() + rule.extraPerRequest() * taken.count();
    }

    /**
     * Early refusal by worth: while tasks wait, work has a price, lest heavy ones take all room.
     */
    private void updatePrices() {
      double usual = Math.exp(meanLogValue);
      double fall =
          Math.pow(PRICE_DECAY_PER_SWEEP, (now - lastSweepAt) / (double) MIN_SWEEP_INTERVAL_NANOS);
      lastSweepAt = now;
      for (EnginePool market : pools.values()) {
        // How far through its budget the waiter is that is nearest to its end.
        double spent =
            tenantQueues.values().stream()
                .flatMap(tenant -> tenant.waiters.stream())
                .filter(task -> task.statistics.pool == market)
                .mapToDouble(Task::budgetUsed)
                .max()
                .orElse(0);
        double wanted = spent > 0 ? usual * Math.pow(MIN_PRICE_FRACTION, 1 - spent) : 0;
        market.price = Math.max(wanted, market.price * fall);
        market.price = market.price < usual * MIN_PRICE_FRACTION ? 0 : market.price;
      }
    }

    private void sweep() {
      engines
          .values()
          .removeIf(one -> one.unused && one.openForwards.isEmpty() && now >= one.retainedUntil);
      updateCapacity();
      pools.values().forEach(EnginePool::adjustSubstitutes);
      updatePrices();
      long window = settings.retryBudget() == null ? 0 : settings.retryBudget().windowNanos();
      taken.evictBefore(
          now - window + 2 * MAX_SWEEP_INTERVAL_NANOS + 1); // too early rather than too late
      recentRetries.evictBefore(now - window);
      tenantQueues.values().stream()
          .flatMap(tenant -> tenant.waiters.stream())
          .filter(task -> now >= task.queueDeadline)
          .toList()
          .forEach(this::giveUp);
      for (KeyQueue<Task> line : new ArrayList<>(keyQueues.values())) {
        for (Task task : new ArrayList<>(line.tasks)) {
          double needed = Math.max(DEADLINE_MARGIN_NANOS, task.expectedRunTime());
          if (task.waitsForKey && task.deadline - now <= needed) {
            rejectOrAbort(task);
          }
        }
        releaseKey(line);
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
   * Draws among the engines that fit, weighted against their load; an unheard one counts as
   * average.
   */
  private Engine pickEngine(Task task) {
    double average =
        engines.values().stream()
            .filter(engine -> engine.ready && engine.hasFreshReport())
            .mapToDouble(engine -> engine.load(1))
            .average()
            .orElse(1);
    List<Engine> fitting =
        engines.values().stream().filter(engine -> engine.canTake(task)).toList();
    double[] weights =
        fitting.stream().mapToDouble(engine -> engine.weight(task, average)).toArray();
    return fitting.get(pickWeighted(weights, random.nextDouble()));
  }

  /** What an engine started then surely can do by now. */
  private double capacityFraction(long start) {
    Settings.ColdStartLimit rule = settings.coldStartLimit();
    if (rule == null || start <= 0 || now - start >= rule.warmUpNanos()) {
      return 1;
    }
    double age = Math.max(0, now - start) / (double) rule.warmUpNanos();
    return rule.startCapacityFraction() + (1 - rule.startCapacityFraction()) * age;
  }

  // ---- Engines: the one record of each, its room, its health, the one place that every send
  // passes ----

  private final class Engine extends EventLoop.Actor {
    final String id;
    EngineEntry entry; // as last listed
    boolean ready;
    boolean unused; // or no longer used; forgotten once its forwards have ended
    long retainedUntil; // what it was sent while cold counts for a window
    final List<EnginePool> servedPools = new ArrayList<>(2); // whose tasks may use it
    boolean isSubstitute; // for others of the subset: never while it is cold
    int subsetLevel; // of the managers one in 2 to this power uses it
    double cores = 1;
    double totalMemoryMb;
    final ArrayList<Forward> openForwards = new ArrayList<>();
    double grantedMb; // memory of our tasks there
    final ConcurrencyLimit limit = new ConcurrencyLimit();
    double logSlowdown; // ln of how much slower than the fleet its answers are
    long slowdownUpdatedAt = now;
    double observedShare; // our part of the tasks that it reports to hold, smoothed
    LoadReport report;
    long reportAt;
    int threadsSentSinceReport; // sent since that report
    double otherTasks; // tasks that it reported, less ours then
    double otherMemoryMb; // what it reported granted, less what was ours then
    long nextProbeAt;
    int failedProbes;
    long lastSweepAt;
    long lastSignAt; // last sign of life, or when one was first owed
    double expectedSigns; // how many signs usual run times led to expect since then
    double meanExpectedSigns =
        INITIAL_EXPECTED_SIGNS; // mean and deviation of what was owed at a sign
    double expectedSignsDeviation = INITIAL_EXPECTED_SIGNS;
    double failureRate; // part of its answers that fail, the last ones counting most
    boolean unreachable; // the last try: then the fleet is no excuse
    long unreachableAt;
    boolean suspect;
    long nextTrialAt;
    long trialInterval;
    long coldPermitUntil; // a cold engine's, for this window
    double coldPermitDraw;
    final SlidingWindow recentColdWork = new SlidingWindow(); // work
    final LinkedHashSet<Long> warmDataSets =
        new LinkedHashSet<>(); // data sets read last, oldest first

    Engine(String id) {
      super(eventLoop);
      this.id = id;
      nextProbeAt = now + (long) (random.nextDouble() * dispatcher.probeInterval());
    }

    private void postListing(EngineEntry told) {
      post(() -> onListing(told));
    }

    private void onListing(EngineEntry told) {
      dispatcher.post(
          dispatcher::updateCapacity); // behind each: one a list would come ahead of some
      boolean used = told != null && subset.uses(told);
      ready = used && told.state() == EngineEntry.State.READY;
      boolean leaves = told != null && !used && !unused && settings.coldStartLimit() != null;
      retainedUntil = leaves ? now + settings.coldStartLimit().windowNanos() : retainedUntil;
      unused = !used || told.state() == EngineEntry.State.GONE;
      servedPools.clear();
      if (told == null) {
        return;
      }
      engines.putIfAbsent(id, this); // a sweep may have forgotten it since it was named at the door
      pools.values().stream().filter(market -> market.group.uses(told)).forEach(servedPools::add);
      isSubstitute = subset.isSubstitute(told);
      subsetLevel = subset.level(told);
      boolean fresh = entry == null || told.startedAtNanos() > entry.startedAtNanos();
      entry = told;
      Settings.EngineType figures = settings.engineTypes().get(told.type());
      cores = figures != null && figures.cores() > 0 ? figures.cores() : Math.max(1, told.size());
      totalMemoryMb = figures == null ? 0 : figures.memoryMb();
      if (fresh) {
        // A new process: nothing learned of the old one holds.
        warmDataSets.clear();
        suspect = unreachable = false;
        report = null;
        logSlowdown = limit.logSlowdown = failureRate = 0;
        limit.pressureUntil = unreachableAt = failedProbes = 0;
        limit.maxThreads = cores * INITIAL_THREADS_PER_CORE * share();
      }
    }

    // -- May it be sent to? --

    boolean usable() {
      return ready && !unreachable && (!suspect || dispatcher.mostSuspected);
    }

    boolean healthy() {
      return ready && !unreachable && !suspect && capacityFraction() >= 1;
    }

    private double capacityFraction() {
      return Decide.this.capacityFraction(coldSince());
    }

    /** Rule 4: an even part of what a cold engine may get; where that holds no task, a draw. */
    private boolean coldLimitAllows(Task task) {
      if (capacityFraction() >= 1 || isSubstitute) {
        return capacityFraction() >= 1;
      }
      recentColdWork.evictBefore(now - settings.coldStartLimit().windowNanos());
      double sent = recentColdWork.sum();
      return sent + task.cost <= evenColdShare() || sent == 0 && coldPermitChance(task) > 0;
    }

    /** Ours for sure; half is left to tickets where it would not hold a usual task. */
    private double evenColdShare() {
      double part = coldBudget() / maxExpectedManagers();
      return dispatcher.meanCost > part ? part / 2 : part;
    }

    private double expectedManagers() {
      return managerCount / (double) (1 << subsetLevel);
    }

    /**
     * And those that may use it, by chance, older lists and positions that are unknown or doubled.
     */
    double maxExpectedManagers() {
      return Math.min(
          managerCount,
          expectedManagers() + COLD_SAFETY_DEVIATIONS * Math.sqrt(expectedManagers()));
    }

    private long coldSince() {
      return Math.max(entry.startedAtNanos(), unreachableAt);
    } // as lists are late

    /**
     * Grows over a window where the engine is older than we are: our earlier life may have sent.
     */
    private double coldBudget() {
      long window = settings.coldStartLimit().windowNanos();
      double known =
          coldSince() >= firstListAt ? 1 : Math.min(1, (now - firstListAt) / (double) window);
      return COLD_BUDGET_FRACTION
          * settings.coldStartLimit().overloadFactor()
          * capacityFraction()
          * cores
          * window
          * known;
    }

    /** The chance that a task gets in when our part does not hold it; 0 where the draw failed. */
    private double coldPermitChance(Task task) {
      if (now >= coldPermitUntil) {
        coldPermitUntil = now + settings.coldStartLimit().windowNanos();
        coldPermitDraw = random.nextDouble();
      }
      // Of all: what the even parts leave and the rule's room for chance, at most what it can do.
      double chances =
          COLD_LIMIT_TOLERANCE
              * (Math.sqrt(coldBudget() * dispatcher.meanCost) + dispatcher.meanCost);
      double all = coldBudget() - evenColdShare() * maxExpectedManagers() + chances;
      double deviations = COLD_SAFETY_DEVIATIONS * Math.sqrt(task.cost) / 2;
      double mean = Math.sqrt(all + deviations * deviations) - deviations;
      double work =
          Math.min(mean * mean, coldBudget() / settings.coldStartLimit().overloadFactor());
      double part = work / (maxExpectedManagers() * task.cost);
      return coldPermitDraw < part ? Math.min(1, part) : 0;
    }

    /**
     * Every rule on sending, in one place; rule 3 (drains) without its grace, as the list is late.
     */
    private boolean rulesAllow(Task task) {
      return ready
          && servedPools.contains(task.statistics.pool)
          && task.mayRetryOn(this)
          && coldLimitAllows(task)
          && task.forwardsSent < capabilities.maxForwards()
          && (task.forwardsSent == 0 || dispatcher.retryBudgetAllows())
          && (task.keyQueue == null
              || task.keyQueue.tasks.peek() == task
                  && (task.forwardsSent > 0 || dispatcher.isKeyAvailable(task.keyQueue)));
    }

    /** Rules, health and room together. */
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
     * This manager's part of the engine: an even one, or more where it is seen to hold mostly ours.
     */
    private double share() {
      return Math.max(1 / expectedManagers(), observedShare);
    }

    /**
     * The room in threads: its own, or the market's where our part of an engine holds no thread.
     */
    private boolean threadsFit(Task task) {
      EnginePool market = task.statistics.pool;
      return market.limitedAsWhole
          ? now >= limit.pressureUntil && market.allows(task.queryClass, market.cores)
          : limit.allows(task.queryClass, cores * share() * capacityFraction());
    }

    /** One more of our tasks here, or one less. */
    private void addUsage(int threads, double memory) {
      limit.usedThreads += threads;
      grantedMb += memory;
      for (EnginePool market : pools.values()) {
        boolean counts =
            usable() && servedPools.contains(market); // what is stuck takes none elsewhere
        market.usedThreads += counts ? threads : 0;
        market.grantedMb += counts ? memory : 0;
      }
    }

    /**
     * The room in memory always binds: past it an engine spills, waits or pages, and tells too
     * late.
     */
    private boolean memoryFits(Task task) {
      EnginePool market = task.statistics.pool;
      boolean told =
          hasFreshReport()
              && !Double.isNaN(report.grantedMemoryFraction())
              && !market.limitedAsWhole;
      double wanted = memoryGrantMb(task);
      double most = told ? totalMemoryMb - otherMemoryMb : totalMemoryMb * share();
      if (totalMemoryMb <= 0 || grantedMb + wanted <= most) {
        return true;
      }
      boolean let =
          market.grantedMb + wanted <= market.memoryMb
              || wanted < SMALL_TASK_MEMORY_FRACTION * market.memoryMb;
      return openForwards.isEmpty() && (!told && let || market.usedThreads == 0);
    }

    /** What a task is to be granted here; where grants are not heeded, what it will take. */
    private double memoryGrantMb(Task task) {
      double memory =
          task.request.estimatedMemoryMb()
              * (task.statistics.memoryBias + task.statistics.memoryMargin);
      double most =
          capabilities.maxGrantFraction() > 0 && totalMemoryMb > 0
              ? capabilities.maxGrantFraction() * totalMemoryMb
              : memory;
      return Math.min(memory, most);
    }

    /**
     * More for tasks that earn much for their work, and for loads, as others wait for what they
     * hold.
     */
    private int priority(Task task) {
      double above = task.logValue - dispatcher.meanLogValue;
      int usual =
          3
              - (int)
                  clamp(
                      Math.ceil((TOP_PRIORITY_LOG_VALUE - above) / PRIORITY_LOG_VALUE_STEP), 0, 3);
      return task.queryClass.bulkLoad() ? Math.max(2, usual) : usual;
    }

    private void send(Task task) {
      if (task.finished) {
        return;
      } // its client left, or it was answered, behind its turn
      if (!canTake(task)) {
        dispatcher.post(() -> dispatcher.requeue(task));
        return;
      }
      double memory = memoryGrantMb(task);
      if (capabilities.memoryGrants() || capabilities.priorities()) {
        actions.assignResources(
            task.id,
            capabilities.memoryGrants() ? (long) Math.ceil(memory) : 0,
            capabilities.priorities() ? priority(task) : 1);
      }
      actions.forward(task.id, id, 0);
      boolean read = warmDataSets.remove(task.request.dataSet());
      Forward forward = new Forward(task, this, task.forwardsSent, now, memory, read);
      expectedSigns = openForwards.isEmpty() ? 0 : expectedSigns;
      lastSignAt = openForwards.isEmpty() ? now : lastSignAt;
      lastSweepAt = openForwards.isEmpty() ? now : lastSweepAt;
      openForwards.add(forward);
      // Not by a note: its end, or the next of its key, may be in the same batch and must find it
      // out.
      task.openForwards.add(forward);
      if (task.keyQueue != null) {
        task.keyQueue.openForwards++;
      }
      if (task.forwardsSent++ > 0) {
        dispatcher.recentRetries.add(now, 1);
      }
      addUsage(task.queryClass.threads(), memory);
      threadsSentSinceReport += task.queryClass.threads();
      if (capacityFraction() < 1) {
        recentColdWork.add(now, (long) task.cost);
      }
      warmDataSets.add(task.request.dataSet());
      if (warmDataSets.size() > MAX_WARM_DATA_SETS) {
        warmDataSets.remove(warmDataSets.iterator().next());
      }
      trialInterval =
          Math.min(
              MAX_TRIAL_INTERVAL_NANOS, trialInterval * 2); // both are read only under suspicion
      nextTrialAt = now + trialInterval;
      dispatcher.post(() -> dispatcher.onSent(task));
    }

    // -- What it says --

    private void onForwardEnd(
        Forward forward,
        Outcome outcome,
        boolean over,
        long cost,
        double memoryMb,
        LoadReport told) {
      openForwards.remove(forward);
      addUsage(-forward.task.queryClass.threads(), -forward.memoryMb);
      onReport(told);
      if (outcome == Outcome.OK) {
        failureRate = movingAverage(failureRate, 0, 4 * SMOOTHING_FACTOR);
        onSignOfLife();
        onSuccess(forward, cost, memoryMb);
        forward.task.failedEngines.forEach(engine -> engine.post(engine::onFailure));
      } else if (outcome == Outcome.ERROR && forward.task.isIdempotent()) {
        forward.task.failedEngines.add(
            this); // a bad task fails anywhere: no news of this engine yet
      } else if (outcome == Outcome.ERROR
          || outcome == Outcome.UNREACHED
          || outcome == Outcome.RESET) {
        unreachable |= outcome == Outcome.UNREACHED;
        unreachableAt = outcome == Outcome.UNREACHED ? now : unreachableAt;
        if (unreachable) {
          suspect("unreached");
        }
        onFailure();
      } else if (outcome == Outcome.FULL || outcome == Outcome.TIME_OUT) {
        limit.onRefusal();
        forward.task.statistics.pool.onRefusal();
      }
      dispatcher.post(() -> dispatcher.onForwardEnd(forward, outcome, over));
    }

    /** An engine that fails fast looks idle, and would draw ever more tasks. */
    private void onFailure() {
      failureRate = movingAverage(failureRate, 1, 4 * SMOOTHING_FACTOR);
      if (!suspect && failureRate > failureRateLimit()) {
        suspect("its answers fail");
      }
    }

    private void onSuccess(Forward forward, long toldCost, double toldMemory) {
      Task task = forward.task;
      ClassStatistics row = task.statistics;
      if (toldCost > 0) {
        row.costBias =
            clamp(
                movingAverage(row.costBias, toldCost * row.costBias / task.cost, SMOOTHING_FACTOR),
                0.2,
                5);
      }
      if (toldMemory > 0 && task.request.estimatedMemoryMb() > 0) {
        double told = toldMemory / task.request.estimatedMemoryMb();
        double off = Math.abs(told - row.memoryBias);
        row.memoryMargin =
            movingAverage(row.memoryMargin, GRANT_DEVIATIONS * off, SMOOTHING_FACTOR);
        row.memoryBias = clamp(movingAverage(row.memoryBias, told, SMOOTHING_FACTOR), 0.2, 5);
      }
      long run = Math.max(NANOS_PER_MS, now - forward.sentAt);
      double alone =
          toldCost > 0
              ? Math.max(toldCost / task.queryClass.threads(), 5 * NANOS_PER_MS)
              : task.isolatedRunTime();
      double ratio = Math.log(run / alone);
      row.meanRunTime = movingAverage(row.meanRunTime, run, SMOOTHING_FACTOR);
      row.logSlowdown = movingAverage(row.logSlowdown, ratio, SMOOTHING_FACTOR);
      row.bestLogSlowdown =
          Double.isNaN(row.bestLogSlowdown)
              ? row.logSlowdown
              : Math.min(row.bestLogSlowdown, row.logSlowdown);
      double above = ratio - Math.max(0, row.bestLogSlowdown);
      dispatcher.warmLogRatio =
          movingAverage(
              dispatcher.warmLogRatio,
              ratio - row.logSlowdown,
              forward.warmData ? SMOOTHING_FACTOR / 5 : 0);
      dispatcher.coldLogRatio =
          movingAverage(
              dispatcher.coldLogRatio,
              ratio - row.logSlowdown,
              forward.warmData ? 0 : SMOOTHING_FACTOR / 5);
      updateSlowdown(task, ratio);
      boolean busy = hasFreshReport() && report.cpuUtilization() >= BUSY_UTILIZATION;
      limit.onAnswer(task.queryClass, above, busy, cores * MAX_THREADS_PER_CORE);
      row.pool.onAnswer(task.queryClass, above, busy, row.pool.cores * MAX_THREADS_PER_CORE);
    }

    /** How much slower than the fleet; a sample counts the more the rarer they come. */
    private void updateSlowdown(Task task, double ratio) {
      double weight =
          clamp(
              (now - slowdownUpdatedAt) / (double) SLOWDOWN_WINDOW_NANOS,
              2 * SMOOTHING_FACTOR,
              0.5);
      logSlowdown =
          Double.isNaN(task.statistics.logSlowdown)
              ? logSlowdown
              : movingAverage(logSlowdown, ratio - task.statistics.logSlowdown, weight);
      slowdownUpdatedAt = now;
    }

    private boolean hasFreshReport() {
      return report != null && now - reportAt <= REPORT_MAX_AGE_NANOS;
    }

    private void onReport(LoadReport told) {
      if (told == null) {
        return;
      }
      dispatcher.hasLoadReports |=
          !Double.isNaN(told.cpuUtilization()) || !Double.isNaN(told.activeTasks());
      report = told;
      reportAt = now;
      threadsSentSinceReport = 0;
      otherTasks = Math.max(0, told.activeTasks() - openForwards.size());
      otherMemoryMb = Math.max(0, told.grantedMemoryFraction() * totalMemoryMb - grantedMb);
      if (told.cpuUtilization() < BUSY_UTILIZATION && told.activeTasks() >= 0) {
        // While cores idle, all that others are not seen to hold is free for us.
        double free = 1 - otherTasks / (cores * capacityFraction() * INITIAL_THREADS_PER_CORE);
        observedShare = movingAverage(observedShare, Math.max(0, free), 2 * SMOOTHING_FACTOR);
      } else if (told.activeTasks() >= 4) {
        observedShare =
            movingAverage(
                observedShare,
                Math.min(1, openForwards.size() / told.activeTasks()),
                8 * SMOOTHING_FACTOR);
      }
      if (told.cpuUtilization() >= SATURATED_UTILIZATION
          || told.grantedMemoryFraction() >= SATURATED_UTILIZATION) {
        limit.pressureUntil = now + PRESSURE_DURATION_NANOS;
      }
    }

    private void onProbeEnd(Outcome outcome, LoadReport told) {
      if (outcome == Outcome.OK) {
        failedProbes = 0;
        onReport(told);
      } else if (outcome != Outcome.FULL && ++failedProbes >= 2) {
        suspect("probes unanswered");
      }
    }

    // -- Health: how unusual is the present silence, given the gaps seen before? --

    private void onSignOfLife() {
      expectedSignsDeviation =
          movingAverage(
              expectedSignsDeviation,
              Math.abs(expectedSigns - meanExpectedSigns),
              SMOOTHING_FACTOR);
      meanExpectedSigns = movingAverage(meanExpectedSigns, expectedSigns, SMOOTHING_FACTOR);
      expectedSigns = 0;
      lastSignAt = now;
      unreachable = false;
      nextTrialAt = Math.min(nextTrialAt, now + MIN_SILENCE_NANOS);
      if (suspect && failedProbes < 2 && failureRate <= failureRateLimit()) {
        suspect = false;
        dispatcher.updateCapacity();
        actions.log("engine " + id + " answers again: back in the draw");
      }
    }

    private void sweep() {
      if (capabilities.probing()
          && ready
          && now >= nextProbeAt
          && now - lastSignAt >= PROBE_AFTER_SILENCE_NANOS) {
        nextProbeAt =
            now + (failedProbes > 0 ? MIN_PROBE_INTERVAL_NANOS : dispatcher.probeInterval());
        actions.probe(id);
      }
      openForwards.forEach(
          forward ->
              expectedSigns +=
                  Math.min(now - lastSweepAt, now - forward.sentAt)
                      / forward.task.expectedRunTime());
      lastSweepAt = now;
      long silence = now - lastSignAt;
      double unusual =
          expectedSigns
              / (Math.max(meanExpectedSigns, INITIAL_EXPECTED_SIGNS) + expectedSignsDeviation)
              / Math.log(10);
      if (!suspect && silence > MIN_SILENCE_NANOS && unusual > SUSPICION_THRESHOLD) {
        suspect("silent for " + silence / NANOS_PER_MS + " ms");
      }
      if (suspect && !dispatcher.mostSuspected) {
        openForwards.stream()
            .filter(forward -> now - forward.sentAt > MIN_SILENCE_NANOS)
            .forEach(forward -> dispatcher.post(() -> dispatcher.retryStalled(forward)));
      }
    }

    /** Against the fleet: where all fail alike, leaving the one that failed last helps nobody. */
    private double failureRateLimit() {
      return FAILURE_RATE_LIMIT
          + engines.values().stream()
              .filter(engine -> engine.ready && engine != this)
              .mapToDouble(engine -> engine.failureRate)
              .average()
              .orElse(0);
    }

    private void suspect(String why) {
      if (suspect) {
        return;
      }
      suspect = true;
      dispatcher.updateCapacity();
      trialInterval = INITIAL_TRIAL_INTERVAL_NANOS;
      nextTrialAt = now + trialInterval;
      actions.log("engine " + id + " suspected: " + why + "; no more tasks but trials");
    }

    // -- The draw's figures --

    /** When our first task there should end, by the mean run of its grade. */
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

    /** Load a core: reported use, else tasks held, else our threads; plus our sends since. */
    double load(double average) {
      double able = cores * capacityFraction();
      if (!dispatcher.hasLoadReports || !hasFreshReport()) {
        return (dispatcher.hasLoadReports ? average : 0) + limit.usedThreads / (able * share());
      }
      double held = (otherTasks + limit.usedThreads) / able;
      return Double.isNaN(report.cpuUtilization())
          ? Double.isNaN(held) ? average : held
          : report.cpuUtilization()
              + (Double.isNaN(held) ? 0 : held)
              + threadsSentSinceReport / able;
    }

    double weight(Task task, double average) {
      double trust =
          hasFreshReport()
              ? Math.exp((reportAt - now) * (1 / share() - 1) / REPORT_DECAY_NANOS)
              : 1;
      double load = IDLE_LOAD_PER_CORE + average + (load(average) - average) * trust;
      double weight = cores * capacityFraction() / (load * load * load) / Math.exp(2 * logSlowdown);
      boolean read = warmDataSets.contains(task.request.dataSet());
      weight *=
          read
              ? Math.exp(
                  WARM_DATA_EXPONENT
                      * clamp(dispatcher.coldLogRatio - dispatcher.warmLogRatio, 0, 0.5))
              : 1;
      if (capacityFraction() < 1 && task.cost > evenColdShare()) {
        weight /=
            Math.max(coldPermitChance(task), 1e-9); // as often in all as if it needed no ticket
      }
      weight *=
          capabilities.crossZonePriced() && !entry.zone().equals(settings.zone())
              ? CROSS_ZONE_FACTOR
              : 1;
      boolean stands = task.queryClass.bulkLoad() || task.queryClass.waitsForBulkLoads();
      boolean held =
          stands
              && openForwards.stream()
                  .anyMatch(
                      forward ->
                          forward.task.queryClass.bulkLoad()
                              && forward.task.request.dataSet() == task.request.dataSet());
      weight *= held ? BULK_LOAD_CONFLICT_FACTOR : 1;
      return weight;
    }
  }
}

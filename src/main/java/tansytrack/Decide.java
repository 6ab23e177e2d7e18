package tansytrack;

import static tansytrack.parts.Num.*;

import java.util.*;
import java.util.stream.Stream;
import tansytrack.api.*;
import tansytrack.parts.*;
import tansytrack.policy.EngineSubset;

/**
 * Makes every decision of a workload manager: admission, queueing, the choice of an engine, retries,
 * final answers and engine health.
 *
 * <p>Each manager has one instance, created with its settings and a receiver of actions. The methods
 * of {@link Decisions} report events and only post messages to actors; {@link #decide} then
 * processes all messages and issues the resulting {@link Actions}. The class does no input or output
 * and reads no clock: the caller passes the present time, in nanoseconds, with each call. All times
 * and durations are in nanoseconds. The reasons for the design are in docs/design.md.
 */
public final class Decide implements Decisions {

  private static final long MS = 1_000_000L;
  private static final Set<Outcome> UNRUN =
      EnumSet.of(Outcome.FULL, Outcome.UNREACHED, Outcome.NEVER_SENT);
  // Weight of one new sample in a moving average.
  private static final double LEARN = 0.05;
  // How often queued tasks and engines are checked.
  private static final long SWEEP = 25 * MS;
  // The longest interval, used where tasks are rare; it must stay below the deadline margin.
  private static final long LONGEST_SWEEP = 50 * MS;
  // A task is answered at least this long before its deadline.
  private static final long ANSWER_MARGIN = 60 * MS;

  // The queues: limits on their length, the longest wait, and the divisor that gives the part of a
  // task's remaining time that it may spend in a queue.
  private static final int DEPTH_PER_TENANT = 32;
  private static final int DEPTH_IN_ALL = 4096;
  private static final long LONGEST_WAIT = 5000 * MS;
  private static final int WAIT_PART = 5;

  // The price of engine work while tasks wait. A wait up to this duration sets no price.
  private static final long PATIENCE = 150 * MS;
  // The factor by which the price falls in each sweep interval.
  private static final double PRICE_FALL = 0.96;
  // The lowest price above 0, as a fraction of the mean value of tasks.
  private static final double LEAST_PRICE = 0.02;
  // The part of the difference between a class's mean value and the overall mean that is ignored
  // when a task's value is compared with the price.
  private static final double GRADE_PART = 0.8;

  // The concurrency limit: its first and its highest value in threads per core.
  private static final double THREADS_PER_CORE = 2;
  private static final double MOST_THREADS_PER_CORE = 4;
  // At or above this CPU utilization fast answers do not raise the limit.
  private static final double BUSY = 0.8;
  // At or above this CPU utilization, or fraction of granted memory, an engine is under pressure.
  private static final double CROWDED = 0.95;
  // Natural logarithm of the slowdown, relative to the best one seen, up to which answers count as
  // normal.
  private static final double WELL_ABOVE_BEST = Math.log(2);
  // Natural logarithm of the slowdown above which one answer halves the limit.
  private static final double SLOW_ANSWER = Math.log(5);
  // How long one sign of pressure counts; also the shortest time between two halvings of a limit.
  private static final long PRESSURE_LASTS = 1000 * MS;
  // The part of a cold engine's budget that is used; the rest allows for errors of estimation.
  private static final double COLD_PART = 0.9;
  // How many standard deviations are kept free where the sum over all managers depends on chance.
  private static final double COLD_DEVIATIONS = 4;
  // The excess that the limit on cold engines tolerates: this many square roots of the number of
  // tasks, plus this many tasks.
  private static final double COLD_CHANCE = 2;
  // A task that needs less than this fraction of our part of a pool's memory is admitted to an idle
  // engine even if the pool's memory is used up.
  private static final double SMALL = 0.25;
  // Natural logarithm of a task's value relative to the mean: the threshold of the top priority,
  // and the step to each priority below it.
  private static final double PRIORITY_TOP = -0.7;
  private static final double PRIORITY_STEP = 1.1;
  // A memory grant exceeds the estimate by this many mean deviations of the memory needed.
  private static final double GRANT_SPREAD = 2;
  // The excess over the estimate until deviations have been reported.
  private static final double GRANT_MARGIN = 0.25;

  // Health and reports. An engine is suspected when -log10 of the probability of its present
  // silence exceeds this value.
  private static final double UNUSUAL = 4;
  // A shorter silence never makes an engine suspected.
  private static final long SHORTEST_SILENCE = 400 * MS;
  // The number of signs of life expected between two of them, until it has been learned.
  private static final double FIRST_GAP = 1;
  // A forward is stalled when its remaining time exceeds this multiple of the expected run time.
  private static final double HOPELESS = 3;
  // The time from the suspicion of an engine to the first trial task; it doubles up to the maximum.
  private static final long FIRST_TRIAL = 1000 * MS;
  private static final long LONGEST_TRIAL_GAP = 4000 * MS;
  // An engine is suspected when the fraction of failed answers exceeds the fleet's mean by this.
  private static final double FAILING = 0.3;
  // An engine that gave a sign of life within this time is not probed.
  private static final long PROBE_SILENCE = 1000 * MS;
  private static final long PROBE_EVERY = 400 * MS;
  // The time constant with which a report loses weight against the average, because other managers
  // send tasks to the engine as well.
  private static final double REPORT_FADES = 8000 * MS;
  // An older load report is ignored.
  private static final long REPORT_LASTS = 3000 * MS;
  // The time scale of an engine's mean slowdown: after a gap of this length it is half forgotten.
  private static final long PACE_LASTS = 8000 * MS;

  // The random choice of an engine. The load per core that an idle engine counts with.
  private static final double IDLE = 0.15;
  // The number of data sets per engine that count as warm.
  private static final int WARM_SETS = 4;
  // The exponent that turns the time saved by warm data sets into a weight.
  private static final double WARM = 6;
  // The weight factor of an engine on which a bulk load of this manager holds the data set.
  private static final double HELD = 0.02;
  // The weight factor of an engine in another zone, where traffic between zones has a price.
  private static final double FAR = 0.5;

  private final Settings set;
  private final Settings.Levers levers;
  private final Actions act;
  private final SplittableRandom chance;
  private final Loop loop = new Loop();
  private final EngineList listed = new EngineList();
  private final EngineSubset subset;
  // The engines in use, and those that still have open forwards.
  private final Map<String, Engine> engines = new TreeMap<>();
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Map<String, Row> rows = new TreeMap<>();
  private final Map<String, Market> markets = new TreeMap<>();
  private final Map<String, Tenant<Task>> tenants = new TreeMap<>();
  private final Gate gate = new Gate();
  private long now;
  // The time of the first engine list, or -1.
  private long bornAt = -1;
  // The number of managers that share the engines.
  private int siblings;
  // Whether new tasks are rejected, because the manager could not record them.
  private boolean shut;

  /** Creates the module of one manager; it issues its actions to {@code actions}. */
  public Decide(Settings settings, Actions actions) {
    this.set = settings;
    levers = settings.levers();
    siblings = settings.siblings();
    subset = new EngineSubset(settings, listed);
    this.act = actions;
    chance = new SplittableRandom(settings.seed());
    for (Grade grade : settings.grades()) {
      String bounds = new TreeSet<>(grade.places()) + "/" + new TreeSet<>(grade.kinds());
      rows.put(
          grade.name(), new Row(grade, markets.computeIfAbsent(bounds, key -> new Market(grade))));
    }
    settings
        .tenants()
        .forEach(of -> tenants.put(of.name(), new Tenant<>(Math.max(of.share(), 0.001))));
    if (tenants.isEmpty()) {
      // The settings name no tenants: all tasks share one queue.
      tenants.put("", new Tenant<>(1));
    }
    actions.wake(SWEEP, "sweep");
  }

  // ---- Events: ids are resolved to objects, and each event is posted as a message ----

  public void engines(long at, boolean complete, List<EngineEntry> entries) {
    now = at;
    bornAt = bornAt < 0 ? at : bornAt;
    Map<String, EngineEntry> named = new TreeMap<>();
    entries.forEach(entry -> named.put(entry.id(), entry));
    if (complete) {
      listed.set(named.values());
    } else {
      named.values().forEach(listed::put);
    }
    boolean moved = subset.settle(siblings);
    Stream.concat(entries.stream(), moved ? listed.all().stream() : Stream.empty())
        .filter(subset::uses)
        .forEach(entry -> engines.computeIfAbsent(entry.id(), Engine::new));
    engines.values().stream()
        .filter(engine -> complete || moved || named.containsKey(engine.id))
        .forEach(engine -> engine.tell(named.getOrDefault(engine.id, listed.find(engine.id))));
  }

  public void task(long at, TaskOffer offer) {
    now = at;
    Row row = rows.get(offer.grade());
    if (row == null || shut) {
      act.bounce(offer.id(), row != null && levers.comeBack() ? levers.longestComeBack() : 0);
    } else {
      Task task = new Task(offer, row);
      tasks.put(task.id, task);
      gate.put(() -> gate.taken(task));
    }
  }

  public void admit(long at, boolean open) {
    now = at;
    shut = !open;
  }

  public void siblings(long at, int count) {
    now = at;
    siblings = Math.max(1, count);
    if (bornAt >= 0) {
      // The number of listed engines in use may change.
      engines(at, false, List.of());
    }
  }

  public void outcome(
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
    Forward forward = find(engine, id, index);
    if (forward != null) {
      forward.engine.put(
          () -> forward.engine.ended(forward, outcome, over, cost, memoryMb, report));
    }
  }

  public void probed(long at, String engine, Outcome outcome, LoadReport report) {
    now = at;
    Engine from = engines.get(engine);
    if (from != null) {
      from.put(() -> from.probed(outcome, report));
    }
  }

  public void progress(long at, String id, int index, String engine, Progress what, double amount) {
    now = at;
    Forward forward = find(engine, id, index);
    if (forward != null) {
      Task task = forward.task;
      boolean told = what == Progress.SHARE_DONE && amount > 0;
      long age = Math.max(MS, now - forward.at);
      double run = age / clamp(amount, 0.001, 1);
      forward.engine.put(forward.engine::sign);
      if (told) {
        forward.engine.put(() -> forward.engine.paced(task, Math.log(run / task.alone())));
      }
      boolean hopeless = what == Progress.WAITS || told && run - age > HOPELESS * task.usualRun();
      if (levers.cancel() && hopeless) {
        // The forward waits for a bulk load or for memory, or the engine is overloaded. Where
        // forwards cannot be cancelled, a second one would only add to the overload.
        gate.put(() -> gate.rescue(forward));
      }
    }
  }

  public void woken(long at, String token) {
    now = at;
    engines.values().stream()
        .filter(one -> !one.out.isEmpty() || levers.probe() && now >= one.probeAt)
        .forEach(one -> one.put(one::sweep));
    gate.put(gate::sweep);
    act.wake(gate.nextSweep(), token);
  }

  public void abandoned(long at, String id) {
    now = at;
    Task task = tasks.get(id);
    if (task != null) {
      gate.put(() -> gate.finish(task));
    }
  }

  public void stopping(long at, long until) {
    now = at;
    gate.put(() -> gate.stopAt = until - ANSWER_MARGIN);
  }

  public List<EngineView> view(long at) {
    return engines.values().stream()
        .filter(one -> one.entry != null)
        .map(
            one ->
                new EngineView(
                    one.id,
                    one.out.size(),
                    one.report == null ? -1 : at - one.reportAt,
                    !one.usable()))
        .toList();
  }

  private Forward find(String engine, String task, int index) {
    Engine at = engines.get(engine);
    return at == null
        ? null
        : at.out.stream()
            .filter(forward -> forward.index == index && forward.task.id.equals(task))
            .findFirst()
            .orElse(null);
  }

  /**
   * Processes all events first, so that no task is dispatched that ends in the same batch; then
   * dispatches queued tasks.
   */
  public void decide(long at) {
    now = at;
    loop.empty();
    gate.put(gate::turn);
    loop.empty();
  }

  // ---- Concurrency limits, query classes, tasks, forwards ----

  /** An adaptive limit on the threads of this manager's tasks, on one engine or in a pool. */
  private class Room {
    double bound;
    int threads; // of this manager's tasks there
    double strain; // moving average of ln of the slowdown relative to the best one seen
    long halvedAt;
    long pressedUntil;

    /**
     * Tells whether a task of the class may start. Without pressure, threads up to the initial
     * limit are always allowed. Slow answers are no sign of pressure while cores of this manager's
     * part are idle: otherwise, while work has a price, tasks with too low an estimate are admitted,
     * appear slow, and the limit never grows again.
     */
    boolean fits(Grade grade, double able) {
      boolean pressed = strain > WELL_ABOVE_BEST && threads >= able || now < pressedUntil;
      return !pressed && threads < able * THREADS_PER_CORE
          || threads + grade.threads() <= Math.max(bound, grade.threads());
    }

    void answered(Grade grade, double above, boolean busy, double most) {
      strain = mean(strain, above, 2 * LEARN);
      if (above > SLOW_ANSWER) {
        halve();
      } else if (above < WELL_ABOVE_BEST && !busy) {
        bound = Math.min(bound + grade.threads(), most);
      }
    }

    void halve() {
      if (now - halvedAt <= PRESSURE_LASTS) {
        return;
      }
      halvedAt = now;
      bound = Math.max(bound / 2, 1);
    }

    void refused() {
      pressedUntil = now + PRESSURE_LASTS;
      halve();
    }
  }

  /**
   * The engines that certain query classes are restricted to, with the price of work on them and
   * one concurrency limit over all of them.
   */
  private final class Market extends Room {
    final EngineSubset.Group group;
    double able; // this manager's part of the cores, in warm cores
    double memory; // this manager's part of the memory
    double granted; // memory granted to this manager's tasks
    boolean pooled; // this manager's part of an engine is less than one thread, on average
    double price; // of engine work, in earnings per nanosecond; 0 unless tasks wait

    Market(Grade grade) {
      group =
          subset.group(
              entry -> // rule 6: placement by zone and engine type
              (grade.places().isEmpty() || grade.places().contains(entry.place()))
                      && (grade.kinds().isEmpty() || grade.kinds().contains(entry.kind())));
    }

    private void refill() {
      List<EngineEntry> healthy =
          engines.values().stream()
              .filter(engine -> engine.healthy() && engine.serves.contains(this))
              .map(engine -> engine.entry)
              .toList();
      EngineEntry moved =
          group.refill(
              healthy, entry -> !engines.containsKey(entry.id()) && warmth(entry.startedAt()) >= 1);
      if (moved != null) {
        engines.computeIfAbsent(moved.id(), Engine::new).tell(moved);
      }
    }

    private void survey() {
      double before = able, parts = 0;
      able = memory = granted = threads = 0;
      for (Engine engine : engines.values()) {
        if (engine.usable() && engine.serves.contains(this)) {
          able += engine.cores * engine.warmth() * engine.share();
          memory += engine.totalMemory * engine.share();
          threads += engine.room.threads;
          parts += engine.cores * THREADS_PER_CORE * engine.share() - 1;
          granted += engine.granted;
        }
      }
      pooled = parts < 0;
      bound = before == 0 ? able * THREADS_PER_CORE : bound * able / before;
    }
  }

  /** The statistics of one query class. */
  private static final class Row {
    final Grade grade;
    final Market market;
    double costBias = 1; // reported cost divided by estimated cost
    double memoryBias = 1; // reported memory divided by estimated memory
    double memoryScatter = GRANT_MARGIN; // added to the bias in a memory grant
    double meanCost = Double.NaN; // of accepted tasks, in nanoseconds of work
    double meanRun = Double.NaN; // of tasks that succeeded, in nanoseconds
    double usual = Double.NaN; // mean ln of run time over isolated run time, on all engines
    double best = Double.NaN; // the lowest value that this mean has had
    double worthMean = Double.NaN; // mean ln of earnings per nanosecond of work
    boolean noRoom; // a plain task of this class fitted no engine in the present turn

    Row(Grade grade, Market market) {
      this.grade = grade;
      this.market = market;
    }
  }

  private final class Task {
    final String id;
    final Row row;
    final Grade grade;
    final Tenant<Task> tenant; // null where unknown: such a task is never queued
    final Long key; // null where the task has none, or its class is not serialized by key
    KeyLine<Task> line; // null where key is null
    final long cutOffAt;
    final double cost; // nanoseconds of work
    final double lnWorth; // ln of earnings per nanosecond of work
    final TaskOffer offer;
    boolean keyed; // waits for earlier tasks of its key
    boolean queued; // waits in the tenant's queue
    boolean over;
    long wantedSince;
    long waitUntil; // the time at which its queue wait budget ends
    int forwards; // sent so far
    final List<Forward> out = new ArrayList<>(2);
    // The engines on which it ended with an error; they count as failed once it succeeds elsewhere.
    final List<Engine> failedOn = new ArrayList<>(2);
    Forward ran; // the earliest forward that an engine may have executed
    long cancelled; // bit set of the indexes of cancelled forwards

    Task(TaskOffer offer, Row row) {
      this.offer = offer;
      id = offer.id();
      this.row = row;
      grade = row.grade;
      tenant = tenants.get(offer.tenant());
      key = grade.inOrder() ? offer.key() : null;
      cutOffAt = offer.cutOffAt();
      double usual = Double.isNaN(row.meanCost) ? MS : row.meanCost;
      cost = Math.max(MS, offer.cost() > 0 ? offer.cost() * row.costBias : usual);
      row.meanCost = mean(row.meanCost, cost, LEARN);
      lnWorth = Math.log(Math.max(grade.earnings(), 1e-9) / cost);
    }

    /** Returns the expected run time on an otherwise idle engine. */
    double alone() {
      return Math.max(cost / grade.threads(), 5 * MS);
    }

    /** Returns the expected run time at the fleet's present slowdown. */
    double usualRun() {
      return alone() * (Double.isNaN(row.usual) ? 2 : Math.exp(row.usual));
    }

    /**
     * Returns the earnings per nanosecond of work, corrected for most of the difference between its
     * class and the overall mean, so that load shedding never drops a whole class.
     */
    double worth() {
      return Math.exp(lnWorth - GRADE_PART * (row.worthMean - gate.worthMean));
    }

    long budget() {
      return Math.min(LONGEST_WAIT, Math.max(0, cutOffAt - now) / WAIT_PART);
    }

    /** Returns the fraction of the queue wait budget that is used; 0 during the first short wait. */
    double spent() {
      long waited = now - wantedSince;
      return waited > PATIENCE ? Math.min(1, waited / (double) (waitUntil - wantedSince)) : 0;
    }

    /** Tells whether the deadline is too near, or the task would outlast the shutdown. */
    boolean outOfTime() {
      return cutOffAt - now <= ANSWER_MARGIN || usualRun() > gate.stopAt - now;
    }

    boolean harmless() {
      return grade.repeat() == Grade.Repeat.HARMLESS;
    }

    /**
     * Rule 2: tells whether the task may go to that engine, given what its earlier forwards may have
     * executed.
     */
    boolean mayRepeatOn(Engine engine) {
      if (!out.isEmpty() && !levers.secondCopies()) {
        return false;
      }
      // The earliest forward that may have been executed: a later one may have ended while that
      // one is still open.
      Forward first =
          out.isEmpty() || ran != null && ran.index < out.get(0).index ? ran : out.get(0);
      if (first == null || harmless()) {
        return true;
      }
      // The request may leave this much later, while its connection is being opened.
      long since = now - first.at + LONGEST_SWEEP + levers.connectTime();
      return grade.repeat() == Grade.Repeat.STAMPED
          && since < grade.repeatWindow()
          && switch (grade.scope()) {
            case ALL -> true;
            case PLACE -> first.engine.entry.place().equals(engine.entry.place());
            case CELL -> first.engine.entry.cell() == engine.entry.cell();
          };
    }

    /** Rule 2: tells whether the client may safely retry the task after a rejection. */
    boolean mayBounce() {
      return harmless()
          || ran == null && out.isEmpty()
          || grade.repeat() == Grade.Repeat.STAMPED && grade.scope() == Grade.Scope.ALL;
    }
  }

  private record Forward(
      Task task, Engine engine, int index, long at, double memoryMb, boolean warm) {}

  // ---- The dispatcher: tenant queues, dispatching, final answers ----

  private final class Gate extends Loop.Part {
    final Map<Long, KeyLine<Task>> lines = new TreeMap<>();
    final Recent taken = new Recent(); // tasks within the window of the retry budget (rule 7)
    final Recent further = new Recent(); // retries within that window
    double warm; // mean ln of run time over the usual one, with a warm data set
    double cold = 0.1; // the same without a warm data set
    boolean reports; // whether any engine has ever reported its load
    boolean mostSuspect; // whether most of the fleet is suspected; then suspicion excludes none
    int waiting;
    long stopAt = Long.MAX_VALUE; // the time after which the shutdown loses answers
    long lastGrant;
    long sweptAt = now;
    long lastTaken = now;
    double taskGap = 1000 * MS; // mean time between accepted tasks; starts as for rare tasks
    double spacing = 10 * MS; // mean time between sends while tasks wait
    double worthMean = Double.NaN; // mean ln of the earnings per nanosecond of accepted tasks
    double meanCost = Double.NaN; // of accepted tasks, in nanoseconds of work

    Gate() {
      super(loop);
    }

    /**
     * Returns the time to the next sweep. It is longer where few tasks come, so that the cost of
     * sweeps does not grow with the number of managers.
     */
    long nextSweep() {
      return (long) clamp(taskGap / 2, SWEEP, LONGEST_SWEEP);
    }

    /**
     * Returns the time between probes of an engine. It is longer with fewer tasks and more
     * managers, so that probes do not cost more than they tell.
     */
    long probeEvery() {
      return (long) Math.max(PROBE_EVERY, engines.size() * taskGap * Math.sqrt(siblings));
    }

    private void taken(Task task) {
      taken.add(now, 1);
      taskGap = mean(taskGap, Math.min(now - lastTaken, 1000 * MS), LEARN);
      lastTaken = now;
      worthMean = mean(worthMean, task.lnWorth, LEARN);
      meanCost = mean(meanCost, task.cost, LEARN);
      task.row.worthMean = mean(task.row.worthMean, task.lnWorth, LEARN);
      if (task.outOfTime()) {
        answer(task);
        return;
      }
      if (task.key != null) {
        // The queue is looked up only here: one found when the event arrived may have been removed
        // before this message was processed.
        task.line = lines.computeIfAbsent(task.key, KeyLine::new);
        task.line.line.add(task);
        if (task.line.line.peek() != task || !open(task.line)) {
          task.keyed = true;
          return;
        }
      }
      enqueue(task);
    }

    boolean open(KeyLine<Task> line) {
      return line.out == 0 && now >= line.restsUntil;
    }

    /**
     * Adds the task to its tenant's queue. Gives it up at once if its value is below the price, a
     * queue is full, or the expected wait exceeds its budget.
     */
    private void enqueue(Task task) {
      task.keyed = false;
      task.wantedSince = now;
      task.waitUntil = now + task.budget();
      int depth = task.tenant == null ? 0 : task.tenant.waiters.size();
      boolean cheap = task.forwards == 0 && task.worth() < task.row.market.price;
      boolean full = !fits(task);
      if (cheap && (full || !task.row.market.pooled)
          || full
              && (task.tenant == null
                  || waiting >= DEPTH_IN_ALL
                  || depth >= DEPTH_PER_TENANT
                  || expectedWait(task) > task.budget())) {
        refuse(task);
      } else if (task.tenant == null) {
        route(task); // a task of no tenant is sent at once or rejected
      } else {
        queue(task);
      }
    }

    private void queue(Task task) {
      task.tenant.waiters.add(position(task.tenant.waiters, task), task);
      task.queued = true;
      waiting++;
    }

    private void unqueue(Task task) {
      waiting -= task.queued && task.tenant.waiters.remove(task) ? 1 : 0;
      task.queued = false;
    }

    private int position(ArrayList<Task> waiters, Task task) {
      return (int) waiters.stream().filter(waiter -> waiter.cutOffAt <= task.cutOffAt).count();
    }

    /**
     * Returns the expected time in the queue: the send interval times the number of tasks ahead,
     * plus the shortest remaining mean run time of any open forward on an engine of the pool.
     */
    private double expectedWait(Task task) {
      double weights = 0;
      for (Tenant<Task> tenant : tenants.values()) {
        weights += tenant.waiters.isEmpty() && tenant != task.tenant ? 0 : tenant.weight;
      }
      double ahead = position(task.tenant.waiters, task) * weights / task.tenant.weight;
      double least =
          engines.values().stream()
              .filter(engine -> engine.ready && engine.serves.contains(task.row.market))
              .mapToDouble(Engine::leastRemaining)
              .min()
              .orElse(Double.MAX_VALUE);
      return Math.min(waiting, ahead) * spacing + (least == Double.MAX_VALUE ? 0 : least);
    }

    private boolean fits(Task task) {
      Market market = task.row.market;
      return (!market.pooled || market.fits(task.grade, market.able))
          && engines.values().stream().anyMatch(engine -> engine.fits(task));
    }

    /**
     * Dispatches one task, by smooth weighted round-robin over the tenants that have a task which
     * can be sent.
     */
    private void turn() {
      rows.values().forEach(row -> row.noRoom = false);
      Task chosen = null;
      Tenant<Task> best = null;
      double total = 0;
      for (Tenant<Task> tenant : tenants.values()) {
        Task next = next(tenant.waiters);
        tenant.current += next != null ? tenant.weight : 0;
        total += next != null ? tenant.weight : 0;
        if (next != null && (best == null || tenant.current > best.current)) {
          best = tenant;
          chosen = next;
        }
      }
      if (best != null) {
        best.current -= total;
        unqueue(chosen);
        route(chosen);
      }
    }

    private void route(Task task) {
      Engine engine = draw(task);
      engine.put(() -> engine.send(task));
    }

    /**
     * Recomputes the figures of the whole fleet; called by each sweep and whenever an engine is
     * listed, suspected or cleared.
     */
    private void survey() {
      mostSuspect =
          engines.values().stream()
                  .filter(engine -> engine.ready)
                  .mapToDouble(engine -> engine.suspect ? engine.cores : -engine.cores)
                  .sum()
              > 0;
      markets.values().forEach(Market::survey);
    }

    /**
     * Returns the queued task with the earliest deadline that can be sent, or null. A task that can
     * be sent to no engine does not block those behind it.
     */
    private Task next(ArrayList<Task> waiters) {
      for (int i = 0; i < waiters.size(); i++) {
        Task task = waiters.get(i);
        boolean plain = task.forwards == 0 && task.line == null;
        // Where a plain task of the class cannot be sent, no other task of the class can.
        if (!task.row.noRoom) {
          if (fits(task)) {
            return task;
          }
          task.row.noRoom |= plain;
        }
      }
      return null;
    }

    private void sent(Task task) {
      double wait = Math.min(now - lastGrant, 1000 * MS);
      spacing = waiting > 0 || now > task.wantedSince ? mean(spacing, wait, LEARN) : spacing;
      lastGrant = now;
      if (task.tenant != null) {
        // The remaining queued tasks have not been considered yet.
        turn();
      }
    }

    /** Returns a task that no longer fits its engine to the queue, within its remaining budget. */
    private void back(Task task) {
      if (task.over) {
        return;
      }
      if (now >= task.waitUntil || task.tenant == null) {
        refuse(task);
      } else {
        queue(task);
      }
    }

    /** Gives a task up; with an open forward it only stops waiting for another one. */
    private void refuse(Task task) {
      unqueue(task);
      if (task.out.isEmpty()) {
        answer(task);
      }
    }

    /** Rule 1: gives the one final answer of a task without a result. */
    private void answer(Task task) {
      if (task.mayBounce()) {
        act.bounce(
            task.id,
            levers.comeBack()
                ? Math.min(levers.longestComeBack(), (long) (waiting * spacing) + PATIENCE)
                : 0);
      } else {
        act.abort(task.id);
      }
      finish(task);
    }

    /** Ends a task: cancels its open forwards, which stay with their engines until they end. */
    private void finish(Task task) {
      unqueue(task);
      task.over = true;
      tasks.remove(task.id);
      task.out.forEach(this::cancel);
      if (task.line != null) {
        task.line.line.remove(task);
        release(task.line);
      }
    }

    private void cancel(Forward forward) {
      if (levers.cancel() && (forward.task.cancelled & 1L << forward.index) == 0) {
        forward.task.cancelled |= 1L << forward.index;
        act.cancel(forward.task.id, forward.index);
      }
    }

    /**
     * Rule 5: enqueues the next task of a key once the one before has ended and the key's cooldown
     * is over.
     */
    private void release(KeyLine<Task> line) {
      Task head = line.line.peek();
      if (open(line) && head == null) {
        lines.remove(line.key);
      } else if (open(line) && head.keyed) {
        enqueue(head);
      }
    }

    private void ended(Forward forward, Outcome outcome, boolean over) {
      Task task = forward.task;
      task.out.remove(forward);
      if (!UNRUN.contains(outcome) && (task.ran == null || forward.index < task.ran.index)) {
        task.ran = forward;
      }
      if (task.line != null) {
        task.line.out--;
        if (outcome == Outcome.TIME_OUT
            || outcome == Outcome.RESET
            || outcome == Outcome.CANCELLED) {
          // One sweep is added because the end on the engine and this event may cross.
          task.line.restsUntil = now + set.keyRest() + LONGEST_SWEEP;
        }
      }
      if (!task.over && (over || outcome == Outcome.OK)) {
        finish(task);
      } else if (!task.over && task.out.isEmpty() && !task.queued) {
        again(task);
      } else if (task.over && task.line != null) {
        release(task.line);
      }
    }

    /** All forwards failed: enqueues the task again where the rules allow, or else answers it. */
    private void again(Task task) {
      boolean left = task.forwards < levers.mostForwards() && !task.outOfTime();
      boolean may = left && (task.ran == null || task.grade.repeat() != Grade.Repeat.ONE_SHOT);
      if (may) {
        enqueue(task);
      } else {
        answer(task);
      }
    }

    /**
     * Cancels a stalled forward, or sends a second one, where the query class, the rules and the
     * capabilities allow.
     */
    private void rescue(Forward forward) {
      Task task = forward.task;
      if (task.over
          || task.queued
          || task.grade.repeat() == Grade.Repeat.ONE_SHOT
          || !rationAllows()
          || task.forwards >= levers.mostForwards()
          || task.cutOffAt - now < 2 * task.alone()) {
        return;
      }
      if (!levers.secondCopies()) {
        cancel(forward);
      } else if (task.out.size() < 2) {
        enqueue(task);
      }
    }

    /** Rule 7: tells whether one more retry is within the retry budget. */
    boolean rationAllows() {
      Settings.RationRule rule = set.ration();
      return rule == null || further.count() + 1 <= rule.spare() + rule.share() * taken.count();
    }

    /**
     * Updates the price of engine work in each pool. While tasks wait, tasks whose value is below
     * the price are rejected early, so that expensive ones do not take all capacity.
     */
    private void reprice() {
      double usual = Math.exp(worthMean);
      double fall = Math.pow(PRICE_FALL, (now - sweptAt) / (double) SWEEP);
      sweptAt = now;
      for (Market market : markets.values()) {
        // The largest fraction of a queue wait budget that any queued task has used.
        double spent =
            tenants.values().stream()
                .flatMap(tenant -> tenant.waiters.stream())
                .filter(task -> task.row.market == market)
                .mapToDouble(Task::spent)
                .max()
                .orElse(0);
        double wanted = spent > 0 ? usual * Math.pow(LEAST_PRICE, 1 - spent) : 0;
        market.price = Math.max(wanted, market.price * fall);
        market.price = market.price < usual * LEAST_PRICE ? 0 : market.price;
      }
    }

    private void sweep() {
      engines.values().removeIf(one -> one.gone && one.out.isEmpty() && now >= one.keptUntil);
      survey();
      markets.values().forEach(Market::refill);
      reprice();
      long window = set.ration() == null ? 0 : set.ration().window();
      // Tasks are removed early rather than late, so that the budget is never overestimated.
      taken.forget(now - window + 2 * LONGEST_SWEEP + 1);
      further.forget(now - window);
      tenants.values().stream()
          .flatMap(tenant -> tenant.waiters.stream())
          .filter(task -> now >= task.waitUntil)
          .toList()
          .forEach(this::refuse);
      for (KeyLine<Task> line : new ArrayList<>(lines.values())) {
        for (Task task : new ArrayList<>(line.line)) {
          double needed = Math.max(ANSWER_MARGIN, task.usualRun());
          if (task.keyed && task.cutOffAt - now <= needed) {
            answer(task);
          }
        }
        release(line);
      }
      if (stopAt < Long.MAX_VALUE) {
        new ArrayList<>(tasks.values())
            .stream()
                .filter(
                    task -> !task.over && (now >= stopAt || task.out.isEmpty() && task.outOfTime()))
                .forEach(this::answer);
      }
    }
  }

  /**
   * Picks one of the engines that can take the task, at random and weighted against their load; an
   * engine without a fresh report counts as average.
   */
  private Engine draw(Task task) {
    double average =
        engines.values().stream()
            .filter(engine -> engine.ready && engine.heard())
            .mapToDouble(engine -> engine.load(1))
            .average()
            .orElse(1);
    List<Engine> fitting = engines.values().stream().filter(engine -> engine.fits(task)).toList();
    double[] weights =
        fitting.stream().mapToDouble(engine -> engine.weight(task, average)).toArray();
    return fitting.get(pick(weights, chance.nextDouble()));
  }

  /** Returns the fraction of its capacity that an engine started at that time has by now. */
  private double warmth(long start) {
    Settings.ColdRule rule = set.cold();
    if (rule == null || start <= 0 || now - start >= rule.warmAfter()) {
      return 1;
    }
    double age = Math.max(0, now - start) / (double) rule.warmAfter();
    return rule.startCapacity() + (1 - rule.startCapacity()) * age;
  }

  // ---- Engines: state, concurrency limit and health; every task is sent from here ----

  private final class Engine extends Loop.Part {
    final String id;
    EngineEntry entry; // as last listed
    boolean ready;
    boolean gone; // no longer listed or used; it is removed once its forwards have ended
    long keptUntil; // the work sent to it while cold counts for a whole window
    final List<Market> serves = new ArrayList<>(2);
    boolean standsIn; // a substitute for others of the subset; it is not used while cold
    int level; // one in 2^level managers uses the engine
    double cores = 1;
    double totalMemory;
    final ArrayList<Forward> out = new ArrayList<>();
    double granted; // memory granted to this manager's tasks there
    final Room room = new Room();
    double pace; // mean ln of its slowdown relative to the fleet
    long pacedAt = now;
    double ours; // moving average of this manager's part of the engine's tasks
    LoadReport report;
    long reportAt;
    int threadsSince;
    double othersHeld; // the tasks in the last report, less this manager's at the time
    double othersMemory; // the memory in the last report, less this manager's at the time
    long probeAt;
    int probesFailed;
    long sweptAt;
    long signAt; // the last sign of life, or the first send to the idle engine since then
    double owed; // the number of signs of life expected since then by usual run times
    double gap = FIRST_GAP; // mean of that number at the time of a sign
    double gapSpread = FIRST_GAP; // mean deviation of that number
    double failing; // moving average of the fraction of failed answers
    boolean unreached; // at the last attempt; excludes the engine even if most are suspected
    long unreachedAt;
    boolean suspect;
    long trialAt;
    long trialGap;
    long ticketUntil; // the end of the window for which the random number below holds
    double ticketDrawn; // a random number that decides on a permit beyond the even share
    final Recent coldSends = new Recent(); // work sent while cold, in nanoseconds
    final LinkedHashSet<Long> warm = new LinkedHashSet<>(); // data sets last read, oldest first

    Engine(String id) {
      super(loop);
      this.id = id;
      probeAt = now + (long) (chance.nextDouble() * gate.probeEvery());
    }

    private void tell(EngineEntry told) {
      put(() -> listed(told));
    }

    private void listed(EngineEntry told) {
      // Posted after each entry: one message for a whole list would precede some of its entries.
      gate.put(gate::survey);
      boolean used = told != null && subset.uses(told);
      ready = used && told.state() == EngineEntry.State.READY;
      boolean leaves = told != null && !used && !gone && set.cold() != null;
      keptUntil = leaves ? now + set.cold().window() : keptUntil;
      gone = !used || told.state() == EngineEntry.State.GONE;
      serves.clear();
      if (told == null) {
        return;
      }
      // A sweep may have removed the engine since the event arrived.
      engines.putIfAbsent(id, this);
      markets.values().stream().filter(market -> market.group.uses(told)).forEach(serves::add);
      standsIn = subset.standsIn(told);
      level = subset.level(told);
      boolean fresh = entry == null || told.startedAt() > entry.startedAt();
      entry = told;
      Settings.Kind figures = set.kinds().get(told.kind());
      cores = figures != null && figures.cores() > 0 ? figures.cores() : Math.max(1, told.size());
      totalMemory = figures == null ? 0 : figures.memoryMb();
      if (fresh) {
        // A new process: nothing learned about the old one applies.
        warm.clear();
        suspect = unreached = false;
        report = null;
        pace = room.strain = failing = 0;
        room.pressedUntil = unreachedAt = probesFailed = 0;
        room.bound = cores * THREADS_PER_CORE * share();
      }
    }

    // -- Eligibility --

    boolean usable() {
      return ready && !unreached && (!suspect || gate.mostSuspect);
    }

    boolean healthy() {
      return ready && !unreached && !suspect && warmth() >= 1;
    }

    private double warmth() {
      return Decide.this.warmth(coldSince());
    }

    /**
     * Rule 4: tells whether the task is within this manager's even share of what a cold engine may
     * get, or, where the share is too small for it, whether a random cold-start permit admits it.
     */
    private boolean coldAllows(Task task) {
      if (warmth() >= 1 || standsIn) {
        return warmth() >= 1;
      }
      coldSends.forget(now - set.cold().window());
      double sent = coldSends.sum();
      return sent + task.cost <= evenPart() || sent == 0 && ticket(task) > 0;
    }

    /**
     * Returns the work that this manager may always send. Where the share is less than a usual
     * task, half of it is left to cold-start permits.
     */
    private double evenPart() {
      double part = coldBudget() / coldUsers();
      return gate.meanCost > part ? part / 2 : part;
    }

    private double users() {
      return siblings / (double) (1 << level);
    }

    /**
     * Returns an upper bound on the managers that use the engine, as their number varies by chance,
     * with outdated lists, and with indexes that are unknown or held by two managers.
     */
    double coldUsers() {
      return Math.min(siblings, users() + COLD_DEVIATIONS * Math.sqrt(users()));
    }

    /**
     * Returns when the engine started; an unreachable one counts as restarted, as lists arrive
     * late.
     */
    private long coldSince() {
      return Math.max(entry.startedAt(), unreachedAt);
    }

    /**
     * Returns the work that all managers together may send to the cold engine within a window. It
     * grows over the first window where the engine is older than this process, because an earlier
     * process of this manager may have sent tasks to it.
     */
    private double coldBudget() {
      long window = set.cold().window();
      double known = coldSince() >= bornAt ? 1 : Math.min(1, (now - bornAt) / (double) window);
      return COLD_PART * set.cold().multiple() * warmth() * cores * window * known;
    }

    /**
     * Returns the probability of a cold-start permit for a task that exceeds the even share; 0
     * where the random draw of this window gave none.
     */
    private double ticket(Task task) {
      if (now >= ticketUntil) {
        ticketUntil = now + set.cold().window();
        ticketDrawn = chance.nextDouble();
      }
      // For all managers: what the even shares leave, plus the tolerated excess, and at most what
      // the engine can execute.
      double chances = COLD_CHANCE * (Math.sqrt(coldBudget() * gate.meanCost) + gate.meanCost);
      double all = coldBudget() - evenPart() * coldUsers() + chances;
      double deviations = COLD_DEVIATIONS * Math.sqrt(task.cost) / 2;
      double mean = Math.sqrt(all + deviations * deviations) - deviations;
      double work = Math.min(mean * mean, coldBudget() / set.cold().multiple());
      double part = work / (coldUsers() * task.cost);
      return ticketDrawn < part ? Math.min(1, part) : 0;
    }

    /**
     * Checks every rule on sending. Rule 3 (draining engines) is applied without its grace period,
     * as lists arrive late.
     */
    private boolean rulesAllow(Task task) {
      return ready
          && serves.contains(task.row.market)
          && task.mayRepeatOn(this)
          && coldAllows(task)
          && task.forwards < levers.mostForwards()
          && (task.forwards == 0 || gate.rationAllows())
          && (task.line == null
              || task.line.line.peek() == task && (task.forwards > 0 || gate.open(task.line)));
    }

    /** Tells whether rules, health and free capacity permit sending the task here. */
    boolean fits(Task task) {
      if (!rulesAllow(task) || !task.out.isEmpty() && task.out.get(0).engine == this) {
        return false;
      }
      return !usable() ? now >= trialAt && task.harmless() : threadsFit(task) && memoryFits(task);
    }

    /**
     * Returns this manager's part of the engine: an even one, or more where its tasks are seen to
     * make up more of the load.
     */
    private double share() {
      return Math.max(1 / users(), ours);
    }

    /**
     * Checks the engine's concurrency limit, or the pool's where this manager's part of an engine is
     * less than one thread.
     */
    private boolean threadsFit(Task task) {
      Market market = task.row.market;
      return market.pooled
          ? now >= room.pressedUntil && market.fits(task.grade, market.able)
          : room.fits(task.grade, cores * share() * warmth());
    }

    /** Adds the threads and memory of a task; negative values remove them. */
    private void count(int threads, double memory) {
      room.threads += threads;
      granted += memory;
      for (Market market : markets.values()) {
        // Tasks on an unusable engine take no capacity of the pool.
        boolean counts = usable() && serves.contains(market);
        market.threads += counts ? threads : 0;
        market.granted += counts ? memory : 0;
      }
    }

    /**
     * Checks the memory limit. It always applies: beyond it an engine spills, waits or pages, and
     * its reports come too late.
     */
    private boolean memoryFits(Task task) {
      Market market = task.row.market;
      boolean told = heard() && !Double.isNaN(report.memoryGranted()) && !market.pooled;
      double wanted = grant(task);
      double most = told ? totalMemory - othersMemory : totalMemory * share();
      if (totalMemory <= 0 || granted + wanted <= most) {
        return true;
      }
      boolean let = market.granted + wanted <= market.memory || wanted < SMALL * market.memory;
      return out.isEmpty() && (!told && let || market.threads == 0);
    }

    /** Returns the memory to grant, or, where engines ignore grants, the memory it will use. */
    private double grant(Task task) {
      double memory = task.offer.memoryMb() * (task.row.memoryBias + task.row.memoryScatter);
      double most =
          levers.grantCap() > 0 && totalMemory > 0 ? levers.grantCap() * totalMemory : memory;
      return Math.min(memory, most);
    }

    /**
     * Returns the priority. It is higher for tasks that earn much for their work, and for bulk
     * loads, as other tasks wait for the data sets that they hold.
     */
    private int priority(Task task) {
      double above = task.lnWorth - gate.worthMean;
      int usual = 3 - (int) clamp(Math.ceil((PRIORITY_TOP - above) / PRIORITY_STEP), 0, 3);
      return task.grade.load() ? Math.max(2, usual) : usual;
    }

    private void send(Task task) {
      if (task.over) {
        // The client left, or the task was answered, after it had been dispatched.
        return;
      }
      if (!fits(task)) {
        gate.put(() -> gate.back(task));
        return;
      }
      double memory = grant(task);
      if (levers.grants() || levers.priorities()) {
        act.provide(
            task.id,
            levers.grants() ? (long) Math.ceil(memory) : 0,
            levers.priorities() ? priority(task) : 1);
      }
      act.forward(task.id, id, 0);
      boolean read = warm.remove(task.offer.dataSet());
      Forward forward = new Forward(task, this, task.forwards, now, memory, read);
      owed = out.isEmpty() ? 0 : owed;
      signAt = out.isEmpty() ? now : signAt;
      sweptAt = out.isEmpty() ? now : sweptAt;
      out.add(forward);
      // Recorded here and not by a message: its end, or the next task of its key, may be in the
      // same batch and must find the forward open.
      task.out.add(forward);
      if (task.line != null) {
        task.line.out++;
      }
      if (task.forwards++ > 0) {
        gate.further.add(now, 1);
      }
      count(task.grade.threads(), memory);
      threadsSince += task.grade.threads();
      if (warmth() < 1) {
        coldSends.add(now, (long) task.cost);
      }
      warm.add(task.offer.dataSet());
      if (warm.size() > WARM_SETS) {
        warm.remove(warm.iterator().next());
      }
      // Both values are read only while the engine is suspected.
      trialGap = Math.min(LONGEST_TRIAL_GAP, trialGap * 2);
      trialAt = now + trialGap;
      gate.put(() -> gate.sent(task));
    }

    // -- Outcomes and reports --

    private void ended(
        Forward forward,
        Outcome outcome,
        boolean over,
        long cost,
        double memoryMb,
        LoadReport told) {
      out.remove(forward);
      count(-forward.task.grade.threads(), -forward.memoryMb);
      hear(told);
      if (outcome == Outcome.OK) {
        failing = mean(failing, 0, 4 * LEARN);
        sign();
        handled(forward, cost, memoryMb);
        forward.task.failedOn.forEach(engine -> engine.put(engine::failed));
      } else if (outcome == Outcome.ERROR && forward.task.harmless()) {
        // The task itself may be faulty and fail on every engine.
        forward.task.failedOn.add(this);
      } else if (outcome == Outcome.ERROR
          || outcome == Outcome.UNREACHED
          || outcome == Outcome.RESET) {
        unreached |= outcome == Outcome.UNREACHED;
        unreachedAt = outcome == Outcome.UNREACHED ? now : unreachedAt;
        if (unreached) {
          suspect("unreachable");
        }
        failed();
      } else if (outcome == Outcome.FULL || outcome == Outcome.TIME_OUT) {
        room.refused();
        forward.task.row.market.refused();
      }
      gate.put(() -> gate.ended(forward, outcome, over));
    }

    /** Counts a failed answer; an engine that fails fast looks idle and would attract more tasks. */
    private void failed() {
      failing = mean(failing, 1, 4 * LEARN);
      if (!suspect && failing > failingLimit()) {
        suspect("its answers fail");
      }
    }

    private void handled(Forward forward, long toldCost, double toldMemory) {
      Task task = forward.task;
      Row row = task.row;
      if (toldCost > 0) {
        row.costBias =
            clamp(mean(row.costBias, toldCost * row.costBias / task.cost, LEARN), 0.2, 5);
      }
      if (toldMemory > 0 && task.offer.memoryMb() > 0) {
        double told = toldMemory / task.offer.memoryMb();
        double off = Math.abs(told - row.memoryBias);
        row.memoryScatter = mean(row.memoryScatter, GRANT_SPREAD * off, LEARN);
        row.memoryBias = clamp(mean(row.memoryBias, told, LEARN), 0.2, 5);
      }
      long run = Math.max(MS, now - forward.at);
      double alone =
          toldCost > 0 ? Math.max(toldCost / task.grade.threads(), 5 * MS) : task.alone();
      double ratio = Math.log(run / alone);
      row.meanRun = mean(row.meanRun, run, LEARN);
      row.usual = mean(row.usual, ratio, LEARN);
      row.best = Double.isNaN(row.best) ? row.usual : Math.min(row.best, row.usual);
      double above = ratio - Math.max(0, row.best);
      gate.warm = mean(gate.warm, ratio - row.usual, forward.warm ? LEARN / 5 : 0);
      gate.cold = mean(gate.cold, ratio - row.usual, forward.warm ? 0 : LEARN / 5);
      paced(task, ratio);
      boolean busy = heard() && report.coresBusy() >= BUSY;
      room.answered(task.grade, above, busy, cores * MOST_THREADS_PER_CORE);
      row.market.answered(task.grade, above, busy, row.market.able * MOST_THREADS_PER_CORE);
    }

    /** Updates the slowdown relative to the fleet; a sample counts more where they are rare. */
    private void paced(Task task, double ratio) {
      double weight = clamp((now - pacedAt) / (double) PACE_LASTS, 2 * LEARN, 0.5);
      pace = Double.isNaN(task.row.usual) ? pace : mean(pace, ratio - task.row.usual, weight);
      pacedAt = now;
    }

    private boolean heard() {
      return report != null && now - reportAt <= REPORT_LASTS;
    }

    private void hear(LoadReport told) {
      if (told == null) {
        return;
      }
      gate.reports |= !Double.isNaN(told.coresBusy()) || !Double.isNaN(told.held());
      report = told;
      reportAt = now;
      threadsSince = 0;
      othersHeld = Math.max(0, told.held() - out.size());
      othersMemory = Math.max(0, told.memoryGranted() * totalMemory - granted);
      if (told.coresBusy() < BUSY && told.held() >= 0) {
        // While cores are idle, whatever others do not use is available to this manager.
        double free = 1 - othersHeld / (cores * warmth() * THREADS_PER_CORE);
        ours = mean(ours, Math.max(0, free), 2 * LEARN);
      } else if (told.held() >= 4) {
        ours = mean(ours, Math.min(1, out.size() / told.held()), 8 * LEARN);
      }
      if (told.coresBusy() >= CROWDED || told.memoryGranted() >= CROWDED) {
        room.pressedUntil = now + PRESSURE_LASTS;
      }
    }

    private void probed(Outcome outcome, LoadReport told) {
      if (outcome == Outcome.OK) {
        probesFailed = 0;
        hear(told);
      } else if (outcome != Outcome.FULL && ++probesFailed >= 2) {
        suspect("probes unanswered");
      }
    }

    // -- Health: the probability of the present silence, given the earlier ones --

    private void sign() {
      gapSpread = mean(gapSpread, Math.abs(owed - gap), LEARN);
      gap = mean(gap, owed, LEARN);
      owed = 0;
      signAt = now;
      unreached = false;
      trialAt = Math.min(trialAt, now + SHORTEST_SILENCE);
      if (suspect && probesFailed < 2 && failing <= failingLimit()) {
        suspect = false;
        gate.survey();
        act.log("engine " + id + " answers again and receives tasks");
      }
    }

    private void sweep() {
      if (levers.probe() && ready && now >= probeAt && now - signAt >= PROBE_SILENCE) {
        probeAt = now + (probesFailed > 0 ? PROBE_EVERY : gate.probeEvery());
        act.probe(id);
      }
      out.forEach(
          forward -> owed += Math.min(now - sweptAt, now - forward.at) / forward.task.usualRun());
      sweptAt = now;
      long silence = now - signAt;
      double unusual = owed / (Math.max(gap, FIRST_GAP) + gapSpread) / Math.log(10);
      if (!suspect && silence > SHORTEST_SILENCE && unusual > UNUSUAL) {
        suspect("silent for " + silence / MS + " ms");
      }
      if (suspect && !gate.mostSuspect) {
        out.stream()
            .filter(forward -> now - forward.at > SHORTEST_SILENCE)
            .forEach(forward -> gate.put(() -> gate.rescue(forward)));
      }
    }

    /**
     * Returns the limit relative to the fleet's mean: where all engines fail alike, excluding one of
     * them does not help.
     */
    private double failingLimit() {
      return FAILING
          + engines.values().stream()
              .filter(engine -> engine.ready && engine != this)
              .mapToDouble(engine -> engine.failing)
              .average()
              .orElse(0);
    }

    private void suspect(String why) {
      if (suspect) {
        return;
      }
      suspect = true;
      gate.survey();
      trialGap = FIRST_TRIAL;
      trialAt = now + trialGap;
      act.log("engine " + id + " suspected: " + why + "; it receives trial tasks only");
    }

    // -- Figures for the choice of an engine --

    /** Returns the time until the first open forward should end, by the mean run of its class. */
    double leastRemaining() {
      return out.stream()
          .mapToDouble(
              forward ->
                  Math.max(
                      0,
                      forward.at
                          - now
                          + (Double.isNaN(forward.task.row.meanRun)
                              ? 0
                              : forward.task.row.meanRun)))
          .min()
          .orElse(Double.MAX_VALUE);
    }

    /**
     * Returns the load per core: the reported utilization and tasks, or else this manager's threads;
     * plus the threads sent since the report.
     */
    double load(double average) {
      double able = cores * warmth();
      if (!gate.reports || !heard()) {
        return (gate.reports ? average : 0) + room.threads / (able * share());
      }
      double held = (othersHeld + room.threads) / able;
      return Double.isNaN(report.coresBusy())
          ? Double.isNaN(held) ? average : held
          : report.coresBusy() + (Double.isNaN(held) ? 0 : held) + threadsSince / able;
    }

    /** Returns the weight of this engine in the random choice for the task. */
    double weight(Task task, double average) {
      double trust = heard() ? Math.exp((reportAt - now) * (1 / share() - 1) / REPORT_FADES) : 1;
      double load = IDLE + average + (load(average) - average) * trust;
      double weight = cores * warmth() / (load * load * load) / Math.exp(2 * pace);
      boolean read = warm.contains(task.offer.dataSet());
      weight *= read ? Math.exp(WARM * clamp(gate.cold - gate.warm, 0, 0.5)) : 1;
      if (warmth() < 1 && task.cost > evenPart()) {
        // Compensates for the permit: the engine is chosen as often as if none were needed.
        weight /= Math.max(ticket(task), 1e-9);
      }
      weight *= levers.placesPriced() && !entry.place().equals(set.place()) ? FAR : 1;
      boolean stands = task.grade.load() || task.grade.waitsForLoads();
      boolean held =
          stands
              && out.stream()
                  .anyMatch(
                      forward ->
                          forward.task.grade.load()
                              && forward.task.offer.dataSet() == task.offer.dataSet());
      weight *= held ? HELD : 1;
      return weight;
    }
  }
}

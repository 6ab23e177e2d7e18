package tansytrack;

// Every decision of a workload manager. One instance a manager: new Decide(settings, actions); then
// any calls
// that tell it something, which only put notes into inboxes; then decide(now), which empties them
// and acts.
// The interface is tansytrack.api: Decisions (in), Actions (out), Settings (at first). Why:
// docs/design.md

import static tansytrack.parts.Num.*;

import java.util.*;
import java.util.stream.Stream;
import tansytrack.api.*;
import tansytrack.parts.*;
import tansytrack.policy.EngineSubset;

public final class Decide implements Decisions {

  private static final long MS = 1_000_000L;
  private static final Set<Outcome> UNRUN =
      EnumSet.of(Outcome.FULL, Outcome.UNREACHED, Outcome.NEVER_SENT);
  private static final double LEARN = 0.05; // weight of one new sample in a running mean
  private static final long SWEEP = 25 * MS; // how often waiters and engines are seen to
  private static final long LONGEST_SWEEP = 50 * MS; // where tasks are rare; under the margin below
  private static final long ANSWER_MARGIN =
      60 * MS; // a task is answered so long before its cut-off

  // The queues: the source's bounds, its longest wait, and the design's part of the client's time
  // left.
  private static final int DEPTH_PER_TENANT = 32;
  private static final int DEPTH_IN_ALL = 4096;
  private static final long LONGEST_WAIT = 5000 * MS;
  private static final int WAIT_PART = 5;

  // The price of engine work while tasks wait: after how long a wait, and how it falls.
  private static final long PATIENCE = 150 * MS;
  private static final double PRICE_FALL = 0.96; // a sweep
  private static final double LEAST_PRICE = 0.02; // of the usual worth
  private static final double GRADE_PART = 0.8; // of what sets a grade's worth apart: left out

  // The room: the design's bound, what counts as busy and slow, and how long one sign of pressure
  // lasts.
  private static final double THREADS_PER_CORE = 2;
  private static final double MOST_THREADS_PER_CORE = 4;
  private static final double BUSY = 0.8;
  private static final double CROWDED = 0.95;
  private static final double WELL_ABOVE_BEST = Math.log(2);
  private static final double SLOW_ANSWER = Math.log(5);
  private static final long PRESSURE_LASTS = 1000 * MS;
  private static final double COLD_PART = 0.9; // of the cold budget: the rest is for misjudgement
  private static final double COLD_DEVIATIONS = 4; // kept clear of it where chance decides
  private static final double COLD_CHANCE = 2; // the rule's room for chance, in roots and in tasks
  private static final double SMALL = 0.25; // of our part of a market's memory: always let in
  private static final double PRIORITY_TOP = -0.7; // ln of worth over the mean: the top priority
  private static final double PRIORITY_STEP = 1.1; // and for each one under it
  private static final double GRANT_SPREAD = 2; // times the mean deviation of what was needed
  private static final double GRANT_MARGIN = 0.25; // over the estimate, until its scatter is told

  // Health and reports.
  private static final double UNUSUAL = 4; // -log10 of the chance of a silence: suspected
  private static final long SHORTEST_SILENCE = 400 * MS;
  private static final double FIRST_GAP = 1; // signs owed between two signs, until learned
  private static final double HOPELESS = 3; // usual runs still to go: better taken elsewhere
  private static final long FIRST_TRIAL = 1000 * MS;
  private static final long LONGEST_TRIAL_GAP = 4000 * MS;
  private static final double FAILING = 0.3; // part of failed answers that is suspected
  private static final long PROBE_SILENCE = 1000 * MS; // what our own answers tell of is not probed
  private static final long PROBE_EVERY = 400 * MS;
  private static final double REPORT_FADES =
      8000 * MS; // into the average, as others send there too
  private static final long REPORT_LASTS = 3000 * MS;
  private static final long PACE_LASTS =
      8000 * MS; // after which an engine's pace is half forgotten

  // The draw.
  private static final double IDLE = 0.15; // load a core of an engine that does nothing
  private static final int WARM_SETS = 4;
  private static final double WARM = 6; // for how much faster warm data sets are seen to be
  private static final double HELD = 0.02; // of one where a load of ours holds it
  private static final double FAR = 0.5; // of one in another place, where crossing costs

  private final Settings set;
  private final Settings.Levers levers;
  private final Actions act;
  private final SplittableRandom chance;
  private final Loop loop = new Loop();
  private final EngineList listed = new EngineList();
  private final EngineSubset subset;
  private final Map<String, Engine> engines = new TreeMap<>(); // used, or with forwards still out
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Map<String, Row> rows = new TreeMap<>();
  private final Map<String, Market> markets = new TreeMap<>();
  private final Map<String, Tenant<Task>> tenants = new TreeMap<>();
  private final Gate gate = new Gate();
  private long now;
  private long bornAt = -1; // when it was first told of engines
  private int siblings; // managers that share the engines
  private boolean shut; // nothing new is let in: it could not be kept

  public Decide(Settings settings, Actions actions) {
    set = settings;
    levers = settings.levers();
    siblings = settings.siblings();
    subset = new EngineSubset(settings, listed);
    act = actions;
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
      tenants.put("", new Tenant<>(1));
    } // none is told apart: all are one
    actions.wake(SWEEP, "sweep");
  }

  // ---- The door: ids become objects, and everything heard becomes a note ----

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
      engines(at, false, List.of());
    } // fewer or more of those listed may be used
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
        // Stuck behind a load, for memory or in a jam. Where it can't be taken back, leave the
        // crowd.
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

  /** All news first, so that no turn goes to a task whose end is in this batch; then the turns. */
  public void decide(long at) {
    now = at;
    loop.empty();
    gate.put(gate::turn);
    loop.empty();
  }

  // ---- The grade table, tasks, forwards ----

  /** The room: a bound on our threads, of one engine or of a market. */
  private class Room {
    double bound;
    int threads; // of our tasks there
    double strain; // ln of how much slower than the best seen
    long halvedAt;
    long pressedUntil;

    /**
     * Binds only under pressure; our threads up to the first bound are that too. Slow answers are
     * none while cores of our part idle: under a price tasks guessed too low got in, and it never
     * grew again.
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

  /** Engines that grades are bound to, the price of work there, and the room of them all. */
  private final class Market extends Room {
    final EngineSubset.Group group;
    double able; // cores, our part of them
    double memory; // likewise
    double granted; // of that, to our tasks
    boolean pooled; // our part of an engine holds no thread, on average
    double price; // of engine work, in earnings; 0 unless tasks wait

    Market(Grade grade) {
      group =
          subset.group(
              entry -> // rule 6: placement
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

  /** What differs by service grade. */
  private static final class Row {
    final Grade grade;
    final Market market;
    double costBias = 1; // told cost over estimated cost
    double memoryBias = 1; // told memory over estimated memory, and its scatter
    double memoryScatter = GRANT_MARGIN;
    double meanCost = Double.NaN; // of the tasks taken, in nanoseconds of work
    double meanRun = Double.NaN; // of the handled, in nanoseconds
    double usual = Double.NaN; // ln of run time over undisturbed run time, on all engines
    double best = Double.NaN; // the lowest that usual has been
    double worthMean = Double.NaN; // ln of the earnings for the work of its tasks
    boolean noRoom; // at this turn

    Row(Grade grade, Market market) {
      this.grade = grade;
      this.market = market;
    }
  }

  private final class Task {
    final String id;
    final Row row;
    final Grade grade;
    final Tenant<Task> tenant; // null: unknown, never held
    final Long key; // null: none
    KeyLine<Task> line; // where its grade keeps order
    final long cutOffAt;
    final double cost; // nanoseconds of work
    final double lnWorth; // earnings for its work
    final TaskOffer offer;
    boolean keyed; // waits for its key
    boolean queued; // waits for room
    boolean over;
    long wantedSince;
    long waitUntil; // end of the budget in the queue
    int forwards; // sent so far
    final List<Forward> out = new ArrayList<>(2);
    final List<Engine> failedOn = new ArrayList<>(2); // held against them once it is handled
    Forward ran; // the first that may have run
    long cancelled; // a bit a forward

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

    /** Run time on an engine that does nothing else. */
    double alone() {
      return Math.max(cost / grade.threads(), 5 * MS);
    }

    /** And as the fleet runs now. */
    double usualRun() {
      return alone() * (Double.isNaN(row.usual) ? 2 : Math.exp(row.usual));
    }

    /**
     * Earnings for its work, most of what sets its grade apart left out: no grade is shed whole.
     */
    double worth() {
      return Math.exp(lnWorth - GRADE_PART * (row.worthMean - gate.worthMean));
    }

    long budget() {
      return Math.min(LONGEST_WAIT, Math.max(0, cutOffAt - now) / WAIT_PART);
    }

    /** The part of its budget that a waiter has used, once it has waited at all long. */
    double spent() {
      long waited = now - wantedSince;
      return waited > PATIENCE ? Math.min(1, waited / (double) (waitUntil - wantedSince)) : 0;
    }

    /** Nothing can come of it: its cut-off is too near, or it would outlast a manager that ends. */
    boolean outOfTime() {
      return cutOffAt - now <= ANSWER_MARGIN || usualRun() > gate.stopAt - now;
    }

    boolean harmless() {
      return grade.repeat() == Grade.Repeat.HARMLESS;
    }

    /** Rule 2: may it go to that engine, given what its earlier forwards may have done? */
    boolean mayRepeatOn(Engine engine) {
      if (!out.isEmpty() && !levers.secondCopies()) {
        return false;
      }
      // The earliest that may have run: a later one may have ended while that one is still out.
      Forward first =
          out.isEmpty() || ran != null && ran.index < out.get(0).index ? ran : out.get(0);
      if (first == null || harmless()) {
        return true;
      }
      // It leaves up to so much later, as the connection for it comes up.
      long since = now - first.at + LONGEST_SWEEP + levers.connectTime();
      return grade.repeat() == Grade.Repeat.STAMPED
          && since < grade.repeatWindow()
          && switch (grade.scope()) {
            case ALL -> true;
            case PLACE -> first.engine.entry.place().equals(engine.entry.place());
            case CELL -> first.engine.entry.cell() == engine.entry.cell();
          };
    }

    /** Rule 2: does a bounce keep its promise that trying again is harmless? */
    boolean mayBounce() {
      return harmless()
          || ran == null && out.isEmpty()
          || grade.repeat() == Grade.Repeat.STAMPED && grade.scope() == Grade.Scope.ALL;
    }
  }

  private record Forward(
      Task task, Engine engine, int index, long at, double memoryMb, boolean warm) {}

  // ---- The gate: tenant queues, turns, final answers ----

  private final class Gate extends Loop.Part {
    final Map<Long, KeyLine<Task>> lines = new TreeMap<>();
    final Recent taken = new Recent(); // times within the ration's window (rule 7)
    final Recent further = new Recent();
    double warm; // mean ln of run time over the usual with a warm data set
    double cold = 0.1; // and without
    boolean reports; // has any engine ever told its load?
    boolean mostSuspect; // of the fleet: then no engine is kept out for it
    int waiting;
    long stopAt = Long.MAX_VALUE; // the manager ends: what is answered later is lost
    long lastGrant;
    long sweptAt = now;
    long lastTaken = now;
    double taskGap = 1000 * MS; // mean time between tasks taken; from rare on
    double spacing = 10 * MS; // mean time between sends, while tasks wait
    double worthMean = Double.NaN; // mean ln of the worth of the tasks taken
    double meanCost = Double.NaN; // of the tasks taken, in nanoseconds of work

    Gate() {
      super(loop);
    }

    /** Rarer where few tasks come: what sweeps cost must not grow with the managers. */
    long nextSweep() {
      return (long) clamp(taskGap / 2, SWEEP, LONGEST_SWEEP);
    }

    /**
     * Guards against probes that cost more than they tell: rarer with fewer tasks and more
     * managers.
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
        // Looked up only now: one named at the door may have been dropped before its task got here.
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
     * Into its tenant's queue; refused at once if it earns little, fits no bound or waits too long.
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
        route(task); // of no tenant: at once or not at all
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
     * The send spacing behind it, plus, with no room, the least remaining mean run time on an
     * engine.
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

    /** One turn: smooth weighted round-robin over the tenants whose next waiter fits some room. */
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
     * The fleet as a whole, at the sweep and whenever an engine is listed, suspected or cleared.
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
     * The waiter with least time left that fits; one that fits nowhere steps aside for those that
     * do.
     */
    private Task next(ArrayList<Task> waiters) {
      for (int i = 0; i < waiters.size(); i++) {
        Task task = waiters.get(i);
        boolean plain = task.forwards == 0 && task.line == null;
        if (!task.row.noRoom) { // no room for a plain one is none for the others
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
        turn();
      } // the others had no turn
    }

    /** The re-check failed: back into the queue, within the budget that it has left. */
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

    /** Gives a task up; one that still has a forward out only stops waiting for a further one. */
    private void refuse(Task task) {
      unqueue(task);
      if (task.out.isEmpty()) {
        answer(task);
      }
    }

    /** Rule 1: the one final answer. */
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

    /** Nothing more is owed or sent; its forwards stay with their engines until they end. */
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
     * Rule 5: the next task of a key is wanted once the one before is over and the key has rested.
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
          task.line.restsUntil = now + set.keyRest() + LONGEST_SWEEP; // news of its end crosses
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

    /** Its forwards all failed: wanted again where the rules leave a way, else answered at once. */
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
     * A forward stuck on its engine: taken back, or doubled, where grade, rules and levers allow.
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

    /** Rule 7: one more further forward within the ration? */
    boolean rationAllows() {
      Settings.RationRule rule = set.ration();
      return rule == null || further.count() + 1 <= rule.spare() + rule.share() * taken.count();
    }

    /**
     * Early refusal by worth: while tasks wait, work has a price, lest heavy ones take all room.
     */
    private void reprice() {
      double usual = Math.exp(worthMean);
      double fall = Math.pow(PRICE_FALL, (now - sweptAt) / (double) SWEEP);
      sweptAt = now;
      for (Market market : markets.values()) {
        // How far through its budget the waiter is that is nearest to its end.
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
      taken.forget(now - window + 2 * LONGEST_SWEEP + 1); // too early rather than too late
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
   * Draws among the engines that fit, weighted against their load; an unheard one counts as
   * average.
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

  /** What an engine started then surely can do by now. */
  private double warmth(long start) {
    Settings.ColdRule rule = set.cold();
    if (rule == null || start <= 0 || now - start >= rule.warmAfter()) {
      return 1;
    }
    double age = Math.max(0, now - start) / (double) rule.warmAfter();
    return rule.startCapacity() + (1 - rule.startCapacity()) * age;
  }

  // ---- Engines: the one record of each, its room, its health, the one place that every send
  // passes ----

  private final class Engine extends Loop.Part {
    final String id;
    EngineEntry entry; // as last listed
    boolean ready;
    boolean gone; // or no longer used; forgotten once its forwards have ended
    long keptUntil; // what it was sent while cold counts for a window
    final List<Market> serves = new ArrayList<>(2); // whose tasks may use it
    boolean standsIn; // for others of the subset: never while it is cold
    int level; // of the managers one in 2 to this power uses it
    double cores = 1;
    double totalMemory;
    final ArrayList<Forward> out = new ArrayList<>();
    double granted; // memory of our tasks there
    final Room room = new Room();
    double pace; // ln of how much slower than the fleet its answers are
    long pacedAt = now;
    double ours; // our part of the tasks that it reports to hold, smoothed
    LoadReport report;
    long reportAt;
    int threadsSince; // sent since that report
    double othersHeld; // tasks that it reported, less ours then
    double othersMemory; // what it reported granted, less what was ours then
    long probeAt;
    int probesFailed;
    long sweptAt;
    long signAt; // last sign of life, or when one was first owed
    double owed; // how many signs usual run times led to expect since then
    double gap = FIRST_GAP; // mean and deviation of what was owed at a sign
    double gapSpread = FIRST_GAP;
    double failing; // part of its answers that fail, the last ones counting most
    boolean unreached; // the last try: then the fleet is no excuse
    long unreachedAt;
    boolean suspect;
    long trialAt;
    long trialGap;
    long ticketUntil; // a cold engine's, for this window
    double ticketDrawn;
    final Recent coldSends = new Recent(); // work
    final LinkedHashSet<Long> warm = new LinkedHashSet<>(); // data sets read last, oldest first

    Engine(String id) {
      super(loop);
      this.id = id;
      probeAt = now + (long) (chance.nextDouble() * gate.probeEvery());
    }

    private void tell(EngineEntry told) {
      put(() -> listed(told));
    }

    private void listed(EngineEntry told) {
      gate.put(gate::survey); // behind each: one a list would come ahead of some
      boolean used = told != null && subset.uses(told);
      ready = used && told.state() == EngineEntry.State.READY;
      boolean leaves = told != null && !used && !gone && set.cold() != null;
      keptUntil = leaves ? now + set.cold().window() : keptUntil;
      gone = !used || told.state() == EngineEntry.State.GONE;
      serves.clear();
      if (told == null) {
        return;
      }
      engines.putIfAbsent(id, this); // a sweep may have forgotten it since it was named at the door
      markets.values().stream().filter(market -> market.group.uses(told)).forEach(serves::add);
      standsIn = subset.standsIn(told);
      level = subset.level(told);
      boolean fresh = entry == null || told.startedAt() > entry.startedAt();
      entry = told;
      Settings.Kind figures = set.kinds().get(told.kind());
      cores = figures != null && figures.cores() > 0 ? figures.cores() : Math.max(1, told.size());
      totalMemory = figures == null ? 0 : figures.memoryMb();
      if (fresh) {
        // A new process: nothing learned of the old one holds.
        warm.clear();
        suspect = unreached = false;
        report = null;
        pace = room.strain = failing = 0;
        room.pressedUntil = unreachedAt = probesFailed = 0;
        room.bound = cores * THREADS_PER_CORE * share();
      }
    }

    // -- May it be sent to? --

    boolean usable() {
      return ready && !unreached && (!suspect || gate.mostSuspect);
    }

    boolean healthy() {
      return ready && !unreached && !suspect && warmth() >= 1;
    }

    private double warmth() {
      return Decide.this.warmth(coldSince());
    }

    /** Rule 4: an even part of what a cold engine may get; where that holds no task, a draw. */
    private boolean coldAllows(Task task) {
      if (warmth() >= 1 || standsIn) {
        return warmth() >= 1;
      }
      coldSends.forget(now - set.cold().window());
      double sent = coldSends.sum();
      return sent + task.cost <= evenPart() || sent == 0 && ticket(task) > 0;
    }

    /** Ours for sure; half is left to tickets where it would not hold a usual task. */
    private double evenPart() {
      double part = coldBudget() / coldUsers();
      return gate.meanCost > part ? part / 2 : part;
    }

    private double users() {
      return siblings / (double) (1 << level);
    }

    /**
     * And those that may use it, by chance, older lists and positions that are unknown or doubled.
     */
    double coldUsers() {
      return Math.min(siblings, users() + COLD_DEVIATIONS * Math.sqrt(users()));
    }

    private long coldSince() {
      return Math.max(entry.startedAt(), unreachedAt);
    } // as lists are late

    /**
     * Grows over a window where the engine is older than we are: our earlier life may have sent.
     */
    private double coldBudget() {
      long window = set.cold().window();
      double known = coldSince() >= bornAt ? 1 : Math.min(1, (now - bornAt) / (double) window);
      return COLD_PART * set.cold().multiple() * warmth() * cores * window * known;
    }

    /** The chance that a task gets in when our part does not hold it; 0 where the draw failed. */
    private double ticket(Task task) {
      if (now >= ticketUntil) {
        ticketUntil = now + set.cold().window();
        ticketDrawn = chance.nextDouble();
      }
      // Of all: what the even parts leave and the rule's room for chance, at most what it can do.
      double chances = COLD_CHANCE * (Math.sqrt(coldBudget() * gate.meanCost) + gate.meanCost);
      double all = coldBudget() - evenPart() * coldUsers() + chances;
      double deviations = COLD_DEVIATIONS * Math.sqrt(task.cost) / 2;
      double mean = Math.sqrt(all + deviations * deviations) - deviations;
      double work = Math.min(mean * mean, coldBudget() / set.cold().multiple());
      double part = work / (coldUsers() * task.cost);
      return ticketDrawn < part ? Math.min(1, part) : 0;
    }

    /**
     * Every rule on sending, in one place; rule 3 (drains) without its grace, as the list is late.
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

    /** Rules, health and room together. */
    boolean fits(Task task) {
      if (!rulesAllow(task) || !task.out.isEmpty() && task.out.get(0).engine == this) {
        return false;
      }
      return !usable() ? now >= trialAt && task.harmless() : threadsFit(task) && memoryFits(task);
    }

    /**
     * This manager's part of the engine: an even one, or more where it is seen to hold mostly ours.
     */
    private double share() {
      return Math.max(1 / users(), ours);
    }

    /**
     * The room in threads: its own, or the market's where our part of an engine holds no thread.
     */
    private boolean threadsFit(Task task) {
      Market market = task.row.market;
      return market.pooled
          ? now >= room.pressedUntil && market.fits(task.grade, market.able)
          : room.fits(task.grade, cores * share() * warmth());
    }

    /** One more of our tasks here, or one less. */
    private void count(int threads, double memory) {
      room.threads += threads;
      granted += memory;
      for (Market market : markets.values()) {
        boolean counts = usable() && serves.contains(market); // what is stuck takes none elsewhere
        market.threads += counts ? threads : 0;
        market.granted += counts ? memory : 0;
      }
    }

    /**
     * The room in memory always binds: past it an engine spills, waits or pages, and tells too
     * late.
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

    /** What a task is to be granted here; where grants are not heeded, what it will take. */
    private double grant(Task task) {
      double memory = task.offer.memoryMb() * (task.row.memoryBias + task.row.memoryScatter);
      double most =
          levers.grantCap() > 0 && totalMemory > 0 ? levers.grantCap() * totalMemory : memory;
      return Math.min(memory, most);
    }

    /**
     * More for tasks that earn much for their work, and for loads, as others wait for what they
     * hold.
     */
    private int priority(Task task) {
      double above = task.lnWorth - gate.worthMean;
      int usual = 3 - (int) clamp(Math.ceil((PRIORITY_TOP - above) / PRIORITY_STEP), 0, 3);
      return task.grade.load() ? Math.max(2, usual) : usual;
    }

    private void send(Task task) {
      if (task.over) {
        return;
      } // its client left, or it was answered, behind its turn
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
      // Not by a note: its end, or the next of its key, may be in the same batch and must find it
      // out.
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
      trialGap = Math.min(LONGEST_TRIAL_GAP, trialGap * 2); // both are read only under suspicion
      trialAt = now + trialGap;
      gate.put(() -> gate.sent(task));
    }

    // -- What it says --

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
        forward.task.failedOn.add(this); // a bad task fails anywhere: no news of this engine yet
      } else if (outcome == Outcome.ERROR
          || outcome == Outcome.UNREACHED
          || outcome == Outcome.RESET) {
        unreached |= outcome == Outcome.UNREACHED;
        unreachedAt = outcome == Outcome.UNREACHED ? now : unreachedAt;
        if (unreached) {
          suspect("unreached");
        }
        failed();
      } else if (outcome == Outcome.FULL || outcome == Outcome.TIME_OUT) {
        room.refused();
        forward.task.row.market.refused();
      }
      gate.put(() -> gate.ended(forward, outcome, over));
    }

    /** An engine that fails fast looks idle, and would draw ever more tasks. */
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

    /** How much slower than the fleet; a sample counts the more the rarer they come. */
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
        // While cores idle, all that others are not seen to hold is free for us.
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

    // -- Health: how unusual is the present silence, given the gaps seen before? --

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
        act.log("engine " + id + " answers again: back in the draw");
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

    /** Against the fleet: where all fail alike, leaving the one that failed last helps nobody. */
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
      act.log("engine " + id + " suspected: " + why + "; no more tasks but trials");
    }

    // -- The draw's figures --

    /** When our first task there should end, by the mean run of its grade. */
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

    /** Load a core: reported use, else tasks held, else our threads; plus our sends since. */
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

    double weight(Task task, double average) {
      double trust = heard() ? Math.exp((reportAt - now) * (1 / share() - 1) / REPORT_FADES) : 1;
      double load = IDLE + average + (load(average) - average) * trust;
      double weight = cores * warmth() / (load * load * load) / Math.exp(2 * pace);
      boolean read = warm.contains(task.offer.dataSet());
      weight *= read ? Math.exp(WARM * clamp(gate.cold - gate.warm, 0, 0.5)) : 1;
      if (warmth() < 1 && task.cost > evenPart()) {
        weight /= Math.max(ticket(task), 1e-9); // as often in all as if it needed no ticket
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

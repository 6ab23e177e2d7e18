package tansytrack;

// Every decision of a workload manager. One instance per manager: new Decide(settings, actions); then any number of
// calls that tell it something, then decide(now), which empties all inboxes and acts. The interface is
// tansytrack.api: Decisions (in), Actions (out), Settings (at the start). The mechanism: docs/design.md.
// From top to bottom: notes, the grade table, tasks, the loop, the gate (queues and turns), engines, the draw.

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import tansytrack.api.Actions;
import tansytrack.api.Decisions;
import tansytrack.api.EngineEntry;
import tansytrack.api.Grade;
import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;
import tansytrack.api.Settings;
import tansytrack.api.TaskOffer;

public final class Decide implements Decisions {

    private static final long MS = 1_000_000L;

    // The queues (the source's bounds, and its wait of 5000 ms).
    private static final int DEPTH_PER_TENANT = 32;
    private static final int DEPTH_IN_ALL = 4096;
    private static final long LONGEST_WAIT = 5000 * MS;
    private static final int WAIT_PART = 5;               // and a fifth of the client's time left
    private static final long SWEEP = 25 * MS;            // how often held tasks and engines are looked at
    private static final long ANSWER_MARGIN = 60 * MS;    // a held task is answered this long before its cut-off

    // The price of work while tasks wait, a sweep at a time.
    private static final long PATIENCE = 150 * MS;
    private static final double PRICE_UP = 0.02;
    private static final double PRICE_DOWN = 0.02;
    private static final double GRADE_PART = 0.5;
    private static final double LEAST_PRICE = 0.02;       // of the usual worth

    // The room.
    private static final double THREADS_PER_CORE = 2;
    private static final double BUSY = 0.8;
    private static final double WELL_ABOVE_BEST = Math.log(2);
    private static final double SLOW_ANSWER = Math.log(5);
    private static final long BUSY_LASTS = 1000 * MS;     // how long one busy report or refusal keeps the bound on

    // Health.
    private static final double UNUSUAL = 8;              // silence this unlikely (minus log10) is suspected
    private static final long SHORTEST_SILENCE = 400 * MS;
    private static final long FIRST_TRIAL = 1000 * MS;
    private static final long LONGEST_TRIAL_GAP = 4000 * MS;
    private static final long PROBE_EVERY = 400 * MS;
    private static final long REPORT_LASTS = 3000 * MS;

    private static final double LEARN = 0.05;             // weight of one new sample in a running mean
    private static final double COLD_SAFETY = 0.6;        // part of the cold budget that is ever used

    private final Settings set;
    private final Actions act;
    private final SplittableRandom chance;
    private final ArrayDeque<Part> ready = new ArrayDeque<>();
    private final Map<String, Engine> engines = new TreeMap<>();
    private final Map<String, Task> tasks = new HashMap<>();
    private final Map<String, Row> rows = new HashMap<>();
    private final Gate gate = new Gate();
    private boolean loadsMakeWait;            // is there a grade that stands still while a load holds its data set?
    private long now;

    public Decide(Settings settings, Actions actions) {
        set = settings;
        act = actions;
        chance = new SplittableRandom(settings.seed());
        for (Grade grade : settings.grades()) {
            rows.put(grade.name(), new Row(grade));
            loadsMakeWait |= grade.waitsForLoads();
        }
        for (Settings.Tenant tenant : settings.tenants()) {
            gate.tenants.put(tenant.name(), new Tenant(Math.max(tenant.share(), 0.001)));
        }
        actions.wake(SWEEP, "sweep");
    }

    // ---- Notes, and the parts that take them ----

    private interface Note { }

    private record Taken(Task task) implements Note { }

    private record Turn() implements Note { }

    private record Sweep() implements Note { }

    private record Send(Task task) implements Note { }

    private record NotSent(Task task) implements Note { }

    private record Listed(EngineEntry entry) implements Note { }

    private record Ended(Forward forward, Outcome outcome, boolean over, long cost, double memoryMb,
            LoadReport report) implements Note { }

    private record Probed(Outcome outcome, LoadReport report) implements Note { }

    private record Moved(Forward forward, Progress what, double amount) implements Note { }

    private record Left(Task task) implements Note { }

    private record Rescue(Forward forward) implements Note { }

    private abstract class Part {
        private final ArrayDeque<Note> inbox = new ArrayDeque<>();

        final void put(Note note) {
            inbox.add(note);
            if (inbox.size() == 1) {
                ready.add(this);
            }
        }

        abstract void take(Note note);
    }

    // ---- What is heard: ids become objects here, and everything becomes a note ----

    @Override
    public void engines(long at, boolean complete, List<EngineEntry> entries) {
        now = at;
        Map<String, EngineEntry> named = new TreeMap<>();
        for (EngineEntry entry : entries) {
            named.put(entry.id(), entry);
            engines.computeIfAbsent(entry.id(), id -> new Engine(entry));
        }
        for (Engine engine : engines.values()) {
            EngineEntry entry = named.get(engine.id);
            if (entry != null) {
                engine.put(new Listed(entry));
            } else if (complete) {
                engine.put(new Listed(new EngineEntry(engine.id, 0, engine.place, engine.kind, engine.cell,
                        EngineEntry.State.GONE, engine.startedAt)));
            }
        }
    }

    @Override
    public void task(long at, TaskOffer offer) {
        now = at;
        gate.ration.taken.add(at);
        Row row = rows.get(offer.grade());
        if (row == null) {
            act.bounce(offer.id(), 0);
            return;
        }
        Task task = new Task(offer, row);
        tasks.put(task.id, task);
        gate.put(new Taken(task));
    }

    @Override
    public void outcome(long at, String id, int index, String engine, Outcome outcome, long lag, boolean over,
            long cost, double memoryMb, LoadReport report) {
        now = at;
        Engine from = engines.get(engine);
        Forward forward = from == null ? null : from.find(id, index);
        if (forward != null) {
            from.put(new Ended(forward, outcome, over, cost, memoryMb, report));
        }
    }

    @Override
    public void probed(long at, String engine, Outcome outcome, LoadReport report) {
        now = at;
        Engine from = engines.get(engine);
        if (from != null) {
            from.put(new Probed(outcome, report));
        }
    }

    @Override
    public void progress(long at, String id, int index, String engine, Progress what, double amount) {
        now = at;
        Engine from = engines.get(engine);
        Forward forward = from == null ? null : from.find(id, index);
        if (forward != null) {
            from.put(new Moved(forward, what, amount));
        }
    }

    @Override
    public void woken(long at, String token) {
        now = at;
        for (Engine engine : engines.values()) {
            engine.put(new Sweep());
        }
        gate.put(new Sweep());
        act.wake(SWEEP, token);
    }

    @Override
    public void abandoned(long at, String id) {
        now = at;
        Task task = tasks.get(id);
        if (task != null) {
            gate.put(new Left(task));
        }
    }

    /** The one loop: empties every inbox, first come first served. */
    @Override
    public void decide(long at) {
        now = at;
        gate.put(new Turn());
        while (!ready.isEmpty()) {
            Part part = ready.poll();
            Note note = part.inbox.peek();
            part.take(note);
            part.inbox.poll();
            if (!part.inbox.isEmpty()) {
                ready.add(part);
            }
        }
    }

    // ---- The grade table, tasks, forwards ----

    /** What differs by service grade. */
    private final class Row {
        final Grade grade;
        double costBias = 1;                  // told cost over estimated cost
        double memoryBias = 1;                // told memory over estimated memory, and its scatter
        double memoryScatter = 0.25;
        double meanCost;                      // of the tasks taken, in nanoseconds of work
        double usual = Double.NaN;            // ln of run time over undisturbed run time, all engines
        double best = Double.NaN;             // the lowest that usual has been
        double meanRun;                       // of the handled, in nanoseconds
        double worthMean = Double.NaN;        // mean ln of the earnings for the work of its tasks
        long noRoomAt = -1;

        Row(Grade grade) {
            this.grade = grade;
        }

        void learn(double ratio, long run) {
            usual = Double.isNaN(usual) ? ratio : usual + LEARN * (ratio - usual);
            best = Double.isNaN(best) ? Math.max(usual, 0) : Math.max(0, Math.min(best, usual));
            meanRun = meanRun == 0 ? run : meanRun + LEARN * (run - meanRun);
        }
    }

    private enum State { KEYED, WAITING, OUT, OVER }

    private final class Task {
        final String id;
        final Row row;
        final Tenant tenant;
        final long key;
        KeyLine line;                         // where its grade keeps order
        final long cutOffAt;
        final long takenAt = now;
        final long cost;                      // nanoseconds of work, 0 where not estimated
        final double lnWorth;                 // earnings for its work
        final double memoryMb;
        final long dataSet;
        long waitUntil;                       // end of the budget in the queue
        long wantedSince;
        State state = State.OVER;
        boolean queued;
        int forwards;                         // sent so far
        final List<Forward> out = new ArrayList<>(2);
        boolean mayHaveRun;
        long mayHaveRunSince;                 // the send of the first forward that may have run
        Engine ranOn;
        Engine target;                        // drawn at this turn

        Task(TaskOffer offer, Row row) {
            id = offer.id();
            this.row = row;
            tenant = offer.tenant() == null ? null : gate.tenants.get(offer.tenant());
            key = row.grade.inOrder() ? offer.key() : -1;
            cutOffAt = offer.cutOffAt();
            double guess = offer.cost() > 0 ? offer.cost() * row.costBias : row.meanCost;
            cost = (long) guess;
            row.meanCost = row.meanCost == 0 ? guess : row.meanCost + LEARN * (guess - row.meanCost);
            lnWorth = Math.log(Math.max(row.grade.earnings(), 1e-9) / Math.max(cost, MS));
            memoryMb = offer.memoryMb();
            dataSet = offer.dataSet();
        }

        int threads() {
            return row.grade.threads();
        }

        /** Run time on an engine that does nothing else. */
        long alone() {
            return Math.max(cost / threads(), 5 * MS);
        }

        /** Earnings for its work, half of what sets its grade apart left out: no grade is shed whole for another. */
        double worth() {
            return Math.exp(lnWorth - GRADE_PART * (row.worthMean - gate.worthMean));
        }

        long budget() {
            return Math.min(LONGEST_WAIT, Math.max(0, cutOffAt - now) / WAIT_PART);
        }

        boolean over() {
            return state == State.OVER;
        }

        /** Rule 2: may this task go to that engine, given what its earlier forwards may have done? */
        boolean mayRepeatOn(Engine engine) {
            if (!out.isEmpty() && !set.levers().secondCopies()) {
                return false;
            }
            if (row.grade.repeat() == Grade.Repeat.HARMLESS || !mayHaveRun && out.isEmpty()) {
                return true;
            }
            if (row.grade.repeat() == Grade.Repeat.ONE_SHOT) {
                return false;
            }
            Engine first = mayHaveRun ? ranOn : out.get(0).engine;
            long since = mayHaveRun ? mayHaveRunSince : out.get(0).sentAt;
            if (now - since >= row.grade.repeatWindow() - SWEEP) {
                return false;
            }
            return switch (row.grade.scope()) {
                case ALL -> true;
                case PLACE -> first.place.equals(engine.place);
                case CELL -> first.cell == engine.cell;
            };
        }

        /** Rule 2: does a bounce keep its promise that trying again is harmless? */
        boolean mayBounce() {
            return row.grade.repeat() == Grade.Repeat.HARMLESS || !mayHaveRun && out.isEmpty()
                    || row.grade.repeat() == Grade.Repeat.STAMPED && row.grade.scope() == Grade.Scope.ALL;
        }
    }

    private static final class Forward {
        final Task task;
        final Engine engine;
        final int index;
        final long sentAt;
        final double memoryMb;
        boolean cancelled;
        boolean rescued;

        Forward(Task task, Engine engine, int index, long sentAt, double memoryMb) {
            this.task = task;
            this.engine = engine;
            this.index = index;
            this.sentAt = sentAt;
            this.memoryMb = memoryMb;
        }
    }

    /** The tasks of one key, in the order taken (rule 5). */
    private static final class KeyLine {
        final long key;
        final ArrayDeque<Task> line = new ArrayDeque<>();
        int out;                              // forwards without an outcome
        long restsUntil;

        KeyLine(long key) {
            this.key = key;
        }
    }

    private static final class Tenant {
        final double weight;
        double current;                       // smooth weighted round-robin
        final ArrayList<Task> waiters = new ArrayList<>();    // least time left first
        Task next;                            // found fit at this turn

        Tenant(double weight) {
            this.weight = weight;
        }
    }

    /** Rule 7: what was taken and what was forwarded further within the window. */
    private static final class Ration {
        final ArrayDeque<Long> taken = new ArrayDeque<>();
        final ArrayDeque<Long> further = new ArrayDeque<>();

        boolean allows(Settings.RationRule rule, long now) {
            if (rule == null) {
                return true;
            }
            while (!taken.isEmpty() && taken.peek() <= now - rule.window()) {
                taken.poll();
            }
            while (!further.isEmpty() && further.peek() < now - rule.window()) {
                further.poll();
            }
            return further.size() + 1 <= rule.spare() + rule.share() * taken.size();
        }
    }

    // ---- The gate: tenant queues, turns, final answers ----

    private final class Gate extends Part {
        final Map<String, Tenant> tenants = new TreeMap<>();
        final Map<Long, KeyLine> lines = new TreeMap<>();
        final Ration ration = new Ration();
        final Tenant nobody = new Tenant(0);  // tasks of no known tenant: never held
        int waiting;
        long lastGrant;
        double price;                         // of engine work, in earnings; 0 unless tasks wait
        double worthMean = Double.NaN;        // mean ln of the worth of the tasks taken
        double spacing = 10 * MS;             // mean time between turns that ended in a send, while tasks wait

        @Override
        void take(Note note) {
            if (note instanceof Taken n) {
                taken(n.task);
            } else if (note instanceof Turn) {
                turn();
            } else if (note instanceof NotSent n) {
                back(n.task);
            } else if (note instanceof Ended n) {
                ended(n);
            } else if (note instanceof Rescue n) {
                rescue(n.forward);
            } else if (note instanceof Left n) {
                finish(n.task);
            } else if (note instanceof Sweep) {
                sweep();
            }
        }

        private void taken(Task task) {
            worthMean = Double.isNaN(worthMean) ? task.lnWorth : worthMean + LEARN * (task.lnWorth - worthMean);
            Row row = task.row;
            row.worthMean = Double.isNaN(row.worthMean) ? task.lnWorth
                    : row.worthMean + LEARN * (task.lnWorth - row.worthMean);
            if (task.cutOffAt - now <= ANSWER_MARGIN) {
                answer(task);
                return;
            }
            if (task.key >= 0) {
                // Looked up only now: a line named at the door may have been dropped before its task got here.
                task.line = lines.computeIfAbsent(task.key, KeyLine::new);
                task.line.line.add(task);
                if (task.line.line.peek() != task || !open(task.line)) {
                    task.state = State.KEYED;
                    return;
                }
            }
            enqueue(task);
        }

        private boolean open(KeyLine line) {
            return line.out == 0 && now >= line.restsUntil;
        }

        /** Into its tenant's queue; or refused at once, when it fits no bound or expects to wait too long. */
        private void enqueue(Task task) {
            task.state = State.WAITING;
            task.wantedSince = now;
            task.waitUntil = now + task.budget();
            Tenant tenant = task.tenant == null ? nobody : task.tenant;
            if (task.worth() < price && task.forwards == 0) {
                refuse(task);
                return;
            }
            int at = position(tenant, task);
            boolean room = fits(task);
            if (!room && (tenant == nobody || tenant.waiters.size() >= DEPTH_PER_TENANT || waiting >= DEPTH_IN_ALL
                    || expectedWait(task, at) > task.budget())) {
                refuse(task);
                return;
            }
            tenant.waiters.add(at, task);
            task.queued = true;
            waiting++;
            put(new Turn());
        }

        private int position(Tenant tenant, Task task) {
            int at = tenant.waiters.size();
            while (at > 0 && tenant.waiters.get(at - 1).cutOffAt > task.cutOffAt) {
                at--;
            }
            return at;
        }

        /** The send spacing behind it, plus, with no room, the least remaining mean run time on a fitting engine. */
        private double expectedWait(Task task, int ahead) {
            double weights = 0;
            for (Tenant tenant : tenants.values()) {
                weights += tenant.waiters.isEmpty() && tenant != task.tenant ? 0 : tenant.weight;
            }
            double turns = Math.min(waiting, ahead * weights / Math.max(task.tenant.weight, 1e-9));
            double least = Double.MAX_VALUE;
            for (Engine engine : engines.values()) {
                if (engine.allowed(task) && engine.open()) {
                    least = Math.min(least, engine.leastRemaining());
                }
            }
            return turns * spacing + (least == Double.MAX_VALUE ? 0 : least);
        }

        private boolean fits(Task task) {
            for (Engine engine : engines.values()) {
                if (engine.fits(task)) {
                    return true;
                }
            }
            return false;
        }

        /** One turn: smooth weighted round-robin over the tenants whose next waiter fits some engine's room. */
        private void turn() {
            Tenant chosen = null;
            double total = 0;
            for (Row row : rows.values()) {
                row.noRoomAt = -1;
            }
            nobody.next = next(nobody);
            if (nobody.next != null) {
                chosen = nobody;
            }
            for (Tenant tenant : tenants.values()) {
                tenant.next = next(tenant);
                if (tenant.next != null && chosen != nobody) {
                    tenant.current += tenant.weight;
                    total += tenant.weight;
                    if (chosen == null || tenant.current > chosen.current) {
                        chosen = tenant;
                    }
                }
            }
            if (chosen == null) {
                while (!nobody.waiters.isEmpty()) {
                    refuse(nobody.waiters.get(0));        // at once or not at all
                }
                return;
            }
            chosen.current -= total;
            Task task = chosen.next;
            unqueue(task);
            task.target = draw(task);
            if (task.target == null) {
                back(task);
                return;
            }
            if (waiting > 0 || now > task.wantedSince) {
                spacing += LEARN * (Math.min(now - lastGrant, 1000 * MS) - spacing);
            }
            lastGrant = now;
            task.target.put(new Send(task));
            put(new Turn());
        }

        /** The waiter with least time left that fits; one that fits nowhere steps aside for those that do. */
        private Task next(Tenant tenant) {
            for (int i = 0; i < tenant.waiters.size(); i++) {
                Task task = tenant.waiters.get(i);
                boolean plain = task.forwards == 0 && task.line == null;
                if (!plain || task.row.noRoomAt != now) {
                    if (fits(task)) {
                        return task;
                    }
                    task.row.noRoomAt = plain ? now : task.row.noRoomAt;
                }
            }
            return null;
        }

        private void unqueue(Task task) {
            if (task.queued) {
                (task.tenant == null ? nobody : task.tenant).waiters.remove(task);
                task.queued = false;
                waiting--;
            }
        }

        /** The re-check failed: back into the queue, within the budget that it has left. */
        private void back(Task task) {
            if (!task.over() && !task.queued) {
                Tenant tenant = task.tenant == null ? nobody : task.tenant;
                if (now >= task.waitUntil || tenant == nobody) {
                    refuse(task);
                    return;
                }
                tenant.waiters.add(position(tenant, task), task);
                task.queued = true;
                waiting++;
            }
        }

        /** Gives a task up; one that still has a forward out only stops waiting for a further one. */
        private void refuse(Task task) {
            unqueue(task);
            if (task.out.isEmpty()) {
                answer(task);
            } else {
                task.state = State.OUT;
            }
        }

        /** Rule 1: the one final answer. */
        private void answer(Task task) {
            if (task.mayBounce()) {
                act.bounce(task.id, set.levers().comeBack()
                        ? Math.min(set.levers().longestComeBack(), (long) (waiting * spacing) + 100 * MS) : 0);
            } else {
                act.abort(task.id);
            }
            finish(task);
        }

        /** Nothing more is owed or sent; its forwards stay with their engines until they end. */
        private void finish(Task task) {
            unqueue(task);
            task.state = State.OVER;
            tasks.remove(task.id);
            if (set.levers().cancel()) {
                for (Forward forward : task.out) {
                    cancel(forward);
                }
            }
            if (task.line != null) {
                task.line.line.remove(task);
                release(task.line);
            }
        }

        private void cancel(Forward forward) {
            if (!forward.cancelled) {
                forward.cancelled = true;
                act.cancel(forward.task.id, forward.index);
            }
        }

        /** Rule 5: the next task of a key is wanted once the one before is over and the key has rested. */
        private void release(KeyLine line) {
            Task head = line.line.peek();
            if (head == null) {
                if (open(line)) {
                    lines.remove(line.key);
                }
            } else if (head.state == State.KEYED && open(line)) {
                enqueue(head);
            }
        }

        private void ended(Ended note) {
            Task task = note.forward.task;
            Outcome outcome = note.outcome;
            task.out.remove(note.forward);
            if (!neverRan(outcome) && !task.mayHaveRun) {
                task.mayHaveRun = true;
                task.mayHaveRunSince = note.forward.sentAt;
                task.ranOn = note.forward.engine;
            }
            if (task.line != null) {
                task.line.out--;
                if (outcome == Outcome.TIME_OUT || outcome == Outcome.RESET || outcome == Outcome.CANCELLED) {
                    task.line.restsUntil = now + set.keyRest();
                }
            }
            if (!task.over()) {
                if (note.over || outcome == Outcome.OK) {
                    finish(task);
                } else if (task.out.isEmpty() && !task.queued) {
                    again(task);
                }
            }
            if (task.line != null && task.over()) {
                release(task.line);
            }
            put(new Turn());
        }

        /** A task whose forwards all failed: wanted again where the rules leave a way, else answered at once. */
        private void again(Task task) {
            boolean left = task.forwards < set.levers().mostForwards() && task.cutOffAt - now > ANSWER_MARGIN
                    && (task.row.grade.repeat() != Grade.Repeat.ONE_SHOT || !task.mayHaveRun);
            if (left) {
                enqueue(task);
            } else {
                answer(task);
            }
        }

        /** A forward on an engine under suspicion: taken back, or doubled, where its grade and the levers allow. */
        private void rescue(Forward forward) {
            Task task = forward.task;
            if (task.over() || task.queued || task.row.grade.repeat() == Grade.Repeat.ONE_SHOT
                    || task.forwards >= set.levers().mostForwards() || task.cutOffAt - now < 2 * task.alone()) {
                return;
            }
            if (set.levers().secondCopies()) {
                if (task.out.size() < 2 && ration.allows(set.ration(), now)) {
                    enqueue(task);
                }
            } else if (set.levers().cancel() && ration.allows(set.ration(), now)) {
                cancel(forward);
            }
        }

        /**
         * Early refusal by worth. While tasks wait, engine work has a price, which rises as long as they do; a task
         * that earns less for its work is refused at once. Guards against a few heavy tasks that take the room of
         * many, from any cause: bursts, overload, slow or lost engines, costs far above the usual.
         */
        private void reprice() {
            long oldest = now;
            for (Tenant tenant : tenants.values()) {
                for (Task task : tenant.waiters) {
                    oldest = Math.min(oldest, task.wantedSince);
                }
            }
            double usual = Math.exp(worthMean);
            if (now - oldest > PATIENCE) {
                price = clamp(price * (1 + PRICE_UP), usual * LEAST_PRICE, usual);
            } else {
                price = price * (1 - PRICE_DOWN) < usual * LEAST_PRICE ? 0 : price * (1 - PRICE_DOWN);
            }
        }

        private void sweep() {
            reprice();
            for (Tenant tenant : tenants.values()) {
                for (int i = tenant.waiters.size() - 1; i >= 0; i--) {
                    Task task = tenant.waiters.get(i);
                    if (now >= task.waitUntil) {
                        refuse(task);
                    }
                }
            }
            for (KeyLine line : new ArrayList<>(lines.values())) {
                for (Task task : new ArrayList<>(line.line)) {
                    if (task.state == State.KEYED && task.cutOffAt - now <= Math.max(ANSWER_MARGIN, task.alone())) {
                        answer(task);
                    }
                }
                release(line);
            }
        }
    }

    private static boolean neverRan(Outcome outcome) {
        return outcome == Outcome.FULL || outcome == Outcome.UNREACHED || outcome == Outcome.NEVER_SENT;
    }

    // ---- Engines: the one record of each, its room, its health, and the one place that every send passes ----

    private final class Engine extends Part {
        final String id;
        String place;
        String kind;
        int cell;
        EngineEntry.State state;
        long startedAt;
        double cores;
        double totalMemory;
        final ArrayList<Forward> out = new ArrayList<>();
        int threads;                          // of our tasks there
        double bound;                         // the room, in threads
        boolean boundSet;
        double pace;                          // ln of how much slower than the fleet its answers are
        double strain;                        // ln of how much slower than the best seen
        long busyUntil;
        long halvedAt;
        double ours;                          // our part of the tasks it reports to hold, smoothed
        double granted;                       // memory that our tasks were granted there
        LoadReport report;
        long reportAt;
        int threadsSince;                     // sent since that report
        double grantedSince;
        long probeAt;
        int probesFailed;
        long signAt;                          // last sign of life, or when it was first owed one
        double gap = 300 * MS;                // mean and deviation of the gaps between signs
        double gapSpread = 300 * MS;
        boolean suspect;
        long trialAt;
        long trialGap;
        final ArrayDeque<long[]> coldSends = new ArrayDeque<>();    // {when, work}
        final LinkedHashSet<Long> warm = new LinkedHashSet<>();     // data sets read last, oldest first

        Engine(EngineEntry entry) {
            id = entry.id();
            probeAt = now + (long) (chance.nextDouble() * PROBE_EVERY);
            signAt = now;
        }

        @Override
        void take(Note note) {
            if (note instanceof Listed n) {
                listed(n.entry);
            } else if (note instanceof Send n) {
                send(n.task);
            } else if (note instanceof Ended n) {
                ended(n);
            } else if (note instanceof Probed n) {
                probed(n);
            } else if (note instanceof Moved n) {
                sign();
            } else if (note instanceof Sweep) {
                sweep();
            }
        }

        Forward find(String task, int index) {
            for (Forward forward : out) {
                if (forward.index == index && forward.task.id.equals(task)) {
                    return forward;
                }
            }
            return null;
        }

        private void listed(EngineEntry entry) {
            if (entry.startedAt() > startedAt) {
                // A fresh process: nothing learned of the old one holds.
                warm.clear();
                suspect = false;
                pace = 0;
                strain = 0;
                report = null;
                busyUntil = 0;
                probesFailed = 0;
                boundSet = false;
            }
            state = entry.state();
            startedAt = entry.startedAt();
            place = entry.place() == null ? "" : entry.place();
            kind = entry.kind() == null ? "" : entry.kind();
            cell = entry.cell();
            Settings.Kind figures = set.kinds().get(kind);
            cores = figures != null && figures.cores() > 0 ? figures.cores() : Math.max(1, entry.size());
            totalMemory = figures == null ? 0 : figures.memoryMb();
            if (!boundSet) {
                bound = cores * THREADS_PER_CORE / set.siblings();
                boundSet = true;
            }
            gate.put(new Turn());
        }

        // -- May it be sent to? --

        /** Rule 6: placement. */
        boolean allowed(Task task) {
            Grade grade = task.row.grade;
            return (grade.places().isEmpty() || grade.places().contains(place))
                    && (grade.kinds().isEmpty() || grade.kinds().contains(kind));
        }

        /** Rule 3: drains; stricter than the grace, since the list is late anyway. */
        boolean open() {
            return state == EngineEntry.State.READY;
        }

        /** The part of its capacity that an engine surely has by now. */
        double warmth() {
            Settings.ColdRule rule = set.cold();
            if (rule == null || startedAt <= 0 || now - startedAt >= rule.warmAfter()) {
                return 1;
            }
            double age = Math.max(0, now - startedAt) / (double) rule.warmAfter();
            return rule.startCapacity() + (1 - rule.startCapacity()) * age * age;
        }

        /** Rule 4: our part of what a cold engine can be sent in the window. */
        private boolean coldAllows(Task task) {
            Settings.ColdRule rule = set.cold();
            if (rule == null || startedAt <= 0 || now - startedAt >= rule.warmAfter()) {
                return true;
            }
            double sent = task.row.meanCost;
            while (!coldSends.isEmpty() && coldSends.peek()[0] < now - rule.window()) {
                coldSends.poll();
            }
            for (long[] send : coldSends) {
                sent += send[1];
            }
            return sent <= COLD_SAFETY * rule.multiple() * warmth() * cores * rule.window() / set.siblings();
        }

        /** Every rule on sending, checked in one place. */
        private boolean rulesAllow(Task task) {
            return open() && allowed(task) && task.mayRepeatOn(this) && coldAllows(task)
                    && task.forwards < set.levers().mostForwards()
                    && (task.forwards == 0 || gate.ration.allows(set.ration(), now))
                    && (task.line == null || task.line.line.peek() == task
                            && (task.forwards > 0 || gate.open(task.line)));
        }

        /** Rules, health and room together. */
        boolean fits(Task task) {
            if (!rulesAllow(task)) {
                return false;
            }
            for (Forward forward : task.out) {
                if (forward.engine == this) {
                    return false;
                }
            }
            if (suspect && !mostSuspect()) {
                return now >= trialAt && task.row.grade.repeat() == Grade.Repeat.HARMLESS;
            }
            return (!pressed() || threads + task.threads() <= Math.max(bound, task.threads())) && memoryFits(task);
        }

        /**
         * The room in memory: past it an engine spills, waits or pages, and all its tasks pay. Always binds, since no
         * answer tells of it in time; floored at one task.
         */
        private boolean memoryFits(Task task) {
            if (totalMemory <= 0 || out.isEmpty()) {
                return true;
            }
            double ours = granted + grant(task);
            if (report != null && !Double.isNaN(report.memoryGranted()) && now - reportAt <= REPORT_LASTS) {
                return report.memoryGranted() * totalMemory + grantedSince + grant(task) <= totalMemory;
            }
            return ours <= totalMemory * share();
        }

        /** This manager's part of the engine: an even one, or more where the engine is seen to hold mostly ours. */
        private double share() {
            return Math.max(1.0 / set.siblings(), ours);
        }

        /** What a task is to be granted here; where grants are not heeded, what it will take. */
        private double grant(Task task) {
            double memory = task.memoryMb * (task.row.memoryBias + task.row.memoryScatter);
            double cap = set.levers().grantCap() > 0 ? set.levers().grantCap() * totalMemory : memory;
            return totalMemory > 0 ? Math.min(memory, cap) : memory;
        }

        /** The bound binds only under pressure. */
        private boolean pressed() {
            return strain > WELL_ABOVE_BEST || now < busyUntil
                    || threads >= cores * warmth() * THREADS_PER_CORE * share();
        }

        private void send(Task task) {
            if (task.over()) {
                return;
            }
            if (!fits(task)) {
                gate.put(new NotSent(task));
                return;
            }
            double memory = grant(task);
            if (set.levers().grants() || set.levers().priorities()) {
                act.provide(task.id, set.levers().grants() ? (long) Math.ceil(memory) : 0,
                        set.levers().priorities() ? priority(task) : 1);
            }
            Forward forward = new Forward(task, this, task.forwards, now, memory);
            act.forward(task.id, id, 0);
            if (task.forwards > 0) {
                gate.ration.further.add(now);
            }
            task.forwards++;
            task.state = State.OUT;
            task.out.add(forward);
            if (task.line != null) {
                task.line.out++;
            }
            if (out.isEmpty()) {
                signAt = now;
            }
            out.add(forward);
            threads += task.threads();
            threadsSince += task.threads();
            granted += memory;
            grantedSince += memory;
            if (warmth() < 1) {
                coldSends.add(new long[] {now, (long) task.row.meanCost});
            }
            warm.remove(task.dataSet);
            warm.add(task.dataSet);
            if (warm.size() > 4) {
                warm.remove(warm.iterator().next());
            }
            if (suspect) {
                trialGap = Math.min(LONGEST_TRIAL_GAP, trialGap * 2);
                trialAt = now + trialGap;
            }
        }

        private int priority(Task task) {
            double above = task.lnWorth - gate.worthMean;
            return above > -0.7 ? 3 : above > -1.8 ? 2 : above > -2.9 ? 1 : 0;
        }

        // -- What it says --

        private void ended(Ended note) {
            Forward forward = note.forward;
            Task task = forward.task;
            out.remove(forward);
            threads -= task.threads();
            granted -= forward.memoryMb;
            heard(note.report);
            switch (note.outcome) {
                case OK -> handled(forward, note);
                case FULL -> {
                    sign();
                    busyUntil = now + BUSY_LASTS;
                    halve();
                }
                case TIME_OUT -> halve();
                case UNREACHED, RESET -> suspect("unreached or reset");
                case ERROR -> sign();
                default -> { }
            }
            gate.put(note);
        }

        private void handled(Forward forward, Ended note) {
            Task task = forward.task;
            Row row = task.row;
            sign();
            long run = now - forward.sentAt;
            if (note.cost > 0 && task.cost > 0) {
                double told = note.cost * row.costBias / task.cost;
                row.costBias = clamp(row.costBias + LEARN * (told - row.costBias), 0.2, 5);
            }
            if (note.memoryMb > 0 && task.memoryMb > 0) {
                double told = note.memoryMb / task.memoryMb;
                row.memoryScatter += LEARN * (Math.abs(told - row.memoryBias) * 1.3 - row.memoryScatter);
                row.memoryBias = clamp(row.memoryBias + LEARN * (told - row.memoryBias), 0.2, 5);
            }
            long alone = note.cost > 0 ? Math.max(note.cost / task.threads(), 5 * MS) : task.alone();
            double ratio = Math.log(Math.max(run, MS) / (double) alone);
            row.learn(ratio, run);
            pace += 2 * LEARN * (ratio - row.usual - pace);
            strain += 2 * LEARN * (ratio - row.best - strain);
            if (ratio - row.best > SLOW_ANSWER) {
                halve();
            } else if (ratio - row.best < WELL_ABOVE_BEST && !(busy() >= BUSY)) {
                bound = Math.min(bound + task.threads(), cores * 4);
            }
        }

        private double busy() {
            if (report == null || now - reportAt > REPORT_LASTS) {
                return Double.NaN;
            }
            return report.coresBusy();
        }

        private void halve() {
            if (now - halvedAt > BUSY_LASTS) {
                halvedAt = now;
                bound = Math.max(bound / 2, 1);
            }
        }

        private void heard(LoadReport told) {
            if (told != null) {
                report = told;
                reportAt = now;
                threadsSince = 0;
                grantedSince = 0;
                if (told.held() >= 4) {
                    ours += LEARN * 2 * (Math.min(1, out.size() / told.held()) - ours);
                }
                if (told.coresBusy() >= 0.95 || told.memoryGranted() >= 0.97) {
                    busyUntil = now + BUSY_LASTS;
                }
            }
        }

        private void probed(Probed note) {
            if (note.outcome == Outcome.OK) {
                probesFailed = 0;
                heard(note.report);
            } else if (note.outcome != Outcome.FULL && ++probesFailed >= 2) {
                suspect("probes unanswered");
            }
        }

        // -- Health: how unusual is the present silence, given the gaps seen before --

        private void sign() {
            double seen = now - signAt;
            gap += LEARN * (seen - gap);
            gapSpread += LEARN * (Math.abs(seen - gap) - gapSpread);
            signAt = now;
            if (suspect && probesFailed < 2) {
                suspect = false;
                act.log("engine " + id + " answers again: back in the draw");
            }
        }

        private void sweep() {
            if (set.levers().probe() && open() && now >= probeAt) {
                probeAt = now + PROBE_EVERY;
                act.probe(id);
            }
            if (!suspect && !out.isEmpty()) {
                double silence = now - signAt;
                double mean = Math.max(gap, 50 * MS);
                // The longest part of a gap is the run of a task: with few out, silence up to their runs is usual.
                double usual = mean + 2 * gapSpread;
                if (silence > SHORTEST_SILENCE && silence / usual / Math.log(10) > UNUSUAL / 2) {
                    suspect("silent for " + (long) (silence / MS) + " ms, usual " + (long) (usual / MS));
                }
            }
            if (suspect && !mostSuspect()) {
                for (Forward forward : out) {
                    if (now - forward.sentAt > SHORTEST_SILENCE) {
                        gate.put(new Rescue(forward));
                    }
                }
            }
        }

        private void suspect(String why) {
            if (!suspect) {
                suspect = true;
                trialGap = FIRST_TRIAL;
                trialAt = now + trialGap;
                act.log("engine " + id + " suspected: " + why + "; no more tasks but trials");
            }
        }

        /** When our first task there should end, by the mean run of its grade. */
        double leastRemaining() {
            double least = Double.MAX_VALUE;
            for (Forward forward : out) {
                least = Math.min(least, Math.max(0, forward.task.row.meanRun - (now - forward.sentAt)));
            }
            return least;
        }

        // -- The draw's figures --

        /** Load a core: reported use, else tasks held, else our threads; plus what we sent since. NaN: unheard. */
        double load() {
            double able = cores * warmth();
            if (report != null && now - reportAt <= REPORT_LASTS) {
                if (!Double.isNaN(report.coresBusy())) {
                    return report.coresBusy() + threadsSince / able;
                }
                if (!Double.isNaN(report.held())) {
                    return (report.held() + threadsSince) / able;
                }
            }
            return report == null && set.levers().probe() ? Double.NaN : threads * set.siblings() / able;
        }

        boolean holdsFor(Task task) {
            if (task.row.grade.load() || task.row.grade.waitsForLoads()) {
                for (Forward forward : out) {
                    if (forward.task.row.grade.load() && forward.task.dataSet == task.dataSet) {
                        return true;
                    }
                }
            }
            return false;
        }
    }

    private static double clamp(double value, double least, double most) {
        return Math.max(least, Math.min(most, value));
    }

    /** Judged against the fleet: when most of it looks bad, no engine is kept out for it. */
    private boolean mostSuspect() {
        double suspects = 0;
        double all = 0;
        for (Engine engine : engines.values()) {
            if (engine.open()) {
                all += engine.cores;
                suspects += engine.suspect ? engine.cores : 0;
            }
        }
        return suspects * 2 > all;
    }

    /**
     * Where the loads of a data set should go, alike at every manager without a word between them: tasks that would
     * stand still behind a load stay away from there, also from loads of other managers, which no one tells of.
     */
    private Engine home(long dataSet) {
        Engine best = null;
        long most = Long.MIN_VALUE;
        for (Engine engine : engines.values()) {
            long mixed = (engine.id.hashCode() * 0x9E3779B97F4A7C15L ^ dataSet * 0xC2B2AE3D27D4EB4FL) * 0x9E3779B97F4A7C15L;
            mixed ^= mixed >>> 31;
            if (engine.open() && !engine.suspect && mixed * 0xBF58476D1CE4E5B9L > most) {
                most = mixed * 0xBF58476D1CE4E5B9L;
                best = engine;
            }
        }
        return best;
    }

    /** The weighted draw among the engines that fit. */
    private Engine draw(Task task) {
        double heardLoad = 0;
        int heard = 0;
        List<Engine> fitting = new ArrayList<>();
        for (Engine engine : engines.values()) {
            double load = engine.load();
            if (engine.open() && !Double.isNaN(load)) {
                heardLoad += load;
                heard++;
            }
            if (engine.fits(task)) {
                fitting.add(engine);
            }
        }
        double average = heard == 0 ? 1 : heardLoad / heard;
        Engine home = task.dataSet >= 0 && loadsMakeWait ? home(task.dataSet) : null;
        double[] weights = new double[fitting.size()];
        double total = 0;
        for (int i = 0; i < weights.length; i++) {
            Engine engine = fitting.get(i);
            double load = engine.load();
            double free = 0.15 + (Double.isNaN(load) ? average : load);
            double weight = engine.cores * engine.warmth() / (free * free * free) / Math.exp(2 * engine.pace);
            weight *= engine.warm.contains(task.dataSet) ? 2 : 1;
            weight *= engine.holdsFor(task) ? 0.02 : 1;
            if (engine == home) {
                weight *= task.row.grade.load() ? 20 : task.row.grade.waitsForLoads() ? 0.1 : 1;
            }
            weight *= set.levers().placesPriced() && !engine.place.equals(set.place()) ? 0.5 : 1;
            weights[i] = weight;
            total += weight;
        }
        double pick = chance.nextDouble() * total;
        for (int i = 0; i < weights.length; i++) {
            pick -= weights[i];
            if (pick < 0) {
                return fitting.get(i);
            }
        }
        return fitting.isEmpty() ? null : fitting.get(fitting.size() - 1);
    }
}

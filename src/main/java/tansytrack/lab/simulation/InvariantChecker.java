package tansytrack.lab.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks seven invariants over all managers together, by a log of what simulated clients, engines
 * and the engine list observed. It shares no code with the program under test. Violations are
 * counted by the name of the invariant:
 *
 * <ol>
 *   <li>{@code lost}: each task is answered once, by its deadline
 *   <li>{@code twice}: a task that must not run twice is neither sent again nor rejected once it
 *       may have run
 *   <li>{@code drain}: no forward reaches an engine after the grace time of its drain
 *   <li>{@code cold}: a cold engine is not overloaded
 *   <li>{@code order}: tasks of one key are sent in order
 *   <li>{@code place}: tasks are sent only to engines in the zones allowed for them
 *   <li>{@code ration}: retries stay within the retry budget
 * </ol>
 */
public final class InvariantChecker {

  /** Whether a task may run more than once. */
  public enum RetrySafety {
    IDEMPOTENT,
    DEDUPLICATED,
    NON_IDEMPOTENT
  }

  /** The outcome of a task as its client sees it. */
  public enum TaskResult {
    HANDLED,
    REJECTED,
    ABORTED
  }

  /** An event in the log. */
  public sealed interface Event {
    /** The time of the event, on a clock that all reporters share. */
    long at();
  }

  /** A client has sent a task to a manager; key 0 if the task has none. */
  public record TaskSubmitted(
      long at,
      String manager,
      String task,
      RetrySafety retrySafety,
      long key,
      long deadline,
      Set<String> allowedZones)
      implements Event {}

  /** A client has received the answer to a task. */
  public record TaskAnswered(long at, String task, TaskResult outcome) implements Event {}

  /** A client has abandoned a task; no answer is required. */
  public record TaskAbandoned(long at, String task) implements Event {}

  /**
   * A manager has restarted: the tasks of its previous instance are lost, and its counts restart.
   */
  public record ManagerRestarted(long at, String manager) implements Event {}

  /** A forward from a manager has reached an engine completely. */
  public record ForwardArrived(long at, String manager, String engine, String task, double work)
      implements Event {}

  /** A forward has ended on an engine, was cancelled there, or never ran. */
  public record ForwardEnded(long at, String engine, String task, boolean mayHaveRun)
      implements Event {}

  /** The engine list reports an engine, whether it is ready, and its start time (0: long ago). */
  public record EngineListed(long at, String engine, String zone, boolean ready, long startedAt)
      implements Event {}

  /**
   * The parameters of the invariants.
   *
   * @param slack tolerance for late answers
   * @param apart tasks of one key that were sent closer together than this have no defined order
   * @param drainGrace time after the start of a drain in which forwards may still arrive
   * @param cores cores of an engine
   * @param startCapacity fraction of the capacity that a cold engine starts with
   * @param warmAfter time until an engine has its full capacity
   * @param multiple allowed load of a cold engine, as a multiple of its present capacity
   * @param window time over which that load is counted
   * @param spare retries that are always allowed
   * @param share further retries allowed per task
   * @param rationWindow time over which retries are counted; 0 for no limit
   */
  public record Limits(
      long answerSlackNanos,
      long keyCooldownNanos,
      long drainGraceNanos,
      double cores,
      double startCapacityFraction,
      long warmUpNanos,
      double overloadFactor,
      long windowNanos,
      double spareAttempts,
      double extraPerRequest,
      long retryBudgetWindowNanos) {}

  // How much later a client may log an answer than the manager's next action.
  private static final long CLIENT_LOG_LAG_NANOS = 300_000_000L;

  private final Limits limits;
  // When each task was answered or abandoned.
  private final Map<String, Long> endTimes = new HashMap<>();
  private final Map<String, Integer> violations = new TreeMap<>();
  private final List<String> firstMessages = new ArrayList<>();
  private final Map<String, TaskSubmitted> tasks = new HashMap<>();
  private final Map<String, Integer> answers = new HashMap<>();
  private final Set<String> abandoned = new HashSet<>();
  // By task, the engines on which it is open.
  private final Map<String, List<String>> outstanding = new HashMap<>();
  private final Set<String> mayHaveRun = new HashSet<>();
  private final Map<String, Integer> arrivals = new HashMap<>();
  private final Map<String, EngineListed> listed = new HashMap<>();
  private final Map<String, Long> notReadySince = new HashMap<>();
  private final Map<String, ArrayDeque<ForwardArrived>> coldArrivals = new HashMap<>();
  // By manager, the times of tasks and of retries within the retry window.
  private final Map<String, ArrayDeque<Long>> recentTasks = new HashMap<>();
  private final Map<String, ArrayDeque<Long>> recentRetries = new HashMap<>();
  // By manager and key, in the order sent.
  private final Map<String, List<TaskSubmitted>> tasksByKey = new HashMap<>();
  private double totalWork;
  private long totalForwards;
  private long logStart;

  private InvariantChecker(Limits rules) {
    this.limits = rules;
  }

  /** The number of violations of each invariant; 0 for those that hold. */
  public static Map<String, Integer> violations(Limits rules, List<? extends Event> log) {
    return check(rules, log).violations;
  }

  /** A description of the first violation of each invariant; times from the start of the log. */
  public static List<String> firstViolations(Limits rules, List<? extends Event> log) {
    return check(rules, log).firstMessages;
  }

  private static InvariantChecker check(Limits rules, List<? extends Event> log) {
    InvariantChecker check = new InvariantChecker(rules);
    for (String rule : List.of("lost", "twice", "drain", "cold", "order", "place", "ration")) {
      check.violations.put(rule, 0);
    }
    List<Event> sorted = new ArrayList<>(log);
    sorted.sort(Comparator.comparingLong(Event::at));
    for (Event one : sorted) {
      if (one instanceof TaskAnswered answered) {
        check.endTimes.putIfAbsent(answered.task(), answered.at());
      } else if (one instanceof TaskAbandoned left) {
        check.endTimes.putIfAbsent(left.task(), left.at());
      }
    }
    check.logStart = sorted.isEmpty() ? 0 : sorted.get(0).at();
    sorted.forEach(check::process);
    check.checkUnanswered();
    return check;
  }

  private void violate(String rule, long at, String what) {
    if (violations.merge(rule, 1, Integer::sum) == 1) {
      firstMessages.add(rule + " at " + (at - logStart) / 1_000_000 + " ms: " + what);
    }
  }

  private void process(Event one) {
    if (one instanceof TaskSubmitted asked) {
      submitted(asked);
    } else if (one instanceof TaskAnswered answered) {
      answered(answered);
    } else if (one instanceof TaskAbandoned left) {
      abandoned.add(left.task());
    } else if (one instanceof ManagerRestarted restarted) {
      tasksByKey.keySet().removeIf(key -> key.startsWith(restarted.manager() + '/'));
      recentTasks.remove(restarted.manager());
      recentRetries.remove(restarted.manager());
    } else if (one instanceof ForwardArrived arrived) {
      arrived(arrived);
    } else if (one instanceof ForwardEnded over) {
      outstanding.getOrDefault(over.task(), new ArrayList<>()).remove(over.engine());
      if (over.mayHaveRun()) {
        mayHaveRun.add(over.task());
      }
    } else if (one instanceof EngineListed now) {
      listed.put(now.engine(), now);
      if (now.ready()) {
        notReadySince.remove(now.engine());
      } else {
        notReadySince.putIfAbsent(now.engine(), now.at());
      }
    }
  }

  private void submitted(TaskSubmitted asked) {
    tasks.put(asked.task(), asked);
    recentTasks.computeIfAbsent(asked.manager(), key -> new ArrayDeque<>()).add(asked.at());
    if (asked.key() != 0) {
      tasksByKey
          .computeIfAbsent(asked.manager() + '/' + asked.key(), key -> new ArrayList<>())
          .add(asked);
    }
  }

  /** Invariant 1, and invariant 2 for rejections: a rejection promises that a retry is safe. */
  private void answered(TaskAnswered answered) {
    TaskSubmitted asked = tasks.get(answered.task());
    if (asked == null || answers.merge(answered.task(), 1, Integer::sum) > 1) {
      violate("lost", answered.at(), answered.task() + " was answered twice or never sent");
    } else if (answered.at() > asked.deadline() + limits.answerSlackNanos()) {
      violate("lost", answered.at(), answered.task() + " was answered after its deadline");
    }
    boolean ran =
        mayHaveRun.contains(answered.task())
            || !outstanding.getOrDefault(answered.task(), List.of()).isEmpty();
    if (asked != null
        && answered.outcome() == TaskResult.REJECTED
        && asked.retrySafety() == RetrySafety.NON_IDEMPOTENT
        && ran) {
      violate("twice", answered.at(), answered.task() + " was rejected although it may have run");
    }
  }

  private void arrived(ForwardArrived arrived) {
    TaskSubmitted asked = tasks.get(arrived.task());
    EngineListed engine = listed.get(arrived.engine());
    int before = arrivals.merge(arrived.task(), 1, Integer::sum) - 1;
    List<String> open = outstanding.computeIfAbsent(arrived.task(), key -> new ArrayList<>());
    if (asked != null
        && asked.retrySafety() == RetrySafety.NON_IDEMPOTENT
        && (mayHaveRun.contains(arrived.task()) || !open.isEmpty())) {
      violate("twice", arrived.at(), arrived.task() + " was sent again although it may have run");
    }
    open.add(arrived.engine());
    Long since = notReadySince.get(arrived.engine());
    if (since != null && arrived.at() > since + limits.drainGraceNanos()) {
      violate(
          "drain",
          arrived.at(),
          arrived.task()
              + " reached "
              + arrived.engine()
              + " "
              + (arrived.at() - since) / 1_000_000
              + " ms after its drain began");
    }
    if (asked != null
        && engine != null
        && !asked.allowedZones().isEmpty()
        && !asked.allowedZones().contains(engine.zone())) {
      violate(
          "place",
          arrived.at(),
          arrived.task() + " reached " + arrived.engine() + " in " + engine.zone());
    }
    totalWork += arrived.work();
    totalForwards++;
    if (engine != null) {
      coldArrivals(arrived, engine);
    }
    if (asked != null && asked.key() != 0) {
      order(arrived, asked);
    }
    if (before > 0) {
      ration(arrived);
    }
  }

  /** Invariant 4: the work that all managers together send to a cold engine within the window. */
  private void coldArrivals(ForwardArrived arrived, EngineListed engine) {
    double age =
        engine.startedAt() == 0 || limits.warmUpNanos() <= 0
            ? 1
            : (arrived.at() - engine.startedAt()) / (double) limits.warmUpNanos();
    ArrayDeque<ForwardArrived> window =
        coldArrivals.computeIfAbsent(engine.engine(), key -> new ArrayDeque<>());
    window.removeIf(
        one -> one.at() <= arrived.at() - limits.windowNanos() || one.at() < engine.startedAt());
    if (age >= 1) {
      return;
    }
    window.add(arrived);
    double mean = totalWork / totalForwards;
    double warmth =
        limits.startCapacityFraction() + (1 - limits.startCapacityFraction()) * Math.max(0, age);
    double allowed =
        limits.overloadFactor() * warmth * limits.cores() * limits.windowNanos() / mean;
    double sent = window.stream().mapToDouble(ForwardArrived::work).sum() / mean;
    if (sent > allowed + 3 * Math.sqrt(allowed) + 3) {
      violate(
          "cold",
          arrived.at(),
          engine.engine()
              + " received "
              + Math.round(sent)
              + " tasks of mean work; "
              + Math.round(allowed)
              + " are allowed while it is cold");
    }
  }

  /** Invariant 5: no task while an earlier one of its key and manager is unanswered or open. */
  private void order(ForwardArrived arrived, TaskSubmitted asked) {
    for (TaskSubmitted earlier :
        tasksByKey.getOrDefault(asked.manager() + '/' + asked.key(), List.of())) {
      if (asked.at() - earlier.at() < limits.keyCooldownNanos()) {
        return;
      }
      boolean done =
          (endTimes.getOrDefault(earlier.task(), Long.MAX_VALUE)
                  <= arrived.at() + CLIENT_LOG_LAG_NANOS)
              && outstanding.getOrDefault(earlier.task(), List.of()).isEmpty();
      if (!done) {
        violate(
            "order",
            arrived.at(),
            arrived.task() + " arrived before " + earlier.task() + " of the same key had ended");
      }
    }
  }

  /** Invariant 7: the retries of a manager stay within its retry budget. */
  private void ration(ForwardArrived arrived) {
    if (limits.retryBudgetWindowNanos() <= 0) {
      return;
    }
    ArrayDeque<Long> more =
        recentRetries.computeIfAbsent(arrived.manager(), key -> new ArrayDeque<>());
    ArrayDeque<Long> all =
        recentTasks.computeIfAbsent(arrived.manager(), key -> new ArrayDeque<>());
    more.add(arrived.at());
    more.removeIf(one -> one <= arrived.at() - limits.retryBudgetWindowNanos());
    all.removeIf(one -> one <= arrived.at() - limits.retryBudgetWindowNanos());
    if (more.size() > limits.spareAttempts() + limits.extraPerRequest() * all.size()) {
      violate(
          "ration",
          arrived.at(),
          arrived.manager() + " sent " + more.size() + " retries for " + all.size() + " tasks");
    }
  }

  private void checkUnanswered() {
    for (TaskSubmitted asked : tasks.values()) {
      if (!answers.containsKey(asked.task()) && !abandoned.contains(asked.task())) {
        violate("lost", asked.deadline(), asked.task() + " was never answered");
      }
    }
  }
}

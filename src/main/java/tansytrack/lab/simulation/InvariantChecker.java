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
   * @param answerSlackNanos tolerance for late answers
   * @param keyCooldownNanos tasks of one key that were sent closer together than this have no
   *     defined order
   * @param drainGraceNanos time after the start of a drain in which forwards may still arrive
   * @param cores cores of an engine
   * @param startCapacityFraction fraction of the capacity that a cold engine starts with
   * @param warmUpNanos time until an engine has its full capacity
   * @param overloadFactor allowed load of a cold engine, as a multiple of its present capacity
   * @param windowNanos time over which that load is counted
   * @param spareAttempts retries that are always allowed
   * @param extraPerRequest further retries allowed per task
   * @param retryBudgetWindowNanos time over which retries are counted; 0 for no limit
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
  // Mean work of all forwards in the log, in nanoseconds.
  private double meanWork;
  private ColdStartLoad coldStartLoad = new ColdStartLoad(0, 0);
  private long logStart;

  private InvariantChecker(Limits limits) {
    this.limits = limits;
  }

  /** The number of violations of each invariant; 0 for those that hold. */
  public static Map<String, Integer> violations(Limits limits, List<? extends Event> log) {
    return check(limits, log).violations;
  }

  /** A description of the first violation of each invariant; times from the start of the log. */
  public static List<String> firstViolations(Limits limits, List<? extends Event> log) {
    return check(limits, log).firstMessages;
  }

  /**
   * The highest load that any cold engine received within a window, in relation to what it bears:
   * by the work and by the number of its requests. The invariant {@code cold} holds up to 1.
   */
  public record ColdStartLoad(double byWork, double byRequests) {}

  /** Returns the highest load that any cold engine received. */
  public static ColdStartLoad coldStartLoad(Limits limits, List<? extends Event> log) {
    return check(limits, log).coldStartLoad;
  }

  private static InvariantChecker check(Limits limits, List<? extends Event> log) {
    InvariantChecker checker = new InvariantChecker(limits);
    for (String invariant : List.of("lost", "twice", "drain", "cold", "order", "place", "ration")) {
      checker.violations.put(invariant, 0);
    }
    List<Event> sorted = new ArrayList<>(log);
    sorted.sort(Comparator.comparingLong(Event::at));
    for (Event event : sorted) {
      if (event instanceof TaskAnswered taskAnswered) {
        checker.endTimes.putIfAbsent(taskAnswered.task(), taskAnswered.at());
      } else if (event instanceof TaskAbandoned taskAbandoned) {
        checker.endTimes.putIfAbsent(taskAbandoned.task(), taskAbandoned.at());
      }
    }
    checker.logStart = sorted.isEmpty() ? 0 : sorted.get(0).at();
    checker.meanWork =
        sorted.stream()
            .filter(ForwardArrived.class::isInstance)
            .mapToDouble(event -> ((ForwardArrived) event).work())
            .average()
            .orElse(1);
    sorted.forEach(checker::process);
    checker.checkUnanswered();
    return checker;
  }

  private void violate(String invariant, long at, String description) {
    if (violations.merge(invariant, 1, Integer::sum) == 1) {
      firstMessages.add(invariant + " at " + (at - logStart) / 1_000_000 + " ms: " + description);
    }
  }

  private void process(Event event) {
    if (event instanceof TaskSubmitted taskSubmitted) {
      submitted(taskSubmitted);
    } else if (event instanceof TaskAnswered taskAnswered) {
      onAnswered(taskAnswered);
    } else if (event instanceof TaskAbandoned taskAbandoned) {
      abandoned.add(taskAbandoned.task());
    } else if (event instanceof ManagerRestarted managerRestarted) {
      tasksByKey.keySet().removeIf(key -> key.startsWith(managerRestarted.manager() + '/'));
      recentTasks.remove(managerRestarted.manager());
      recentRetries.remove(managerRestarted.manager());
    } else if (event instanceof ForwardArrived forwardArrived) {
      onArrived(forwardArrived);
    } else if (event instanceof ForwardEnded forwardEnded) {
      outstanding
          .getOrDefault(forwardEnded.task(), new ArrayList<>())
          .remove(forwardEnded.engine());
      if (forwardEnded.mayHaveRun()) {
        mayHaveRun.add(forwardEnded.task());
      }
    } else if (event instanceof EngineListed engineListed) {
      listed.put(engineListed.engine(), engineListed);
      if (engineListed.ready()) {
        notReadySince.remove(engineListed.engine());
      } else {
        notReadySince.putIfAbsent(engineListed.engine(), engineListed.at());
      }
    }
  }

  private void submitted(TaskSubmitted submission) {
    tasks.put(submission.task(), submission);
    recentTasks
        .computeIfAbsent(submission.manager(), key -> new ArrayDeque<>())
        .add(submission.at());
    if (submission.key() != 0) {
      tasksByKey
          .computeIfAbsent(submission.manager() + '/' + submission.key(), key -> new ArrayList<>())
          .add(submission);
    }
  }

  /** Invariant 1, and invariant 2 for rejections: a rejection promises that a retry is safe. */
  private void onAnswered(TaskAnswered answer) {
    TaskSubmitted submission = tasks.get(answer.task());
    if (submission == null || answers.merge(answer.task(), 1, Integer::sum) > 1) {
      violate("lost", answer.at(), answer.task() + " was answered twice or never sent");
    } else if (answer.at() > submission.deadline() + limits.answerSlackNanos()) {
      violate("lost", answer.at(), answer.task() + " was answered after its deadline");
    }
    boolean mayHaveBeenRun =
        mayHaveRun.contains(answer.task())
            || !outstanding.getOrDefault(answer.task(), List.of()).isEmpty();
    if (submission != null
        && answer.outcome() == TaskResult.REJECTED
        && submission.retrySafety() == RetrySafety.NON_IDEMPOTENT
        && mayHaveBeenRun) {
      violate("twice", answer.at(), answer.task() + " was rejected although it may have run");
    }
  }

  private void onArrived(ForwardArrived arrival) {
    TaskSubmitted submission = tasks.get(arrival.task());
    EngineListed engine = listed.get(arrival.engine());
    int earlierArrivals = arrivals.merge(arrival.task(), 1, Integer::sum) - 1;
    List<String> openOn = outstanding.computeIfAbsent(arrival.task(), key -> new ArrayList<>());
    if (submission != null
        && submission.retrySafety() == RetrySafety.NON_IDEMPOTENT
        && (mayHaveRun.contains(arrival.task()) || !openOn.isEmpty())) {
      violate("twice", arrival.at(), arrival.task() + " was sent again although it may have run");
    }
    openOn.add(arrival.engine());
    Long drainingSince = notReadySince.get(arrival.engine());
    if (drainingSince != null && arrival.at() > drainingSince + limits.drainGraceNanos()) {
      violate(
          "drain",
          arrival.at(),
          arrival.task()
              + " reached "
              + arrival.engine()
              + " "
              + (arrival.at() - drainingSince) / 1_000_000
              + " ms after its drain began");
    }
    if (submission != null
        && engine != null
        && !submission.allowedZones().isEmpty()
        && !submission.allowedZones().contains(engine.zone())) {
      violate(
          "place",
          arrival.at(),
          arrival.task() + " reached " + arrival.engine() + " in " + engine.zone());
    }
    if (engine != null) {
      checkColdStart(arrival, engine);
    }
    if (submission != null && submission.key() != 0) {
      checkOrder(arrival, submission);
    }
    if (earlierArrivals > 0) {
      checkRetryBudget(arrival);
    }
  }

  /**
   * Invariant 4: what all managers together send to a cold engine within the window, both by the
   * work and by the number of the requests.
   */
  private void checkColdStart(ForwardArrived arrival, EngineListed engine) {
    double warmUpProgress =
        engine.startedAt() == 0 || limits.warmUpNanos() <= 0
            ? 1
            : (arrival.at() - engine.startedAt()) / (double) limits.warmUpNanos();
    ArrayDeque<ForwardArrived> recent =
        coldArrivals.computeIfAbsent(engine.engine(), key -> new ArrayDeque<>());
    recent.removeIf(
        earlier ->
            earlier.at() <= arrival.at() - limits.windowNanos()
                || earlier.at() < engine.startedAt());
    if (warmUpProgress >= 1) {
      return;
    }
    recent.add(arrival);
    double capacityFraction =
        limits.startCapacityFraction()
            + (1 - limits.startCapacityFraction()) * Math.max(0, warmUpProgress);
    double allowed =
        limits.overloadFactor()
            * capacityFraction
            * limits.cores()
            * limits.windowNanos()
            / meanWork;
    double sentWork = recent.stream().mapToDouble(ForwardArrived::work).sum() / meanWork;
    double limit = SlowStartThreshold.maxRequests(allowed);
    coldStartLoad =
        new ColdStartLoad(
            Math.max(coldStartLoad.byWork(), sentWork / limit),
            Math.max(coldStartLoad.byRequests(), recent.size() / limit));
    if (Math.max(sentWork, recent.size()) > limit) {
      violate(
          "cold",
          arrival.at(),
          engine.engine()
              + " received "
              + recent.size()
              + " tasks, work of "
              + Math.round(sentWork)
              + " mean ones; "
              + Math.round(allowed)
              + " are allowed while it is cold");
    }
  }

  /** Invariant 5: no task while an earlier one of its key and manager is unanswered or open. */
  private void checkOrder(ForwardArrived arrival, TaskSubmitted submission) {
    for (TaskSubmitted earlier :
        tasksByKey.getOrDefault(submission.manager() + '/' + submission.key(), List.of())) {
      if (submission.at() - earlier.at() < limits.keyCooldownNanos()) {
        return;
      }
      boolean ended =
          (endTimes.getOrDefault(earlier.task(), Long.MAX_VALUE)
                  <= arrival.at() + CLIENT_LOG_LAG_NANOS)
              && outstanding.getOrDefault(earlier.task(), List.of()).isEmpty();
      if (!ended) {
        violate(
            "order",
            arrival.at(),
            arrival.task() + " arrived before " + earlier.task() + " of the same key had ended");
      }
    }
  }

  /** Invariant 7: the retries of a manager stay within its retry budget. */
  private void checkRetryBudget(ForwardArrived arrival) {
    if (limits.retryBudgetWindowNanos() <= 0) {
      return;
    }
    ArrayDeque<Long> retries =
        recentRetries.computeIfAbsent(arrival.manager(), key -> new ArrayDeque<>());
    ArrayDeque<Long> managerTasks =
        recentTasks.computeIfAbsent(arrival.manager(), key -> new ArrayDeque<>());
    retries.add(arrival.at());
    retries.removeIf(time -> time <= arrival.at() - limits.retryBudgetWindowNanos());
    managerTasks.removeIf(time -> time <= arrival.at() - limits.retryBudgetWindowNanos());
    if (retries.size() > limits.spareAttempts() + limits.extraPerRequest() * managerTasks.size()) {
      violate(
          "ration",
          arrival.at(),
          arrival.manager()
              + " sent "
              + retries.size()
              + " retries for "
              + managerTasks.size()
              + " tasks");
    }
  }

  private void checkUnanswered() {
    for (TaskSubmitted submission : tasks.values()) {
      if (!answers.containsKey(submission.task()) && !abandoned.contains(submission.task())) {
        violate("lost", submission.deadline(), submission.task() + " was never answered");
      }
    }
  }
}

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
 * The seven rules, summed over all managers, judged only by what stand-ins saw: clients, engines
 * and the list. Knows nothing of the program. Each rule is counted under its name.
 */
public final class InvariantChecker {

  /** How effects may repeat. */
  public enum RetrySafety {
    IDEMPOTENT,
    DEDUPLICATED,
    NON_IDEMPOTENT
  }

  /** How an answer came. */
  public enum TaskResult {
    HANDLED,
    REJECTED,
    ABORTED
  }

  /** Something that a stand-in saw. */
  public sealed interface Event {
    /** Time of the event, on the clock that all reporters share. */
    long at();
  }

  /** A client has written a task to that manager; key 0: none. */
  public record TaskSubmitted(
      long at,
      String manager,
      String task,
      RetrySafety retrySafety,
      long key,
      long deadline,
      Set<String> allowedZones)
      implements Event {}

  /** A client has its answer. */
  public record TaskAnswered(long at, String task, TaskResult outcome) implements Event {}

  /** A client gave it up: none is owed. */
  public record TaskAbandoned(long at, String task) implements Event {}

  /**
   * A manager starts anew: what the life before had taken is lost with it, and rules count from
   * here.
   */
  public record ManagerRestarted(long at, String manager) implements Event {}

  /** A task has come whole to an engine, from that manager. */
  public record ForwardArrived(long at, String manager, String engine, String task, double work)
      implements Event {}

  /** It ended there, or was given up; or it never ran. */
  public record ForwardEnded(long at, String engine, String task, boolean mayHaveRun)
      implements Event {}

  /** The list tells of an engine: usable or not, and when it started, 0: long ago. */
  public record EngineListed(long at, String engine, String zone, boolean ready, long startedAt)
      implements Event {}

  /**
   * Figures of the rules; times in nanoseconds. Tasks of a key that were asked closer than {@code
   * apart} have no order.
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

  private static final long CLIENT_LOG_LAG_NANOS =
      300_000_000L; // a client's word, behind what the manager did next

  private final Limits limits;
  private final Map<String, Long> endTimes =
      new HashMap<>(); // when tasks got their answers, or were given up
  private final Map<String, Integer> violations = new TreeMap<>();
  private final List<String> firstMessages = new ArrayList<>();
  private final Map<String, TaskSubmitted> tasks = new HashMap<>();
  private final Map<String, Integer> answers = new HashMap<>();
  private final Set<String> abandoned = new HashSet<>();
  private final Map<String, List<String>> outstanding =
      new HashMap<>(); // engines that have it, by task
  private final Set<String> mayHaveRun = new HashSet<>();
  private final Map<String, Integer> arrivals = new HashMap<>();
  private final Map<String, EngineListed> listed = new HashMap<>();
  private final Map<String, Long> notReadySince = new HashMap<>();
  private final Map<String, ArrayDeque<ForwardArrived>> coldArrivals = new HashMap<>();
  private final Map<String, ArrayDeque<Long>> recentTasks =
      new HashMap<>(); // by manager, within the ration's window
  private final Map<String, ArrayDeque<Long>> recentRetries = new HashMap<>();
  private final Map<String, List<TaskSubmitted>> tasksByKey =
      new HashMap<>(); // by manager and key, unanswered or out, as taken
  private double totalWork;
  private long totalForwards;
  private long logStart; // the log's first time

  private InvariantChecker(Limits rules) {
    this.limits = rules;
  }

  /** How often each rule was broken; rules that held have 0. */
  public static Map<String, Integer> violations(Limits rules, List<? extends Event> log) {
    return check(rules, log).violations;
  }

  /** The first break of each, in words; times from the log's first one. */
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

  /** Rule 1: one answer, in time. Rule 2: a bounce promises that trying again is harmless. */
  private void answered(TaskAnswered answered) {
    TaskSubmitted asked = tasks.get(answered.task());
    if (asked == null || answers.merge(answered.task(), 1, Integer::sum) > 1) {
      violate("lost", answered.at(), answered.task() + " was answered twice, or never asked");
    } else if (answered.at() > asked.deadline() + limits.answerSlackNanos()) {
      violate("lost", answered.at(), answered.task() + " was answered too late");
    }
    boolean ran =
        mayHaveRun.contains(answered.task())
            || !outstanding.getOrDefault(answered.task(), List.of()).isEmpty();
    if (asked != null
        && answered.outcome() == TaskResult.REJECTED
        && asked.retrySafety() == RetrySafety.NON_IDEMPOTENT
        && ran) {
      violate("twice", answered.at(), answered.task() + " was bounced, though it may have run");
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
      violate("twice", arrived.at(), arrived.task() + " came again, though it may have run");
    }
    open.add(arrived.engine());
    Long since = notReadySince.get(arrived.engine());
    if (since != null && arrived.at() > since + limits.drainGraceNanos()) {
      violate(
          "drain",
          arrived.at(),
          arrived.task()
              + " came to "
              + arrived.engine()
              + " "
              + (arrived.at() - since) / 1_000_000
              + " ms behind its drain");
    }
    if (asked != null
        && engine != null
        && !asked.allowedZones().isEmpty()
        && !asked.allowedZones().contains(engine.zone())) {
      violate(
          "place",
          arrived.at(),
          arrived.task() + " came to " + arrived.engine() + " in " + engine.zone());
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

  /** Rule 4: what all managers together send to a cold engine within the window. */
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
              + " was sent "
              + Math.round(sent)
              + " tasks of mean work, "
              + Math.round(allowed)
              + " are allowed");
    }
  }

  /** Rule 5: none of a key while an earlier one of the same manager is unanswered or out. */
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
            arrived.task() + " came while " + earlier.task() + " of the same key was not over");
      }
    }
  }

  /** Rule 7: further forwards of a manager within its ration. */
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
          arrived.manager()
              + " sent "
              + more.size()
              + " further forwards for "
              + all.size()
              + " tasks");
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

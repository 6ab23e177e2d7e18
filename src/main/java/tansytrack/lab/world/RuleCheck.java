package tansytrack.lab.world;

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
public final class RuleCheck {

  /** Whether a task may run more than once. */
  public enum Repeat {
    HARMLESS,
    STAMPED,
    ONE_SHOT
  }

  /** The outcome of a task as its client sees it. */
  public enum Answer {
    HANDLED,
    BOUNCED,
    ABORTED
  }

  /** An event in the log. */
  public sealed interface Seen {
    /** The time of the event, on a clock that all reporters share. */
    long at();
  }

  /** A client has sent a task to a manager; key 0 if the task has none. */
  public record Asked(
      long at,
      String manager,
      String task,
      Repeat repeat,
      long key,
      long deadline,
      Set<String> places)
      implements Seen {}

  /** A client has received the answer to a task. */
  public record Answered(long at, String task, Answer how) implements Seen {}

  /** A client has abandoned a task; no answer is required. */
  public record Left(long at, String task) implements Seen {}

  /**
   * A manager has restarted: the tasks of its previous instance are lost, and its counts restart.
   */
  public record Restarted(long at, String manager) implements Seen {}

  /** A forward from a manager has reached an engine completely. */
  public record Arrived(long at, String manager, String engine, String task, double work)
      implements Seen {}

  /** A forward has ended on an engine, was cancelled there, or never ran. */
  public record Over(long at, String engine, String task, boolean mayHaveRun) implements Seen {}

  /** The engine list reports an engine, whether it is ready, and its start time (0: long ago). */
  public record Listed(long at, String engine, String place, boolean ready, long startedAt)
      implements Seen {}

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
  public record Rules(
      long slack,
      long apart,
      long drainGrace,
      double cores,
      double startCapacity,
      long warmAfter,
      double multiple,
      long window,
      double spare,
      double share,
      long rationWindow) {}

  // How much later a client may log an answer than the manager's next action.
  private static final long LOGGED_LATE = 300_000_000L;

  private final Rules rules;
  // When each task was answered or abandoned.
  private final Map<String, Long> ends = new HashMap<>();
  private final Map<String, Integer> broken = new TreeMap<>();
  private final List<String> first = new ArrayList<>();
  private final Map<String, Asked> tasks = new HashMap<>();
  private final Map<String, Integer> answers = new HashMap<>();
  private final Set<String> owedNone = new HashSet<>();
  // By task, the engines on which it is open.
  private final Map<String, List<String>> out = new HashMap<>();
  private final Set<String> mayHaveRun = new HashSet<>();
  private final Map<String, Integer> arrivals = new HashMap<>();
  private final Map<String, Listed> listed = new HashMap<>();
  private final Map<String, Long> notReadySince = new HashMap<>();
  private final Map<String, ArrayDeque<Arrived>> cold = new HashMap<>();
  // By manager, the times of tasks and of retries within the retry window.
  private final Map<String, ArrayDeque<Long>> taken = new HashMap<>();
  private final Map<String, ArrayDeque<Long>> further = new HashMap<>();
  // By manager and key, in the order sent.
  private final Map<String, List<Asked>> lines = new HashMap<>();
  private double works;
  private long count;
  private long from;

  private RuleCheck(Rules rules) {
    this.rules = rules;
  }

  /** The number of violations of each invariant; 0 for those that hold. */
  public static Map<String, Integer> broken(Rules rules, List<? extends Seen> log) {
    return judged(rules, log).broken;
  }

  /** A description of the first violation of each invariant; times from the start of the log. */
  public static List<String> said(Rules rules, List<? extends Seen> log) {
    return judged(rules, log).first;
  }

  private static RuleCheck judged(Rules rules, List<? extends Seen> log) {
    RuleCheck check = new RuleCheck(rules);
    for (String rule : List.of("lost", "twice", "drain", "cold", "order", "place", "ration")) {
      check.broken.put(rule, 0);
    }
    List<Seen> sorted = new ArrayList<>(log);
    sorted.sort(Comparator.comparingLong(Seen::at));
    for (Seen one : sorted) {
      if (one instanceof Answered answered) {
        check.ends.putIfAbsent(answered.task(), answered.at());
      } else if (one instanceof Left left) {
        check.ends.putIfAbsent(left.task(), left.at());
      }
    }
    check.from = sorted.isEmpty() ? 0 : sorted.get(0).at();
    sorted.forEach(check::see);
    check.end();
    return check;
  }

  private void broke(String rule, long at, String what) {
    if (broken.merge(rule, 1, Integer::sum) == 1) {
      first.add(rule + " at " + (at - from) / 1_000_000 + " ms: " + what);
    }
  }

  private void see(Seen one) {
    if (one instanceof Asked asked) {
      asked(asked);
    } else if (one instanceof Answered answered) {
      answered(answered);
    } else if (one instanceof Left left) {
      owedNone.add(left.task());
    } else if (one instanceof Restarted restarted) {
      lines.keySet().removeIf(key -> key.startsWith(restarted.manager() + '/'));
      taken.remove(restarted.manager());
      further.remove(restarted.manager());
    } else if (one instanceof Arrived arrived) {
      arrived(arrived);
    } else if (one instanceof Over over) {
      out.getOrDefault(over.task(), new ArrayList<>()).remove(over.engine());
      if (over.mayHaveRun()) {
        mayHaveRun.add(over.task());
      }
    } else if (one instanceof Listed now) {
      listed.put(now.engine(), now);
      if (now.ready()) {
        notReadySince.remove(now.engine());
      } else {
        notReadySince.putIfAbsent(now.engine(), now.at());
      }
    }
  }

  private void asked(Asked asked) {
    tasks.put(asked.task(), asked);
    taken.computeIfAbsent(asked.manager(), key -> new ArrayDeque<>()).add(asked.at());
    if (asked.key() != 0) {
      lines
          .computeIfAbsent(asked.manager() + '/' + asked.key(), key -> new ArrayList<>())
          .add(asked);
    }
  }

  /** Invariant 1, and invariant 2 for rejections: a rejection promises that a retry is safe. */
  private void answered(Answered answered) {
    Asked asked = tasks.get(answered.task());
    if (asked == null || answers.merge(answered.task(), 1, Integer::sum) > 1) {
      broke("lost", answered.at(), answered.task() + " was answered twice or never sent");
    } else if (answered.at() > asked.deadline() + rules.slack()) {
      broke("lost", answered.at(), answered.task() + " was answered after its deadline");
    }
    boolean ran =
        mayHaveRun.contains(answered.task())
            || !out.getOrDefault(answered.task(), List.of()).isEmpty();
    if (asked != null
        && answered.how() == Answer.BOUNCED
        && asked.repeat() == Repeat.ONE_SHOT
        && ran) {
      broke("twice", answered.at(), answered.task() + " was rejected although it may have run");
    }
  }

  private void arrived(Arrived arrived) {
    Asked asked = tasks.get(arrived.task());
    Listed engine = listed.get(arrived.engine());
    int before = arrivals.merge(arrived.task(), 1, Integer::sum) - 1;
    List<String> open = out.computeIfAbsent(arrived.task(), key -> new ArrayList<>());
    if (asked != null
        && asked.repeat() == Repeat.ONE_SHOT
        && (mayHaveRun.contains(arrived.task()) || !open.isEmpty())) {
      broke("twice", arrived.at(), arrived.task() + " was sent again although it may have run");
    }
    open.add(arrived.engine());
    Long since = notReadySince.get(arrived.engine());
    if (since != null && arrived.at() > since + rules.drainGrace()) {
      broke(
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
        && !asked.places().isEmpty()
        && !asked.places().contains(engine.place())) {
      broke(
          "place",
          arrived.at(),
          arrived.task() + " reached " + arrived.engine() + " in " + engine.place());
    }
    works += arrived.work();
    count++;
    if (engine != null) {
      cold(arrived, engine);
    }
    if (asked != null && asked.key() != 0) {
      order(arrived, asked);
    }
    if (before > 0) {
      ration(arrived);
    }
  }

  /** Invariant 4: the work that all managers together send to a cold engine within the window. */
  private void cold(Arrived arrived, Listed engine) {
    double age =
        engine.startedAt() == 0 || rules.warmAfter() <= 0
            ? 1
            : (arrived.at() - engine.startedAt()) / (double) rules.warmAfter();
    ArrayDeque<Arrived> window = cold.computeIfAbsent(engine.engine(), key -> new ArrayDeque<>());
    window.removeIf(
        one -> one.at() <= arrived.at() - rules.window() || one.at() < engine.startedAt());
    if (age >= 1) {
      return;
    }
    window.add(arrived);
    double mean = works / count;
    double warmth = rules.startCapacity() + (1 - rules.startCapacity()) * Math.max(0, age);
    double allowed = rules.multiple() * warmth * rules.cores() * rules.window() / mean;
    double sent = window.stream().mapToDouble(Arrived::work).sum() / mean;
    if (sent > allowed + 3 * Math.sqrt(allowed) + 3) {
      broke(
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
  private void order(Arrived arrived, Asked asked) {
    for (Asked earlier : lines.getOrDefault(asked.manager() + '/' + asked.key(), List.of())) {
      if (asked.at() - earlier.at() < rules.apart()) {
        return;
      }
      boolean done =
          (ends.getOrDefault(earlier.task(), Long.MAX_VALUE) <= arrived.at() + LOGGED_LATE)
              && out.getOrDefault(earlier.task(), List.of()).isEmpty();
      if (!done) {
        broke(
            "order",
            arrived.at(),
            arrived.task() + " arrived before " + earlier.task() + " of the same key had ended");
      }
    }
  }

  /** Invariant 7: the retries of a manager stay within its retry budget. */
  private void ration(Arrived arrived) {
    if (rules.rationWindow() <= 0) {
      return;
    }
    ArrayDeque<Long> more = further.computeIfAbsent(arrived.manager(), key -> new ArrayDeque<>());
    ArrayDeque<Long> all = taken.computeIfAbsent(arrived.manager(), key -> new ArrayDeque<>());
    more.add(arrived.at());
    more.removeIf(one -> one <= arrived.at() - rules.rationWindow());
    all.removeIf(one -> one <= arrived.at() - rules.rationWindow());
    if (more.size() > rules.spare() + rules.share() * all.size()) {
      broke(
          "ration",
          arrived.at(),
          arrived.manager()
              + " sent "
              + more.size()
              + " retries for "
              + all.size()
              + " tasks");
    }
  }

  private void end() {
    for (Asked asked : tasks.values()) {
      if (!answers.containsKey(asked.task()) && !owedNone.contains(asked.task())) {
        broke("lost", asked.deadline(), asked.task() + " was never answered");
      }
    }
  }
}

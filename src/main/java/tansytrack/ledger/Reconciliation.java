package tansytrack.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Compares ledgers with the runs in the statements of engines. Each forward in a ledger is matched
 * with a run of the same engine and task; what is found on one side only is reported with its
 * likely cause. Some differences are expected: a forward that did not reach its engine has no run,
 * and a forward whose manager died may have a run that tells its outcome.
 */
public final class Reconciliation {

  /**
   * One run in an engine's statement.
   *
   * @param work the work in nanoseconds on one core
   * @param done whether the engine completed the run; false if the engine dropped it
   */
  public record Run(String engine, String task, long work, boolean done) {}

  private record EngineTask(String engine, String task) implements Comparable<EngineTask> {
    @Override
    public int compareTo(EngineTask other) {
      int byTask = task.compareTo(other.task);
      return byTask != 0 ? byTask : engine.compareTo(other.engine);
    }
  }

  /**
   * A difference between the two sides for one task and engine.
   *
   * @param fault whether the difference is an error rather than an expected one
   */
  public record Finding(boolean fault, String kind, String engine, String task, String cause) {}

  private static final Set<String> NEVER_RUN_OUTCOMES = Set.of("UNREACHED", "NEVER_SENT", "FULL");
  private static final Set<String> MAY_HAVE_RUN_OUTCOMES =
      Set.of("RESET", "CANCELLED", "TIME_OUT", Use.UNKNOWN_OUTCOME);

  private final TreeMap<EngineTask, List<Use>> forwards = new TreeMap<>();
  private final TreeMap<EngineTask, List<Run>> runs = new TreeMap<>();
  private final Set<String> enginesWithStatement = new TreeSet<>();
  private long matchedForwards;

  /** Adds a ledger entry with all its forwards. */
  public void add(Entry entry) {
    for (Use forward : entry.uses()) {
      forwards
          .computeIfAbsent(
              new EngineTask(forward.engine(), entry.task()), key -> new ArrayList<>(1))
          .add(forward);
    }
  }

  /**
   * Adds an engine that has submitted a statement of all its runs, even if there are none. Forwards
   * to engines without a statement are not compared.
   */
  public void addEngine(String engine) {
    enginesWithStatement.add(engine);
  }

  /** Adds a run from the statement of an engine. */
  public void add(Run run) {
    enginesWithStatement.add(run.engine);
    runs.computeIfAbsent(new EngineTask(run.engine, run.task), key -> new ArrayList<>(1)).add(run);
  }

  /** Compares both sides and returns the differences, sorted by task and engine. */
  public List<Finding> findings() {
    matchedForwards = 0;
    List<Finding> findings = new ArrayList<>();
    Set<EngineTask> engineTasks = new TreeSet<>(forwards.keySet());
    engineTasks.addAll(runs.keySet());
    for (EngineTask engineTask : engineTasks) {
      if (enginesWithStatement.contains(engineTask.engine)) {
        compare(
            engineTask,
            forwards.getOrDefault(engineTask, List.of()),
            runs.getOrDefault(engineTask, List.of()),
            findings);
      }
    }
    return findings;
  }

  private void compare(
      EngineTask engineTask, List<Use> forwards, List<Run> runs, List<Finding> findings) {
    List<Run> unmatchedRuns = new ArrayList<>(runs);
    for (Use forward : forwards) {
      Run run = bestMatch(forward, unmatchedRuns);
      unmatchedRuns.remove(run);
      Finding finding = compare(engineTask, forward, run);
      if (finding == null) {
        matchedForwards++;
      } else {
        findings.add(finding);
      }
    }
    for (int remaining = unmatchedRuns.size(); remaining > 0; remaining--) {
      findings.add(
          new Finding(
              true,
              "at the engine only",
              engineTask.engine,
              engineTask.task,
              forwards.isEmpty()
                  ? "no ledger has this task: a ledger is missing, a manager crashed before it"
                      + " committed the task, or its ledger has a gap"
                  : "the engine has more runs of this task than the ledgers have forwards"));
    }
  }

  /** Compares a forward with its matched run, which may be null. Returns null if they agree. */
  private static Finding compare(EngineTask engineTask, Use forward, Run run) {
    String outcome = forward.outcome();
    if (run != null && outcome.equals("OK") && run.work != forward.work()) {
      return new Finding(
          true,
          "work differs",
          engineTask.engine,
          engineTask.task,
          "ledger " + forward.work() + " ns, engine " + run.work + " ns");
    }
    if (run != null && outcome.equals(Use.UNKNOWN_OUTCOME)) {
      return new Finding(
          false,
          "resolved by the engine",
          engineTask.engine,
          engineTask.task,
          "its manager died; the engine "
              + (run.done ? "ran it, " + run.work + " ns" : "dropped it"));
    }
    if (run == null && outcome.equals("OK")) {
      return new Finding(
          true,
          "in the ledger only",
          engineTask.engine,
          engineTask.task,
          "the statement is incomplete or covers another time");
    }
    if (run == null
        && !NEVER_RUN_OUTCOMES.contains(outcome)
        && !MAY_HAVE_RUN_OUTCOMES.contains(outcome)) {
      return new Finding(
          true,
          "in the ledger only",
          engineTask.engine,
          engineTask.task,
          "the engine answered " + outcome + " but states no run");
    }
    return null;
  }

  /**
   * Returns the run that matches best, or null if there is none: for a successful forward a
   * completed run with the same work, for others a run that was not completed.
   */
  private static Run bestMatch(Use forward, List<Run> runs) {
    Run best = null;
    for (Run run : runs) {
      boolean matches =
          forward.outcome().equals("OK") ? run.work == forward.work() && run.done : !run.done;
      if (best == null || matches) {
        best = run;
      }
    }
    return best;
  }

  /** Returns the number of forwards on which both sides agree; valid after {@link #findings}. */
  public long matchedForwards() {
    return matchedForwards;
  }
}

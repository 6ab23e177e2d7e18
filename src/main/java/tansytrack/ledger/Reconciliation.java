package tansytrack.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A ledger against what the engines say that they ran. Each forward in the ledger and each run in a
 * statement are matched by engine and task; what stands on one side only is named with its likely
 * cause. Some of that is no fault: a forward that never came to its engine has no run, and one
 * whose manager died has a run that resolves it.
 */
public final class Reconciliation {

  /** One run in an engine's statement; work in nanoseconds on one core. */
  public record Run(String engine, String task, long work, boolean done) {}

  private record EngineTask(String engine, String task) implements Comparable<EngineTask> {
    @Override
    public int compareTo(EngineTask other) {
      int by = task.compareTo(other.task);
      return by != 0 ? by : engine.compareTo(other.engine);
    }
  }

  /**
   * What was found of one task at one engine; a fault is on one side only, without an innocent
   * cause.
   */
  public record Finding(boolean fault, String kind, String engine, String task, String cause) {}

  private static final Set<String> NEVER_RUN_OUTCOMES = Set.of("UNREACHED", "NEVER_SENT", "FULL");
  private static final Set<String> MAY_HAVE_RUN_OUTCOMES =
      Set.of("RESET", "CANCELLED", "TIME_OUT", Use.UNKNOWN_OUTCOME);

  private final TreeMap<EngineTask, List<Use>> forwards = new TreeMap<>();
  private final TreeMap<EngineTask, List<Run>> runs = new TreeMap<>();
  private final Set<String> statedEngines = new TreeSet<>();
  private long matchedForwards;

  /** Takes a ledger entry with all its uses of engines. */
  public void add(Entry entry) {
    for (Use use : entry.uses()) {
      forwards
          .computeIfAbsent(new EngineTask(use.engine(), entry.task()), place -> new ArrayList<>(1))
          .add(use);
    }
  }

  /** An engine whose statement is whole, even if it ran nothing. */
  public void addEngine(String engine) {
    statedEngines.add(engine);
  }

  /** Takes a run that an engine states. */
  public void add(Run run) {
    statedEngines.add(run.engine);
    runs.computeIfAbsent(new EngineTask(run.engine, run.task), place -> new ArrayList<>(1))
        .add(run);
  }

  /** Compares both sides, by engine and task in the order of their names. */
  public List<Finding> findings() {
    matchedForwards = 0;
    List<Finding> findings = new ArrayList<>();
    Set<EngineTask> places = new TreeSet<>(forwards.keySet());
    places.addAll(runs.keySet());
    for (EngineTask place : places) {
      if (statedEngines.contains(place.engine)) {
        compare(
            place,
            forwards.getOrDefault(place, List.of()),
            runs.getOrDefault(place, List.of()),
            findings);
      }
    }
    return findings;
  }

  private void compare(EngineTask place, List<Use> uses, List<Run> runs, List<Finding> findings) {
    List<Run> left = new ArrayList<>(runs);
    for (Use use : uses) {
      Run run = bestMatch(use, left);
      left.remove(run);
      Finding finding = compare(place, use, run);
      if (finding == null) {
        matchedForwards++;
      } else {
        findings.add(finding);
      }
    }
    for (int unmatched = left.size(); unmatched > 0; unmatched--) {
      findings.add(
          new Finding(
              true,
              "at the engine only",
              place.engine,
              place.task,
              uses.isEmpty()
                  ? "no manager's ledger names it: a ledger is missing, or one crashed within its"
                      + " loss window, or ran with a gap"
                  : "the engine ran it once more than it was forwarded"));
    }
  }

  /** What is wrong or to be told of a use and the run that fits it, null where both agree. */
  private static Finding compare(EngineTask place, Use use, Run run) {
    String outcome = use.outcome();
    if (run != null && outcome.equals("OK") && run.work != use.work()) {
      return new Finding(
          true,
          "work differs",
          place.engine,
          place.task,
          "ledger " + use.work() + " ns, engine " + run.work + " ns");
    }
    if (run != null && outcome.equals(Use.UNKNOWN_OUTCOME)) {
      return new Finding(
          false,
          "resolved by the engine",
          place.engine,
          place.task,
          "its manager died; the engine "
              + (run.done ? "ran it, " + run.work + " ns" : "dropped it"));
    }
    if (run == null && outcome.equals("OK")) {
      return new Finding(
          true,
          "in the ledger only",
          place.engine,
          place.task,
          "the statement is cut off, or of another time");
    }
    if (run == null
        && !NEVER_RUN_OUTCOMES.contains(outcome)
        && !MAY_HAVE_RUN_OUTCOMES.contains(outcome)) {
      return new Finding(
          true,
          "in the ledger only",
          place.engine,
          place.task,
          "the engine answered " + outcome + " and states no run");
    }
    return null;
  }

  /** The run that fits best: for a good end one with its work, for others one that is not done. */
  private static Run bestMatch(Use use, List<Run> runs) {
    Run best = null;
    for (Run run : runs) {
      boolean good = use.outcome().equals("OK") ? run.work == use.work() && run.done : !run.done;
      if (best == null || good) {
        best = run;
      }
    }
    return best;
  }

  /** Forwards that both sides account for; known once the findings were asked for. */
  public long matchedForwards() {
    return matchedForwards;
  }
}

package tansytrack.lab.scale;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The result of a scale run.
 *
 * @param plan the parameters of the run
 * @param figures by name, in the order of the result table
 * @param engines the work that each engine received
 * @param managers the engines that each manager holds and used
 * @param inTimeShares the share of statements answered in time, by second of arrival
 */
public record ScaleResult(
    ScalePlan plan,
    Map<String, Double> figures,
    List<EngineWork> engines,
    List<ManagerPairs> managers,
    double[] inTimeShares) {

  /**
   * The attempts that reached an engine, the admitted work in core nanoseconds, and the numbers of
   * managers that hold it and that used it.
   */
  public record EngineWork(
      String id,
      int zone,
      long attempts,
      long workNanos,
      int knownByManagers,
      int usedByManagers) {}

  /** The numbers of engines that a manager holds and has used. */
  public record ManagerPairs(int index, int zone, int knownEngines, int usedEngines) {}

  /** The number of pairs of a manager and an engine that it holds; determines the memory used. */
  public static final String PAIRS_KNOWN = "pairs_known";

  /** The figures to which slopes are fitted. */
  public static final List<String> FITTED_FIGURES =
      List.of(
          PAIRS_KNOWN,
          "pairs_used",
          "managers_an_engine_mean",
          "engines_a_manager_mean",
          "placement_checks_a_list");

  /** Computes the result of a completed simulation. */
  public static ScaleResult of(ScaleSimulation simulation) {
    int[] knownBy = new int[simulation.engines().size()];
    int[] usedBy = new int[simulation.engines().size()];
    double[] evenShares = new double[simulation.engines().size()];
    List<ManagerPairs> managers = new ArrayList<>();
    for (HollowManager manager : simulation.managers()) {
      BitSet known = simulation.pairChanges().knownEngines(manager);
      int count = known.cardinality();
      known.stream().forEach(engine -> knownBy[engine]++);
      known.stream().forEach(engine -> evenShares[engine] += 1.0 / count);
      manager.usedEngines().stream().forEach(engine -> usedBy[engine]++);
      managers.add(
          new ManagerPairs(
              manager.index, manager.zone, count, manager.usedEngines().cardinality()));
    }
    List<EngineWork> engines = new ArrayList<>();
    for (HollowEngine engine : simulation.engines()) {
      engines.add(
          new EngineWork(
              engine.id,
              engine.zone,
              engine.attemptCount(),
              engine.workNanos(),
              knownBy[engine.index],
              usedBy[engine.index]));
    }
    RunCounters counters = simulation.totalCounters();
    Map<String, Double> figures = new LinkedHashMap<>();
    addPairFigures(figures, simulation, engines, managers, evenShares);
    addWorkFigures(figures, simulation, engines, counters);
    addOutcomeFigures(figures, counters);
    addViolationFigures(figures, counters);
    return new ScaleResult(simulation.plan(), figures, engines, managers, counters.inTimeShares());
  }

  /** Whether the engine is listed at the end of the run, that is, has not been replaced. */
  private static boolean isListed(HollowEngine engine) {
    return engine.drainChange == null;
  }

  private static void addPairFigures(
      Map<String, Double> figures,
      ScaleSimulation simulation,
      List<EngineWork> engines,
      List<ManagerPairs> managers,
      double[] evenShares) {
    int[] listed =
        simulation.engines().stream()
            .filter(ScaleResult::isListed)
            .mapToInt(engine -> engine.index)
            .toArray();
    double[] managersPerEngine = new double[listed.length];
    double[] listedShares = new double[listed.length];
    for (int i = 0; i < listed.length; i++) {
      managersPerEngine[i] = engines.get(listed[i]).knownByManagers();
      listedShares[i] = evenShares[listed[i]];
    }
    figures.put(PAIRS_KNOWN, managers.stream().mapToDouble(ManagerPairs::knownEngines).sum());
    figures.put("pairs_used", managers.stream().mapToDouble(ManagerPairs::usedEngines).sum());
    figures.put("pairs_added", (double) simulation.pairChanges().added());
    figures.put("pairs_removed", (double) simulation.pairChanges().removed());
    addSummary(figures, "managers_an_engine", FigureSummary.of(managersPerEngine));
    double[] known = managers.stream().mapToDouble(ManagerPairs::knownEngines).toArray();
    addSummary(figures, "engines_a_manager", FigureSummary.of(known));
    figures.put("even_part_over_mean_max", FigureSummary.of(listedShares).maxOverMean());
  }

  private static void addSummary(Map<String, Double> figures, String name, FigureSummary summary) {
    figures.put(name + "_min", summary.min());
    figures.put(name + "_mean", summary.mean());
    figures.put(name + "_max", summary.max());
  }

  private static void addWorkFigures(
      Map<String, Double> figures,
      ScaleSimulation simulation,
      List<EngineWork> engines,
      RunCounters counters) {
    // Only engines that ran all the time, as the others had less time for work.
    List<EngineWork> longRunning =
        simulation.engines().stream()
            .filter(engine -> isListed(engine) && engine.startedBeforeRun())
            .map(engine -> engines.get(engine.index))
            .toList();
    double[] work = longRunning.stream().mapToDouble(EngineWork::workNanos).toArray();
    double attempts = longRunning.stream().mapToDouble(EngineWork::attempts).average().orElse(0);
    figures.put("attempts_an_engine_mean", attempts);
    figures.put("work_over_mean_max", FigureSummary.of(work).maxOverMean());
    double byChance = attempts == 0 ? 0 : 1 + Math.sqrt(2 * Math.log(work.length) / attempts);
    figures.put("work_over_mean_by_chance", byChance);
    figures.put("attempts_a_statement", ratio(counters.attempts, counters.statements));
    figures.put(
        "placement_checks_a_sweep", ratio(counters.placementChecksInSweeps, counters.sweeps));
    figures.put(
        "placement_checks_a_list", ratio(counters.placementChecksOnLists, counters.listsReceived));
    figures.put("sweeps", (double) counters.sweeps);
    figures.put("probes", (double) counters.probes);
  }

  private static void addOutcomeFigures(Map<String, Double> figures, RunCounters counters) {
    long open =
        counters.statements
            - counters.inTime
            - counters.late
            - counters.rejected
            - counters.aborted
            - counters.lostWithManager
            - counters.arrivedWithoutManager;
    figures.put("statements", (double) counters.statements);
    figures.put("in_time_share_min", ratio(counters.inTime, counters.statements));
    figures.put("late_share_max", ratio(counters.late, counters.statements));
    figures.put("refused_share_max", ratio(counters.rejected, counters.statements));
    figures.put("aborted_share_max", ratio(counters.aborted, counters.statements));
    figures.put(
        "with_manager_share_max",
        ratio(counters.lostWithManager + counters.arrivedWithoutManager, counters.statements));
    figures.put("unanswered", (double) open);
  }

  private static void addViolationFigures(Map<String, Double> figures, RunCounters counters) {
    figures.put("cold_pushed_over", (double) counters.coldLimitViolations);
    figures.put("cold_fallen", (double) counters.coldEngineFailures);
    figures.put("drain_broken", (double) counters.drainViolations);
    figures.put("drain_unheard", (double) counters.forwardsBeforeDrainNotice);
  }

  private static double ratio(long count, long total) {
    return total == 0 ? 0 : count / (double) total;
  }
}

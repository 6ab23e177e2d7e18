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
      String id, int zone, long attempts, long work, int knownBy, int usedBy) {}

  /** The numbers of engines that a manager holds and has used. */
  public record ManagerPairs(int index, int zone, int known, int used) {}

  /** The number of pairs of a manager and an engine that it holds; determines the memory used. */
  public static final String PAIRS_KNOWN = "pairs_known";

  /** The figures to which slopes are fitted. */
  public static final List<String> COUNTS =
      List.of(
          PAIRS_KNOWN,
          "pairs_used",
          "managers_an_engine_mean",
          "engines_a_manager_mean",
          "placement_checks_a_list");

  /** Computes the result of a completed simulation. */
  public static ScaleResult of(ScaleWorld world) {
    int[] knownBy = new int[world.engines().size()];
    int[] usedBy = new int[world.engines().size()];
    double[] evenPart = new double[world.engines().size()];
    List<ManagerPairs> managers = new ArrayList<>();
    for (HollowManager manager : world.managers()) {
      BitSet known = world.pairChanges().known(manager);
      int count = known.cardinality();
      known.stream().forEach(engine -> knownBy[engine]++);
      known.stream().forEach(engine -> evenPart[engine] += 1.0 / count);
      manager.used().stream().forEach(engine -> usedBy[engine]++);
      managers.add(
          new ManagerPairs(manager.index, manager.zone, count, manager.used().cardinality()));
    }
    List<EngineWork> engines = new ArrayList<>();
    for (HollowEngine engine : world.engines()) {
      engines.add(
          new EngineWork(
              engine.id,
              engine.zone,
              engine.attempts(),
              engine.work(),
              knownBy[engine.index],
              usedBy[engine.index]));
    }
    Counts counts = world.counts();
    Map<String, Double> figures = new LinkedHashMap<>();
    pairs(figures, world, engines, managers, evenPart);
    work(figures, world, engines, counts);
    served(figures, counts);
    broken(figures, counts);
    return new ScaleResult(world.plan(), figures, engines, managers, counts.inTimeShares());
  }

  /** Whether the engine is listed at the end of the run, that is, has not been replaced. */
  private static boolean listed(HollowEngine engine) {
    return engine.drained == null;
  }

  private static void pairs(
      Map<String, Double> figures,
      ScaleWorld world,
      List<EngineWork> engines,
      List<ManagerPairs> managers,
      double[] evenPart) {
    int[] listed =
        world.engines().stream()
            .filter(ScaleResult::listed)
            .mapToInt(engine -> engine.index)
            .toArray();
    double[] managersAnEngine = new double[listed.length];
    double[] parts = new double[listed.length];
    for (int i = 0; i < listed.length; i++) {
      managersAnEngine[i] = engines.get(listed[i]).knownBy();
      parts[i] = evenPart[listed[i]];
    }
    figures.put(PAIRS_KNOWN, managers.stream().mapToDouble(ManagerPairs::known).sum());
    figures.put("pairs_used", managers.stream().mapToDouble(ManagerPairs::used).sum());
    figures.put("pairs_added", (double) world.pairChanges().added());
    figures.put("pairs_removed", (double) world.pairChanges().removed());
    spread(figures, "managers_an_engine", Spread.of(managersAnEngine));
    double[] known = managers.stream().mapToDouble(ManagerPairs::known).toArray();
    spread(figures, "engines_a_manager", Spread.of(known));
    figures.put("even_part_over_mean_max", Spread.of(parts).maxOverMean());
  }

  private static void spread(Map<String, Double> figures, String name, Spread spread) {
    figures.put(name + "_min", spread.min());
    figures.put(name + "_mean", spread.mean());
    figures.put(name + "_max", spread.max());
  }

  private static void work(
      Map<String, Double> figures, ScaleWorld world, List<EngineWork> engines, Counts counts) {
    // Only engines that ran all the time, as the others had less time for work.
    List<EngineWork> steady =
        world.engines().stream()
            .filter(engine -> listed(engine) && engine.old())
            .map(engine -> engines.get(engine.index))
            .toList();
    double[] work = steady.stream().mapToDouble(EngineWork::work).toArray();
    double attempts = steady.stream().mapToDouble(EngineWork::attempts).average().orElse(0);
    figures.put("attempts_an_engine_mean", attempts);
    figures.put("work_over_mean_max", Spread.of(work).maxOverMean());
    double byChance = attempts == 0 ? 0 : 1 + Math.sqrt(2 * Math.log(work.length) / attempts);
    figures.put("work_over_mean_by_chance", byChance);
    figures.put("attempts_a_statement", part(counts.attempts, counts.asked));
    figures.put("placement_checks_a_sweep", part(counts.sweepChecks, counts.sweeps));
    figures.put("placement_checks_a_list", part(counts.listChecks, counts.listsHeard));
    figures.put("sweeps", (double) counts.sweeps);
    figures.put("probes", (double) counts.probes);
  }

  private static void served(Map<String, Double> figures, Counts counts) {
    long open =
        counts.asked
            - counts.inTime
            - counts.late
            - counts.bounced
            - counts.aborted
            - counts.lostWithManager
            - counts.unserved;
    figures.put("statements", (double) counts.asked);
    figures.put("in_time_share_min", part(counts.inTime, counts.asked));
    figures.put("late_share_max", part(counts.late, counts.asked));
    figures.put("refused_share_max", part(counts.bounced, counts.asked));
    figures.put("aborted_share_max", part(counts.aborted, counts.asked));
    figures.put(
        "with_manager_share_max", part(counts.lostWithManager + counts.unserved, counts.asked));
    figures.put("unanswered", (double) open);
  }

  private static void broken(Map<String, Double> figures, Counts counts) {
    figures.put("cold_pushed_over", (double) counts.coldOver);
    figures.put("cold_fallen", (double) counts.coldFallen);
    figures.put("drain_broken", (double) counts.drainBroken);
    figures.put("drain_unheard", (double) counts.drainUnheard);
  }

  private static double part(long some, long all) {
    return all == 0 ? 0 : some / (double) all;
  }
}

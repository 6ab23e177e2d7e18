package tansytrack.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import tansytrack.lab.scale.FailureSchedule;
import tansytrack.lab.scale.ModuleFactory;
import tansytrack.lab.scale.ScalePlan;
import tansytrack.lab.scale.ScaleResult;
import tansytrack.lab.scale.ScaleSimulation;
import tansytrack.lab.scale.Slope;
import tansytrack.lab.scale.Workers;
import tansytrack.settings.InvalidInputException;

/** Plays hollow fleets at one size or several, and leaves tables, CSV and charts. */
public final class ScaleTable {

  private static final double MIB = 1024.0 * 1024;
  private static final int MOST_THREADS = 64;
  private static final String HEAP = "heap_bytes";

  /** What grows from size to size. */
  public enum Grows {
    MANAGERS,
    ENGINES,
    BOTH
  }

  /**
   * A ladder of sizes up to the plan's own.
   *
   * @param sizes how many; 1: only its own
   * @param factor between two
   * @param grows what differs
   */
  public record Ladder(int sizes, int factor, Grows grows) {}

  private final ModuleFactory factory;
  private final Workers workers;
  private final PrintStream to;
  private final PrintStream progress;

  private ScaleTable(ModuleFactory factory, Workers workers, PrintStream to, PrintStream progress) {
    this.workers = workers;
    this.factory = factory;
    this.to = to;
    this.progress = progress;
  }

  /** Plays all sizes of a ladder on so many threads, the progress told apart from the table. */
  public static void run(
      ScalePlan largest,
      Ladder ladder,
      ModuleFactory factory,
      int threads,
      Path out,
      PrintStream to,
      PrintStream progress)
      throws IOException {
    bounded("--threads", threads, 1, MOST_THREADS);
    try (WorkerThreads workers = new WorkerThreads(threads)) {
      new ScaleTable(factory, threads == 1 ? Workers.SEQUENTIAL : workers, to, progress)
          .run(largest, ladder, out);
    }
  }

  /** Names the option that cannot be used, its value and what is allowed. */
  public static void checked(ScalePlan plan) {
    bounded("--managers", plan.managers(), 1, Integer.MAX_VALUE);
    bounded("--engines", plan.engines(), 1, Integer.MAX_VALUE);
    bounded("--zones", plan.zones(), 1, plan.engines());
    bounded("--seconds", plan.seconds(), 1, 3600);
    bounded("--rate", plan.rate(), 0.01, 10_000);
    if (plan.meanCostNanos() < ScalePlan.MIN_MEAN_COST_NANOS) {
      throw new InvalidInputException(
          String.format(
              Locale.ROOT,
              "--rate '%s': statements of %d ns would fill the engines;"
                  + " allowed: at most %.1f at this size",
              Claims.shown(plan.rate()),
              plan.meanCostNanos(),
              plan.rate() * plan.meanCostNanos() / ScalePlan.MIN_MEAN_COST_NANOS));
    }
  }

  private static void bounded(String option, double value, double least, double most) {
    if (!(value >= least && value <= most)) {
      throw new InvalidInputException(
          option
              + " '"
              + Claims.shown(value)
              + "'; allowed: "
              + Claims.shown(least)
              + " to "
              + Claims.shown(most));
    }
  }

  /** The schedule of that name. */
  public static FailureSchedule schedule(String option, String name) {
    return FailureSchedule.fromName(name)
        .orElseThrow(
            () ->
                new InvalidInputException(
                    option + " '" + name + "'; allowed: " + FailureSchedule.names()));
  }

  /** The plans of a ladder, the smallest first. */
  static List<ScalePlan> rungs(ScalePlan largest, Ladder ladder) {
    bounded("--sizes", ladder.sizes(), 1, 20);
    if (ladder.sizes() > 1) {
      bounded("--sizes", ladder.sizes(), Slope.MIN_SIZES, 20);
      bounded("--factor", ladder.factor(), 2, 100);
    }
    List<ScalePlan> rungs = new ArrayList<>();
    for (int i = ladder.sizes() - 1; i >= 0; i--) {
      double by = Math.pow(ladder.factor(), i);
      double managers = ladder.grows() == Grows.ENGINES ? 1 : by;
      double engines = ladder.grows() == Grows.MANAGERS ? 1 : by;
      ScalePlan rung =
          largest.withSize(
              (int) Math.round(largest.managers() / managers),
              (int) Math.round(largest.engines() / engines));
      checked(rung);
      rungs.add(rung);
    }
    return rungs;
  }

  /** Plays all sizes; nothing starts where one of them cannot be held. */
  private void run(ScalePlan largest, Ladder ladder, Path out) throws IOException {
    List<ScalePlan> rungs = rungs(largest, ladder);
    for (ScalePlan rung : rungs) {
      double heap = (double) Runtime.getRuntime().maxMemory();
      ScaleMemory.checked(rung, factory, ScaleMemory.limit(), heap);
    }
    Files.createDirectories(out);
    List<ScaleResult> results = new ArrayList<>();
    List<Double> heaps = new ArrayList<>();
    for (ScalePlan rung : rungs) {
      Path folder = rungs.size() == 1 ? out : out.resolve(size(rung));
      Files.createDirectories(folder);
      heaps.add(played(rung, folder, results));
    }
    table(results);
    Files.writeString(out.resolve("result.csv"), csv(results));
    if (rungs.size() > 1) {
      slopes(results, heaps, ladder, out);
    }
  }

  private static String size(ScalePlan plan) {
    return plan.managers() + "x" + plan.engines();
  }

  /** The heap that the managers hold behind it, in bytes. */
  private double played(ScalePlan plan, Path folder, List<ScaleResult> results) throws IOException {
    long from = System.nanoTime();
    ScaleSimulation world = new ScaleSimulation(plan, factory, workers);
    double before = usedHeap();
    world.run(new ProgressLine(size(plan), progress));
    double took = (System.nanoTime() - from) / 1e9;
    double heap = usedHeap() - before;
    ScaleResult result = ScaleResult.of(world);
    results.add(result);
    double pairs = result.figures().get(ScaleResult.PAIRS_KNOWN);
    String timing =
        String.format(
            Locale.ROOT,
            "%s: %.1f s of real time; heap %.0f MiB, %.0f bytes a manager, %.0f bytes a pair",
            size(plan),
            took,
            heap / MIB,
            heap / plan.managers(),
            heap / Math.max(1, pairs));
    progress.println(timing);
    Files.writeString(folder.resolve("timing.txt"), timing + "\n");
    Files.writeString(folder.resolve("engines.csv"), engines(result));
    Files.writeString(folder.resolve("managers.csv"), managers(result));
    ScaleCharts.work(result, folder);
    ScaleCharts.inTime(result, folder);
    return heap;
  }

  private static double usedHeap() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private void table(List<ScaleResult> results) {
    for (ScaleResult result : results) {
      ScalePlan plan = result.plan();
      to.printf(
          Locale.ROOT,
          "%s, %d zones, schedule %s, seed %d, %d s; thinned: %s statements a second and manager,%n"
              + "%.1f ms of work each on average, %.0f an engine, %.0f%% of all cores%n",
          size(plan),
          plan.zones(),
          plan.schedule().scheduleName(),
          plan.seed(),
          plan.seconds(),
          Claims.shown(plan.rate()),
          plan.meanCostNanos() / 1e6,
          plan.statementsPerEngine(),
          ScalePlan.TARGET_UTILIZATION * 100);
    }
    to.printf("%-28s", "figure");
    results.forEach(one -> to.printf("%16s", size(one.plan())));
    to.println();
    for (String name : results.get(0).figures().keySet()) {
      to.printf("%-28s", name);
      results.forEach(one -> to.printf("%16s", Claims.shown(one.figures().get(name))));
      to.println();
    }
  }

  private static String csv(List<ScaleResult> results) {
    String names = String.join(",", results.get(0).figures().keySet());
    StringBuilder csv =
        new StringBuilder("managers,engines,zones,seconds,rate,schedule,seed," + names + "\n");
    for (ScaleResult result : results) {
      ScalePlan plan = result.plan();
      csv.append(plan.managers()).append(',').append(plan.engines()).append(',');
      csv.append(plan.zones()).append(',').append(plan.seconds()).append(',');
      csv.append(Claims.shown(plan.rate())).append(',').append(plan.schedule().scheduleName());
      csv.append(',').append(plan.seed());
      result.figures().values().forEach(one -> csv.append(',').append(Claims.shown(one)));
      csv.append('\n');
    }
    return csv.toString();
  }

  private static String engines(ScaleResult result) {
    StringBuilder csv = new StringBuilder("engine,zone,attempts,work_ns,known_by,used_by\n");
    for (ScaleResult.EngineWork one : result.engines()) {
      csv.append(one.id()).append(',').append(one.zone()).append(',').append(one.attempts());
      csv.append(',').append(one.workNanos()).append(',').append(one.knownByManagers());
      csv.append(',').append(one.usedByManagers()).append('\n');
    }
    return csv.toString();
  }

  private static String managers(ScaleResult result) {
    StringBuilder csv = new StringBuilder("manager,zone,known,used\n");
    for (ScaleResult.ManagerPairs one : result.managers()) {
      csv.append(one.index()).append(',').append(one.zone()).append(',').append(one.knownEngines());
      csv.append(',').append(one.usedEngines()).append('\n');
    }
    return csv.toString();
  }

  /** Counts by size, with the largest predicted from the others; heap apart, as it is no count. */
  private void slopes(List<ScaleResult> results, List<Double> heaps, Ladder ladder, Path out)
      throws IOException {
    double[] sizes =
        results.stream()
            .mapToDouble(
                one ->
                    ladder.grows() == Grows.MANAGERS ? one.plan().managers() : one.plan().engines())
            .toArray();
    Map<String, double[]> counts = new LinkedHashMap<>();
    for (String name : ScaleResult.FITTED_FIGURES) {
      counts.put(name, results.stream().mapToDouble(one -> one.figures().get(name)).toArray());
    }
    String head = "figure,exponent,predicted,measured,error,usable\n";
    StringBuilder csv = new StringBuilder(head);
    to.printf(
        "%-28s%10s%16s%16s%10s  %s%n",
        "slope", "exponent", "predicted", "measured", "error", "usable");
    counts.forEach((name, figures) -> csv.append(slope(to, name, sizes, figures)));
    Files.writeString(out.resolve("slopes.csv"), csv);
    double[] heap = heaps.stream().mapToDouble(one -> one).toArray();
    Files.writeString(out.resolve("slope-heap.csv"), head + slope(progress, HEAP, sizes, heap));
    ScaleCharts.slopes(sizes, counts, out);
  }

  private static String slope(PrintStream to, String name, double[] sizes, double[] figures) {
    if (Arrays.stream(figures).anyMatch(one -> one <= 0)) {
      to.printf("%-28s%s%n", name, "  not over 0 at each size: no fit");
      return name + ",,,,,false\n";
    }
    Slope slope = Slope.of(sizes, figures);
    to.printf(
        Locale.ROOT,
        "%-28s%10.3f%16s%16s%9.1f%%  %s%n",
        name,
        slope.law().exponent(),
        Claims.shown(slope.predicted()),
        Claims.shown(slope.measured()),
        slope.relativeError() * 100,
        slope.usable() ? "yes" : "NO: over 15% off");
    return String.format(
        Locale.ROOT,
        "%s,%.4f,%s,%s,%.4f,%s%n",
        name,
        slope.law().exponent(),
        Claims.shown(slope.predicted()),
        Claims.shown(slope.measured()),
        slope.relativeError(),
        slope.usable());
  }
}

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

/** Simulates hollow fleets of one size or several, and writes tables, CSV files and charts. */
public final class ScaleTable {

  private static final double BYTES_PER_MIB = 1024.0 * 1024;
  private static final int MAX_THREADS = 64;
  private static final String HEAP_FIGURE = "heap_bytes";

  /** What grows from size to size; the constants are values of {@code --grow}. */
  public enum Dimension {
    MANAGERS,
    ENGINES,
    BOTH
  }

  /**
   * A geometric series of sizes, up to the size of the plan.
   *
   * @param sizes number of sizes; 1: only that of the plan
   * @param factor ratio of two successive sizes
   * @param dimension what grows
   */
  public record SizeSeries(int sizes, int factor, Dimension dimension) {}

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

  /**
   * Simulates all sizes of a series.
   *
   * @param largest the plan of the largest size
   * @param series the sizes
   * @param factory creates the decision modules
   * @param threads number of threads; does not change the results
   * @param out folder for the results
   * @param to stream for the table
   * @param progress stream for progress and timing
   */
  public static void run(
      ScalePlan largest,
      SizeSeries series,
      ModuleFactory factory,
      int threads,
      Path out,
      PrintStream to,
      PrintStream progress)
      throws IOException {
    requireRange("--threads", threads, 1, MAX_THREADS);
    try (ThreadPoolWorkers workers = new ThreadPoolWorkers(threads)) {
      new ScaleTable(factory, threads == 1 ? Workers.SEQUENTIAL : workers, to, progress)
          .run(largest, series, out);
    }
  }

  /** Rejects a plan that cannot be used, naming the option, its value and what is allowed. */
  public static void validate(ScalePlan plan) {
    requireRange("--managers", plan.managers(), 1, Integer.MAX_VALUE);
    requireRange("--engines", plan.engines(), 1, Integer.MAX_VALUE);
    requireRange("--zones", plan.zones(), 1, plan.engines());
    requireRange("--seconds", plan.seconds(), 1, 3600);
    requireRange("--rate", plan.rate(), 0.01, 10_000);
    if (plan.meanCostNanos() < ScalePlan.MIN_MEAN_COST_NANOS) {
      throw new InvalidInputException(
          String.format(
              Locale.ROOT,
              "--rate '%s': statements of %d ns would fill the engines;"
                  + " allowed: at most %.1f at this size",
              ClaimEvaluator.format(plan.rate()),
              plan.meanCostNanos(),
              plan.rate() * plan.meanCostNanos() / ScalePlan.MIN_MEAN_COST_NANOS));
    }
  }

  private static void requireRange(String option, double value, double min, double max) {
    if (!(value >= min && value <= max)) {
      throw new InvalidInputException(
          option
              + " '"
              + ClaimEvaluator.format(value)
              + "'; allowed: "
              + ClaimEvaluator.format(min)
              + " to "
              + ClaimEvaluator.format(max));
    }
  }

  /** The failure schedule of that name; the option stands in the error message. */
  public static FailureSchedule schedule(String option, String name) {
    return FailureSchedule.fromName(name)
        .orElseThrow(
            () ->
                new InvalidInputException(
                    option + " '" + name + "'; allowed: " + FailureSchedule.names()));
  }

  /** The plans of a series, the smallest first. */
  static List<ScalePlan> plans(ScalePlan largest, SizeSeries series) {
    requireRange("--sizes", series.sizes(), 1, 20);
    if (series.sizes() > 1) {
      requireRange("--sizes", series.sizes(), Slope.MIN_SIZES, 20);
      requireRange("--factor", series.factor(), 2, 100);
    }
    List<ScalePlan> plans = new ArrayList<>();
    for (int i = series.sizes() - 1; i >= 0; i--) {
      double divisor = Math.pow(series.factor(), i);
      double managers = series.dimension() == Dimension.ENGINES ? 1 : divisor;
      double engines = series.dimension() == Dimension.MANAGERS ? 1 : divisor;
      ScalePlan plan =
          largest.withSize(
              (int) Math.round(largest.managers() / managers),
              (int) Math.round(largest.engines() / engines));
      validate(plan);
      plans.add(plan);
    }
    return plans;
  }

  /** Simulates all sizes; nothing starts if one of them does not fit into memory. */
  private void run(ScalePlan largest, SizeSeries series, Path out) throws IOException {
    List<ScalePlan> plans = plans(largest, series);
    for (ScalePlan plan : plans) {
      double heap = (double) Runtime.getRuntime().maxMemory();
      ScaleMemory.requireMemory(plan, factory, ScaleMemory.limitBytes(), heap);
    }
    Files.createDirectories(out);
    List<ScaleResult> results = new ArrayList<>();
    List<Double> heaps = new ArrayList<>();
    for (ScalePlan plan : plans) {
      Path folder = plans.size() == 1 ? out : out.resolve(sizeLabel(plan));
      Files.createDirectories(folder);
      heaps.add(runSize(plan, folder, results));
    }
    printTable(results);
    Files.writeString(out.resolve("result.csv"), resultCsv(results));
    if (plans.size() > 1) {
      writeSlopes(results, heaps, series, out);
    }
  }

  private static String sizeLabel(ScalePlan plan) {
    return plan.managers() + "x" + plan.engines();
  }

  /** Simulates one size; returns the heap that its managers hold at the end, in bytes. */
  private double runSize(ScalePlan plan, Path folder, List<ScaleResult> results)
      throws IOException {
    long startNanos = System.nanoTime();
    ScaleSimulation world = new ScaleSimulation(plan, factory, workers);
    double before = usedHeapBytes();
    world.run(new ProgressLine(sizeLabel(plan), progress));
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    double heap = usedHeapBytes() - before;
    ScaleResult result = ScaleResult.of(world);
    results.add(result);
    double pairs = result.figures().get(ScaleResult.PAIRS_KNOWN);
    String timing =
        String.format(
            Locale.ROOT,
            "%s: %.1f s of real time; heap %.0f MiB, %.0f bytes a manager, %.0f bytes a pair",
            sizeLabel(plan),
            seconds,
            heap / BYTES_PER_MIB,
            heap / plan.managers(),
            heap / Math.max(1, pairs));
    progress.println(timing);
    Files.writeString(folder.resolve("timing.txt"), timing + "\n");
    Files.writeString(folder.resolve("engines.csv"), enginesCsv(result));
    Files.writeString(folder.resolve("managers.csv"), managersCsv(result));
    ScaleCharts.work(result, folder);
    ScaleCharts.inTime(result, folder);
    return heap;
  }

  private static double usedHeapBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private void printTable(List<ScaleResult> results) {
    for (ScaleResult result : results) {
      ScalePlan plan = result.plan();
      to.printf(
          Locale.ROOT,
          "%s, %d zones, schedule %s, seed %d, %d s; thinned: %s statements a second and manager,%n"
              + "%.1f ms of work each on average, %.0f an engine, %.0f%% of all cores%n",
          sizeLabel(plan),
          plan.zones(),
          plan.schedule().scheduleName(),
          plan.seed(),
          plan.seconds(),
          ClaimEvaluator.format(plan.rate()),
          plan.meanCostNanos() / 1e6,
          plan.statementsPerEngine(),
          ScalePlan.TARGET_UTILIZATION * 100);
    }
    to.printf("%-28s", "figure");
    results.forEach(result -> to.printf("%16s", sizeLabel(result.plan())));
    to.println();
    for (String name : results.get(0).figures().keySet()) {
      to.printf("%-28s", name);
      results.forEach(
          result -> to.printf("%16s", ClaimEvaluator.format(result.figures().get(name))));
      to.println();
    }
  }

  private static String resultCsv(List<ScaleResult> results) {
    String names = String.join(",", results.get(0).figures().keySet());
    StringBuilder csv =
        new StringBuilder("managers,engines,zones,seconds,rate,schedule,seed," + names + "\n");
    for (ScaleResult result : results) {
      ScalePlan plan = result.plan();
      csv.append(plan.managers()).append(',').append(plan.engines()).append(',');
      csv.append(plan.zones()).append(',').append(plan.seconds()).append(',');
      csv.append(ClaimEvaluator.format(plan.rate()))
          .append(',')
          .append(plan.schedule().scheduleName());
      csv.append(',').append(plan.seed());
      result
          .figures()
          .values()
          .forEach(figure -> csv.append(',').append(ClaimEvaluator.format(figure)));
      csv.append('\n');
    }
    return csv.toString();
  }

  private static String enginesCsv(ScaleResult result) {
    StringBuilder csv = new StringBuilder("engine,zone,attempts,work_ns,known_by,used_by\n");
    for (ScaleResult.EngineWork engine : result.engines()) {
      csv.append(engine.id())
          .append(',')
          .append(engine.zone())
          .append(',')
          .append(engine.attempts());
      csv.append(',').append(engine.workNanos()).append(',').append(engine.knownByManagers());
      csv.append(',').append(engine.usedByManagers()).append('\n');
    }
    return csv.toString();
  }

  private static String managersCsv(ScaleResult result) {
    StringBuilder csv = new StringBuilder("manager,zone,known,used\n");
    for (ScaleResult.ManagerPairs manager : result.managers()) {
      csv.append(manager.index())
          .append(',')
          .append(manager.zone())
          .append(',')
          .append(manager.knownEngines());
      csv.append(',').append(manager.usedEngines()).append('\n');
    }
    return csv.toString();
  }

  /**
   * Fits a power law to each count over the smaller sizes and predicts the largest. Heap goes to a
   * file of its own, as it depends on the machine.
   */
  private void writeSlopes(
      List<ScaleResult> results, List<Double> heaps, SizeSeries series, Path out)
      throws IOException {
    double[] sizes =
        results.stream()
            .mapToDouble(
                result ->
                    series.dimension() == Dimension.MANAGERS
                        ? result.plan().managers()
                        : result.plan().engines())
            .toArray();
    Map<String, double[]> counts = new LinkedHashMap<>();
    for (String name : ScaleResult.FITTED_FIGURES) {
      counts.put(name, results.stream().mapToDouble(one -> one.figures().get(name)).toArray());
    }
    String header = "figure,exponent,predicted,measured,error,usable\n";
    StringBuilder csv = new StringBuilder(header);
    to.printf(
        "%-28s%10s%16s%16s%10s  %s%n",
        "slope", "exponent", "predicted", "measured", "error", "usable");
    counts.forEach((name, figures) -> csv.append(slopeLine(to, name, sizes, figures)));
    Files.writeString(out.resolve("slopes.csv"), csv);
    double[] heap = heaps.stream().mapToDouble(one -> one).toArray();
    Files.writeString(
        out.resolve("slope-heap.csv"), header + slopeLine(progress, HEAP_FIGURE, sizes, heap));
    ScaleCharts.slopes(sizes, counts, out);
  }

  private static String slopeLine(PrintStream to, String name, double[] sizes, double[] figures) {
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
        ClaimEvaluator.format(slope.predicted()),
        ClaimEvaluator.format(slope.measured()),
        slope.relativeError() * 100,
        slope.usable() ? "yes" : "NO: over 15% off");
    return String.format(
        Locale.ROOT,
        "%s,%.4f,%s,%s,%.4f,%s%n",
        name,
        slope.law().exponent(),
        ClaimEvaluator.format(slope.predicted()),
        ClaimEvaluator.format(slope.measured()),
        slope.relativeError(),
        slope.usable());
  }
}

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
import tansytrack.lab.scale.ScaleWorld;
import tansytrack.lab.scale.Slope;
import tansytrack.lab.scale.Workers;
import tansytrack.settings.InvalidInputException;

/** Simulates hollow fleets of one size or several, and writes tables, CSV files and charts. */
public final class ScaleTable {

  private static final double MIB = 1024.0 * 1024;
  private static final int MOST_THREADS = 64;
  private static final String HEAP = "heap_bytes";

  /** What grows from size to size; the constants are values of {@code --grow}. */
  public enum Grows {
    MANAGERS,
    ENGINES,
    BOTH
  }

  /**
   * A geometric series of sizes, up to the size of the plan.
   *
   * @param sizes number of sizes; 1: only that of the plan
   * @param factor ratio of two successive sizes
   * @param grows what grows
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
      Ladder series,
      ModuleFactory factory,
      int threads,
      Path out,
      PrintStream to,
      PrintStream progress)
      throws IOException {
    bounded("--threads", threads, 1, MOST_THREADS);
    try (WorkerThreads workers = new WorkerThreads(threads)) {
      new ScaleTable(factory, threads == 1 ? Workers.ALONE : workers, to, progress)
          .run(largest, series, out);
    }
  }

  /** Rejects a plan that cannot be used, naming the option, its value and what is allowed. */
  public static void checked(ScalePlan plan) {
    bounded("--managers", plan.managers(), 1, Integer.MAX_VALUE);
    bounded("--engines", plan.engines(), 1, Integer.MAX_VALUE);
    bounded("--zones", plan.zones(), 1, plan.engines());
    bounded("--seconds", plan.seconds(), 1, 3600);
    bounded("--rate", plan.rate(), 0.01, 10_000);
    if (plan.meanCost() < ScalePlan.LEAST_COST) {
      throw new InvalidInputException(
          String.format(
              Locale.ROOT,
              "--rate '%s': statements of %d ns would fill the engines;"
                  + " allowed: at most %.1f at this size",
              Claims.shown(plan.rate()),
              plan.meanCost(),
              plan.rate() * plan.meanCost() / ScalePlan.LEAST_COST));
    }
  }

  private static void bounded(String option, double value, double min, double max) {
    if (!(value >= min && value <= max)) {
      throw new InvalidInputException(
          option
              + " '"
              + Claims.shown(value)
              + "'; allowed: "
              + Claims.shown(min)
              + " to "
              + Claims.shown(max));
    }
  }

  /** The failure schedule of that name; the option stands in the error message. */
  public static FailureSchedule schedule(String option, String name) {
    return FailureSchedule.named(name)
        .orElseThrow(
            () ->
                new InvalidInputException(
                    option + " '" + name + "'; allowed: " + FailureSchedule.names()));
  }

  /** The plans of a series, the smallest first. */
  static List<ScalePlan> rungs(ScalePlan largest, Ladder series) {
    bounded("--sizes", series.sizes(), 1, 20);
    if (series.sizes() > 1) {
      bounded("--sizes", series.sizes(), Slope.LEAST_SIZES, 20);
      bounded("--factor", series.factor(), 2, 100);
    }
    List<ScalePlan> plans = new ArrayList<>();
    for (int i = series.sizes() - 1; i >= 0; i--) {
      double divisor = Math.pow(series.factor(), i);
      double managers = series.grows() == Grows.ENGINES ? 1 : divisor;
      double engines = series.grows() == Grows.MANAGERS ? 1 : divisor;
      ScalePlan plan =
          largest.sized(
              (int) Math.round(largest.managers() / managers),
              (int) Math.round(largest.engines() / engines));
      checked(plan);
      plans.add(plan);
    }
    return plans;
  }

  /** Simulates all sizes; nothing starts if one of them does not fit into memory. */
  private void run(ScalePlan largest, Ladder series, Path out) throws IOException {
    List<ScalePlan> plans = rungs(largest, series);
    for (ScalePlan plan : plans) {
      double heap = (double) Runtime.getRuntime().maxMemory();
      ScaleMemory.checked(plan, factory, ScaleMemory.limit(), heap);
    }
    Files.createDirectories(out);
    List<ScaleResult> results = new ArrayList<>();
    List<Double> heaps = new ArrayList<>();
    for (ScalePlan plan : plans) {
      Path folder = plans.size() == 1 ? out : out.resolve(size(plan));
      Files.createDirectories(folder);
      heaps.add(played(plan, folder, results));
    }
    table(results);
    Files.writeString(out.resolve("result.csv"), csv(results));
    if (plans.size() > 1) {
      slopes(results, heaps, series, out);
    }
  }

  private static String size(ScalePlan plan) {
    return plan.managers() + "x" + plan.engines();
  }

  /** Simulates one size; returns the heap that its managers hold at the end, in bytes. */
  private double played(ScalePlan plan, Path folder, List<ScaleResult> results) throws IOException {
    long startNanos = System.nanoTime();
    ScaleWorld world = new ScaleWorld(plan, factory, workers);
    double before = usedHeap();
    world.play(new ProgressLine(size(plan), progress));
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    double heap = usedHeap() - before;
    ScaleResult result = ScaleResult.of(world);
    results.add(result);
    double pairs = result.figures().get(ScaleResult.PAIRS_KNOWN);
    String timing =
        String.format(
            Locale.ROOT,
            "%s: %.1f s of real time; heap %.0f MiB, %.0f bytes a manager, %.0f bytes a pair",
            size(plan),
            seconds,
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
          plan.schedule().text(),
          plan.seed(),
          plan.seconds(),
          Claims.shown(plan.rate()),
          plan.meanCost() / 1e6,
          plan.statementsPerEngine(),
          ScalePlan.UTILISATION * 100);
    }
    to.printf("%-28s", "figure");
    results.forEach(result -> to.printf("%16s", size(result.plan())));
    to.println();
    for (String name : results.get(0).figures().keySet()) {
      to.printf("%-28s", name);
      results.forEach(result -> to.printf("%16s", Claims.shown(result.figures().get(name))));
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
      csv.append(Claims.shown(plan.rate())).append(',').append(plan.schedule().text());
      csv.append(',').append(plan.seed());
      result.figures().values().forEach(figure -> csv.append(',').append(Claims.shown(figure)));
      csv.append('\n');
    }
    return csv.toString();
  }

  private static String engines(ScaleResult result) {
    StringBuilder csv = new StringBuilder("engine,zone,attempts,work_ns,known_by,used_by\n");
    for (ScaleResult.EngineWork engine : result.engines()) {
      csv.append(engine.id()).append(',').append(engine.zone()).append(',').append(engine.attempts());
      csv.append(',').append(engine.work()).append(',').append(engine.knownBy());
      csv.append(',').append(engine.usedBy()).append('\n');
    }
    return csv.toString();
  }

  private static String managers(ScaleResult result) {
    StringBuilder csv = new StringBuilder("manager,zone,known,used\n");
    for (ScaleResult.ManagerPairs manager : result.managers()) {
      csv.append(manager.index()).append(',').append(manager.zone()).append(',').append(manager.known());
      csv.append(',').append(manager.used()).append('\n');
    }
    return csv.toString();
  }

  /**
   * Fits a power law to each count over the smaller sizes and predicts the largest. Heap goes to a
   * file of its own, as it depends on the machine.
   */
  private void slopes(List<ScaleResult> results, List<Double> heaps, Ladder series, Path out)
      throws IOException {
    double[] sizes =
        results.stream()
            .mapToDouble(
                result ->
                    series.grows() == Grows.MANAGERS
                        ? result.plan().managers()
                        : result.plan().engines())
            .toArray();
    Map<String, double[]> counts = new LinkedHashMap<>();
    for (String name : ScaleResult.COUNTS) {
      counts.put(name, results.stream().mapToDouble(one -> one.figures().get(name)).toArray());
    }
    String header = "figure,exponent,predicted,measured,error,usable\n";
    StringBuilder csv = new StringBuilder(header);
    to.printf(
        "%-28s%10s%16s%16s%10s  %s%n",
        "slope", "exponent", "predicted", "measured", "error", "usable");
    counts.forEach((name, figures) -> csv.append(slope(to, name, sizes, figures)));
    Files.writeString(out.resolve("slopes.csv"), csv);
    double[] heap = heaps.stream().mapToDouble(one -> one).toArray();
    Files.writeString(out.resolve("slope-heap.csv"), header + slope(progress, HEAP, sizes, heap));
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
        slope.error() * 100,
        slope.usable() ? "yes" : "NO: over 15% off");
    return String.format(
        Locale.ROOT,
        "%s,%.4f,%s,%s,%.4f,%s%n",
        name,
        slope.law().exponent(),
        Claims.shown(slope.predicted()),
        Claims.shown(slope.measured()),
        slope.error(),
        slope.usable());
  }
}

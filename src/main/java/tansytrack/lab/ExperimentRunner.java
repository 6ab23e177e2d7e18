package tansytrack.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import tansytrack.lab.proto.Experiment;
import tansytrack.lab.proto.Fault;
import tansytrack.lab.scale.ModuleFactory;
import tansytrack.log.JsonLinesWriter;
import tansytrack.settings.InvalidInputException;

/** Runs an experiment as often as its file says, and evaluates its claims over all runs. */
public final class ExperimentRunner {

  // Suffixes of figures for which the maximum or minimum of all runs counts; others are added up.
  private static final String MAX_SUFFIX = "_max";
  private static final String MIN_SUFFIX = "_min";

  private ExperimentRunner() {}

  /** Reads and validates an experiment file. */
  public static Experiment read(String file) {
    Experiment experiment =
        LabInput.parse(file, LabInput.read(file), Experiment.newBuilder()).build();
    if (experiment.hasFleet()) {
      FleetRun.validate(file, experiment);
      return experiment;
    }
    if (experiment.getScaleCount() > 0) {
      ScaleExperiment.validate(file, experiment);
      return experiment;
    }
    LabInput.requireRange(file, "managers", experiment.getManagers(), 1, 16);
    LabInput.requireRange(file, "engines", experiment.getEngines(), 1, 64);
    LabInput.requireRange(file, "clients", experiment.getClients(), 1, 256);
    LabInput.requireRange(file, "seconds", experiment.getSeconds(), 1, 3600);
    LabInput.requireRange(file, "runs", experiment.getRuns(), 1, 1000);
    LabInput.requireRange(file, "least_work_ms", experiment.getLeastWorkMs(), 0, 10000);
    for (Fault fault : experiment.getFaultsList()) {
      LabInput.requireRange(
          file, "faults.manager", fault.getManager(), 0, experiment.getManagers() - 1);
    }
    if (experiment.getClaimsCount() == 0) {
      throw new InvalidInputException(file + ": claims: missing; allowed: one and more");
    }
    return experiment;
  }

  /**
   * Runs an experiment; returns whether every claim holds. The claims apply to the figures of all
   * runs together: maximum, minimum or sum, by the suffix of the figure's name.
   *
   * @param experiment the experiment
   * @param seed seed of the first run; each further run has the next one
   * @param out folder for the results
   * @param factory creates the decision modules of scale experiments
   * @param console stream for figures and claims
   */
  public static boolean run(
      Experiment experiment, long seed, Path out, ModuleFactory factory, PrintStream console)
      throws IOException, InterruptedException {
    Files.createDirectories(out);
    List<Map<String, Double>> figuresOfRuns = new ArrayList<>();
    for (int i = 0; i < experiment.getRuns(); i++) {
      figuresOfRuns.add(runOnce(experiment, seed + i, out.resolve("run-" + (seed + i)), factory));
      console.println(
          "run "
              + (i + 1)
              + " of "
              + experiment.getRuns()
              + ", seed "
              + (seed + i)
              + ": "
              + figuresOfRuns.get(i));
    }
    Map<String, Double> total = new TreeMap<>();
    figuresOfRuns.forEach(
        figures ->
            figures.forEach(
                (name, figure) ->
                    total.merge(
                        name,
                        figure,
                        name.endsWith(MAX_SUFFIX)
                            ? Math::max
                            : name.endsWith(MIN_SUFFIX) ? Math::min : Double::sum)));
    List<ClaimEvaluator.ClaimResult> results =
        ClaimEvaluator.evaluate(experiment.getClaimsList(), total);
    console.printf("%-30s %-14s %-14s %s%n", "claim", "bound", "measured", "held");
    boolean held = true;
    for (ClaimEvaluator.ClaimResult result : results) {
      console.printf(
          "%-30s %-14s %-14s %s%n",
          result.figure(), result.bound(), result.measured(), result.held() ? "yes" : "NO");
      held &= result.held();
    }
    writeResults(experiment, seed, out, figuresOfRuns, results);
    return held;
  }

  private static Map<String, Double> runOnce(
      Experiment experiment, long seed, Path folder, ModuleFactory factory)
      throws IOException, InterruptedException {
    if (experiment.getScaleCount() > 0) {
      return new ScaleExperiment(experiment, seed, factory).run();
    }
    if (experiment.hasFleet()) {
      try (FleetRun run = new FleetRun(experiment, seed, folder)) {
        return run.run();
      }
    }
    try (LedgerRun run = new LedgerRun(experiment, seed, folder)) {
      return run.run();
    }
  }

  private static void writeResults(
      Experiment experiment,
      long seed,
      Path out,
      List<Map<String, Double>> figuresOfRuns,
      List<ClaimEvaluator.ClaimResult> results)
      throws IOException {
    TreeSet<String> names = new TreeSet<>();
    figuresOfRuns.forEach(figures -> names.addAll(figures.keySet()));
    StringBuilder csv = new StringBuilder("seed,").append(String.join(",", names)).append('\n');
    for (int i = 0; i < figuresOfRuns.size(); i++) {
      csv.append(seed + i);
      for (String name : names) {
        csv.append(',')
            .append(ClaimEvaluator.format(figuresOfRuns.get(i).getOrDefault(name, Double.NaN)));
      }
      csv.append('\n');
    }
    Files.writeString(out.resolve("result.csv"), csv);
    StringBuilder json =
        new StringBuilder(
            "{\"name\":"
                + JsonLinesWriter.quote(experiment.getName())
                + ",\"seed\":"
                + seed
                + ",\"runs\":"
                + figuresOfRuns.size()
                + ",\"claims\":[");
    for (int i = 0; i < results.size(); i++) {
      ClaimEvaluator.ClaimResult result = results.get(i);
      json.append(i > 0 ? "," : "")
          .append("{\"figure\":")
          .append(JsonLinesWriter.quote(result.figure()))
          .append(",\"bound\":\"")
          .append(result.bound())
          .append("\",\"measured\":\"")
          .append(result.measured())
          .append("\",\"held\":")
          .append(result.held())
          .append('}');
    }
    Files.writeString(out.resolve("summary.json"), json.append("]}\n"));
  }
}

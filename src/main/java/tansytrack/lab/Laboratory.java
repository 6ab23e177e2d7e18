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
public final class Laboratory {

  // Suffixes of figures for which the maximum or minimum of all runs counts; others are added up.
  private static final String WORST = "_max";
  private static final String LEAST = "_min";

  private Laboratory() {}

  /** Reads and validates an experiment file. */
  public static Experiment read(String file) {
    Experiment experiment = TextFile.parsed(file, TextFile.text(file), Experiment.newBuilder()).build();
    if (experiment.hasFleet()) {
      FleetRun.checked(file, experiment);
      return experiment;
    }
    if (experiment.getScaleCount() > 0) {
      ScaleExperiment.checked(file, experiment);
      return experiment;
    }
    TextFile.bounded(file, "managers", experiment.getManagers(), 1, 16);
    TextFile.bounded(file, "engines", experiment.getEngines(), 1, 64);
    TextFile.bounded(file, "clients", experiment.getClients(), 1, 256);
    TextFile.bounded(file, "seconds", experiment.getSeconds(), 1, 3600);
    TextFile.bounded(file, "runs", experiment.getRuns(), 1, 1000);
    TextFile.bounded(file, "least_work_ms", experiment.getLeastWorkMs(), 0, 10000);
    for (Fault fault : experiment.getFaultsList()) {
      TextFile.bounded(file, "faults.manager", fault.getManager(), 0, experiment.getManagers() - 1);
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
      figuresOfRuns.add(played(experiment, seed + i, out.resolve("run-" + (seed + i)), factory));
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
                        name.endsWith(WORST)
                            ? Math::max
                            : name.endsWith(LEAST) ? Math::min : Double::sum)));
    List<Claims.Judged> results = Claims.judge(experiment.getClaimsList(), total);
    console.printf("%-30s %-14s %-14s %s%n", "claim", "bound", "measured", "held");
    boolean held = true;
    for (Claims.Judged result : results) {
      console.printf(
          "%-30s %-14s %-14s %s%n",
          result.figure(), result.bound(), result.measured(), result.held() ? "yes" : "NO");
      held &= result.held();
    }
    kept(experiment, seed, out, figuresOfRuns, results);
    return held;
  }

  private static Map<String, Double> played(
      Experiment experiment, long seed, Path folder, ModuleFactory factory)
      throws IOException, InterruptedException {
    if (experiment.getScaleCount() > 0) {
      return new ScaleExperiment(experiment, seed, factory).play();
    }
    if (experiment.hasFleet()) {
      try (FleetRun run = new FleetRun(experiment, seed, folder)) {
        return run.play();
      }
    }
    try (LedgerRun run = new LedgerRun(experiment, seed, folder)) {
      return run.play();
    }
  }

  private static void kept(
      Experiment experiment,
      long seed,
      Path out,
      List<Map<String, Double>> figuresOfRuns,
      List<Claims.Judged> results)
      throws IOException {
    TreeSet<String> names = new TreeSet<>();
    figuresOfRuns.forEach(figures -> names.addAll(figures.keySet()));
    StringBuilder csv = new StringBuilder("seed,").append(String.join(",", names)).append('\n');
    for (int i = 0; i < figuresOfRuns.size(); i++) {
      csv.append(seed + i);
      for (String name : names) {
        csv.append(',').append(Claims.shown(figuresOfRuns.get(i).getOrDefault(name, Double.NaN)));
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
      Claims.Judged result = results.get(i);
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

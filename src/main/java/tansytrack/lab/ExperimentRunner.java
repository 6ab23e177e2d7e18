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

/**
 * Runs an experiment: as many runs as its file says, a figure each, then its claims over all of
 * them.
 */
public final class ExperimentRunner {

  private static final String MAX_SUFFIX =
      "_max"; // ends the names of figures of which the worst run counts

  private static final String MIN_SUFFIX = "_min";

  private ExperimentRunner() {}

  /** Reads an experiment file and checks what holds for every kind of experiment. */
  public static Experiment read(String file) {
    Experiment read = LabInput.parse(file, LabInput.read(file), Experiment.newBuilder()).build();
    if (read.hasFleet()) {
      FleetRun.validate(file, read);
      return read;
    }
    if (read.getScaleCount() > 0) {
      ScaleExperiment.validate(file, read);
      return read;
    }
    LabInput.requireRange(file, "managers", read.getManagers(), 1, 16);
    LabInput.requireRange(file, "engines", read.getEngines(), 1, 64);
    LabInput.requireRange(file, "clients", read.getClients(), 1, 256);
    LabInput.requireRange(file, "seconds", read.getSeconds(), 1, 3600);
    LabInput.requireRange(file, "runs", read.getRuns(), 1, 1000);
    LabInput.requireRange(file, "least_work_ms", read.getLeastWorkMs(), 0, 10000);
    for (Fault fault : read.getFaultsList()) {
      LabInput.requireRange(file, "faults.manager", fault.getManager(), 0, read.getManagers() - 1);
    }
    if (read.getClaimsCount() == 0) {
      throw new InvalidInputException(file + ": claims: missing; allowed: one and more");
    }
    return read;
  }

  /**
   * Plays all runs; true where every claim holds. Figures of several runs are their worst: the sum
   * of what must not be. The factory makes the modules of scale runs.
   */
  public static boolean run(
      Experiment experiment, long seed, Path out, ModuleFactory factory, PrintStream to)
      throws IOException, InterruptedException {
    Files.createDirectories(out);
    List<Map<String, Double>> all = new ArrayList<>();
    for (int i = 0; i < experiment.getRuns(); i++) {
      all.add(runOnce(experiment, seed + i, out.resolve("run-" + (seed + i)), factory));
      to.println(
          "run "
              + (i + 1)
              + " of "
              + experiment.getRuns()
              + ", seed "
              + (seed + i)
              + ": "
              + all.get(i));
    }
    Map<String, Double> sums = new TreeMap<>();
    all.forEach(
        one ->
            one.forEach(
                (name, figure) ->
                    sums.merge(
                        name,
                        figure,
                        name.endsWith(MAX_SUFFIX)
                            ? Math::max
                            : name.endsWith(MIN_SUFFIX) ? Math::min : Double::sum)));
    List<ClaimEvaluator.ClaimResult> judged =
        ClaimEvaluator.evaluate(experiment.getClaimsList(), sums);
    to.printf("%-30s %-14s %-14s %s%n", "claim", "bound", "measured", "held");
    boolean held = true;
    for (ClaimEvaluator.ClaimResult one : judged) {
      to.printf(
          "%-30s %-14s %-14s %s%n",
          one.figure(), one.bound(), one.measured(), one.held() ? "yes" : "NO");
      held &= one.held();
    }
    writeResults(experiment, seed, out, all, judged);
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
      List<Map<String, Double>> all,
      List<ClaimEvaluator.ClaimResult> judged)
      throws IOException {
    TreeSet<String> names = new TreeSet<>();
    all.forEach(one -> names.addAll(one.keySet()));
    StringBuilder csv = new StringBuilder("seed,").append(String.join(",", names)).append('\n');
    for (int i = 0; i < all.size(); i++) {
      csv.append(seed + i);
      for (String name : names) {
        csv.append(',').append(ClaimEvaluator.format(all.get(i).getOrDefault(name, Double.NaN)));
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
                + all.size()
                + ",\"claims\":[");
    for (int i = 0; i < judged.size(); i++) {
      ClaimEvaluator.ClaimResult one = judged.get(i);
      json.append(i > 0 ? "," : "")
          .append("{\"figure\":")
          .append(JsonLinesWriter.quote(one.figure()))
          .append(",\"bound\":\"")
          .append(one.bound())
          .append("\",\"measured\":\"")
          .append(one.measured())
          .append("\",\"held\":")
          .append(one.held())
          .append('}');
    }
    Files.writeString(out.resolve("summary.json"), json.append("]}\n"));
  }
}

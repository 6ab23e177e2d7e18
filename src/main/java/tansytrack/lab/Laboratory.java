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
    Experiment read = TextFile.parsed(file, TextFile.text(file), Experiment.newBuilder()).build();
    if (read.hasFleet()) {
      FleetRun.checked(file, read);
      return read;
    }
    if (read.getScaleCount() > 0) {
      ScaleExperiment.checked(file, read);
      return read;
    }
    TextFile.bounded(file, "managers", read.getManagers(), 1, 16);
    TextFile.bounded(file, "engines", read.getEngines(), 1, 64);
    TextFile.bounded(file, "clients", read.getClients(), 1, 256);
    TextFile.bounded(file, "seconds", read.getSeconds(), 1, 3600);
    TextFile.bounded(file, "runs", read.getRuns(), 1, 1000);
    TextFile.bounded(file, "least_work_ms", read.getLeastWorkMs(), 0, 10000);
    for (Fault fault : read.getFaultsList()) {
      TextFile.bounded(file, "faults.manager", fault.getManager(), 0, read.getManagers() - 1);
    }
    if (read.getClaimsCount() == 0) {
      throw new InvalidInputException(file + ": claims: missing; allowed: one and more");
    }
    return read;
  }

  /**
   * Runs an experiment; returns whether every claim holds. The claims apply to the figures of all
   * runs together: maximum, minimum or sum, by the suffix of the figure's name.
   *
   * @param experiment the experiment
   * @param seed seed of the first run; each further run has the next one
   * @param out folder for the results
   * @param factory creates the decision modules of scale experiments
   * @param to stream for figures and claims
   */
  public static boolean run(
      Experiment experiment, long seed, Path out, ModuleFactory factory, PrintStream to)
      throws IOException, InterruptedException {
    Files.createDirectories(out);
    List<Map<String, Double>> all = new ArrayList<>();
    for (int i = 0; i < experiment.getRuns(); i++) {
      all.add(played(experiment, seed + i, out.resolve("run-" + (seed + i)), factory));
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
                        name.endsWith(WORST)
                            ? Math::max
                            : name.endsWith(LEAST) ? Math::min : Double::sum)));
    List<Claims.Judged> judged = Claims.judge(experiment.getClaimsList(), sums);
    to.printf("%-30s %-14s %-14s %s%n", "claim", "bound", "measured", "held");
    boolean held = true;
    for (Claims.Judged one : judged) {
      to.printf(
          "%-30s %-14s %-14s %s%n",
          one.figure(), one.bound(), one.measured(), one.held() ? "yes" : "NO");
      held &= one.held();
    }
    kept(experiment, seed, out, all, judged);
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
      List<Map<String, Double>> all,
      List<Claims.Judged> judged)
      throws IOException {
    TreeSet<String> names = new TreeSet<>();
    all.forEach(one -> names.addAll(one.keySet()));
    StringBuilder csv = new StringBuilder("seed,").append(String.join(",", names)).append('\n');
    for (int i = 0; i < all.size(); i++) {
      csv.append(seed + i);
      for (String name : names) {
        csv.append(',').append(Claims.shown(all.get(i).getOrDefault(name, Double.NaN)));
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
      Claims.Judged one = judged.get(i);
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

package tansytrack.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import tansytrack.lab.load.LatencyStatistics;

/** Runs a load file against a listener on loopback and evaluates its claims. */
public final class LoadCommand {

  private LoadCommand() {}

  /**
   * Runs a load; returns whether the run is not void and every claim holds.
   *
   * @param loadFile the load file
   * @param address address of the listener
   * @param seed seed of the load
   * @param out folder for the results
   * @param console stream for figures and claims
   */
  public static boolean run(
      String loadFile, String address, long seed, Path out, PrintStream console)
      throws IOException, InterruptedException {
    LoadFile load = LoadFile.read(loadFile);
    OpenLoopGenerator generator =
        new OpenLoopGenerator(load, LabInput.loopbackAddress("--to", address), seed);
    generator.run();
    Map<String, Double> figures = generator.figures();
    Files.createDirectories(out);
    StringBuilder csv = new StringBuilder("second,tasks,share,latency_ms_p50,latency_ms_p99\n");
    for (Map.Entry<Long, LatencyStatistics.Totals> second :
        generator.latencies().seconds().entrySet()) {
      LatencyStatistics.Totals window = second.getValue();
      csv.append(second.getKey())
          .append(',')
          .append(window.tasks())
          .append(',')
          .append(ClaimEvaluator.format(window.share()))
          .append(',')
          .append(ClaimEvaluator.format(window.latency(50) / 1e6))
          .append(',')
          .append(ClaimEvaluator.format(window.latency(99) / 1e6))
          .append('\n');
    }
    Files.writeString(out.resolve("seconds.csv"), csv);
    console.println(generator.sendDelays().summary());
    if (generator.sendDelays().isVoid()) {
      return false;
    }
    figures.forEach(
        (figure, value) -> console.printf("%-34s %s%n", figure, ClaimEvaluator.format(value)));
    List<ClaimEvaluator.ClaimResult> results =
        ClaimEvaluator.evaluate(load.definition.getClaimsList(), figures);
    results.forEach(
        result ->
            console.printf(
                "%-34s %-14s %-14s %s%n",
                result.figure(),
                result.bound(),
                result.measured(),
                result.held() ? "held" : "NOT HELD"));
    return results.stream().allMatch(ClaimEvaluator.ClaimResult::held);
  }
}

package tansytrack.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import tansytrack.lab.load.LatencyStatistics;

/** Plays a load file against a listener on loopback and judges its claims. */
public final class LoadCommand {

  private LoadCommand() {}

  /** True where the run is not void and every claim holds. */
  public static boolean run(String name, String to, long seed, Path out, PrintStream told)
      throws IOException, InterruptedException {
    LoadFile file = LoadFile.read(name);
    OpenLoopGenerator loop =
        new OpenLoopGenerator(file, LabInput.loopbackAddress("--to", to), seed);
    loop.run();
    Map<String, Double> figures = loop.figures();
    Files.createDirectories(out);
    StringBuilder csv = new StringBuilder("second,tasks,share,latency_ms_p50,latency_ms_p99\n");
    for (Map.Entry<Long, LatencyStatistics.Totals> one : loop.latencies().seconds().entrySet()) {
      LatencyStatistics.Totals window = one.getValue();
      csv.append(one.getKey())
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
    told.println(loop.sendDelays().summary());
    if (loop.sendDelays().isVoid()) {
      return false;
    }
    figures.forEach(
        (figure, value) -> told.printf("%-34s %s%n", figure, ClaimEvaluator.format(value)));
    List<ClaimEvaluator.ClaimResult> judged =
        ClaimEvaluator.evaluate(file.definition.getClaimsList(), figures);
    judged.forEach(
        one ->
            told.printf(
                "%-34s %-14s %-14s %s%n",
                one.figure(), one.bound(), one.measured(), one.held() ? "held" : "NOT HELD"));
    return judged.stream().allMatch(ClaimEvaluator.ClaimResult::held);
  }
}

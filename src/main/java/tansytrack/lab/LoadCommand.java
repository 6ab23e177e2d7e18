package tansytrack.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import tansytrack.lab.load.Latencies;

/** Runs a load file against a listener on loopback and evaluates its claims. */
public final class LoadCommand {

  private LoadCommand() {}

  /**
   * Runs a load; returns whether the run is not void and every claim holds.
   *
   * @param name the load file
   * @param to address of the listener
   * @param seed seed of the load
   * @param out folder for the results
   * @param told stream for figures and claims
   */
  public static boolean run(String name, String to, long seed, Path out, PrintStream told)
      throws IOException, InterruptedException {
    LoadFile file = LoadFile.read(name);
    OpenLoop loop = new OpenLoop(file, TextFile.loopback("--to", to), seed);
    loop.play();
    Map<String, Double> figures = loop.figures();
    Files.createDirectories(out);
    StringBuilder csv = new StringBuilder("second,tasks,share,latency_ms_p50,latency_ms_p99\n");
    for (Map.Entry<Long, Latencies.Window> one : loop.latencies().seconds().entrySet()) {
      Latencies.Window window = one.getValue();
      csv.append(one.getKey())
          .append(',')
          .append(window.tasks())
          .append(',')
          .append(Claims.shown(window.share()))
          .append(',')
          .append(Claims.shown(window.latency(50) / 1e6))
          .append(',')
          .append(Claims.shown(window.latency(99) / 1e6))
          .append('\n');
    }
    Files.writeString(out.resolve("seconds.csv"), csv);
    told.println(loop.punctuality().said());
    if (loop.punctuality().isVoid()) {
      return false;
    }
    figures.forEach((figure, value) -> told.printf("%-34s %s%n", figure, Claims.shown(value)));
    List<Claims.Judged> judged = Claims.judge(file.load.getClaimsList(), figures);
    judged.forEach(
        one ->
            told.printf(
                "%-34s %-14s %-14s %s%n",
                one.figure(), one.bound(), one.measured(), one.held() ? "held" : "NOT HELD"));
    return judged.stream().allMatch(Claims.Judged::held);
  }
}

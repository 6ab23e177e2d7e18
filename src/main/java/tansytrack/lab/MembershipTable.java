package tansytrack.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import tansytrack.fleet.MemberStatus;
import tansytrack.fleet.MembershipConfig;
import tansytrack.lab.simulation.LinkConditions;
import tansytrack.lab.simulation.MembershipSimulation;

/**
 * What a membership is worth at a size and a loss, in virtual time; as a table and charts, beside
 * what SWIM's authors expect.
 */
public final class MembershipTable {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MS;
  private static final long STEADY_STATE_NANOS =
      120 * NANOS_PER_SECOND; // in which the living are accused or not
  private static final long DETECTION_NANOS =
      60 * NANOS_PER_SECOND; // for the killed one to be known dead
  private static final long PARTITION_NANOS = 60 * NANOS_PER_SECOND; // a place is cut off
  private static final long MAX_HEALING_NANOS = 120 * NANOS_PER_SECOND;

  private MembershipTable() {}

  private static final class Measurement {
    final int members;
    final double loss;
    final Histogram firstSuspicionMs = new Histogram(3); // ms until any suspects the killed one
    final Histogram knownDeadMs = new Histogram(3); // ms until each holds it to be dead
    final Histogram healedMs = new Histogram(3); // ms until all agree behind a cut
    int undetected;
    int unhealed;
    double suspicions;
    double deathDeclarations;
    double hours;
    double bytesPerSecondSum;
    double messagesPerSecondSum;

    Measurement(int members, double loss) {
      this.members = members;
      this.loss = loss;
    }
  }

  /**
   * Plays all sizes and losses; true: each killed member was known dead by all, and each cut
   * healed.
   */
  public static boolean run(
      String sizes, String losses, int runs, long seed, Path out, PrintStream to)
      throws IOException {
    List<Measurement> rows = new ArrayList<>();
    MembershipConfig rules = MembershipConfig.defaults(List.of("m0", "m1", "m2"));
    String head =
        "members,loss,first_suspicion_p50_ms,swim_expected_ms,known_dead_p50_ms,"
            + "known_dead_p99_ms,not_known,"
            + "suspected_an_hour,declared_dead_an_hour,bytes_a_second,letters_a_second,"
            + "healed_p50_ms,healed_max_ms,not_healed";
    StringBuilder csv = new StringBuilder(head).append('\n');
    to.println(head);
    for (String size : sizes.split(",")) {
      for (String share : losses.split(",")) {
        Measurement row =
            new Measurement(Integer.parseInt(size.strip()), Double.parseDouble(share.strip()));
        for (int i = 0; i < runs; i++) {
          measure(row, rules, seed + i);
        }
        rows.add(row);
        String line = csvLine(row, rules);
        csv.append(line).append('\n');
        to.println(line);
      }
    }
    Files.createDirectories(out);
    Files.writeString(out.resolve("result.csv"), csv);
    detectionChart(rows, rules, out);
    costChart(rows, out);
    return rows.stream().allMatch(row -> row.undetected == 0 && row.unhealed == 0);
  }

  private static void measure(Measurement row, MembershipConfig rules, long seed) {
    LinkConditions weather = new LinkConditions(row.loss, 4, 0.01, 500_000L, 2 * NANOS_PER_MS);
    MembershipSimulation world =
        MembershipSimulation.startConverged(row.members, rules, seed, weather);
    long from = world.now();
    world
        .nodes()
        .forEach(
            node -> {
              node.bytesSent = 0;
              node.messagesSent = 0;
            });
    world.runUntil(from + STEADY_STATE_NANOS);
    for (MembershipSimulation.Observation one : world.observations()) {
      row.suspicions += one.at() > from && one.status() == MemberStatus.SUSPECT ? 1 : 0;
      row.deathDeclarations += one.at() > from && one.status() == MemberStatus.DEAD ? 1 : 0;
    }
    // Each member's word on each other counts once: accusations an hour of the fleet, by anyone.
    row.hours += STEADY_STATE_NANOS / 3600.0 / NANOS_PER_SECOND;
    for (MembershipSimulation.Node node : world.nodes()) {
      row.bytesPerSecondSum +=
          node.bytesSent / (STEADY_STATE_NANOS / (double) NANOS_PER_SECOND) / row.members;
      row.messagesPerSecondSum +=
          node.messagesSent / (STEADY_STATE_NANOS / (double) NANOS_PER_SECOND) / row.members;
    }
    measureDetection(row, world);
    measureHealing(row, world);
  }

  private static void measureDetection(Measurement row, MembershipSimulation world) {
    String name = "n" + (row.members - 1);
    world.kill("m" + (row.members - 1));
    long at = world.now();
    world.runUntil(at + DETECTION_NANOS);
    long first = Long.MAX_VALUE;
    Set<String> know = new HashSet<>();
    for (MembershipSimulation.Observation one : world.observations()) {
      if (one.at() >= at && one.member().equals(name)) {
        first = one.status() == MemberStatus.SUSPECT ? Math.min(first, one.at() - at) : first;
        if (one.status() == MemberStatus.DEAD && know.add(one.observer())) {
          row.knownDeadMs.recordValue((one.at() - at) / NANOS_PER_MS);
        }
      }
    }
    row.undetected += row.members - 1 - know.size();
    row.firstSuspicionMs.recordValue(Math.min(first, DETECTION_NANOS) / NANOS_PER_MS);
  }

  private static void measureHealing(Measurement row, MembershipSimulation world) {
    world.partition((a, b) -> a.zone().equals("place-0") != b.zone().equals("place-0"));
    world.runUntil(world.now() + PARTITION_NANOS);
    world.partition((a, b) -> false);
    world.linkConditions(
        LinkConditions.GOOD); // agreement is asked for, which loss disturbs by itself
    long took = world.runUntilConverged(MAX_HEALING_NANOS);
    if (took < 0) {
      row.unhealed++;
    } else {
      row.healedMs.recordValue(took / NANOS_PER_MS);
    }
  }

  /**
   * Expected until the first of the others probes a dead member, by the paper: e / (e - 1) periods;
   * then its probe must fail.
   */
  private static double expectedSuspicionMs(MembershipConfig rules) {
    return (Math.E / (Math.E - 1) * rules.probeIntervalNanos() + rules.probeIntervalNanos())
        / NANOS_PER_MS;
  }

  private static String csvLine(Measurement row, MembershipConfig rules) {
    double runs = row.hours * 3600 * NANOS_PER_SECOND / STEADY_STATE_NANOS;
    return String.format(
        Locale.ROOT,
        "%d,%s,%d,%.0f,%d,%d,%d,%.1f,%.1f,%.0f,%.1f,%d,%d,%d",
        row.members,
        row.loss,
        row.firstSuspicionMs.getValueAtPercentile(50),
        expectedSuspicionMs(rules),
        row.knownDeadMs.getValueAtPercentile(50),
        row.knownDeadMs.getValueAtPercentile(99),
        row.undetected,
        row.suspicions / row.hours / row.members,
        row.deathDeclarations / row.hours / row.members,
        row.bytesPerSecondSum / runs,
        row.messagesPerSecondSum / runs,
        row.healedMs.getValueAtPercentile(50),
        row.healedMs.getMaxValue(),
        row.unhealed);
  }

  private static void detectionChart(List<Measurement> rows, MembershipConfig rules, Path out)
      throws IOException {
    XYChart chart =
        new XYChartBuilder()
            .width(900)
            .height(520)
            .title("A killed member, until it is known dead")
            .xAxisTitle("members")
            .yAxisTitle("ms")
            .build();
    chart.getStyler().setXAxisLogarithmic(true);
    chart.getStyler().setLegendPosition(Styler.LegendPosition.InsideNW);
    double[] losses = rows.stream().mapToDouble(row -> row.loss).distinct().toArray();
    for (double loss : losses) {
      List<Measurement> one = rows.stream().filter(row -> row.loss == loss).toList();
      double[] sizes = one.stream().mapToDouble(row -> row.members).toArray();
      chart.addSeries(
          "first suspicion, loss " + loss,
          sizes,
          one.stream().mapToDouble(row -> row.firstSuspicionMs.getValueAtPercentile(50)).toArray());
      chart.addSeries(
          "known by all, p99, loss " + loss,
          sizes,
          one.stream().mapToDouble(row -> row.knownDeadMs.getValueAtPercentile(99)).toArray());
    }
    double[] sizes = rows.stream().mapToDouble(row -> row.members).distinct().toArray();
    double[] expected = new double[sizes.length];
    Arrays.fill(expected, expectedSuspicionMs(rules));
    chart.addSeries("first suspicion expected by SWIM", sizes, expected);
    BitmapEncoder.saveBitmap(
        chart, out.resolve("detection.png").toString(), BitmapEncoder.BitmapFormat.PNG);
  }

  private static void costChart(List<Measurement> rows, Path out) throws IOException {
    double[] losses = rows.stream().mapToDouble(row -> row.loss).distinct().toArray();
    XYChart cost =
        new XYChartBuilder()
            .width(900)
            .height(520)
            .title("Sent by a member")
            .xAxisTitle("members")
            .yAxisTitle("bytes a second")
            .build();
    cost.getStyler().setXAxisLogarithmic(true);
    for (double loss : losses) {
      List<Measurement> one = rows.stream().filter(row -> row.loss == loss).toList();
      cost.addSeries(
          "loss " + loss,
          one.stream().mapToDouble(row -> row.members).toArray(),
          one.stream()
              .mapToDouble(
                  row ->
                      row.bytesPerSecondSum
                          / (row.hours * 3600 * NANOS_PER_SECOND / STEADY_STATE_NANOS))
              .toArray());
    }
    BitmapEncoder.saveBitmap(
        cost, out.resolve("bytes.png").toString(), BitmapEncoder.BitmapFormat.PNG);
  }
}

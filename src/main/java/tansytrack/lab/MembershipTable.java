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
 * Measures the membership protocol in virtual time by number of members and datagram loss:
 * detection time, false accusations, bytes sent and time to heal after a partition. Writes a table
 * and charts, with the detection time that the SWIM paper expects for comparison.
 */
public final class MembershipTable {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MS;

  // Time without faults but datagram loss, in which suspicions and declarations are false.
  private static final long STEADY_STATE_NANOS = 120 * NANOS_PER_SECOND;

  // Time in which a killed member must be declared dead.
  private static final long DETECTION_NANOS = 60 * NANOS_PER_SECOND;

  // Duration of the partition of one zone.
  private static final long PARTITION_NANOS = 60 * NANOS_PER_SECOND;

  // Time in which the members must agree again after the partition.
  private static final long MAX_HEALING_NANOS = 120 * NANOS_PER_SECOND;

  private MembershipTable() {}

  private static final class Measurement {
    final int members;
    final double loss;

    // Time until the first member suspects the killed one.
    final Histogram firstSuspicionMs = new Histogram(3);

    // Time until a member declares the killed one dead, of each member.
    final Histogram knownDeadMs = new Histogram(3);

    // Time until all members agree again after the partition.
    final Histogram healedMs = new Histogram(3);

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
   * Measures all combinations of size and loss; returns whether all members detected each killed
   * member and healed after each partition.
   *
   * @param sizes numbers of members, separated by commas
   * @param losses shares of datagrams lost, separated by commas
   * @param runs number of runs of each combination
   * @param seed seed of the first run; each further run has the next one
   * @param out folder for table and charts
   * @param to stream for the table
   */
  public static boolean run(
      String sizes, String losses, int runs, long seed, Path out, PrintStream to)
      throws IOException {
    List<Measurement> measurements = new ArrayList<>();
    MembershipConfig config = MembershipConfig.defaults(List.of("m0", "m1", "m2"));
    String header =
        "members,loss,first_suspicion_p50_ms,swim_expected_ms,known_dead_p50_ms,"
            + "known_dead_p99_ms,not_known,"
            + "suspected_an_hour,declared_dead_an_hour,bytes_a_second,letters_a_second,"
            + "healed_p50_ms,healed_max_ms,not_healed";
    StringBuilder csv = new StringBuilder(header).append('\n');
    to.println(header);
    for (String size : sizes.split(",")) {
      for (String loss : losses.split(",")) {
        Measurement measurement =
            new Measurement(Integer.parseInt(size.strip()), Double.parseDouble(loss.strip()));
        for (int i = 0; i < runs; i++) {
          measure(measurement, config, seed + i);
        }
        measurements.add(measurement);
        String line = csvLine(measurement, config);
        csv.append(line).append('\n');
        to.println(line);
      }
    }
    Files.createDirectories(out);
    Files.writeString(out.resolve("result.csv"), csv);
    detectionChart(measurements, config, out);
    costChart(measurements, out);
    return measurements.stream()
        .allMatch(measurement -> measurement.undetected == 0 && measurement.unhealed == 0);
  }

  private static void measure(Measurement measurement, MembershipConfig config, long seed) {
    LinkConditions conditions =
        new LinkConditions(measurement.loss, 4, 0.01, 500_000L, 2 * NANOS_PER_MS);
    MembershipSimulation simulation =
        MembershipSimulation.startConverged(measurement.members, config, seed, conditions);
    long startNanos = simulation.now();
    simulation
        .nodes()
        .forEach(
            node -> {
              node.bytesSent = 0;
              node.messagesSent = 0;
            });
    simulation.runUntil(startNanos + STEADY_STATE_NANOS);
    for (MembershipSimulation.Observation observation : simulation.observations()) {
      measurement.suspicions +=
          observation.at() > startNanos && observation.status() == MemberStatus.SUSPECT ? 1 : 0;
      measurement.deathDeclarations +=
          observation.at() > startNanos && observation.status() == MemberStatus.DEAD ? 1 : 0;
    }
    // Counts each accusation by each observer; the rates are per hour and divided by the members.
    measurement.hours += STEADY_STATE_NANOS / 3600.0 / NANOS_PER_SECOND;
    for (MembershipSimulation.Node node : simulation.nodes()) {
      measurement.bytesPerSecondSum +=
          node.bytesSent / (STEADY_STATE_NANOS / (double) NANOS_PER_SECOND) / measurement.members;
      measurement.messagesPerSecondSum +=
          node.messagesSent
              / (STEADY_STATE_NANOS / (double) NANOS_PER_SECOND)
              / measurement.members;
    }
    measureDetection(measurement, simulation);
    measureHealing(measurement, simulation);
  }

  private static void measureDetection(Measurement measurement, MembershipSimulation simulation) {
    String name = "n" + (measurement.members - 1);
    simulation.kill("m" + (measurement.members - 1));
    long killedAt = simulation.now();
    simulation.runUntil(killedAt + DETECTION_NANOS);
    long firstSuspicion = Long.MAX_VALUE;
    Set<String> observers = new HashSet<>();
    for (MembershipSimulation.Observation observation : simulation.observations()) {
      if (observation.at() >= killedAt && observation.member().equals(name)) {
        firstSuspicion =
            observation.status() == MemberStatus.SUSPECT
                ? Math.min(firstSuspicion, observation.at() - killedAt)
                : firstSuspicion;
        if (observation.status() == MemberStatus.DEAD && observers.add(observation.observer())) {
          measurement.knownDeadMs.recordValue((observation.at() - killedAt) / NANOS_PER_MS);
        }
      }
    }
    measurement.undetected += measurement.members - 1 - observers.size();
    measurement.firstSuspicionMs.recordValue(
        Math.min(firstSuspicion, DETECTION_NANOS) / NANOS_PER_MS);
  }

  private static void measureHealing(Measurement measurement, MembershipSimulation simulation) {
    simulation.partition((a, b) -> a.zone().equals("place-0") != b.zone().equals("place-0"));
    simulation.runUntil(simulation.now() + PARTITION_NANOS);
    simulation.partition((a, b) -> false);
    // Loss by itself would disturb the agreement that is measured.
    simulation.linkConditions(LinkConditions.GOOD);
    long healingNanos = simulation.runUntilConverged(MAX_HEALING_NANOS);
    if (healingNanos < 0) {
      measurement.unhealed++;
    } else {
      measurement.healedMs.recordValue(healingNanos / NANOS_PER_MS);
    }
  }

  /**
   * Expected time to the first suspicion, in milliseconds. By the SWIM paper, it takes e / (e - 1)
   * probe intervals until some member probes the dead one; the probe then fails after another one.
   */
  private static double expectedSuspicionMs(MembershipConfig config) {
    return (Math.E / (Math.E - 1) * config.probeIntervalNanos() + config.probeIntervalNanos())
        / NANOS_PER_MS;
  }

  private static String csvLine(Measurement measurement, MembershipConfig config) {
    double runs = measurement.hours * 3600 * NANOS_PER_SECOND / STEADY_STATE_NANOS;
    return String.format(
        Locale.ROOT,
        "%d,%s,%d,%.0f,%d,%d,%d,%.1f,%.1f,%.0f,%.1f,%d,%d,%d",
        measurement.members,
        measurement.loss,
        measurement.firstSuspicionMs.getValueAtPercentile(50),
        expectedSuspicionMs(config),
        measurement.knownDeadMs.getValueAtPercentile(50),
        measurement.knownDeadMs.getValueAtPercentile(99),
        measurement.undetected,
        measurement.suspicions / measurement.hours / measurement.members,
        measurement.deathDeclarations / measurement.hours / measurement.members,
        measurement.bytesPerSecondSum / runs,
        measurement.messagesPerSecondSum / runs,
        measurement.healedMs.getValueAtPercentile(50),
        measurement.healedMs.getMaxValue(),
        measurement.unhealed);
  }

  private static void detectionChart(
      List<Measurement> measurements, MembershipConfig config, Path out) throws IOException {
    XYChart chart =
        new XYChartBuilder()
            .width(900)
            .height(520)
            .title("Detection time of a killed member")
            .xAxisTitle("members")
            .yAxisTitle("ms")
            .build();
    chart.getStyler().setXAxisLogarithmic(true);
    chart.getStyler().setLegendPosition(Styler.LegendPosition.InsideNW);
    double[] losses =
        measurements.stream().mapToDouble(measurement -> measurement.loss).distinct().toArray();
    for (double loss : losses) {
      List<Measurement> series =
          measurements.stream().filter(measurement -> measurement.loss == loss).toList();
      double[] sizes = series.stream().mapToDouble(measurement -> measurement.members).toArray();
      chart.addSeries(
          "first suspicion, loss " + loss,
          sizes,
          series.stream()
              .mapToDouble(measurement -> measurement.firstSuspicionMs.getValueAtPercentile(50))
              .toArray());
      chart.addSeries(
          "known by all, p99, loss " + loss,
          sizes,
          series.stream()
              .mapToDouble(measurement -> measurement.knownDeadMs.getValueAtPercentile(99))
              .toArray());
    }
    double[] sizes =
        measurements.stream().mapToDouble(measurement -> measurement.members).distinct().toArray();
    double[] expected = new double[sizes.length];
    Arrays.fill(expected, expectedSuspicionMs(config));
    chart.addSeries("first suspicion expected by SWIM", sizes, expected);
    BitmapEncoder.saveBitmap(
        chart, out.resolve("detection.png").toString(), BitmapEncoder.BitmapFormat.PNG);
  }

  private static void costChart(List<Measurement> measurements, Path out) throws IOException {
    double[] losses =
        measurements.stream().mapToDouble(measurement -> measurement.loss).distinct().toArray();
    XYChart chart =
        new XYChartBuilder()
            .width(900)
            .height(520)
            .title("Bytes sent by a member")
            .xAxisTitle("members")
            .yAxisTitle("bytes a second")
            .build();
    chart.getStyler().setXAxisLogarithmic(true);
    for (double loss : losses) {
      List<Measurement> series =
          measurements.stream().filter(measurement -> measurement.loss == loss).toList();
      chart.addSeries(
          "loss " + loss,
          series.stream().mapToDouble(measurement -> measurement.members).toArray(),
          series.stream()
              .mapToDouble(
                  measurement ->
                      measurement.bytesPerSecondSum
                          / (measurement.hours * 3600 * NANOS_PER_SECOND / STEADY_STATE_NANOS))
              .toArray());
    }
    BitmapEncoder.saveBitmap(
        chart, out.resolve("bytes.png").toString(), BitmapEncoder.BitmapFormat.PNG);
  }
}

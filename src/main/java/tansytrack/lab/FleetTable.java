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
public final class FleetTable {

  private static final long MS = 1_000_000L;
  private static final long SECOND = 1000 * MS;

  // Time without faults but datagram loss, in which suspicions and declarations are false.
  private static final long CALM = 120 * SECOND;

  // Time in which a killed member must be declared dead.
  private static final long LOOK = 60 * SECOND;

  // Duration of the partition of one zone.
  private static final long APART = 60 * SECOND;

  // Time in which the members must agree again after the partition.
  private static final long MOST_HEALING = 120 * SECOND;

  private FleetTable() {}

  private static final class Row {
    final int members;
    final double loss;

    // Time until the first member suspects the killed one.
    final Histogram first = new Histogram(3);

    // Time until a member declares the killed one dead, of each member.
    final Histogram known = new Histogram(3);

    // Time until all members agree again after the partition.
    final Histogram healed = new Histogram(3);

    int unknown;
    int unhealed;
    double suspected;
    double declared;
    double hours;
    double bytes;
    double letters;

    Row(int members, double loss) {
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
    List<Row> rows = new ArrayList<>();
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
        Row row = new Row(Integer.parseInt(size.strip()), Double.parseDouble(share.strip()));
        for (int i = 0; i < runs; i++) {
          play(row, rules, seed + i);
        }
        rows.add(row);
        String line = line(row, rules);
        csv.append(line).append('\n');
        to.println(line);
      }
    }
    Files.createDirectories(out);
    Files.writeString(out.resolve("result.csv"), csv);
    detectionChart(rows, rules, out);
    costChart(rows, out);
    return rows.stream().allMatch(row -> row.unknown == 0 && row.unhealed == 0);
  }

  private static void play(Row row, MembershipConfig rules, long seed) {
    LinkConditions weather = new LinkConditions(row.loss, 4, 0.01, 500_000L, 2 * MS);
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
    world.runUntil(from + CALM);
    for (MembershipSimulation.Observation one : world.observations()) {
      row.suspected += one.at() > from && one.status() == MemberStatus.SUSPECT ? 1 : 0;
      row.declared += one.at() > from && one.status() == MemberStatus.DEAD ? 1 : 0;
    }
    // Counts each accusation by each observer; the rates are per hour and divided by the members.
    row.hours += CALM / 3600.0 / SECOND;
    for (MembershipSimulation.Node node : world.nodes()) {
      row.bytes += node.bytesSent / (CALM / (double) SECOND) / row.members;
      row.letters += node.messagesSent / (CALM / (double) SECOND) / row.members;
    }
    killed(row, world);
    cutOff(row, world);
  }

  private static void killed(Row row, MembershipSimulation world) {
    String name = "n" + (row.members - 1);
    world.kill("m" + (row.members - 1));
    long at = world.now();
    world.runUntil(at + LOOK);
    long first = Long.MAX_VALUE;
    Set<String> know = new HashSet<>();
    for (MembershipSimulation.Observation one : world.observations()) {
      if (one.at() >= at && one.member().equals(name)) {
        first = one.status() == MemberStatus.SUSPECT ? Math.min(first, one.at() - at) : first;
        if (one.status() == MemberStatus.DEAD && know.add(one.observer())) {
          row.known.recordValue((one.at() - at) / MS);
        }
      }
    }
    row.unknown += row.members - 1 - know.size();
    row.first.recordValue(Math.min(first, LOOK) / MS);
  }

  private static void cutOff(Row row, MembershipSimulation world) {
    world.partition((a, b) -> a.zone().equals("place-0") != b.zone().equals("place-0"));
    world.runUntil(world.now() + APART);
    world.partition((a, b) -> false);
    // Loss by itself would disturb the agreement that is measured.
    world.linkConditions(LinkConditions.GOOD);
    long took = world.runUntilConverged(MOST_HEALING);
    if (took < 0) {
      row.unhealed++;
    } else {
      row.healed.recordValue(took / MS);
    }
  }

  /**
   * Expected time to the first suspicion, in milliseconds. By the SWIM paper, it takes e / (e - 1)
   * probe intervals until some member probes the dead one; the probe then fails after another one.
   */
  private static double swim(MembershipConfig rules) {
    return (Math.E / (Math.E - 1) * rules.probeIntervalNanos() + rules.probeIntervalNanos()) / MS;
  }

  private static String line(Row row, MembershipConfig rules) {
    double runs = row.hours * 3600 * SECOND / CALM;
    return String.format(
        Locale.ROOT,
        "%d,%s,%d,%.0f,%d,%d,%d,%.1f,%.1f,%.0f,%.1f,%d,%d,%d",
        row.members,
        row.loss,
        row.first.getValueAtPercentile(50),
        swim(rules),
        row.known.getValueAtPercentile(50),
        row.known.getValueAtPercentile(99),
        row.unknown,
        row.suspected / row.hours / row.members,
        row.declared / row.hours / row.members,
        row.bytes / runs,
        row.letters / runs,
        row.healed.getValueAtPercentile(50),
        row.healed.getMaxValue(),
        row.unhealed);
  }

  private static void detectionChart(List<Row> rows, MembershipConfig rules, Path out)
      throws IOException {
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
    double[] losses = rows.stream().mapToDouble(row -> row.loss).distinct().toArray();
    for (double loss : losses) {
      List<Row> one = rows.stream().filter(row -> row.loss == loss).toList();
      double[] sizes = one.stream().mapToDouble(row -> row.members).toArray();
      chart.addSeries(
          "first suspicion, loss " + loss,
          sizes,
          one.stream().mapToDouble(row -> row.first.getValueAtPercentile(50)).toArray());
      chart.addSeries(
          "known by all, p99, loss " + loss,
          sizes,
          one.stream().mapToDouble(row -> row.known.getValueAtPercentile(99)).toArray());
    }
    double[] sizes = rows.stream().mapToDouble(row -> row.members).distinct().toArray();
    double[] expected = new double[sizes.length];
    Arrays.fill(expected, swim(rules));
    chart.addSeries("first suspicion expected by SWIM", sizes, expected);
    BitmapEncoder.saveBitmap(
        chart, out.resolve("detection.png").toString(), BitmapEncoder.BitmapFormat.PNG);
  }

  private static void costChart(List<Row> rows, Path out) throws IOException {
    double[] losses = rows.stream().mapToDouble(row -> row.loss).distinct().toArray();
    XYChart cost =
        new XYChartBuilder()
            .width(900)
            .height(520)
            .title("Bytes sent by a member")
            .xAxisTitle("members")
            .yAxisTitle("bytes a second")
            .build();
    cost.getStyler().setXAxisLogarithmic(true);
    for (double loss : losses) {
      List<Row> one = rows.stream().filter(row -> row.loss == loss).toList();
      cost.addSeries(
          "loss " + loss,
          one.stream().mapToDouble(row -> row.members).toArray(),
          one.stream()
              .mapToDouble(row -> row.bytes / (row.hours * 3600 * SECOND / CALM))
              .toArray());
    }
    BitmapEncoder.saveBitmap(
        cost, out.resolve("bytes.png").toString(), BitmapEncoder.BitmapFormat.PNG);
  }
}

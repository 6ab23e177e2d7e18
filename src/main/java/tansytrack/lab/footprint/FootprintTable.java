package tansytrack.lab.footprint;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/** Runs a measurement; prints a summary table and writes a CSV file with a row for each manager. */
public final class FootprintTable {

  private static final double NANOS_PER_MS = 1e6;
  private static final double KB_PER_MB = 1024;
  private static final String[] HEADER = {
    "manager",
    "managers",
    "engines",
    "siblings",
    "start_ms",
    "rss_kb",
    "hwm_kb",
    "rest_core_share",
    "rest_up_bytes_s",
    "rest_down_bytes_s",
    "rate",
    "load_core_share",
    "handled",
    "others",
    "change_ms",
    "list_ms",
    "start_down_bytes"
  };

  private FootprintTable() {}

  /** Measures; returns whether all managers received every published change. */
  public static boolean run(FootprintOptions options, Path folder, PrintStream out)
      throws IOException, InterruptedException {
    Files.createDirectories(folder);
    FootprintResult result;
    try (FootprintRun run = new FootprintRun(options, folder)) {
      result = run.measure();
    }
    try (CSVPrinter csv =
        CSVFormat.DEFAULT
            .builder()
            .setHeader(HEADER)
            .get()
            .print(Files.newBufferedWriter(folder.resolve("result.csv")))) {
      for (int i = 0; i < result.managers().size(); i++) {
        printRow(csv, i, options, result.managers().get(i));
      }
    } catch (UncheckedIOException e) {
      throw e.getCause();
    }
    printSummary(options, result, out);
    return result.allChangesReceived();
  }

  private static void printRow(
      CSVPrinter csv, int number, FootprintOptions options, ManagerFootprint footprint)
      throws IOException {
    csv.printRecord(
        number,
        options.managers(),
        options.engines(),
        options.effectiveManagerCount(),
        format(footprint.startNanos() / NANOS_PER_MS, 1),
        footprint.residentKb(),
        footprint.peakResidentKb(),
        format(footprint.idleCoreShare(), 5),
        format(footprint.idleBytesUpPerSecond(), 1),
        format(footprint.idleBytesDownPerSecond(), 1),
        options.rate(),
        format(footprint.loadCoreShare(), 5),
        footprint.handled(),
        footprint.notHandled(),
        format(footprint.changeNanos() / NANOS_PER_MS, 1),
        format(footprint.listNanos() / NANOS_PER_MS, 1),
        footprint.startBytesDown());
  }

  private static void printSummary(
      FootprintOptions options, FootprintResult result, PrintStream out) {
    out.println(
        options.managers()
            + " managers, "
            + options.engines()
            + " engines listed in "
            + result.listBytes()
            + " bytes, "
            + options.effectiveManagerCount()
            + " managers configured");
    List<ManagerFootprint> all = result.managers();
    printFigure(out, "start, ms", all, one -> one.startNanos() / NANOS_PER_MS);
    printFigure(out, "resident at rest, MB", all, one -> one.residentKb() / KB_PER_MB);
    printFigure(out, "most resident, MB", all, one -> one.peakResidentKb() / KB_PER_MB);
    printFigure(out, "core at rest, %", all, one -> 100 * one.idleCoreShare());
    printFigure(
        out, "to the channel at rest, bytes/s", all, ManagerFootprint::idleBytesUpPerSecond);
    printFigure(
        out, "from the channel at rest, bytes/s", all, ManagerFootprint::idleBytesDownPerSecond);
    printFigure(out, "from the channel at the start, bytes", all, ManagerFootprint::startBytesDown);
    if (options.rate() > 0) {
      printFigure(
          out, "core at " + options.rate() + "/s, %", all, one -> 100 * one.loadCoreShare());
      printFigure(out, "statements handled", all, ManagerFootprint::handled);
      printFigure(out, "statements not handled", all, ManagerFootprint::notHandled);
    }
    printFigure(
        out, "a change of one engine had, ms", all, one -> one.changeNanos() / NANOS_PER_MS);
    printFigure(out, "a whole list had, ms", all, one -> one.listNanos() / NANOS_PER_MS);
    EngineTraffic traffic = result.engineTraffic();
    out.println(
        String.format(
            Locale.ROOT,
            "engines, all managers together: %d load probes; at rest %.1f bytes/s of requests,"
                + " %.1f bytes/s of responses; %d connections",
            traffic.probes(),
            traffic.idleProbeRequestBytesPerSecond(),
            traffic.idleProbeResponseBytesPerSecond(),
            traffic.openConnections()));
    if (!result.allChangesReceived()) {
      out.println("NOT REACHED: not all managers received every change");
    }
  }

  private static void printFigure(
      PrintStream out,
      String label,
      List<ManagerFootprint> footprints,
      ToDoubleFunction<ManagerFootprint> figure) {
    double[] sorted = footprints.stream().mapToDouble(figure).sorted().toArray();
    out.println(
        String.format(
            Locale.ROOT,
            "%-38s median %12.2f  least %12.2f  most %12.2f",
            label,
            sorted[sorted.length / 2],
            sorted[0],
            sorted[sorted.length - 1]));
  }

  private static String format(double value, int decimals) {
    return String.format(Locale.ROOT, "%." + decimals + "f", value);
  }
}

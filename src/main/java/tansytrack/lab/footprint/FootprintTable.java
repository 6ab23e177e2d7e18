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

  private static final double MS = 1e6;
  private static final double MB = 1024;
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
      result = run.play();
    }
    try (CSVPrinter csv =
        CSVFormat.DEFAULT
            .builder()
            .setHeader(HEADER)
            .get()
            .print(Files.newBufferedWriter(folder.resolve("result.csv")))) {
      for (int i = 0; i < result.managers().size(); i++) {
        row(csv, i, options, result.managers().get(i));
      }
    } catch (UncheckedIOException e) {
      throw e.getCause();
    }
    print(options, result, out);
    return result.reached();
  }

  private static void row(
      CSVPrinter csv, int number, FootprintOptions options, ManagerFootprint one)
      throws IOException {
    csv.printRecord(
        number,
        options.managers(),
        options.engines(),
        options.siblingsTold(),
        decimals(one.startTime() / MS, 1),
        one.residentKb(),
        one.mostResidentKb(),
        decimals(one.restCoreShare(), 5),
        decimals(one.restBytesUp(), 1),
        decimals(one.restBytesDown(), 1),
        options.rate(),
        decimals(one.loadCoreShare(), 5),
        one.handled(),
        one.others(),
        decimals(one.changeTime() / MS, 1),
        decimals(one.listTime() / MS, 1),
        one.startBytesDown());
  }

  private static void print(FootprintOptions options, FootprintResult result, PrintStream out) {
    out.println(
        options.managers()
            + " managers, "
            + options.engines()
            + " engines listed in "
            + result.listBytes()
            + " bytes, "
            + options.siblingsTold()
            + " managers configured");
    List<ManagerFootprint> all = result.managers();
    line(out, "start, ms", all, one -> one.startTime() / MS);
    line(out, "resident at rest, MB", all, one -> one.residentKb() / MB);
    line(out, "most resident, MB", all, one -> one.mostResidentKb() / MB);
    line(out, "core at rest, %", all, one -> 100 * one.restCoreShare());
    line(out, "to the channel at rest, bytes/s", all, ManagerFootprint::restBytesUp);
    line(out, "from the channel at rest, bytes/s", all, ManagerFootprint::restBytesDown);
    line(out, "from the channel at the start, bytes", all, ManagerFootprint::startBytesDown);
    if (options.rate() > 0) {
      line(out, "core at " + options.rate() + "/s, %", all, one -> 100 * one.loadCoreShare());
      line(out, "statements handled", all, ManagerFootprint::handled);
      line(out, "statements not handled", all, ManagerFootprint::others);
    }
    line(out, "a change of one engine had, ms", all, one -> one.changeTime() / MS);
    line(out, "a whole list had, ms", all, one -> one.listTime() / MS);
    EngineCalls engines = result.engines();
    out.println(
        String.format(
            Locale.ROOT,
            "engines, all managers together: %d load probes; at rest %.1f bytes/s of requests,"
                + " %.1f bytes/s of responses; %d connections",
            engines.probes(),
            engines.restProbeBytesUp(),
            engines.restProbeBytesDown(),
            engines.connections()));
    if (!result.reached()) {
      out.println("NOT REACHED: not all managers received every change");
    }
  }

  private static void line(
      PrintStream out,
      String what,
      List<ManagerFootprint> all,
      ToDoubleFunction<ManagerFootprint> figure) {
    double[] sorted = all.stream().mapToDouble(figure).sorted().toArray();
    out.println(
        String.format(
            Locale.ROOT,
            "%-38s median %12.2f  least %12.2f  most %12.2f",
            what,
            sorted[sorted.length / 2],
            sorted[0],
            sorted[sorted.length - 1]));
  }

  private static String decimals(double value, int places) {
    return String.format(Locale.ROOT, "%." + places + "f", value);
  }
}

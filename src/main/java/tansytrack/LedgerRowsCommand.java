package tansytrack;

import java.io.PrintStream;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.kohsuke.args4j.Option;
import tansytrack.command.ErrorReportingCommand;
import tansytrack.log.JsonLinesWriter;

/** A ledger command that prints rows, either as a table or as JSON lines. */
abstract class LedgerRowsCommand extends ErrorReportingCommand {
  @Option(name = "--json", usage = "print one JSON object per line instead of tables")
  boolean json;

  PrintStream out = System.out;

  /** Prints a row as a JSON line, or adds it to the next table. */
  void addRow(Map<String, Object> columns) {
    if (json) {
      out.println(
          columns.entrySet().stream()
              .map(
                  column ->
                      JsonLinesWriter.quote(column.getKey())
                          + ':'
                          + (column.getValue() instanceof Long
                                  || column.getValue() instanceof Boolean
                              ? column.getValue().toString()
                              : JsonLinesWriter.quote(column.getValue().toString())))
              .collect(Collectors.joining(",", "{", "}")));
    } else {
      rows.add(columns.values().stream().map(Object::toString).toList());
      headings = List.copyOf(columns.keySet());
    }
  }

  private List<String> headings;
  private final List<List<String>> rows = new ArrayList<>();

  /** Prints the rows added so far as a table; all of them must have the same columns. */
  void printTable() {
    if (headings == null) {
      return;
    }
    rows.add(0, headings);
    int[] widths = new int[headings.size()];
    rows.forEach(
        row -> {
          for (int i = 0; i < widths.length; i++) {
            widths[i] = Math.max(widths[i], row.get(i).length());
          }
        });
    for (List<String> row : rows) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < widths.length; i++) {
        line.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length() + 2));
      }
      out.println(line.toString().stripTrailing());
    }
    rows.clear();
    headings = null;
  }

  /** Returns a row from alternating names and values, in this order. */
  static Map<String, Object> columns(Object... pairs) {
    Map<String, Object> row = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      row.put((String) pairs[i], pairs[i + 1]);
    }
    return row;
  }

  /** The current time in nanoseconds of the Unix clock. */
  static long nowNanos() {
    Instant now = Instant.now();
    return now.getEpochSecond() * 1_000_000_000L + now.getNano();
  }

  /** Formats a time in nanoseconds of the Unix clock, to seconds; "-" for 0. */
  static String formatTime(long unixNanos) {
    return unixNanos == 0 ? "-" : Instant.ofEpochSecond(unixNanos / 1_000_000_000L).toString();
  }
}

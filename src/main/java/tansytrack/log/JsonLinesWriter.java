package tansytrack.log;

import java.io.PrintStream;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import java.util.TreeMap;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Log lines as JSON objects on standard error, a line each: time, level, event, its fields,
 * message, and the trace of a failure.
 */
public final class JsonLinesWriter implements Writer {

  static final String EVENT_KEY = "event";

  private final PrintStream out;

  /** For tinylog, which makes it by its name. */
  public JsonLinesWriter(Map<String, String> properties) {
    this(System.err);
  }

  JsonLinesWriter(PrintStream out) {
    this.out = out;
  }

  @Override
  public Collection<LogEntryValue> getRequiredLogEntryValues() {
    return EnumSet.of(
        LogEntryValue.DATE,
        LogEntryValue.LEVEL,
        LogEntryValue.MESSAGE,
        LogEntryValue.CONTEXT,
        LogEntryValue.EXCEPTION);
  }

  @Override
  public void write(LogEntry entry) {
    Map<String, String> context =
        entry.getContext() == null ? Map.of() : new TreeMap<>(entry.getContext());
    StringBuilder line = new StringBuilder(256).append('{');
    put(line, "time", entry.getTimestamp().toInstant().toString());
    put(line, "level", entry.getLevel().name());
    put(line, EVENT_KEY, context.getOrDefault(EVENT_KEY, "message"));
    context.forEach(
        (name, value) -> {
          if (!name.equals(EVENT_KEY)) {
            put(line, name, value);
          }
        });
    put(line, "message", String.valueOf(entry.getMessage()));
    if (entry.getException() != null) {
      StringBuilder trace = new StringBuilder();
      for (Throwable one = entry.getException(); one != null; one = one.getCause()) {
        trace.append(trace.length() > 0 ? "caused by " : "").append(one).append('\n');
        for (StackTraceElement at : one.getStackTrace()) {
          trace.append("  at ").append(at).append('\n');
        }
      }
      put(line, "exception", trace.toString());
    }
    out.println(line.append('}'));
  }

  private static void put(StringBuilder line, String name, String value) {
    line.append(line.length() > 1 ? "," : "").append(quote(name)).append(':').append(quote(value));
  }

  /** A text as a JSON string. */
  public static String quote(String text) {
    StringBuilder made = new StringBuilder(text.length() + 2).append('"');
    for (int i = 0; i < text.length(); i++) {
      char letter = text.charAt(i);
      if (letter == '"' || letter == '\\') {
        made.append('\\').append(letter);
      } else if (letter == '\n') {
        made.append("\\n");
      } else if (letter < ' ') {
        made.append(String.format("\\u%04x", (int) letter));
      } else {
        made.append(letter);
      }
    }
    return made.append('"').toString();
  }

  @Override
  public void flush() {
    out.flush();
  }

  @Override
  public void close() {
    out.flush();
  }
}

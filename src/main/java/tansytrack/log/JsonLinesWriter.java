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
 * A tinylog writer that prints each log entry to standard error as a JSON object on a line of its
 * own: time, level, event, the event's fields, message, and the stack trace of an exception.
 */
public final class JsonLinesWriter implements Writer {

  /** Key of the event's name, both in the thread context and in the JSON object. */
  static final String EVENT_KEY = "event";

  private final PrintStream out;

  /** Called by tinylog, which creates the writer by its service name. */
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
      for (Throwable cause = entry.getException(); cause != null; cause = cause.getCause()) {
        trace.append(trace.length() > 0 ? "caused by " : "").append(cause).append('\n');
        for (StackTraceElement frame : cause.getStackTrace()) {
          trace.append("  at ").append(frame).append('\n');
        }
      }
      put(line, "exception", trace.toString());
    }
    out.println(line.append('}'));
  }

  private static void put(StringBuilder line, String name, String value) {
    line.append(line.length() > 1 ? "," : "").append(quote(name)).append(':').append(quote(value));
  }

  /** Returns the text as a JSON string literal, with its quotation marks. */
  public static String quote(String text) {
    StringBuilder literal = new StringBuilder(text.length() + 2).append('"');
    for (int i = 0; i < text.length(); i++) {
      char character = text.charAt(i);
      if (character == '"' || character == '\\') {
        literal.append('\\').append(character);
      } else if (character == '\n') {
        literal.append("\\n");
      } else if (character < ' ') {
        literal.append(String.format("\\u%04x", (int) character));
      } else {
        literal.append(character);
      }
    }
    return literal.append('"').toString();
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

package tansytrack.log;

import org.tinylog.Level;
import org.tinylog.ThreadContext;
import org.tinylog.provider.ProviderRegistry;

/**
 * Logs structured events: a name and named fields in addition to the text. Plain log lines show
 * only the text, JSON lines show everything. Event names and field names are a stable interface for
 * programs; texts are for people and may change.
 */
public final class Event {

  /** Stack depth of the code that calls info, warn or error, which tinylog names as the origin. */
  private static final int CALLER_DEPTH = 3;

  private Event() {}

  /** Logs an event at level INFO; `pairs` alternates field names and values. */
  public static void info(String name, String text, Object... pairs) {
    log(Level.INFO, name, text, pairs);
  }

  /** Logs an event at level WARN; `pairs` alternates field names and values. */
  public static void warn(String name, String text, Object... pairs) {
    log(Level.WARN, name, text, pairs);
  }

  /** Logs an event at level ERROR; `pairs` alternates field names and values. */
  public static void error(String name, String text, Object... pairs) {
    log(Level.ERROR, name, text, pairs);
  }

  private static void log(Level level, String name, String text, Object... pairs) {
    ThreadContext.put(JsonLinesWriter.EVENT_KEY, name);
    for (int i = 0; i < pairs.length; i += 2) {
      ThreadContext.put((String) pairs[i], pairs[i + 1]);
    }
    try {
      ProviderRegistry.getLoggingProvider()
          .log(CALLER_DEPTH, null, level, null, null, text, (Object[]) null);
    } finally {
      ThreadContext.clear();
    }
  }

  /**
   * Switches the log to JSON lines. It must be called before the first line is logged, because
   * tinylog freezes its configuration then.
   */
  public static void useJsonLines() {
    org.tinylog.configuration.Configuration.set("writer", "json lines");
    org.tinylog.configuration.Configuration.set("writer.level", "info");
  }
}

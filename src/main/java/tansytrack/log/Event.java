package tansytrack.log;

import org.tinylog.Level;
import org.tinylog.ThreadContext;
import org.tinylog.provider.ProviderRegistry;

/**
 * A log line with a name and named fields beside its text: plain lines show the text, JSON lines
 * all of it. Names and fields are for programs and stay; texts are for people.
 */
public final class Event {

  private static final int CALLER_DEPTH = 3;

  private Event() {}

  /** Logs an event at level INFO; the pairs are field names and values in turn. */
  public static void info(String name, String text, Object... pairs) {
    log(Level.INFO, name, text, pairs);
  }

  /** Logs an event at level WARN; the pairs are field names and values in turn. */
  public static void warn(String name, String text, Object... pairs) {
    log(Level.WARN, name, text, pairs);
  }

  /** Logs an event at level ERROR; the pairs are field names and values in turn. */
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

  /** Chooses JSON lines; before the first line is logged. */
  public static void useJsonLines() {
    org.tinylog.configuration.Configuration.set("writer", "json lines");
    org.tinylog.configuration.Configuration.set("writer.level", "info");
  }
}

package tansytrack.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tansytrack.api.LoadReport;
import tansytrack.api.Settings;

/** The configuration of a workload manager; times are in nanoseconds. */
public record Config(
    String name,
    String listen,
    String channel,
    Object known,
    Settings settings,
    List<String> columns,
    long idleTime,
    int mostDescriptors) {

  private static final List<String> REPORTED =
      List.of("cpu_share", "busy_reqs", "pending", "x0", "x1");
  private static final Map<String, String> OTHER_NAMES =
      Map.of("util", "cpu_share", "inflight", "busy_reqs", "queue", "pending");

  /**
   * Reads the configuration from its parsed JSON. The settings in it are flattened to the pairs of
   * path and value that the simulator would send.
   */
  public static Config of(Object json) {
    Map<?, ?> all = map(json, "the configuration");
    Pairs pairs = new Pairs();
    flatten("", map(all.get("settings"), "settings"), pairs);
    long seed;
    try {
      seed = Long.parseUnsignedLong(text(all, "seed"), 16);
    } catch (NumberFormatException e) {
      throw new Unusable("seed is not a hex number");
    }
    Object sockets = map(all.get("limits"), "limits").get("sockets");
    if (!(sockets instanceof Number)) {
      throw new Unusable("limits.sockets is not a number");
    }
    Settings settings = pairs.settings(seed);
    if (settings.grades().isEmpty()) {
      throw new Unusable("settings.grades is empty");
    }
    return new Config(
        text(all, "name"),
        text(all, "listen"),
        text(all, "channel"),
        all.get("known"),
        settings,
        pairs.columns(),
        pairs.time("policy_limits.conn_idle_ms"),
        ((Number) sockets).intValue());
  }

  /** Returns the timeout for opening a connection to an engine. */
  public long connectTime() {
    return settings.levers().connectTime();
  }

  /**
   * Returns the same configuration without the list of engines: it can take megabytes and is needed
   * only once.
   */
  public Config withoutKnown() {
    return moved(listen, channel, null);
  }

  /** Returns the same configuration with other addresses and engines. */
  public Config moved(String otherListen, String otherChannel, Object otherKnown) {
    return new Config(
        name, otherListen, otherChannel, otherKnown, settings, columns, idleTime, mostDescriptors);
  }

  /**
   * Returns the names of the fields that differ in the other configuration and that a running
   * manager cannot reload, separated by commas; empty if there are none.
   */
  public String fixedDifference(Config other) {
    List<String> differ = new ArrayList<>();
    if (!listen.equals(other.listen)) {
      differ.add("listen");
    }
    // The seed is new with each start and is no difference of the settings.
    if (!settings.equals(other.settings.withSeed(settings.seed()))
        || idleTime != other.idleTime
        || !columns.equals(other.columns)) {
      differ.add("settings");
    }
    return String.join(", ", differ);
  }

  private static Map<?, ?> map(Object value, String what) {
    if (value instanceof Map) {
      return (Map<?, ?>) value;
    }
    throw new Unusable(what + " is not an object");
  }

  private static String text(Map<?, ?> from, String name) {
    if (from.get(name) instanceof String) {
      return (String) from.get(name);
    }
    throw new Unusable(name + " is not a string");
  }

  private static void flatten(String path, Map<?, ?> object, Pairs into) {
    object.forEach((name, value) -> put(path + name, value, into));
  }

  private static void put(String path, Object value, Pairs into) {
    if (value instanceof Map) {
      flatten(path + '.', (Map<?, ?>) value, into);
    } else if (value instanceof List) {
      List<?> list = (List<?>) value;
      if (list.stream().anyMatch(Map.class::isInstance)) {
        into.put(path + ".count", Integer.toString(list.size()));
        for (int i = 0; i < list.size(); i++) {
          put(path + '.' + i, list.get(i), into);
        }
      } else {
        into.put(path, String.join(",", list.stream().map(Config::plain).toList()));
      }
    } else if (value != null) {
      into.put(path, plain(value));
    }
  }

  private static String plain(Object value) {
    return value == null ? "-" : value.toString().replace(' ', '_').replace(',', '_');
  }

  /** Returns the index of a reported figure among the columns, or -1. */
  public int column(String name) {
    int at = columns.indexOf(name);
    return at >= 0 ? at : columns.indexOf(OTHER_NAMES.getOrDefault(name, name));
  }

  /** Builds a load report from the figures of all columns. */
  public LoadReport report(double[] figures) {
    double[] all = new double[REPORTED.size()];
    for (int i = 0; i < all.length; i++) {
      int at = column(REPORTED.get(i));
      all[i] = at < 0 ? Double.NaN : figures[at];
    }
    return new LoadReport(all[0], all[1], all[2], all[3], all[4]);
  }
}

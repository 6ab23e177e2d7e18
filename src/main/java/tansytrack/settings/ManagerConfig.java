package tansytrack.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tansytrack.api.LoadReport;
import tansytrack.api.Settings;

/** The configuration of a workload manager; times are in nanoseconds. */
public record ManagerConfig(
    String name,
    String listenAddress,
    String channelAddress,
    Object knownEngines,
    Settings settings,
    List<String> reportColumns,
    long idleTimeoutNanos,
    int maxDescriptors) {

  private static final List<String> REPORT_FIGURES =
      List.of("cpu_share", "busy_reqs", "pending", "x0", "x1");
  private static final Map<String, String> COLUMN_ALIASES =
      Map.of("util", "cpu_share", "inflight", "busy_reqs", "queue", "pending");

  /**
   * Reads the configuration from its parsed JSON. The settings in it are flattened to the pairs of
   * path and value that the simulator would send.
   */
  public static ManagerConfig fromJson(Object json) {
    Map<?, ?> all = requireObject(json, "the configuration");
    SettingsParser pairs = new SettingsParser();
    flatten("", requireObject(all.get("settings"), "settings"), pairs);
    long seed;
    try {
      seed = Long.parseUnsignedLong(requireString(all, "seed"), 16);
    } catch (NumberFormatException e) {
      throw new InvalidInputException("seed is not a hex number");
    }
    Object sockets = requireObject(all.get("limits"), "limits").get("sockets");
    if (!(sockets instanceof Number)) {
      throw new InvalidInputException("limits.sockets is not a number");
    }
    Settings settings = pairs.toSettings(seed);
    if (settings.queryClasses().isEmpty()) {
      throw new InvalidInputException("settings.grades is empty");
    }
    return new ManagerConfig(
        requireString(all, "name"),
        requireString(all, "listen"),
        requireString(all, "channel"),
        all.get("known"),
        settings,
        pairs.reportColumns(),
        pairs.timeNanos("policy_limits.conn_idle_ms"),
        ((Number) sockets).intValue());
  }

  /** Returns the timeout for opening a connection to an engine. */
  public long connectTimeoutNanos() {
    return settings.capabilities().connectTimeoutNanos();
  }

  /**
   * Returns the same configuration without the list of engines: it can take megabytes and is needed
   * only once.
   */
  public ManagerConfig withoutKnownEngines() {
    return withAddresses(listenAddress, channelAddress, null);
  }

  /** Returns the same configuration with other addresses and engines. */
  public ManagerConfig withAddresses(String otherListen, String otherChannel, Object otherKnown) {
    return new ManagerConfig(
        name,
        otherListen,
        otherChannel,
        otherKnown,
        settings,
        reportColumns,
        idleTimeoutNanos,
        maxDescriptors);
  }

  /**
   * Returns the names of the fields that differ in the other configuration and that a running
   * manager cannot reload, separated by commas; empty if there are none.
   */
  public String nonReloadableDifferences(ManagerConfig other) {
    List<String> differ = new ArrayList<>();
    if (!listenAddress.equals(other.listenAddress)) {
      differ.add("listen");
    }
    // The seed is new with each start and is no difference of the settings.
    if (!settings.equals(other.settings.withSeed(settings.seed()))
        || idleTimeoutNanos != other.idleTimeoutNanos
        || !reportColumns.equals(other.reportColumns)) {
      differ.add("settings");
    }
    return String.join(", ", differ);
  }

  private static Map<?, ?> requireObject(Object value, String what) {
    if (value instanceof Map) {
      return (Map<?, ?>) value;
    }
    throw new InvalidInputException(what + " is not an object");
  }

  private static String requireString(Map<?, ?> from, String name) {
    if (from.get(name) instanceof String) {
      return (String) from.get(name);
    }
    throw new InvalidInputException(name + " is not a string");
  }

  private static void flatten(String path, Map<?, ?> object, SettingsParser into) {
    object.forEach((name, value) -> putValue(path + name, value, into));
  }

  private static void putValue(String path, Object value, SettingsParser into) {
    if (value instanceof Map) {
      flatten(path + '.', (Map<?, ?>) value, into);
    } else if (value instanceof List) {
      List<?> list = (List<?>) value;
      if (list.stream().anyMatch(Map.class::isInstance)) {
        into.put(path + ".count", Integer.toString(list.size()));
        for (int i = 0; i < list.size(); i++) {
          putValue(path + '.' + i, list.get(i), into);
        }
      } else {
        into.put(path, String.join(",", list.stream().map(ManagerConfig::plainText).toList()));
      }
    } else if (value != null) {
      into.put(path, plainText(value));
    }
  }

  private static String plainText(Object value) {
    return value == null ? "-" : value.toString().replace(' ', '_').replace(',', '_');
  }

  /** Returns the index of a reported figure among the columns, or -1. */
  public int columnIndex(String name) {
    int at = reportColumns.indexOf(name);
    return at >= 0 ? at : reportColumns.indexOf(COLUMN_ALIASES.getOrDefault(name, name));
  }

  /** Builds a load report from the figures of all columns. */
  public LoadReport toLoadReport(double[] figures) {
    double[] all = new double[REPORT_FIGURES.size()];
    for (int i = 0; i < all.length; i++) {
      int at = columnIndex(REPORT_FIGURES.get(i));
      all[i] = at < 0 ? Double.NaN : figures[at];
    }
    return new LoadReport(all[0], all[1], all[2], all[3], all[4]);
  }
}

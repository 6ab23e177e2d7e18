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
    Map<?, ?> fields = requireObject(json, "the configuration");
    SettingsParser parser = new SettingsParser();
    flatten("", requireObject(fields.get("settings"), "settings"), parser);
    long seed;
    try {
      seed = Long.parseUnsignedLong(requireString(fields, "seed"), 16);
    } catch (NumberFormatException e) {
      throw new InvalidInputException("seed is not a hex number");
    }
    Object sockets = requireObject(fields.get("limits"), "limits").get("sockets");
    if (!(sockets instanceof Number)) {
      throw new InvalidInputException("limits.sockets is not a number");
    }
    Settings settings = parser.toSettings(seed);
    if (settings.queryClasses().isEmpty()) {
      throw new InvalidInputException("settings.grades is empty");
    }
    return new ManagerConfig(
        requireString(fields, "name"),
        requireString(fields, "listen"),
        requireString(fields, "channel"),
        fields.get("known"),
        settings,
        parser.reportColumns(),
        parser.timeNanos("policy_limits.conn_idle_ms"),
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
    List<String> differences = new ArrayList<>();
    if (!listenAddress.equals(other.listenAddress)) {
      differences.add("listen");
    }
    // The seed is new with each start and is no difference of the settings.
    if (!settings.equals(other.settings.withSeed(settings.seed()))
        || idleTimeoutNanos != other.idleTimeoutNanos
        || !reportColumns.equals(other.reportColumns)) {
      differences.add("settings");
    }
    return String.join(", ", differences);
  }

  private static Map<?, ?> requireObject(Object value, String name) {
    if (value instanceof Map) {
      return (Map<?, ?>) value;
    }
    throw new InvalidInputException(name + " is not an object");
  }

  private static String requireString(Map<?, ?> fields, String name) {
    if (fields.get(name) instanceof String) {
      return (String) fields.get(name);
    }
    throw new InvalidInputException(name + " is not a string");
  }

  private static void flatten(String path, Map<?, ?> object, SettingsParser parser) {
    object.forEach((name, value) -> putValue(path + name, value, parser));
  }

  private static void putValue(String path, Object value, SettingsParser parser) {
    if (value instanceof Map) {
      flatten(path + '.', (Map<?, ?>) value, parser);
    } else if (value instanceof List) {
      List<?> list = (List<?>) value;
      if (list.stream().anyMatch(Map.class::isInstance)) {
        parser.put(path + ".count", Integer.toString(list.size()));
        for (int i = 0; i < list.size(); i++) {
          putValue(path + '.' + i, list.get(i), parser);
        }
      } else {
        parser.put(path, String.join(",", list.stream().map(ManagerConfig::plainText).toList()));
      }
    } else if (value != null) {
      parser.put(path, plainText(value));
    }
  }

  private static String plainText(Object value) {
    return value == null ? "-" : value.toString().replace(' ', '_').replace(',', '_');
  }

  /** Returns the index of a reported figure among the columns, or -1. */
  public int columnIndex(String name) {
    int index = reportColumns.indexOf(name);
    return index >= 0 ? index : reportColumns.indexOf(COLUMN_ALIASES.getOrDefault(name, name));
  }

  /** Builds a load report from the figures of all columns. */
  public LoadReport toLoadReport(double[] figures) {
    double[] values = new double[REPORT_FIGURES.size()];
    for (int i = 0; i < values.length; i++) {
      int index = columnIndex(REPORT_FIGURES.get(i));
      values[i] = index < 0 ? Double.NaN : figures[index];
    }
    return new LoadReport(values[0], values[1], values[2], values[3], values[4]);
  }
}

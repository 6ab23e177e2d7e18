package tansytrack.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tansytrack.api.LoadReport;
import tansytrack.api.Settings;

/** All that a workload manager is told when it starts; times in nanoseconds. */
public record ManagerConfig(
    String name,
    String listenAddress,
    String channelAddress,
    Object knownEngines,
    Settings settings,
    List<String> reportColumns,
    long idleTimeoutNanos,
    int maxDescriptors) {

  private static final List<String> REPORTED =
      List.of("cpu_share", "busy_reqs", "pending", "x0", "x1");
  private static final Map<String, String> OTHER_NAMES =
      Map.of("util", "cpu_share", "inflight", "busy_reqs", "queue", "pending");

  /**
   * From the parsed JSON of the configuration; the settings in it become the pairs that the bench
   * would send.
   */
  public static ManagerConfig fromJson(Object json) {
    Map<?, ?> all = map(json, "the configuration");
    SettingsParser pairs = new SettingsParser();
    flatten("", map(all.get("settings"), "settings"), pairs);
    long seed;
    try {
      seed = Long.parseUnsignedLong(text(all, "seed"), 16);
    } catch (NumberFormatException e) {
      throw new InvalidInputException("seed is not a hex number");
    }
    Object sockets = map(all.get("limits"), "limits").get("sockets");
    if (!(sockets instanceof Number)) {
      throw new InvalidInputException("limits.sockets is not a number");
    }
    Settings settings = pairs.toSettings(seed);
    if (settings.queryClasses().isEmpty()) {
      throw new InvalidInputException("settings.grades is empty");
    }
    return new ManagerConfig(
        text(all, "name"),
        text(all, "listen"),
        text(all, "channel"),
        all.get("known"),
        settings,
        pairs.reportColumns(),
        pairs.time("policy_limits.conn_idle_ms"),
        ((Number) sockets).intValue());
  }

  /** How long a connection to an engine may take to come up. */
  public long connectTimeoutNanos() {
    return settings.capabilities().connectTimeoutNanos();
  }

  /** The same without the engines: thousands of them take megabytes, and are needed once. */
  public ManagerConfig withoutKnownEngines() {
    return withAddresses(listenAddress, channelAddress, null);
  }

  /** The same manager elsewhere, with other engines. */
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
   * What differs in another one that a running manager cannot take over, by name; empty: nothing.
   */
  public String nonReloadableDifferences(ManagerConfig other) {
    List<String> differ = new ArrayList<>();
    if (!listenAddress.equals(other.listenAddress)) {
      differ.add("listen");
    }
    // The seed is new with each start, so it says nothing of the settings.
    if (!settings.equals(other.settings.withSeed(settings.seed()))
        || idleTimeoutNanos != other.idleTimeoutNanos
        || !reportColumns.equals(other.reportColumns)) {
      differ.add("settings");
    }
    return String.join(", ", differ);
  }

  private static Map<?, ?> map(Object value, String what) {
    if (value instanceof Map) {
      return (Map<?, ?>) value;
    }
    throw new InvalidInputException(what + " is not an object");
  }

  private static String text(Map<?, ?> from, String name) {
    if (from.get(name) instanceof String) {
      return (String) from.get(name);
    }
    throw new InvalidInputException(name + " is not a string");
  }

  private static void flatten(String path, Map<?, ?> object, SettingsParser into) {
    object.forEach((name, value) -> put(path + name, value, into));
  }

  private static void put(String path, Object value, SettingsParser into) {
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
        into.put(path, String.join(",", list.stream().map(ManagerConfig::plain).toList()));
      }
    } else if (value != null) {
      into.put(path, plain(value));
    }
  }

  private static String plain(Object value) {
    return value == null ? "-" : value.toString().replace(' ', '_').replace(',', '_');
  }

  /** The place of a reported figure among the columns, or -1. */
  public int columnIndex(String name) {
    int at = reportColumns.indexOf(name);
    return at >= 0 ? at : reportColumns.indexOf(OTHER_NAMES.getOrDefault(name, name));
  }

  /** A report from the figures of all columns. */
  public LoadReport toLoadReport(double[] figures) {
    double[] all = new double[REPORTED.size()];
    for (int i = 0; i < all.length; i++) {
      int at = columnIndex(REPORTED.get(i));
      all[i] = at < 0 ? Double.NaN : figures[at];
    }
    return new LoadReport(all[0], all[1], all[2], all[3], all[4]);
  }
}

package tansytrack.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tansytrack.api.QueryClass;
import tansytrack.api.Settings;

/**
 * Parses the start-up settings of a workload manager from pairs of path and value; unknown paths
 * are ignored.
 */
public final class SettingsParser {

  // Used where the settings tell no timeout; it is much longer than a round trip.
  private static final long DEFAULT_CONNECT_TIMEOUT_NANOS = 1_000_000_000L;
  // The exclusive upper bound of every number; times in nanoseconds stay within a long.
  private static final double NUMBER_LIMIT = 1e12;

  private final Map<String, String> pairs = new HashMap<>();

  /** Adds a pair of the form path=value. */
  public void put(String pair) {
    int separator = pair.indexOf('=');
    if (separator < 1) {
      throw new InvalidInputException("pair without '='");
    }
    pairs.put(pair.substring(0, separator), pair.substring(separator + 1));
  }

  void put(String path, String value) {
    pairs.put(path, value);
  }

  /** Returns the names of the columns of a load report. */
  public List<String> reportColumns() {
    return list("reporting.columns");
  }

  /** Builds the settings from all pairs; rejects numbers that are malformed or out of range. */
  public Settings toSettings(long seed) {
    List<QueryClass> queryClasses = new ArrayList<>();
    List<String> threads = list("extra.threads_by_class");
    List<String> bulkLoads = list("extra.is_load");
    List<String> waitsForBulkLoads = list("extra.class_waits");
    for (int i = 0; i < (int) number("grades.count", 0); i++) {
      String prefix = "grades." + i + ".";
      queryClasses.add(
          new QueryClass(
              pairs.getOrDefault(prefix + "name", "?"),
              retrySafety(pairs.get(prefix + "repeat")),
              deduplicationScope(pairs.get(prefix + "key_scope")),
              timeNanos(prefix + "window_ms"),
              timeNanos(prefix + "objective_ms"),
              number(prefix + "aim_stretch", 0),
              timeNanos(prefix + "deadline_ms"),
              number(prefix + "worth", 0),
              number(prefix + "late_worth", 0),
              flag(prefix + "serial_by_key"),
              set(prefix + "allowed_in"),
              set(prefix + "runs_on"),
              i < threads.size() ? (int) parse("extra.threads_by_class", threads.get(i)) : 1,
              i < bulkLoads.size() && bulkLoads.get(i).equals("true"),
              i < waitsForBulkLoads.size() && waitsForBulkLoads.get(i).equals("true")));
    }
    List<Settings.Tenant> tenants = new ArrayList<>();
    for (int i = 0; i < (int) number("tenants.count", 0); i++) {
      String prefix = "tenants." + i + ".";
      tenants.add(
          new Settings.Tenant(
              pairs.getOrDefault(prefix + "name", "?"),
              number(prefix + "portion", 0),
              number(prefix + "quota_rps", 0)));
    }
    Map<String, Settings.EngineType> engineTypes = new HashMap<>();
    List<String> typeNames = list("skus");
    List<String> cores = list("extra.cpu_of_kind");
    List<String> memory = list("extra.memory_by_kind_mb");
    for (int i = 0; i < typeNames.size(); i++) {
      engineTypes.put(
          typeNames.get(i),
          new Settings.EngineType(
              i < cores.size() ? (int) parse("extra.cpu_of_kind", cores.get(i)) : 0,
              i < memory.size() ? parse("extra.memory_by_kind_mb", memory.get(i)) : 0));
    }
    long connectTimeoutNanos = timeNanos("policy_limits.connect_timeout_ms");
    Settings.Capabilities capabilities =
        new Settings.Capabilities(
            flag("policy_limits.may_probe"),
            flag("policy_limits.cancel"),
            flag("policy_limits.parallel_tries"),
            flag("policy_limits.retry_after"),
            timeNanos("policy_limits.max_retry_after_ms"),
            (int) number("policy_limits.max_attempts", 1),
            flag("extra.memory_heeded"),
            number("extra.grant_cap", 0),
            flag("extra.ranks_heeded"),
            flag("extra.tells_cost"),
            timeNanos("extra.progress_ms"),
            number("prices.cross_zone", 0) > 0,
            connectTimeoutNanos > 0 ? connectTimeoutNanos : DEFAULT_CONNECT_TIMEOUT_NANOS);
    Settings.ColdStartLimit coldStartLimit =
        pairs.containsKey("rules.overload_factor")
            ? new Settings.ColdStartLimit(
                number("rules.start_capacity", 1),
                timeNanos("rules.ramp_time_ms"),
                number("rules.overload_factor", 0),
                timeNanos("rules.fall_ms"))
            : null;
    Settings.RetryBudget retryBudget =
        pairs.containsKey("rules.look_back_ms")
            ? new Settings.RetryBudget(
                (int) number("rules.spare_attempts", 0),
                number("rules.extra_per_request", 0),
                timeNanos("rules.look_back_ms"))
            : null;
    return new Settings(
        seed,
        Math.max(1, (int) number("siblings", 1)),
        (int) number("position", Settings.UNKNOWN_INDEX),
        pairs.getOrDefault("zone", ""),
        queryClasses,
        tenants,
        engineTypes,
        capabilities,
        timeNanos("rules.drain_grace_ms"),
        coldStartLimit,
        timeNanos("rules.turn_gap_ms"),
        retryBudget);
  }

  private static QueryClass.RetrySafety retrySafety(String value) {
    if ("idempotent".equals(value)) {
      return QueryClass.RetrySafety.IDEMPOTENT;
    }
    return "deduplicated".equals(value)
        ? QueryClass.RetrySafety.DEDUPLICATED
        : QueryClass.RetrySafety.NON_IDEMPOTENT;
  }

  private static QueryClass.DeduplicationScope deduplicationScope(String value) {
    if ("all".equals(value)) {
      return QueryClass.DeduplicationScope.ALL;
    }
    return "zone".equals(value)
        ? QueryClass.DeduplicationScope.ZONE
        : QueryClass.DeduplicationScope.CELL;
  }

  private boolean flag(String path) {
    String value = pairs.get(path);
    return "true".equals(value) || "1".equals(value);
  }

  private double number(String path, double defaultValue) {
    String value = pairs.get(path);
    return value == null || value.isEmpty() || value.equals("-")
        ? defaultValue
        : parse(path, value);
  }

  long timeNanos(String path) {
    return Math.round(number(path, 0) * 1e6);
  }

  private static double parse(String path, String value) {
    double number;
    try {
      number = Double.parseDouble(value);
    } catch (NumberFormatException e) {
      number = -1;
    }
    if (number >= 0 && number < NUMBER_LIMIT) {
      return number;
    }
    throw new InvalidInputException(
        "settings." + path + ": '" + value + "'; allowed: a number from 0 to under 1e12");
  }

  private Set<String> set(String path) {
    return new LinkedHashSet<>(list(path));
  }

  private List<String> list(String path) {
    List<String> items = new ArrayList<>();
    String value = pairs.getOrDefault(path, "");
    for (int from = 0; from < value.length(); ) {
      int comma = value.indexOf(',', from);
      int to = comma < 0 ? value.length() : comma;
      items.add(value.substring(from, to));
      from = to + 1;
    }
    return items;
  }
}

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
 * The start-up settings of one workload manager, from path=value pairs; unknown paths are skipped.
 */
public final class SettingsParser {

  private static final long CONNECT_TIME =
      1_000_000_000L; // where none is set: far more than a round trip
  private static final double MOST = 1e12; // of any figure: times in nanoseconds stay in range

  private final Map<String, String> pairs = new HashMap<>();

  public void put(String pair) {
    int cut = pair.indexOf('=');
    if (cut < 1) {
      throw new InvalidInputException("pair without '='");
    }
    pairs.put(pair.substring(0, cut), pair.substring(cut + 1));
  }

  void put(String path, String value) {
    pairs.put(path, value);
  }

  public List<String> reportColumns() {
    return list("reporting.columns");
  }

  public Settings toSettings(long seed) {
    List<QueryClass> grades = new ArrayList<>();
    List<String> threads = list("extra.threads_by_class");
    List<String> loads = list("extra.is_load");
    List<String> waits = list("extra.class_waits");
    for (int i = 0; i < (int) number("grades.count", 0); i++) {
      String g = "grades." + i + ".";
      grades.add(
          new QueryClass(
              pairs.getOrDefault(g + "name", "?"),
              repeat(pairs.get(g + "repeat")),
              scope(pairs.get(g + "key_scope")),
              time(g + "window_ms"),
              time(g + "objective_ms"),
              number(g + "aim_stretch", 0),
              time(g + "deadline_ms"),
              number(g + "worth", 0),
              number(g + "late_worth", 0),
              flag(g + "serial_by_key"),
              set(g + "allowed_in"),
              set(g + "runs_on"),
              i < threads.size() ? (int) parse("extra.threads_by_class", threads.get(i)) : 1,
              i < loads.size() && loads.get(i).equals("true"),
              i < waits.size() && waits.get(i).equals("true")));
    }
    List<Settings.Tenant> tenants = new ArrayList<>();
    for (int i = 0; i < (int) number("tenants.count", 0); i++) {
      String t = "tenants." + i + ".";
      tenants.add(
          new Settings.Tenant(
              pairs.getOrDefault(t + "name", "?"),
              number(t + "portion", 0),
              number(t + "quota_rps", 0)));
    }
    Map<String, Settings.EngineType> kinds = new HashMap<>();
    List<String> names = list("skus");
    List<String> cores = list("extra.cpu_of_kind");
    List<String> memory = list("extra.memory_by_kind_mb");
    for (int i = 0; i < names.size(); i++) {
      kinds.put(
          names.get(i),
          new Settings.EngineType(
              i < cores.size() ? (int) parse("extra.cpu_of_kind", cores.get(i)) : 0,
              i < memory.size() ? parse("extra.memory_by_kind_mb", memory.get(i)) : 0));
    }
    long connectTime = time("policy_limits.connect_timeout_ms");
    Settings.Capabilities levers =
        new Settings.Capabilities(
            flag("policy_limits.may_probe"),
            flag("policy_limits.cancel"),
            flag("policy_limits.parallel_tries"),
            flag("policy_limits.retry_after"),
            time("policy_limits.max_retry_after_ms"),
            (int) number("policy_limits.max_attempts", 1),
            flag("extra.memory_heeded"),
            number("extra.grant_cap", 0),
            flag("extra.ranks_heeded"),
            flag("extra.tells_cost"),
            time("extra.progress_ms"),
            number("prices.cross_zone", 0) > 0,
            connectTime > 0 ? connectTime : CONNECT_TIME);
    Settings.ColdStartLimit cold =
        pairs.containsKey("rules.overload_factor")
            ? new Settings.ColdStartLimit(
                number("rules.start_capacity", 1),
                time("rules.ramp_time_ms"),
                number("rules.overload_factor", 0),
                time("rules.fall_ms"))
            : null;
    Settings.RetryBudget ration =
        pairs.containsKey("rules.look_back_ms")
            ? new Settings.RetryBudget(
                (int) number("rules.spare_attempts", 0),
                number("rules.extra_per_request", 0),
                time("rules.look_back_ms"))
            : null;
    return new Settings(
        seed,
        Math.max(1, (int) number("siblings", 1)),
        (int) number("position", Settings.UNKNOWN_INDEX),
        pairs.getOrDefault("zone", ""),
        grades,
        tenants,
        kinds,
        levers,
        time("rules.drain_grace_ms"),
        cold,
        time("rules.turn_gap_ms"),
        ration);
  }

  private static QueryClass.RetrySafety repeat(String word) {
    if ("idempotent".equals(word)) {
      return QueryClass.RetrySafety.IDEMPOTENT;
    }
    return "deduplicated".equals(word)
        ? QueryClass.RetrySafety.DEDUPLICATED
        : QueryClass.RetrySafety.NON_IDEMPOTENT;
  }

  private static QueryClass.DeduplicationScope scope(String word) {
    if ("all".equals(word)) {
      return QueryClass.DeduplicationScope.ALL;
    }
    return "zone".equals(word)
        ? QueryClass.DeduplicationScope.ZONE
        : QueryClass.DeduplicationScope.CELL;
  }

  private boolean flag(String path) {
    String value = pairs.get(path);
    return "true".equals(value) || "1".equals(value);
  }

  private double number(String path, double otherwise) {
    String value = pairs.get(path);
    return value == null || value.isEmpty() || value.equals("-") ? otherwise : parse(path, value);
  }

  long time(String path) {
    return Math.round(number(path, 0) * 1e6);
  }

  private static double parse(String path, String value) {
    double number;
    try {
      number = Double.parseDouble(value);
    } catch (NumberFormatException e) {
      number = -1;
    }
    if (number >= 0 && number < MOST) {
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

/** Settings like those of a small deployment; the names are those of the wire page. */
final class Settings {

  private Settings() {}

  /** One class of the settings. */
  static String grade(String name, String repeat, long deadlineMs, String more) {
    return "{\"name\":\"" + name + "\",\"repeat\":\"" + repeat + "\",\"objective_ms\":1000,\"deadline_ms\":"
        + deadlineMs + ",\"worth\":1" + more + "}";
  }

  /** Three classes, two tenants; `grades` holds three classes. */
  static String of(String grades) {
    return of(grades, 3, "");
  }

  static String of(String grades, int classes, String moreLimits) {
    String ones = "1" + ",1".repeat(classes - 1);
    String nos = "false" + ",false".repeat(classes - 1);
    return "{\"siblings\":1,\"zone\":\"here\",\"skus\":[\"eight-core\"],"
        + "\"extra\":{\"cpu_of_kind\":[8],\"memory_by_kind_mb\":[8192],\"memory_heeded\":true,\"grant_cap\":0.5,"
        + "\"ranks_heeded\":true,\"tells_cost\":true,\"threads_by_class\":[" + ones + "],\"is_load\":[" + nos
        + "],\"class_waits\":[" + nos + "]},"
        + "\"grades\":[" + grades + "],"
        + "\"tenants\":[{\"name\":\"anyone\",\"portion\":1,\"quota_rps\":100}],"
        + "\"policy_limits\":{\"may_probe\":false,\"cancel\":true,\"max_attempts\":3,\"connect_timeout_ms\":250,"
        + "\"conn_idle_ms\":30000,\"retry_after\":true,\"max_retry_after_ms\":500" + moreLimits + "},"
        + "\"reporting\":{\"columns\":[\"busy_reqs\"],\"how\":\"piggyback\"},"
        + "\"rules\":{\"answer_slack_ms\":20,\"drain_grace_ms\":1000,\"turn_gap_ms\":300}}";
  }

  /** A statement with its fields. */
  static String sql(String grade, String id, long waitMs, String more) {
    return "/* class=" + grade + ",id=" + id + ",wait=" + waitMs + ",tenant=anyone,cost=60.0,mb=16" + more
        + " */ SELECT day, note, tag FROM sales_17.orders WHERE tag = '" + id + "'";
  }

  /** The id of the request with that number. */
  static String id(long number) {
    return String.format("%016x", 0xa000000000000000L + number);
  }
}

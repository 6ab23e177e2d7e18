/**
 * The configuration of a workload manager of the deployment forex-query: the settings that
 * WIRE-tansytrack.md prints as its example, less what a workload manager does not need on sockets.
 */
final class Settings {
  private final Channel channel;
  int sockets = 1024;

  Settings(Channel channel) {
    this.channel = channel;
  }

  static String member(String id, String address, String kind, String phase) {
    return String.format(
        "{\"id\":\"%s\",\"host_port\":\"%s\",\"locality\":\"kochi-dc\",\"flavor\":\"%s\","
            + "\"cell\":0,\"phase\":\"%s\",\"size\":1,\"up_since_ms\":0}",
        id, address, kind, phase);
  }

  String json(String name, String listen) {
    return "{\"name\":\""
        + name
        + "\",\"listen\":\""
        + listen
        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
        + sockets
        + "},\"channel\":\""
        + channel.address()
        + "\",\"known\":"
        + channel.after(0)
        + ",\"settings\":"
        + SETTINGS
        + "}";
  }

  private static final String SETTINGS =
      """
      {"clients": {"marks_retry": true}, "counted_by": "request", "discovery": "pushed",
       "family": "queries", "layers": ["query-engines"], "localities": ["kochi-dc"],
       "zone": "kochi-dc", "skus": ["eight-core", "sixteen-core"], "siblings": 1,
       "position": 0, "over_share_worth": 0.05, "weight_kind": "nominal",
       "extra": {"class_waits": [false, false, false], "cpu_of_kind": [8, 16], "grant_cap": 0.4,
         "is_load": [false, false, true], "memory_by_kind_mb": [16384.0, 32768.0],
         "memory_heeded": true, "on_shortage": "cut", "progress_ms": 0.0, "ranks_heeded": true,
         "tells_cost": true, "threads_by_class": [1, 2, 2]},
       "grades": [
         {"name": "lookup", "repeat": "idempotent", "key_scope": "all", "objective_ms": 1500.0,
          "aim_stretch": 1.5, "deadline_ms": 7500.0, "worth": 1.0, "late_worth": 0.1,
          "streamed": false, "window_ms": 5000.0},
         {"name": "report", "repeat": "idempotent", "key_scope": "all", "objective_ms": 1500.0,
          "aim_stretch": 2.5, "deadline_ms": 20000.0, "worth": 5.0, "late_worth": 0.3,
          "streamed": false, "window_ms": 5000.0},
         {"name": "load", "repeat": "at_most_once", "key_scope": "all", "objective_ms": 3000.0,
          "aim_stretch": 2.5, "deadline_ms": 20000.0, "worth": 5.0, "late_worth": 0.6,
          "serial_by_key": true, "streamed": false, "window_ms": 5000.0}],
       "policy_limits": {"cancel": true, "conn_idle_ms": 30000.0, "connect_timeout_ms": 250.0,
         "max_attempts": 3, "max_retry_after_ms": 500.0, "may_probe": true, "may_tell": false,
         "multiplex": 100, "parallel_tries": false, "retry_after": true},
       "prices": {"connection": 0.0, "cross_zone": 0.0, "probe": 0.013, "waste": 0.071},
       "reporting": {"columns": ["busy_reqs", "x1", "x0"], "how": "pull"},
       "rules": {"answer_slack_ms": 20.0, "ask_every_ms": 10000.0, "drain_grace_ms": 1000.0,
         "fall_ms": 1000.0, "overload_factor": 2.0, "ramp_time_ms": 13000.0,
         "start_capacity": 0.3, "turn_gap_ms": 300.0},
       "tenants": [
         {"name": "ernakulam", "portion": 0.67, "quota_rps": 101.0},
         {"name": "thrissur", "portion": 0.19, "quota_rps": 29.0},
         {"name": "kozhikode", "portion": 0.14, "quota_rps": 21.0}]}
      """;
}

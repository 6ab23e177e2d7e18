package tansytrack.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import tansytrack.settings.ManagerConfig;
import tansytrack.wire.Json;

/**
 * Guards against a digest of the settings that changes with the names in the code: managers of
 * different versions exchange and show it, and equal settings must have equal digests.
 */
class SettingsDigestTest {

  /** Every rule, and every value of the enumerations in the settings. */
  private static final String EVERY_RULE =
      """
      {"name": "n", "listen": "127.0.0.1:1", "seed": "a7", "limits": {"sockets": 9},
       "channel": "127.0.0.1:2",
       "settings": {"siblings": 4, "position": 2, "zone": "z", "skus": ["s", "t"],
         "extra": {"cpu_of_kind": [4, 8], "memory_by_kind_mb": [10, 20], "memory_heeded": true,
           "grant_cap": 0.5, "ranks_heeded": true, "tells_cost": true, "progress_ms": 70,
           "threads_by_class": [1, 2, 3], "is_load": [false, true, false],
           "class_waits": [false, false, true]},
         "grades": [
           {"name": "a", "repeat": "idempotent", "key_scope": "all", "window_ms": 11,
            "objective_ms": 12, "aim_stretch": 1.5, "deadline_ms": 13, "worth": 2,
            "late_worth": 1, "serial_by_key": true, "allowed_in": ["z", "y"],
            "runs_on": ["t", "s"]},
           {"name": "b", "repeat": "deduplicated", "key_scope": "zone"},
           {"name": "c", "repeat": "never", "key_scope": "cell"}],
         "tenants": [{"name": "p", "portion": 0.5, "quota_rps": 10}],
         "policy_limits": {"may_probe": true, "cancel": true, "parallel_tries": true,
           "retry_after": true, "max_retry_after_ms": 500, "max_attempts": 3,
           "connect_timeout_ms": 250, "conn_idle_ms": 30000},
         "prices": {"cross_zone": 2},
         "reporting": {"columns": ["busy_reqs"]},
         "rules": {"drain_grace_ms": 1000, "turn_gap_ms": 300, "overload_factor": 2,
           "start_capacity": 0.3, "ramp_time_ms": 10000, "fall_ms": 1000, "look_back_ms": 5000,
           "spare_attempts": 7, "extra_per_request": 0.2}}}
      """;

  private static String digest(byte[] json) throws Exception {
    return OperatorFeatures.digest(ManagerConfig.fromJson(Json.parse(json)));
  }

  @Test
  void theDigestOfTheExampleConfigurationIsStable() throws Exception {
    assertThat(digest(Files.readAllBytes(Path.of("deploy/example.json"))))
        .isEqualTo("d035bfc79081");
  }

  @Test
  void theDigestOfAConfigurationWithEveryRuleIsStable() throws Exception {
    assertThat(digest(EVERY_RULE.getBytes(StandardCharsets.UTF_8))).isEqualTo("80a9f02a63f6");
  }
}

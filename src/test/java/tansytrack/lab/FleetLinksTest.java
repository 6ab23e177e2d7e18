package tansytrack.lab;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tansytrack.Decide;
import tansytrack.fleet.MemberStatus;
import tansytrack.lab.simulation.FaultSchedule;
import tansytrack.lab.simulation.LinkConditions;
import tansytrack.lab.simulation.MembershipMetrics;
import tansytrack.lab.simulation.MembershipSimulation.Observation;
import tansytrack.settings.InvalidInputException;

/** The experiments on fleets of processes in lab/, and the metrics that they are judged by. */
class FleetLinksTest {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  @TempDir Path folder;

  private String run(String file) throws Exception {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    boolean held =
        ExperimentRunner.run(
            ExperimentRunner.read(file),
            1,
            folder,
            Decide::new,
            new PrintStream(output, true, StandardCharsets.UTF_8));
    return held + "\n" + output.toString(StandardCharsets.UTF_8);
  }

  @Test
  void nineProcessesInThreeZonesOverLossyLinks() throws Exception {
    assertThat(run("lab/fleet-links.textproto")).startsWith("true").contains("killed.known_ms_max");
  }

  /**
   * Load, cold engines, cut links, stalled connections: checks the seven invariants over all
   * managers, as clients, engines and command channels observe them.
   */
  @Test
  void invariantsHoldUnderFaults() throws Exception {
    assertThat(run("lab/fleet-cold.textproto")).startsWith("true").contains("broken.cold");
  }

  /**
   * Guards against two queries of a key at once: requests whose connection was reset arrive late
   * all the same, after the poll for the query and after its cancellation.
   */
  @Test
  void delayedRequestsKeepTheOrderByKey() throws Exception {
    assertThat(run("lab/fleet-flaky.textproto")).startsWith("true").contains("broken.order");
  }

  @Test
  void claimsHoldInVirtualTime() throws Exception {
    Path file =
        Files.writeString(
            folder.resolve("virtual"),
            Files.readString(Path.of("lab/fleet-links.textproto"))
                .replace("runs: 1", "runs: 20")
                .replace("fleet {", "fleet {\n  virtual_time: true"));
    assertThat(run(file.toString())).startsWith("true");
  }

  private static Observation observation(
      double at, String observer, String member, MemberStatus status) {
    return new Observation((long) (at * NANOS_PER_SECOND), observer, member, 1, status);
  }

  /** Checks that each metric reports a violation in observations that are wrong on purpose. */
  @Test
  void metricsDetectEachViolation() {
    List<String> two = List.of("a", "b");
    FaultSchedule kill =
        new FaultSchedule(
            LinkConditions.GOOD,
            List.of(),
            List.of(
                new FaultSchedule.ProcessFault(
                    5 * NANOS_PER_SECOND, 0, "b", FaultSchedule.ProcessFaultKind.KILL)));
    FaultSchedule cut =
        new FaultSchedule(
            LinkConditions.GOOD,
            List.of(
                new FaultSchedule.LinkFault(
                    5 * NANOS_PER_SECOND,
                    5 * NANOS_PER_SECOND,
                    new FaultSchedule.Endpoint("a"),
                    new FaultSchedule.Endpoint("b"),
                    true,
                    LinkConditions.GOOD.withLoss(1))),
            List.of());
    FaultSchedule none = new FaultSchedule(LinkConditions.GOOD, List.of(), List.of());
    Observation ab = observation(1, "a", "b", MemberStatus.ALIVE);
    Observation ba = observation(2, "b", "a", MemberStatus.ALIVE);
    Map<String, Double> fine =
        new MembershipMetrics(
                two,
                kill,
                List.of(ab, ba, observation(7, "a", "b", MemberStatus.DEAD)),
                20 * NANOS_PER_SECOND)
            .compute();
    assertThat(fine)
        .containsEntry("joined_ms_max", 2000.0)
        .containsEntry("killed.known_ms_max", 2000.0)
        .containsEntry("living.dead_ms_max", 0.0);
    assertThat(
            new MembershipMetrics(two, kill, List.of(ab, ba), 20 * NANOS_PER_SECOND)
                .compute()
                .get("killed.known_ms_max"))
        .isGreaterThan(1e8);
    assertThat(
            new MembershipMetrics(two, none, List.of(ab), 20 * NANOS_PER_SECOND)
                .compute()
                .get("joined_ms_max"))
        .isGreaterThan(1e8);
    assertThat(
            new MembershipMetrics(
                    two,
                    none,
                    List.of(
                        ab,
                        ba,
                        observation(7, "a", "b", MemberStatus.DEAD),
                        observation(9, "a", "b", MemberStatus.ALIVE)),
                    20 * NANOS_PER_SECOND)
                .compute())
        .containsEntry("living.dead_ms_max", 2000.0);
    assertThat(
            new MembershipMetrics(
                    two,
                    cut,
                    List.of(
                        ab,
                        ba,
                        observation(8, "a", "b", MemberStatus.DEAD),
                        observation(13, "a", "b", MemberStatus.ALIVE)),
                    40 * NANOS_PER_SECOND)
                .compute())
        .containsEntry("living.dead_ms_max", 0.0)
        .containsEntry("healed_ms_max", 3000.0);
    assertThat(
            new MembershipMetrics(
                    two,
                    cut,
                    List.of(ab, ba, observation(8, "a", "b", MemberStatus.DEAD)),
                    40 * NANOS_PER_SECOND)
                .compute())
        .satisfies(figures -> assertThat(figures.get("healed_ms_max")).isGreaterThan(1e8))
        .satisfies(figures -> assertThat(figures.get("living.dead_ms_max")).isGreaterThan(5000));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "managers: 1 | managers: '1'; allowed: 2 to 200",
        "managers: 3 seconds: 1 runs: 1 fleet { places: 4 } | fleet.places: '4'; allowed: 1 to 3",
        "managers: 3 seconds: 1 runs: 1 fleet { places: 1 probe_every_ms: 9 } | probe_every_ms:"
            + " '9'",
        "managers: 3 seconds: 1 runs: 1 fleet { places: 1 probe_every_ms: 100 weather { loss: 1.5 }"
            + " } | fleet.weather.loss: '1.500'",
        "managers: 3 seconds: 1 runs: 1 fleet { places: 1 probe_every_ms: 100 links { from: 'm7'"
            + " to: '*' } } | fleet.links.from: 'm7'",
        "managers: 3 seconds: 1 runs: 1 fleet { places: 1 probe_every_ms: 100 processes { manager:"
            + " 'x' } } | processes.manager: 'x'; allowed: m0 to m2",
        "managers: 3 seconds: 1 runs: 1 fleet { places: 1 probe_every_ms: 100 versions { manager:"
            + " '*' jar: '/none' } } | versions.jar: '/none'",
        "managers: 3 seconds: 1 runs: 1 fleet { places: 1 probe_every_ms: 100 engines: 1 } |"
            + " fleet.engine.cores: '0'",
        "managers: 3 seconds: 1 runs: 1 fleet { places: 1 probe_every_ms: 100 engine_troubles {"
            + " engine: 'e1' } } | engine_troubles.engine: 'e1'",
        "managers: 3 seconds: 1 runs: 1 fleet { places: 1 probe_every_ms: 100 } | claims: missing"
      })
  void rejectsInvalidFleetPlans(String text, String message) throws Exception {
    Path file =
        Files.writeString(folder.resolve("x"), text.contains("fleet") ? text : text + " fleet { }");
    assertThatThrownBy(() -> ExperimentRunner.read(file.toString()))
        .isInstanceOf(InvalidInputException.class)
        .hasMessageContaining(message);
  }
}

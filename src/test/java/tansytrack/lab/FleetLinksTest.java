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
import tansytrack.fleet.Standing;
import tansytrack.lab.world.Faults;
import tansytrack.lab.world.FleetWorld.Seen;
import tansytrack.lab.world.MembershipFigures;
import tansytrack.lab.world.Weather;
import tansytrack.settings.Unusable;

/** The experiment on a fleet of processes, as it stands in lab/, and what judges it. */
class FleetLinksTest {

  private static final long SECOND = 1_000_000_000L;

  @TempDir Path folder;

  private String played(String file) throws Exception {
    ByteArrayOutputStream told = new ByteArrayOutputStream();
    boolean held =
        Laboratory.run(
            Laboratory.read(file),
            1,
            folder,
            Decide::new,
            new PrintStream(told, true, StandardCharsets.UTF_8));
    return held + "\n" + told.toString(StandardCharsets.UTF_8);
  }

  @Test
  void nineProcessesInThreePlacesOverBadLinks() throws Exception {
    assertThat(played("lab/fleet-links.textproto"))
        .startsWith("true")
        .contains("killed.known_ms_max");
  }

  /**
   * Traffic, cold engines, cut links, a silent place: the seven rules over all managers, by what
   * stand-ins saw.
   */
  @Test
  void sixProcessesServeByTheRulesWhileThingsBreak() throws Exception {
    assertThat(played("lab/fleet-cold.textproto")).startsWith("true").contains("broken.cold");
  }

  /**
   * Starts that are reset and come late all the same: behind the question for them, and behind the
   * call that gives them up.
   */
  @Test
  void startsThatComeLateBreakNoOrder() throws Exception {
    assertThat(played("lab/fleet-flaky.textproto")).startsWith("true").contains("broken.order");
  }

  @Test
  void theSameScheduleHoldsInVirtualTime() throws Exception {
    Path file =
        Files.writeString(
            folder.resolve("virtual"),
            Files.readString(Path.of("lab/fleet-links.textproto"))
                .replace("runs: 1", "runs: 20")
                .replace("fleet {", "fleet {\n  virtual_time: true"));
    assertThat(played(file.toString())).startsWith("true");
  }

  private static Seen seen(double at, String by, String of, Standing standing) {
    return new Seen((long) (at * SECOND), by, of, 1, standing);
  }

  /** Each figure of the judge is shown to fire on a record that is wrong on purpose. */
  @Test
  void theJudgeSeesWhatIsWrong() {
    List<String> two = List.of("a", "b");
    Faults kill =
        new Faults(
            Weather.FINE,
            List.of(),
            List.of(new Faults.ProcessTrouble(5 * SECOND, 0, "b", Faults.Kind.KILL)));
    Faults cut =
        new Faults(
            Weather.FINE,
            List.of(
                new Faults.LinkTrouble(
                    5 * SECOND,
                    5 * SECOND,
                    new Faults.End("a"),
                    new Faults.End("b"),
                    true,
                    Weather.FINE.losing(1))),
            List.of());
    Faults none = new Faults(Weather.FINE, List.of(), List.of());
    Seen ab = seen(1, "a", "b", Standing.ALIVE);
    Seen ba = seen(2, "b", "a", Standing.ALIVE);
    Map<String, Double> fine =
        new MembershipFigures(
                two, kill, List.of(ab, ba, seen(7, "a", "b", Standing.DEAD)), 20 * SECOND)
            .figures();
    assertThat(fine)
        .containsEntry("joined_ms_max", 2000.0)
        .containsEntry("killed.known_ms_max", 2000.0)
        .containsEntry("living.dead_ms_max", 0.0);
    assertThat(
            new MembershipFigures(two, kill, List.of(ab, ba), 20 * SECOND)
                .figures()
                .get("killed.known_ms_max"))
        .isGreaterThan(1e8);
    assertThat(
            new MembershipFigures(two, none, List.of(ab), 20 * SECOND)
                .figures()
                .get("joined_ms_max"))
        .isGreaterThan(1e8);
    assertThat(
            new MembershipFigures(
                    two,
                    none,
                    List.of(
                        ab,
                        ba,
                        seen(7, "a", "b", Standing.DEAD),
                        seen(9, "a", "b", Standing.ALIVE)),
                    20 * SECOND)
                .figures())
        .containsEntry("living.dead_ms_max", 2000.0);
    assertThat(
            new MembershipFigures(
                    two,
                    cut,
                    List.of(
                        ab,
                        ba,
                        seen(8, "a", "b", Standing.DEAD),
                        seen(13, "a", "b", Standing.ALIVE)),
                    40 * SECOND)
                .figures())
        .containsEntry("living.dead_ms_max", 0.0)
        .containsEntry("healed_ms_max", 3000.0);
    assertThat(
            new MembershipFigures(
                    two, cut, List.of(ab, ba, seen(8, "a", "b", Standing.DEAD)), 40 * SECOND)
                .figures())
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
  void aFleetThatCannotBeUsedIsSaid(String text, String said) throws Exception {
    Path file =
        Files.writeString(folder.resolve("x"), text.contains("fleet") ? text : text + " fleet { }");
    assertThatThrownBy(() -> Laboratory.read(file.toString()))
        .isInstanceOf(Unusable.class)
        .hasMessageContaining(said);
  }
}

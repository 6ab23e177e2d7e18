package tansytrack.lab.footprint;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tansytrack.settings.InvalidInputException;

/** Tests the footprint measurement with a real manager, its process figures and options. */
class FootprintTest {

  private static final String FLAGS = FootprintOptions.DEPLOYED_JVM_FLAGS;

  @Test
  void oneManagerIsMeasuredAndStopped(@TempDir Path folder)
      throws IOException, InterruptedException {
    FootprintOptions options =
        new FootprintOptions(
            /* managers= */ 1,
            /* engines= */ 50,
            /* configuredManagerCount= */ 0,
            /* settleSeconds= */ 0,
            /* seconds= */ 1,
            /* rate= */ 20,
            /* jar= */ null,
            FLAGS);
    try (FootprintRun run = new FootprintRun(options, folder)) {
      FootprintResult result = run.measure();
      assertThat(result.managers()).hasSize(1);
      ManagerFootprint manager = result.managers().get(0);
      assertThat(manager.allChangesReceived()).isTrue();
      assertThat(manager.residentKb()).isPositive();
      assertThat(manager.startBytesDown()).isPositive();
      assertThat(manager.idleBytesUpPerSecond()).isPositive();
      assertThat(manager.handled()).isPositive();
      assertThat(result.engineTraffic().probes()).isPositive();
      assertThat(result.listBytes()).isBetween(50 * 100, 50 * 250);
      assertThat(run.anyAlive()).isFalse();
    }
  }

  @Test
  void processFiguresAreReadFromAStatusFile() throws IOException {
    List<String> status = List.of("Name:\tjava", "VmHWM:\t   90000 kB", "VmRSS:\t   80000 kB");
    ProcessFigures earlier = ProcessFigures.parse(status, Duration.ofMillis(100), 0);
    ProcessFigures later =
        ProcessFigures.parse(status, Duration.ofMillis(200), Duration.ofSeconds(10).toNanos());
    assertThat(later.residentKb()).isEqualTo(80_000);
    assertThat(later.peakResidentKb()).isEqualTo(90_000);
    assertThat(later.coreShareSince(earlier)).isEqualTo(0.01);
  }

  @Test
  void optionsOutOfRangeAreReportedWithTheAllowedRange() {
    assertThatThrownBy(() -> new FootprintOptions(0, 50, 0, 0, 1, 20, null, FLAGS))
        .isInstanceOf(InvalidInputException.class)
        .hasMessage("--managers '0'; allowed: 1 to 200");
    assertThatThrownBy(() -> new FootprintOptions(1, 20_001, 0, 0, 1, 20, null, FLAGS))
        .isInstanceOf(InvalidInputException.class)
        .hasMessage("--engines '20001'; allowed: 1 to 20000");
    assertThatThrownBy(() -> new FootprintOptions(1, 50, 0, 0, 0, 20, null, FLAGS))
        .isInstanceOf(InvalidInputException.class)
        .hasMessage("--seconds '0'; allowed: 1 to 600");
    assertThatThrownBy(() -> new FootprintOptions(1, 50, 0, 0, 1, 20, "no-such.jar", FLAGS))
        .isInstanceOf(InvalidInputException.class)
        .hasMessage("--jar 'no-such.jar'; allowed: a file that exists");
  }
}

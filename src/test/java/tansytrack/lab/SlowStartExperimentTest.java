package tansytrack.lab;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tansytrack.Decide;

/** Cold engines under the load of real manager processes, counted where it arrives. */
class SlowStartExperimentTest {

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

  /** Guards against cold engines that are sent more than their budget while attempts end early. */
  @Test
  void coldEnginesStayWithinTheirBudgetWhenAnswersFailAtOnceAndRequestsArriveLate()
      throws Exception {
    assertThat(run("lab/slow-start.textproto")).startsWith("true");
  }

  /** Guards against cold engines that look warm, as their start is told by another clock. */
  @Test
  void coldEnginesStayWithinTheirBudgetWhenTheChannelsClockIsAnHourBehind() throws Exception {
    assertThat(run("lab/slow-start-clock.textproto")).startsWith("true");
  }
}

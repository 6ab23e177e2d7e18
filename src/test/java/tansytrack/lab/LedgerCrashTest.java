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
import tansytrack.lab.proto.Claim;
import tansytrack.settings.InvalidInputException;

/** The experiment on crashes in lab/, the evaluation of claims, and the validation of files. */
class LedgerCrashTest {

  @TempDir Path folder;

  @Test
  void crashesLoseAndRepeatNoLedgerEntry() throws Exception {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    boolean held =
        ExperimentRunner.run(
            ExperimentRunner.read("lab/ledger-crash.textproto"),
            1,
            folder,
            Decide::new,
            new PrintStream(output, true, StandardCharsets.UTF_8));
    assertThat(held).as(output.toString(StandardCharsets.UTF_8)).isTrue();
    assertThat(folder.resolve("result.csv")).content().contains("entries.missing");
    assertThat(folder.resolve("summary.json"))
        .content()
        .contains("\"held\":true")
        .doesNotContain("\"held\":false");
  }

  @ParameterizedTest
  @CsvSource({
    "EQUAL, 0, 0, true",
    "EQUAL, 0, 1, false",
    "AT_MOST, 5, 5, true",
    "AT_MOST, 5, 5.1, false",
    "AT_LEAST, 3, 3, true",
    "AT_LEAST, 3, 2, false",
    "AT_MOST, 5, , false"
  })
  void claimHoldsOnlyWithinItsBound(
      Claim.Relation relation, double bound, Double figure, boolean held) {
    Claim claim = Claim.newBuilder().setFigure("x").setRelation(relation).setBound(bound).build();
    assertThat(
            ClaimEvaluator.evaluate(List.of(claim), figure == null ? Map.of() : Map.of("x", figure))
                .get(0)
                .held())
        .isEqualTo(held);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "managers: 99 | managers: '99'; allowed: 1 to 16",
        "managers: 1 engines: 0 | engines: '0'",
        "mangers: 1 | :1:",
        "managers: 1 engines: 1 clients: 1 seconds: 1 runs: 1 | claims: missing"
      })
  void rejectsInvalidExperiments(String text, String message) throws Exception {
    Path file = Files.writeString(folder.resolve("x"), text);
    assertThatThrownBy(() -> ExperimentRunner.read(file.toString()))
        .isInstanceOf(InvalidInputException.class)
        .hasMessageContaining(message);
  }
}

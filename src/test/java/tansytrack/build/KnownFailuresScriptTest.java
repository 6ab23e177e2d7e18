package tansytrack.build;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The script that CI runs, with a Maven that is faked: it prints its arguments and fails on demand.
 */
class KnownFailuresScriptTest {

  private static final String GOOD_LINE = "SampleTest#fails | mvn test, seed 1 | 2 of 9 | 48";

  // Fails a run of all tests if the file "build-fails" exists, and a run of one test if the file
  // "listed-fails" does. Says that no test ran if the file "nothing-runs" exists.
  private static final String FAKE_MAVEN =
      """
      #!/bin/sh
      echo "mvn $*" >> calls
      [ -f nothing-runs ] && echo 'Tests run: 0' || echo 'Tests run: 1, Failures: 0'
      case "$*" in
        *surefire:test*) [ ! -f listed-fails ] ;;
        *) [ ! -f build-fails ] ;;
      esac
      """;

  private record Result(int exitCode, String output, List<String> mavenCalls) {}

  @TempDir Path folder;

  @BeforeEach
  void createProject() throws IOException {
    Files.createDirectories(folder.resolve(".ci"));
    Files.copy(Path.of(".ci/run"), folder.resolve(".ci/run"));
    Path tests = Files.createDirectories(folder.resolve("src/test/java/sample"));
    Files.writeString(tests.resolve("SampleTest.java"), "class SampleTest { void fails() {} }");
    Path bin = Files.createDirectories(folder.resolve("bin"));
    Path maven = Files.writeString(bin.resolve("mvn"), FAKE_MAVEN);
    assertThat(maven.toFile().setExecutable(true)).isTrue();
  }

  private void list(String... lines) throws IOException {
    Files.write(folder.resolve("KNOWN-RED.txt"), List.of(lines));
  }

  private Result run() throws IOException, InterruptedException {
    ProcessBuilder builder =
        new ProcessBuilder("bash", ".ci/run").directory(folder.toFile()).redirectErrorStream(true);
    builder.environment().merge("PATH", "", (path, none) -> folder.resolve("bin") + ":" + path);
    Process process = builder.start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    Path calls = folder.resolve("calls");
    return new Result(
        process.waitFor(), output, Files.exists(calls) ? Files.readAllLines(calls) : List.of());
  }

  @Test
  void withoutListedTestsAllTestsCount() throws Exception {
    assertThat(run().mavenCalls()).containsExactly("mvn -B verify");
    list();
    assertThat(run().exitCode()).isZero();
    Files.createFile(folder.resolve("build-fails"));
    assertThat(run().exitCode()).isNotZero();
  }

  @Test
  void aListedTestThatFailsOrPassesIsPrintedAndDoesNotChangeTheVerdict() throws Exception {
    list(GOOD_LINE);
    Result passed = run();
    assertThat(passed.exitCode()).isZero();
    assertThat(passed.output()).contains(GOOD_LINE, "SampleTest#fails passed this time");
    assertThat(passed.mavenCalls())
        .containsExactly(
            "mvn -B verify -Dtest=!SampleTest#fails",
            "mvn -B surefire:test -Dtest=SampleTest#fails");
    Files.createFile(folder.resolve("listed-fails"));
    Result failed = run();
    assertThat(failed.exitCode()).isZero();
    assertThat(failed.output()).contains("SampleTest#fails failed, as known");
  }

  @Test
  void aTestThatIsNotListedAndFailsFailsTheRun() throws Exception {
    list(GOOD_LINE);
    Files.createFile(folder.resolve("build-fails"));
    assertThat(run().exitCode()).isNotZero();
  }

  @Test
  void aListedTestThatDoesNotRunFailsTheRun() throws Exception {
    list(GOOD_LINE);
    Files.createFile(folder.resolve("nothing-runs"));
    Result result = run();
    assertThat(result.exitCode()).isNotZero();
    assertThat(result.output()).contains("SampleTest#fails did not run");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "SampleTest#fails",
        "SampleTest#fails | mvn test | 2 of 9",
        "SampleTest#fails | mvn test | | 48",
        "SampleTest | mvn test | 2 of 9 | 48",
        "SampleTest#other | mvn test | 2 of 9 | 48",
        "OtherTest#fails | mvn test | 2 of 9 | 48"
      })
  void aLineThatIsIncompleteOrNamesNoTestFailsTheRunBeforeAnyBuild(String line) throws Exception {
    list(line);
    Result result = run();
    assertThat(result.exitCode()).isNotZero();
    assertThat(result.output()).contains("KNOWN-RED.txt").contains("allowed");
    assertThat(result.mavenCalls()).isEmpty();
  }
}

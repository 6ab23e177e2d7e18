package tansytrack.adapter;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SimulatorAdapterTest {

  private static final String ATTACH =
      "ATTACH manager-1 77 siblings=1 new.key=1 grades.count=1 grades.0.name=g"
          + " grades.0.repeat=idempotent tenants.count=1 tenants.0.name=a tenants.0.portion=1.0"
          + " policy_limits.max_attempts=3 reporting.columns=busy_reqs,unknown\n";
  private static final String LISTED =
      "REGISTER 0 1\nM 1 z 1 engine-a k - 0\nBACKENDS_CHANGED manager-1 1 2 0\n";
  private static final String TASK = "INCOMING manager-1 rq_1 g a - 9000.0 12.5 - - 65\n";

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String events) throws IOException {
    byte[] in = events.getBytes(StandardCharsets.UTF_8);
    return new SimulatorAdapter(
            new ByteArrayInputStream(in), out, new PrintStream(err, true, StandardCharsets.UTF_8))
        .run();
  }

  private static String batch(double at, String events) {
    return "BATCH " + at + "\n" + events + "OVER_TO_YOU\n\n";
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      value = {
        "empty batch | '' | FINISHED",
        "task | INCOMING manager-1 rq_1 g a - 9000.0 12.5 - - 65 | FORWARD manager-1 rq_1 engine-a"
            + " 0.000;FINISHED",
        "unknown grade | INCOMING manager-1 rq_1 h a - 9000.0 - - - 0 | BOUNCE manager-1 rq_1"
            + " 0.000;FINISHED",
        "deadline has passed | INCOMING manager-1 rq_1 g a - 99.5 - - - 0 | BOUNCE manager-1 rq_1"
            + " 0.000;FINISHED",
        "timer | WAKEUP manager-1 sweep | DEFER manager-1 50.000 sweep;FINISHED",
        "client of an unknown task leaves | ABANDONED manager-1 rq_9 | FINISHED",
        "message of a peer is ignored | INBOX manager-1 2 aGkgNw== | FINISHED",
        "failed list | BACKENDS_CHANGED manager-1 2 3 - | FINISHED"
      })
  void writesActions(String name, String event, String reply) throws IOException {
    assertThat(run(batch(0, ATTACH + LISTED) + batch(100, event.isEmpty() ? "" : event + "\n")))
        .isZero();
    String output = out.toString(StandardCharsets.UTF_8);
    assertThat(output.substring(output.indexOf("FINISHED\n") + 9).replace("\n", ";"))
        .as(name)
        .isEqualTo(reply + ";");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "NONSENSE manager-1",
        "INCOMING manager-1 rq_1",
        "INCOMING manager-9 rq_1 g a - 1 1 1 1 1",
        "REGISTER 16 0",
        "RESOLVED manager-1 rq_1 0 engine-a 1.x 1 OK 0 -",
        "RESOLVED manager-1 r 0 e 1 1 WHAT 0 -",
        "WAKEUP",
        "BACKENDS_CHANGED manager-1 1 7 0"
      })
  void malformedLineEndsTheRunWithAMessage(String line) throws IOException {
    assertThat(run(batch(0, ATTACH + LISTED + line + "\n"))).isEqualTo(2);
    assertThat(err.toString(StandardCharsets.UTF_8).lines())
        .singleElement()
        .asString()
        .contains("line 6", line);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "EXIT manager-1\n"})
  void instanceCanBeReplacedInOneBatch(String exit) throws IOException {
    String again = batch(5, exit + ATTACH + LISTED + TASK);
    assertThat(run(batch(0, ATTACH + LISTED + TASK) + again)).isZero();
    assertThat(
            out.toString(StandardCharsets.UTF_8).lines().filter(line -> line.startsWith("FORWARD")))
        .hasSize(2);
  }

  @org.junit.jupiter.api.Test
  void failureOfAModuleIsReportedOnce() throws IOException {
    byte[] in = batch(0, ATTACH + LISTED + TASK).getBytes(StandardCharsets.UTF_8);
    PrintStream errorStream = new PrintStream(err, true, StandardCharsets.UTF_8);
    assertThat(
            new SimulatorAdapter(
                    new ByteArrayInputStream(in),
                    out,
                    errorStream,
                    (settings, actions) -> {
                      throw new IllegalStateException("no\nidea");
                    })
                .run())
        .isZero();
    assertThat(out.toString(StandardCharsets.UTF_8).lines())
        .hasSize(2)
        .first()
        .asString()
        .startsWith("DIE manager-1 java.lang.IllegalStateException: no idea at ");
  }

  @org.junit.jupiter.api.Test
  void engineListUsesTheLastRegisteredSlotContents() throws IOException {
    String reused = LISTED + "REGISTER 0 1\nM 1 z 0 engine-a k - 0\n" + TASK;
    assertThat(run(batch(0, ATTACH + reused))).isZero();
    assertThat(out.toString(StandardCharsets.UTF_8)).contains("FORWARD manager-1 rq_1 engine-a");
  }
}

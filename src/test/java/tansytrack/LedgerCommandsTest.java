package tansytrack;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tansytrack.api.Outcome;
import tansytrack.api.QueryClass;
import tansytrack.api.TaskRequest;
import tansytrack.ledger.disk.LedgerRecorder;
import tansytrack.operator.OperatorFile;
import tansytrack.state.TaskListener;
import tansytrack.state.Timers;

/**
 * Tests the ledger commands on the ledger of a manager that has ended, with 10,000 tenants and one
 * unresolved task.
 */
class LedgerCommandsTest {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long START_NANOS = 20_000 * 86_400 * NANOS_PER_SECOND; // 2024-10-04
  private static final int TENANTS = 10_000;
  private static final QueryClass QUERY_CLASS =
      new QueryClass(
          "g",
          QueryClass.RetrySafety.IDEMPOTENT,
          QueryClass.DeduplicationScope.ALL,
          0,
          NANOS_PER_SECOND,
          1,
          NANOS_PER_SECOND,
          1,
          0,
          false,
          Set.of(),
          Set.of(),
          1,
          false,
          false);

  @TempDir Path folder;
  private String out;
  private String err;

  private String operator() {
    return folder.resolve("operator.textproto").toString();
  }

  private String ledger() {
    return folder.resolve("ledger").toString();
  }

  private int run(String... args) throws IOException {
    ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
    ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
    PrintStream usualOut = System.out;
    PrintStream usualErr = System.err;
    System.setOut(new PrintStream(outBytes, true, StandardCharsets.UTF_8));
    System.setErr(new PrintStream(errBytes, true, StandardCharsets.UTF_8));
    try {
      return Main.run(args);
    } finally {
      System.setOut(usualOut);
      System.setErr(usualErr);
      out = outBytes.toString(StandardCharsets.UTF_8);
      err = errBytes.toString(StandardCharsets.UTF_8);
    }
  }

  private LedgerRecorder startRecorder(Timers timers) throws IOException {
    return LedgerRecorder.start(
        OperatorFile.read(operator()).ledger(), "m", List.of(QUERY_CLASS), timers, note -> {});
  }

  @BeforeEach
  void writeLedgerOfEndedManager() throws IOException {
    Files.writeString(
        Path.of(operator()),
        "ledger { folder: '"
            + ledger()
            + "' most_unwritten: 65536 waste: TENANT billing { period: DAY\n"
            + "rates { per_task: '0.10' per_work_second: '1' } quotas { tenant: 't1' tasks: 1 } }"
            + " }");
    Timers timers = new Timers();
    timers.now(START_NANOS);
    LedgerRecorder recorder = startRecorder(timers);
    for (int i = 0; i <= TENANTS; i++) {
      String id = "task" + i;
      recorder.taskAccepted(
          START_NANOS, new TaskRequest(id, "g", "t" + i % TENANTS, null, 0, 0, 0, 0));
      recorder.beforeForward(START_NANOS, id, 0, "e", 8, () -> {});
      if (i < TENANTS) {
        recorder.forwardEnded(START_NANOS + 1, id, 0, Outcome.OK, NANOS_PER_SECOND / 4, 1, true);
        recorder.beforeAnswer(START_NANOS + 1, id, TaskListener.TaskEnd.HANDLED, 10, () -> {});
      }
    }
    recorder.close();
    // The next start marks the task that was left open as unresolved.
    startRecorder(timers).close();
  }

  @Test
  void showsCorrectsAndClosesBill() throws IOException {
    assertThat(
            run(
                "ledger",
                "show",
                "--operator",
                operator(),
                "--period",
                "2024-10-04",
                "--tenant",
                "t7"))
        .isZero();
    assertThat(out).contains("t7").contains("0.35").doesNotContain("t8");
    assertThat(
            run(
                "ledger",
                "correct",
                "--operator",
                operator(),
                "--period",
                "2024-10-04",
                "--tenant",
                "t7",
                "--amount",
                "-0.05",
                "--author",
                "me",
                "--reason",
                "goodwill"))
        .isZero();
    assertThat(run("ledger", "close", "--operator", operator(), "--author", "me", "2024-10-04"))
        .isZero();
    assertThat(
            run(
                "ledger",
                "correct",
                "--operator",
                operator(),
                "--period",
                "2024-10-04",
                "--tenant",
                "t7",
                "--withdraw",
                "--corrects",
                "a:1",
                "--author",
                "me",
                "--reason",
                "not after all"))
        .isZero();
    assertThat(
            run(
                "ledger",
                "show",
                "--operator",
                operator(),
                "--period",
                "2024-10-04",
                "--tenant",
                "t7",
                "--json"))
        .isZero();
    assertThat(out).contains("\"total\":\"0.35\"").contains("\"tasks\":1");
    assertThat(run("ledger", "close", "--operator", operator(), "--author", "me", "2024-10-04"))
        .isEqualTo(2);
    assertThat(err).contains("closed already");
    assertThat(run("ledger", "periods", "--operator", operator())).isZero();
    assertThat(out).contains("2024-10-04", String.valueOf(TENANTS + 1), "me");
    assertThat(run("ledger", "verify", "--operator", operator())).isZero();
    assertThat(out).contains("none");
  }

  @Test
  void statementResolvesTaskWithUnknownEndOnce() throws IOException {
    String statement =
        Files.writeString(
                folder.resolve("e.csv"),
                "engine,task,work_ns,done\ne,task" + TENANTS + ",500000000,true\n")
            .toString();
    String[] resolve = {
      "ledger", "resolve", "--operator", operator(), "--author", "me", "--statement", statement
    };
    assertThat(run(resolve)).isZero();
    assertThat(out).contains("t0").contains("0.50").contains("e ran it, 500000000 ns");
    assertThat(run(resolve)).isZero();
    assertThat(out).isEmpty();
    assertThat(
            run(
                "ledger",
                "show",
                "--operator",
                operator(),
                "--period",
                "2024-10-04",
                "--tenant",
                "t0"))
        .isZero();
    assertThat(out).contains("0.85");
    assertThat(run("ledger", "reconcile", "--statement", statement, ledger())).isEqualTo(1);
    assertThat(out).contains("resolved by the engine").contains("in the ledger only");
  }

  @Test
  void exportsAcknowledgesAndMergesBatches() throws IOException {
    String to = folder.resolve("out").toString();
    assertThat(run("ledger", "export", "--ledger", ledger(), "--to", to, "--lines", "6000"))
        .isZero();
    assertThat(err).contains("2 batches placed");
    assertThat(run("ledger", "export", "--ledger", ledger(), "--to", to)).isZero();
    assertThat(err).contains("0 batches placed");
    assertThat(run("ledger", "ack", "--ledger", ledger(), "--sha256", "00", "1")).isEqualTo(2);
    assertThat(run("ledger", "ack", "--ledger", ledger(), "1")).isZero();
    assertThat(run("ledger", "ack", "--ledger", ledger(), "3")).isEqualTo(2);
    assertThat(err).contains("batch 3 does not exist");
    assertThat(run("ledger", "merge", to, ledger(), to)).isZero();
    assertThat(out).contains(String.valueOf(TENANTS + 1));
    assertThat(run("ledger", "merge", Path.of(to, "batch-00000002.pb").toString())).isEqualTo(1);
    assertThat(out).contains("missing from");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "show --operator OP --period 2024-13-01 | period '2024-13-01' is not valid; allowed: a day",
        "show --operator none.textproto | cannot be read",
        "close --operator OP --author me 2199-01-01 | is not over yet",
        "correct --operator OP --period 2024-10-04 --tenant t --amount 1e3 --author me --reason r |"
            + " --amount '1e3'; allowed",
        "correct --operator OP --period 2024-10-04 --tenant t --amount 0.123 --author me --reason r"
            + " | at most 2 digits",
        "correct --operator OP --period 2024-10-04 --tenant t --amount 1 --corrects e:9:9 --author"
            + " me --reason r | no such entry",
        "export --ledger nowhere --to x | holds no ledger",
        "export --ledger L --to x --form xml | --form 'xml'; allowed: protobuf, csv",
        "export --ledger L --to x --lines 0 | --lines 0; allowed",
        "merge nowhere.pb | nowhere.pb"
      })
  void reportsInvalidInputAndWritesNothing(String line, String expectedMessage) throws IOException {
    byte[] before = Files.readAllBytes(Path.of(ledger(), "ledger.sqlite"));
    String[] args =
        ("ledger " + line)
            .replace("OP", operator())
            .replace(" L ", ' ' + ledger() + ' ')
            .split(" ");
    assertThat(run(args)).isEqualTo(2);
    assertThat(err).contains(expectedMessage);
    assertThat(Files.readAllBytes(Path.of(ledger(), "ledger.sqlite"))).isEqualTo(before);
  }
}

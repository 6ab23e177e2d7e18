package tansytrack.lab.simulation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import tansytrack.lab.simulation.InvariantChecker.EngineListed;
import tansytrack.lab.simulation.InvariantChecker.Event;
import tansytrack.lab.simulation.InvariantChecker.ForwardArrived;
import tansytrack.lab.simulation.InvariantChecker.ForwardEnded;
import tansytrack.lab.simulation.InvariantChecker.RetrySafety;
import tansytrack.lab.simulation.InvariantChecker.TaskAbandoned;
import tansytrack.lab.simulation.InvariantChecker.TaskAnswered;
import tansytrack.lab.simulation.InvariantChecker.TaskResult;
import tansytrack.lab.simulation.InvariantChecker.TaskSubmitted;

/**
 * Tests that each invariant is reported for a log that violates it and for no other log, and tests
 * the model of an engine against calculated values.
 */
class InvariantCheckerTest {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final InvariantChecker.Limits LIMITS =
      new InvariantChecker.Limits(
          20 * NANOS_PER_MS,
          1,
          1000 * NANOS_PER_MS,
          4,
          0.3,
          10_000 * NANOS_PER_MS,
          2,
          1000 * NANOS_PER_MS,
          1,
          0.1,
          10_000 * NANOS_PER_MS);

  private static TaskSubmitted submitted(
      long ms, String task, RetrySafety retrySafety, long key, String... zones) {
    return new TaskSubmitted(
        ms * NANOS_PER_MS, "m", task, retrySafety, key, (ms + 1000) * NANOS_PER_MS, Set.of(zones));
  }

  private static ForwardArrived arrived(long ms, String task, String engine) {
    return new ForwardArrived(ms * NANOS_PER_MS, "m", engine, task, 300.0 * NANOS_PER_MS);
  }

  private static TaskAnswered answered(long ms, String task, TaskResult outcome) {
    return new TaskAnswered(ms * NANOS_PER_MS, task, outcome);
  }

  private static ForwardEnded ended(long ms, String task, boolean mayHaveRun) {
    return new ForwardEnded(ms * NANOS_PER_MS, "e", task, mayHaveRun);
  }

  private static EngineListed listed(long ms, boolean ready, long startedAt) {
    return new EngineListed(ms * NANOS_PER_MS, "e", "east", ready, startedAt * NANOS_PER_MS);
  }

  private static List<Event> validLog() {
    return new ArrayList<>(
        List.of(
            listed(0, true, 0),
            submitted(10, "a", RetrySafety.NON_IDEMPOTENT, 7),
            arrived(20, "a", "e"),
            ended(50, "a", true),
            answered(60, "a", TaskResult.HANDLED),
            submitted(70, "b", RetrySafety.IDEMPOTENT, 7),
            arrived(80, "b", "e"),
            ended(90, "b", true),
            answered(95, "b", TaskResult.HANDLED)));
  }

  static Stream<Arguments> violatingLogs() {
    Stream<Event> burst =
        IntStream.range(0, 24)
            .boxed()
            .flatMap(
                i ->
                    Stream.of(
                        submitted(5100 + i, "c" + i, RetrySafety.IDEMPOTENT, 0),
                        arrived(5200 + i, "c" + i, "e"),
                        answered(5300 + i, "c" + i, TaskResult.HANDLED)));
    return Stream.of(
        arguments("lost", List.of(submitted(100, "c", RetrySafety.IDEMPOTENT, 0))),
        arguments(
            "lost",
            List.of(
                submitted(100, "c", RetrySafety.IDEMPOTENT, 0),
                answered(1121, "c", TaskResult.REJECTED))),
        arguments("lost", List.of(answered(100, "a", TaskResult.HANDLED))),
        arguments(
            "twice",
            List.of(
                submitted(100, "c", RetrySafety.NON_IDEMPOTENT, 0),
                arrived(110, "c", "e"),
                ended(120, "c", true),
                answered(130, "c", TaskResult.REJECTED))),
        arguments(
            "twice",
            List.of(
                submitted(100, "c", RetrySafety.NON_IDEMPOTENT, 0),
                arrived(110, "c", "e"),
                arrived(120, "c", "f"),
                answered(130, "c", TaskResult.ABORTED))),
        arguments(
            "drain",
            List.of(
                listed(100, false, 0),
                submitted(1100, "c", RetrySafety.IDEMPOTENT, 0),
                arrived(1101, "c", "e"),
                answered(1130, "c", TaskResult.HANDLED))),
        arguments("cold", Stream.concat(Stream.of(listed(5000, true, 5000)), burst).toList()),
        arguments(
            "order",
            List.of(
                submitted(100, "c", RetrySafety.IDEMPOTENT, 9),
                submitted(101, "d", RetrySafety.IDEMPOTENT, 9),
                arrived(110, "c", "e"),
                answered(120, "c", TaskResult.ABORTED),
                arrived(130, "d", "e"),
                ended(140, "c", true),
                answered(150, "d", TaskResult.HANDLED))),
        arguments(
            "order",
            List.of(
                submitted(100, "c", RetrySafety.IDEMPOTENT, 9),
                submitted(101, "d", RetrySafety.IDEMPOTENT, 9),
                arrived(110, "d", "e"),
                answered(120, "d", TaskResult.HANDLED),
                answered(420, "c", TaskResult.ABORTED))),
        arguments(
            "place",
            List.of(
                submitted(100, "c", RetrySafety.IDEMPOTENT, 0, "west"),
                arrived(110, "c", "e"),
                answered(120, "c", TaskResult.HANDLED))),
        arguments(
            "ration",
            List.of(
                submitted(100, "c", RetrySafety.IDEMPOTENT, 0),
                arrived(110, "c", "e"),
                arrived(120, "c", "f"),
                arrived(130, "c", "g"),
                answered(140, "c", TaskResult.HANDLED))));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("violatingLogs")
  void reportsOnlyTheViolatedInvariant(String invariant, List<Event> violation) {
    List<Event> log = validLog();
    log.addAll(violation);
    assertThat(InvariantChecker.violations(LIMITS, log))
        .allSatisfy(
            (name, count) -> assertThat(count > 0).as(name).isEqualTo(name.equals(invariant)));
    assertThat(InvariantChecker.firstViolations(LIMITS, log))
        .singleElement()
        .asString()
        .startsWith(invariant + " at ");
  }

  @Test
  void validLogHasNoViolations() {
    List<Event> log = validLog();
    log.addAll(
        List.of(
            submitted(400, "g", RetrySafety.IDEMPOTENT, 5),
            arrived(410, "g", "h"),
            new TaskAbandoned(420 * NANOS_PER_MS, "g"),
            new InvariantChecker.ManagerRestarted(430 * NANOS_PER_MS, "m"),
            submitted(440, "i", RetrySafety.IDEMPOTENT, 5),
            arrived(450, "i", "h"),
            answered(460, "i", TaskResult.HANDLED)));
    log.addAll(
        List.of(
            submitted(100, "c", RetrySafety.IDEMPOTENT, 0),
            new TaskAbandoned(110 * NANOS_PER_MS, "c"),
            listed(200, false, 0),
            submitted(300, "d", RetrySafety.IDEMPOTENT, 0),
            arrived(1190, "d", "e"),
            answered(1200, "d", TaskResult.HANDLED),
            submitted(1300, "f", RetrySafety.NON_IDEMPOTENT, 0),
            arrived(1310, "f", "g"),
            ended(1320, "f", true),
            answered(1330, "f", TaskResult.ABORTED)));
    assertThat(InvariantChecker.violations(LIMITS, log).values()).containsOnly(0);
  }

  /**
   * A cold engine that is allowed N requests of mean work bears 2 roots of N and 2 more, or with N
   * under 30, 3 roots of N and 3 more. Requests to a warm engine set the mean.
   */
  @ParameterizedTest(name = "{0} requests of {1} ms, mean of {2} ms: {3} violations")
  @CsvSource({
    // N = 30, up to 42.95: by number, then by work.
    "42, 40, 80, 0",
    "43, 40, 80, 1",
    "21, 163, 80, 0",
    "21, 164, 80, 1",
    // N = 24, up to 41.7.
    "41, 50, 100, 0",
    "42, 50, 100, 1"
  })
  void countsTheLoadOfAColdEngineByNumberAndByWork(
      int requests, double costMs, double meanCostMs, int expected) {
    InvariantChecker.Limits limits =
        new InvariantChecker.Limits(
            20 * NANOS_PER_MS,
            1,
            1000 * NANOS_PER_MS,
            4,
            0.3,
            Long.MAX_VALUE,
            2,
            1000 * NANOS_PER_MS,
            1,
            0.1,
            0);
    List<Event> log = new ArrayList<>();
    log.add(listed(1, true, 1));
    for (int i = 0; i < requests; i++) {
      log.add(
          new ForwardArrived((10L + i) * NANOS_PER_MS, "m", "e", "c" + i, costMs * NANOS_PER_MS));
      double otherCostMs = 2 * meanCostMs - costMs;
      log.add(
          new ForwardArrived(
              (10L + i) * NANOS_PER_MS, "m", "f", "d" + i, otherCostMs * NANOS_PER_MS));
    }
    assertThat(InvariantChecker.violations(limits, log).get("cold")).isEqualTo(expected);
  }

  private static final EngineModel.Spec SPEC =
      new EngineModel.Spec(4, 40, 0.3, 10_000 * NANOS_PER_MS, 2, 1000 * NANOS_PER_MS);

  @Test
  void queriesShareTheCores() {
    EngineModel engine = new EngineModel(SPEC, 0);
    long at = 20_000 * NANOS_PER_MS;
    engine.advance(at);
    for (int i = 0; i < 8; i++) {
      assertThat(engine.start(at, "q" + i, 100.0 * NANOS_PER_MS, 1))
          .isEqualTo(EngineModel.Admission.STARTED);
    }
    assertThat(engine.utilization()).isEqualTo(1);
    assertThat(engine.advance(at + 199 * NANOS_PER_MS)).isEmpty();
    assertThat(engine.advance(at + 201 * NANOS_PER_MS)).hasSize(8);
    engine.slowdown(at + 201 * NANOS_PER_MS, 5);
    engine.start(at + 201 * NANOS_PER_MS, "slow", 100.0 * NANOS_PER_MS, 1);
    assertThat(engine.advance(at + 700 * NANOS_PER_MS)).isEmpty();
    assertThat(engine.advance(at + 702 * NANOS_PER_MS)).containsExactly("slow");
  }

  @Test
  void coldEngineIsSlowerAndCrashesUnderOverload() {
    EngineModel engine = new EngineModel(SPEC, 0);
    for (int i = 0; i < 4; i++) {
      engine.start(0, "q" + i, 300.0 * NANOS_PER_MS, 1);
    }
    // 1.2 core-seconds of work on 1.2 cores.
    assertThat(engine.advance(900 * NANOS_PER_MS)).isEmpty();
    assertThat(engine.advance(1000 * NANOS_PER_MS)).hasSize(4);
    EngineModel overloaded = new EngineModel(SPEC, 0);
    int accepted = 0;
    while (overloaded.start(100 * NANOS_PER_MS, "q" + accepted, 300.0 * NANOS_PER_MS, 1)
        == EngineModel.Admission.STARTED) {
      accepted++;
    }
    // 2 x 0.307 x 4 / 0.3 = 8.2 tasks are allowed, plus 3 times the root of that, plus 3.
    assertThat(accepted).isEqualTo(19);
    assertThat(overloaded.crashed()).isTrue();
    assertThat(overloaded.start(200 * NANOS_PER_MS, "late", NANOS_PER_MS, 1))
        .isEqualTo(EngineModel.Admission.DOWN);
  }

  @Test
  void fullEngineRefusesUntilAQueryIsCancelled() {
    EngineModel engine =
        new EngineModel(new EngineModel.Spec(1, 2, 1, 0, 2, 1000 * NANOS_PER_MS), 0);
    assertThat(Stream.of("a", "b", "c").map(id -> engine.start(0, id, 10.0 * NANOS_PER_MS, 1)))
        .containsExactly(
            EngineModel.Admission.STARTED,
            EngineModel.Admission.STARTED,
            EngineModel.Admission.FULL);
    engine.cancel(0, "a");
    assertThat(engine.start(0, "d", 10.0 * NANOS_PER_MS, 1))
        .isEqualTo(EngineModel.Admission.STARTED);
    assertThat(engine.queryCount()).isEqualTo(2);
  }
}

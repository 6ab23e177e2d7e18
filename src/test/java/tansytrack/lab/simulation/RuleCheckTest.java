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
 * Each rule fires on a log that is wrong on purpose, and on no other; and the engine's model
 * against what can be reckoned.
 */
class RuleCheckTest {

  private static final long MS = 1_000_000L;
  private static final InvariantChecker.Limits RULES =
      new InvariantChecker.Limits(
          20 * MS, 1, 1000 * MS, 4, 0.3, 10_000 * MS, 2, 1000 * MS, 1, 0.1, 10_000 * MS);

  private static TaskSubmitted asked(
      long ms, String task, RetrySafety repeat, long key, String... places) {
    return new TaskSubmitted(ms * MS, "m", task, repeat, key, (ms + 1000) * MS, Set.of(places));
  }

  private static ForwardArrived arrived(long ms, String task, String engine) {
    return new ForwardArrived(ms * MS, "m", engine, task, 300.0 * MS);
  }

  private static TaskAnswered answered(long ms, String task, TaskResult how) {
    return new TaskAnswered(ms * MS, task, how);
  }

  private static ForwardEnded over(long ms, String task, boolean ran) {
    return new ForwardEnded(ms * MS, "e", task, ran);
  }

  private static EngineListed listed(long ms, boolean ready, long startedAt) {
    return new EngineListed(ms * MS, "e", "east", ready, startedAt * MS);
  }

  private static List<Event> good() {
    return new ArrayList<>(
        List.of(
            listed(0, true, 0),
            asked(10, "a", RetrySafety.NON_IDEMPOTENT, 7),
            arrived(20, "a", "e"),
            over(50, "a", true),
            answered(60, "a", TaskResult.HANDLED),
            asked(70, "b", RetrySafety.IDEMPOTENT, 7),
            arrived(80, "b", "e"),
            over(90, "b", true),
            answered(95, "b", TaskResult.HANDLED)));
  }

  static Stream<Arguments> wrong() {
    Stream<Event> crowd =
        IntStream.range(0, 24)
            .boxed()
            .flatMap(
                i ->
                    Stream.of(
                        asked(5100 + i, "c" + i, RetrySafety.IDEMPOTENT, 0),
                        arrived(5200 + i, "c" + i, "e"),
                        answered(5300 + i, "c" + i, TaskResult.HANDLED)));
    return Stream.of(
        arguments("lost", List.of(asked(100, "c", RetrySafety.IDEMPOTENT, 0))),
        arguments(
            "lost",
            List.of(
                asked(100, "c", RetrySafety.IDEMPOTENT, 0),
                answered(1121, "c", TaskResult.REJECTED))),
        arguments("lost", List.of(answered(100, "a", TaskResult.HANDLED))),
        arguments(
            "twice",
            List.of(
                asked(100, "c", RetrySafety.NON_IDEMPOTENT, 0),
                arrived(110, "c", "e"),
                over(120, "c", true),
                answered(130, "c", TaskResult.REJECTED))),
        arguments(
            "twice",
            List.of(
                asked(100, "c", RetrySafety.NON_IDEMPOTENT, 0),
                arrived(110, "c", "e"),
                arrived(120, "c", "f"),
                answered(130, "c", TaskResult.ABORTED))),
        arguments(
            "drain",
            List.of(
                listed(100, false, 0),
                asked(1100, "c", RetrySafety.IDEMPOTENT, 0),
                arrived(1101, "c", "e"),
                answered(1130, "c", TaskResult.HANDLED))),
        arguments("cold", Stream.concat(Stream.of(listed(5000, true, 5000)), crowd).toList()),
        arguments(
            "order",
            List.of(
                asked(100, "c", RetrySafety.IDEMPOTENT, 9),
                asked(101, "d", RetrySafety.IDEMPOTENT, 9),
                arrived(110, "c", "e"),
                answered(120, "c", TaskResult.ABORTED),
                arrived(130, "d", "e"),
                over(140, "c", true),
                answered(150, "d", TaskResult.HANDLED))),
        arguments(
            "order",
            List.of(
                asked(100, "c", RetrySafety.IDEMPOTENT, 9),
                asked(101, "d", RetrySafety.IDEMPOTENT, 9),
                arrived(110, "d", "e"),
                answered(120, "d", TaskResult.HANDLED),
                answered(420, "c", TaskResult.ABORTED))),
        arguments(
            "place",
            List.of(
                asked(100, "c", RetrySafety.IDEMPOTENT, 0, "west"),
                arrived(110, "c", "e"),
                answered(120, "c", TaskResult.HANDLED))),
        arguments(
            "ration",
            List.of(
                asked(100, "c", RetrySafety.IDEMPOTENT, 0),
                arrived(110, "c", "e"),
                arrived(120, "c", "f"),
                arrived(130, "c", "g"),
                answered(140, "c", TaskResult.HANDLED))));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("wrong")
  void eachRuleFiresOnItsOwnWrongLogAndNoOtherDoes(String rule, List<Event> more) {
    List<Event> log = good();
    log.addAll(more);
    assertThat(InvariantChecker.violations(RULES, log))
        .allSatisfy((name, times) -> assertThat(times > 0).as(name).isEqualTo(name.equals(rule)));
    assertThat(InvariantChecker.firstViolations(RULES, log))
        .singleElement()
        .asString()
        .startsWith(rule + " at ");
  }

  @Test
  void aGoodLogBreaksNone() {
    List<Event> log = good();
    log.addAll(
        List.of(
            asked(400, "g", RetrySafety.IDEMPOTENT, 5),
            arrived(410, "g", "h"),
            new TaskAbandoned(420 * MS, "g"),
            new InvariantChecker.ManagerRestarted(430 * MS, "m"),
            asked(440, "i", RetrySafety.IDEMPOTENT, 5),
            arrived(450, "i", "h"),
            answered(460, "i", TaskResult.HANDLED)));
    log.addAll(
        List.of(
            asked(100, "c", RetrySafety.IDEMPOTENT, 0),
            new TaskAbandoned(110 * MS, "c"),
            listed(200, false, 0),
            asked(300, "d", RetrySafety.IDEMPOTENT, 0),
            arrived(1190, "d", "e"),
            answered(1200, "d", TaskResult.HANDLED),
            asked(1300, "f", RetrySafety.NON_IDEMPOTENT, 0),
            arrived(1310, "f", "g"),
            over(1320, "f", true),
            answered(1330, "f", TaskResult.ABORTED)));
    assertThat(InvariantChecker.violations(RULES, log).values()).containsOnly(0);
  }

  private static final EngineModel.Spec SPEC =
      new EngineModel.Spec(4, 40, 0.3, 10_000 * MS, 2, 1000 * MS);

  @Test
  void queriesShareItsCores() {
    EngineModel engine = new EngineModel(SPEC, 0);
    long at = 20_000 * MS;
    engine.advance(at);
    for (int i = 0; i < 8; i++) {
      assertThat(engine.start(at, "q" + i, 100.0 * MS, 1)).isEqualTo(EngineModel.Admission.STARTED);
    }
    assertThat(engine.utilization()).isEqualTo(1);
    assertThat(engine.advance(at + 199 * MS)).isEmpty();
    assertThat(engine.advance(at + 201 * MS)).hasSize(8);
    engine.slowdown(at + 201 * MS, 5);
    engine.start(at + 201 * MS, "slow", 100.0 * MS, 1);
    assertThat(engine.advance(at + 700 * MS)).isEmpty();
    assertThat(engine.advance(at + 702 * MS)).containsExactly("slow");
  }

  @Test
  void aColdOneIsSlowerAndFallsWhenPushed() {
    EngineModel engine = new EngineModel(SPEC, 0);
    for (int i = 0; i < 4; i++) {
      engine.start(0, "q" + i, 300.0 * MS, 1);
    }
    assertThat(engine.advance(900 * MS)).isEmpty(); // 1.2 core-seconds of work on 1.2 cores
    assertThat(engine.advance(1000 * MS)).hasSize(4);
    EngineModel pushed = new EngineModel(SPEC, 0);
    int taken = 0;
    while (pushed.start(100 * MS, "q" + taken, 300.0 * MS, 1) == EngineModel.Admission.STARTED) {
      taken++;
    }
    // 2 x 0.307 x 4 / 0.3: 8.2 tasks, and 3 roots of that and 3 more.
    assertThat(taken).isEqualTo(19);
    assertThat(pushed.crashed()).isTrue();
    assertThat(pushed.start(200 * MS, "late", MS, 1)).isEqualTo(EngineModel.Admission.DOWN);
  }

  @Test
  void aFullOneRefusesAndAGivenUpOneMakesRoom() {
    EngineModel engine = new EngineModel(new EngineModel.Spec(1, 2, 1, 0, 2, 1000 * MS), 0);
    assertThat(Stream.of("a", "b", "c").map(id -> engine.start(0, id, 10.0 * MS, 1)))
        .containsExactly(
            EngineModel.Admission.STARTED,
            EngineModel.Admission.STARTED,
            EngineModel.Admission.FULL);
    engine.cancel(0, "a");
    assertThat(engine.start(0, "d", 10.0 * MS, 1)).isEqualTo(EngineModel.Admission.STARTED);
    assertThat(engine.queryCount()).isEqualTo(2);
  }
}

package tansytrack;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;
import static tansytrack.ManagerHarness.NANOS_PER_MS;
import static tansytrack.ManagerHarness.big;
import static tansytrack.ManagerHarness.engine;
import static tansytrack.ManagerHarness.small;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import tansytrack.api.EngineEntry.State;
import tansytrack.api.Outcome;
import tansytrack.api.Settings;

/** For each rule, cases that would break it, and the actions taken instead. */
class RulesTest {

  private static Arguments rule(String name, Consumer<ManagerHarness> play, String... expected) {
    return arguments(name, play, List.of(expected));
  }

  static Stream<Arguments> rules() {
    return Stream.of(
        rule(
            "1 deadline passed on arrival: answered at once",
            m -> m.listEngines(true, small("e")).submit("t short a left=10").decide(),
            "bounce t"),
        rule(
            "1 timeout at the deadline: answered at once",
            m ->
                m.listEngines(true, small("e"))
                    .submit("t short a left=2000")
                    .decide()
                    .advance(2000)
                    .endForward("t", 0, Outcome.TIME_OUT),
            "forward t e",
            "bounce t"),
        rule(
            "1 sweeps are rarer where tasks are rare, but still in time",
            m ->
                m.listEngines(true)
                    .submit("x short -")
                    .decide()
                    .advance(900)
                    .submit("y short -")
                    .decide()
                    .advance(25)
                    .submit("t short a left=76")
                    .decide()
                    .advance(75),
            "bounce x",
            "bounce y",
            "bounce t"),
        rule(
            "1 no engine: queued for its wait budget, then rejected",
            m -> m.listEngines(true).submit("t short a left=1000").decide().advance(225),
            "bounce t"),
        rule(
            "1 nothing after the client left",
            m ->
                m.listEngines(true, small("e"))
                    .submit("t short a")
                    .decide()
                    .clientLeaves("t")
                    .endForward("t", 0, Outcome.CANCELLED)
                    .advance(2000),
            "forward t e",
            "cancel t 0"),
        rule(
            "1 nothing for a task whose client left between dispatch and send",
            m ->
                m.listEngines(true, small("e"))
                    .endProbes("e", 9)
                    .submit("t short -")
                    .clientLeavesInBatch("t")
                    .decide()
                    .advance(2000)),
        rule(
            "1 an outcome that is reported twice counts once",
            m ->
                m.listEngines(true, small("e"))
                    .submit("t short a")
                    .decide()
                    .endForward("t", 0, Outcome.OK)
                    .endForward("t", 0, Outcome.OK),
            "forward t e"),
        rule(
            "2 non-idempotent and maybe executed: aborted",
            m ->
                m.listEngines(true, small("e"), small("f"))
                    .submit("t once a")
                    .decide()
                    .endForward("t", 0, Outcome.ERROR)
                    .actions
                    .removeIf(d -> d.startsWith("forw")),
            "abort t"),
        rule(
            "2 non-idempotent and not executed: sent again",
            m ->
                m.listEngines(true, small("e"))
                    .submit("t once a")
                    .decide()
                    .endForward("t", 0, Outcome.FULL),
            "forward t e",
            "forward t e"),
        rule(
            "2 deduplicated, after its window: not sent again, rejected",
            m ->
                m.listEngines(true, small("e"))
                    .submit("t stamp a")
                    .decide()
                    .advance(5000)
                    .endForward("t", 0, Outcome.ERROR)
                    .advance(4000),
            "forward t e",
            "bounce t"),
        rule(
            "2 deduplicated, within its window: sent again",
            m ->
                m.listEngines(true, small("e"))
                    .submit("t stamp a")
                    .decide()
                    .advance(1000)
                    .endForward("t", 0, Outcome.ERROR),
            "forward t e",
            "forward t e"),
        rule(
            "2 deduplicated, near the end: a slow connection would send it after the window",
            m -> {
              m.connectTimeoutNanos = 250 * NANOS_PER_MS;
              m.listEngines(true, small("e"))
                  .submit("t stamp a")
                  .decide()
                  .advance(4701)
                  .endForward("t", 0, Outcome.ERROR)
                  .advance(4000);
            },
            "forward t e",
            "bounce t"),
        rule(
            "2 deduplicated: the window starts with the first forward, even while it is open",
            m -> {
              m.hedging = true;
              m.listEngines(true, small("e"), small("f"))
                  .submit("t stamp a")
                  .decide()
                  .advance(3000)
                  .reportWaiting("t");
              m.endForward("t", 1, Outcome.ERROR).advance(2500).reportWaiting("t");
            },
            "forward t f",
            "forward t e"),
        rule(
            "2 deduplicated in one cell: never sent to another, and aborted",
            m ->
                m.listEngines(true, small("e"))
                    .submit("t cell a")
                    .decide()
                    .listEngines(true, small("f"))
                    .endForward("t", 0, Outcome.ERROR)
                    .advance(5000),
            "forward t e",
            "abort t"),
        rule(
            "3 draining: nothing new",
            m ->
                m.listEngines(true, engine("e", "small", 0, State.DRAINING, 0))
                    .submit("t short a left=1000")
                    .decide()
                    .advance(300),
            "bounce t"),
        rule(
            "3 no longer listed: nothing new",
            m ->
                m.listEngines(true, small("e"))
                    .listEngines(true)
                    .submit("t short a left=1000")
                    .decide()
                    .advance(300),
            "bounce t"),
        rule(
            "3 a change names only what changed",
            m ->
                m.listEngines(true, small("e"))
                    .listEngines(false, small("f"))
                    .listEngines(false, engine("f", "small", 0, State.GONE, 0))
                    .submit("t short a")
                    .decide(),
            "forward t e"),
        rule(
            "3 replaced under a new id with an open forward: its outcome still counts",
            m ->
                m.listEngines(true, small("e"))
                    .submit("t once a")
                    .decide()
                    .listEngines(true, small("f"))
                    .advance(200)
                    .endForward("t", 0, Outcome.FULL)
                    .advance(200)
                    .listEngines(true, small("f"))
                    .endForward("t", 1, Outcome.OK),
            "forward t e",
            "forward t f"),
        rule(
            "5 one key: one at a time, in order",
            m ->
                m.listEngines(true, small("e"))
                    .submit("t once a key=1 left=9000")
                    .submit("u once a key=1 left=5000")
                    .submit("v once a key=2")
                    .decide()
                    .endForward("t", 0, Outcome.OK),
            "forward t e",
            "forward v e",
            "forward u e"),
        rule(
            "5 a timeout starts the cooldown of the key",
            m ->
                m.listEngines(true, small("e"))
                    .submit("t once a key=1")
                    .submit("u once a key=1")
                    .decide()
                    .endForward("t", 0, Outcome.TIME_OUT)
                    .advance(325),
            "forward t e",
            "abort t"),
        rule(
            "5 after the cooldown the next task is sent",
            m ->
                m.listEngines(true, small("e"))
                    .submit("t once a key=1")
                    .submit("u once a key=1")
                    .decide()
                    .endForward("t", 0, Outcome.TIME_OUT)
                    .advance(375),
            "forward t e",
            "abort t",
            "forward u e"),
        rule(
            "5 a key whose queue was removed in the same batch",
            m ->
                m.listEngines(true, small("e"))
                    .submit("t once a key=1")
                    .decide()
                    .submit("u once a key=1")
                    .endForward("t", 0, Outcome.OK),
            "forward t e",
            "forward u e"),
        rule(
            "5 a client leaves in the batch of its task: the next of its key waits for the forward",
            m ->
                m.listEngines(true, small("e"))
                    .submit("t once - key=1")
                    .clientLeavesInBatch("t")
                    .submit("u once - key=1")
                    .decide()
                    .advance(500)
                    .endForward("t", 0, Outcome.CANCELLED)
                    .advance(375),
            "forward t e",
            "cancel t 0",
            "forward u e"),
        rule(
            "6 restricted to a type that is gone: never sent elsewhere",
            m ->
                m.listEngines(true, small("e")).submit("t bound a left=1000").decide().advance(300),
            "bounce t"),
        rule(
            "6 restricted to a type: also for a retry",
            m ->
                m.listEngines(true, small("e"), big("g"))
                    .submit("t bound a")
                    .decide()
                    .endForward("t", 0, Outcome.ERROR),
            "forward t g",
            "forward t g"),
        rule(
            "7 the retry budget applies to every retry",
            m -> {
              m.retryBudget = new Settings.RetryBudget(1, 0, 5000 * NANOS_PER_MS);
              m.listEngines(true, small("e"))
                  .submit("t short a")
                  .submit("u short a left=15000")
                  .decide();
              m.endForward("t", 0, Outcome.ERROR).endForward("u", 0, Outcome.ERROR).advance(4000);
            },
            "forward u e",
            "forward t e",
            "forward t e",
            "bounce u"),
        rule(
            "7 the retry budget grows with the tasks accepted",
            m -> {
              m.retryBudget = new Settings.RetryBudget(0, 0.5, 5000 * NANOS_PER_MS);
              m.listEngines(true, small("e"))
                  .submit("t short a")
                  .submit("u short a left=15000")
                  .decide();
              m.endForward("t", 0, Outcome.ERROR).endForward("u", 0, Outcome.ERROR).advance(4000);
            },
            "forward u e",
            "forward t e",
            "forward t e",
            "bounce u"),
        rule(
            "no more than the maximum of forwards",
            m ->
                m.listEngines(true, small("e"))
                    .submit("t short a")
                    .decide()
                    .endForward("t", 0, Outcome.ERROR)
                    .endForward("t", 1, Outcome.ERROR)
                    .endForward("t", 2, Outcome.ERROR),
            "forward t e",
            "forward t e",
            "forward t e",
            "bounce t"),
        rule(
            "unknown query class",
            m -> m.listEngines(true, small("e")).submit("t other a").decide(),
            "bounce t"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("rules")
  void followsRule(String name, Consumer<ManagerHarness> play, List<String> expected) {
    ManagerHarness manager = new ManagerHarness();
    play.accept(manager);
    assertThat(manager.actions).as(name).containsExactlyElementsOf(expected);
  }

  static Stream<Arguments> coldCases() {
    // 4 cores with a start capacity of 0.3: the budget is 0.9 of 2 x 1.2 core-seconds per second,
    // divided evenly among the managers; each task costs 0.3 core-seconds.
    return Stream.of(
        arguments(1, 0L, 7L),
        arguments(2, 0L, 3L),
        arguments(4, 0L, 1L),
        // The start time that the list tells does not count: the engine is new to the manager.
        arguments(1, 5000L, 7L),
        arguments(1, 10_000L, 7L));
  }

  @ParameterizedTest(name = "4 cold: {0} managers, started {1} ms ago")
  @MethodSource("coldCases")
  void coldEngineIsNotOverloaded(int managerCount, long age, long max) {
    ManagerHarness manager = new ManagerHarness();
    manager.managerCount = managerCount;
    manager.coldStartLimit =
        new Settings.ColdStartLimit(0.3, 10_000 * NANOS_PER_MS, 2, 1000 * NANOS_PER_MS);
    manager
        .listEngines(true)
        .advance(1000)
        .listEngines(true, engine("e", "small", 0, State.READY, 101_000 - age));
    manager.submitAll(30, "t# short a cost=300");
    assertThat(manager.sentTo("e")).isEqualTo(max);
  }

  /**
   * Guards against a restarted manager that sends a cold engine what its earlier process already
   * sent in the same window.
   */
  @ParameterizedTest(
      name = "4 cold: {0} ms after the manager's start, engine started {1} ms before it: {2} sent")
  @CsvSource({"0, 100, 0", "500, 100, 3", "1000, 100, 7", "0, -1, 0", "200, -100, 1"})
  void restartedManagerAllowsForWorkSentBeforeItsRestart(long since, long before, long most) {
    ManagerHarness manager = new ManagerHarness();
    manager.coldStartLimit =
        new Settings.ColdStartLimit(0.3, 10_000 * NANOS_PER_MS, 2, 1000 * NANOS_PER_MS);
    manager
        .listEngines(true)
        .advance(since)
        .listEngines(true, engine("e", "small", 0, State.READY, 100_000 - before));
    manager.submitAll(30, "t# short a cost=300");
    assertThat(manager.sentTo("e")).isEqualTo(most);
  }

  /**
   * Returns how many tasks several managers with consecutive seeds send to an engine that has just
   * started.
   */
  private static int sentByAll(int managerCount, long seed, int tasks, long cost) {
    int sent = 0;
    for (int i = 0; i < managerCount; i++) {
      ManagerHarness manager = new ManagerHarness();
      manager.seed = seed + i;
      manager.managerCount = managerCount;
      manager.coldStartLimit =
          new Settings.ColdStartLimit(0.3, 10_000 * NANOS_PER_MS, 2, 1000 * NANOS_PER_MS);
      manager
          .listEngines(true)
          .advance(1000)
          .listEngines(true, engine("e", "small", 0, State.READY, 101_000))
          .submitAll(tasks, "t# short a cost=" + cost);
      sent += (int) manager.sentTo("e");
    }
    return sent;
  }

  /**
   * With few or many managers, a cold engine gets at most the budget of N tasks plus 2 square roots
   * of N and 2 tasks.
   */
  @ParameterizedTest(name = "4 cold: {0} managers, work of {1} ms")
  @CsvSource({"2, 100", "2, 300", "30, 100", "30, 300", "30, 900", "200, 300"})
  void fleetExceedsTheBudgetOnlyByTheTolerance(int managerCount, long cost) {
    double budget = 2 * 0.3 * 4 * 1000 / cost;
    for (int round = 0; round < 40; round++) {
      double sent = sentByAll(managerCount, 1000L * round, 30, cost);
      assertThat(sent)
          .as("round %s", round)
          .isLessThanOrEqualTo(budget + 2 * Math.sqrt(budget) + 2);
    }
  }

  @ParameterizedTest(name = "4 cold: {0} managers together, {1} s after the start")
  @CsvSource({"50, 0", "200, 0", "200, 9"})
  void allManagersTogetherUseAColdEngineWithinItsLimit(int managerCount, long age) {
    // Guards against a cold engine left idle because an even share holds no task, and against one
    // task from every manager.
    int sent = 0;
    for (int i = 0; i < managerCount; i++) {
      ManagerHarness manager = new ManagerHarness();
      manager.seed = i;
      manager.managerCount = managerCount;
      manager.coldStartLimit =
          new Settings.ColdStartLimit(0.3, 10_000 * NANOS_PER_MS, 2, 1000 * NANOS_PER_MS);
      manager
          .listEngines(true)
          .advance(1000)
          .listEngines(true, engine("e", "small", 0, State.READY, 101_000 - age * 1000))
          .submitAll(3, "t# short a");
      sent += (int) manager.sentTo("e");
    }
    assertThat(sent * 0.1).isBetween(0.3, 2 * (0.3 + 0.07 * age) * 4);
  }

  /**
   * Guards against a cold engine left half idle because cold-start permits ignore the excess that
   * the limit tolerates.
   */
  @org.junit.jupiter.api.Test
  void permitsGiveAColdEngineItsCapacityAndNoOverload() {
    // The capacity at the start is 1.2 core-seconds. The limit is 2.4, which is 8 tasks of 0.3,
    // plus 2 square roots of 8 and 2 tasks.
    int rounds = 40;
    double all = 0;
    for (int round = 0; round < rounds; round++) {
      int sent = sentByAll(200, 1000L * round, 3, 300);
      assertThat(sent).isLessThan(8 + 2 * 2 + 2);
      all += sent * 0.3 / rounds;
    }
    assertThat(all).isBetween(0.85, 1.3);
  }

  @org.junit.jupiter.api.Test
  void oneListIsEnoughToSendTasks() {
    ManagerHarness manager = new ManagerHarness().listEngines(true, small("e"), big("g"));
    manager.submitAll(8, "t# short a");
    assertThat(manager.actionsWith("forward")).hasSize(8);
  }
}

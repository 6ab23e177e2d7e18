package tansytrack;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;
import static tansytrack.Manager.MS;
import static tansytrack.Manager.big;
import static tansytrack.Manager.engine;
import static tansytrack.Manager.small;

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

/** Each rule: a case that would break it, and what is done instead. */
class RulesTest {

  private static Arguments rule(String name, Consumer<Manager> play, String... expected) {
    return arguments(name, play, List.of(expected));
  }

  static Stream<Arguments> rules() {
    return Stream.of(
        rule(
            "1 time already up: answered at once",
            m -> m.list(true, small("e")).take("t short a left=10").decide(),
            "bounce t"),
        rule(
            "1 time-out at the cut-off: answered at once",
            m ->
                m.list(true, small("e"))
                    .take("t short a left=2000")
                    .decide()
                    .pass(2000)
                    .end("t", 0, Outcome.TIME_OUT),
            "forward t e",
            "bounce t"),
        rule(
            "1 sweeps are rarer where tasks are rare, yet in time",
            m ->
                m.list(true)
                    .take("x short -")
                    .decide()
                    .pass(900)
                    .take("y short -")
                    .decide()
                    .pass(25)
                    .take("t short a left=76")
                    .decide()
                    .pass(75),
            "bounce x",
            "bounce y",
            "bounce t"),
        rule(
            "1 no engine: held for its budget, then bounced",
            m -> m.list(true).take("t short a left=1000").decide().pass(225),
            "bounce t"),
        rule(
            "1 nothing after the client left",
            m ->
                m.list(true, small("e"))
                    .take("t short a")
                    .decide()
                    .leave("t")
                    .end("t", 0, Outcome.CANCELLED)
                    .pass(2000),
            "forward t e",
            "cancel t 0"),
        rule(
            "1 nothing for a task whose client left between its turn and its send",
            m ->
                m.list(true, small("e"))
                    .probes("e", 9)
                    .take("t short -")
                    .leaves("t")
                    .decide()
                    .pass(2000)),
        rule(
            "1 an outcome said twice counts once",
            m ->
                m.list(true, small("e"))
                    .take("t short a")
                    .decide()
                    .end("t", 0, Outcome.OK)
                    .end("t", 0, Outcome.OK),
            "forward t e"),
        rule(
            "2 one-shot that may have run: aborted",
            m ->
                m.list(true, small("e"), small("f"))
                    .take("t once a")
                    .decide()
                    .end("t", 0, Outcome.ERROR)
                    .did
                    .removeIf(d -> d.startsWith("forw")),
            "abort t"),
        rule(
            "2 one-shot surely not run: sent again",
            m -> m.list(true, small("e")).take("t once a").decide().end("t", 0, Outcome.FULL),
            "forward t e",
            "forward t e"),
        rule(
            "2 stamped past its window: not sent again, bounced",
            m ->
                m.list(true, small("e"))
                    .take("t stamp a")
                    .decide()
                    .pass(5000)
                    .end("t", 0, Outcome.ERROR)
                    .pass(4000),
            "forward t e",
            "bounce t"),
        rule(
            "2 stamped within it: sent again",
            m ->
                m.list(true, small("e"))
                    .take("t stamp a")
                    .decide()
                    .pass(1000)
                    .end("t", 0, Outcome.ERROR),
            "forward t e",
            "forward t e"),
        rule(
            "2 stamped near its end: a connection that comes up late would carry it past that",
            m -> {
              m.connectTime = 250 * MS;
              m.list(true, small("e"))
                  .take("t stamp a")
                  .decide()
                  .pass(4701)
                  .end("t", 0, Outcome.ERROR)
                  .pass(4000);
            },
            "forward t e",
            "bounce t"),
        rule(
            "2 stamped: the window runs from the first forward, also while that is still out",
            m -> {
              m.copies = true;
              m.list(true, small("e"), small("f")).take("t stamp a").decide().pass(3000).waits("t");
              m.end("t", 1, Outcome.ERROR).pass(2500).waits("t");
            },
            "forward t f",
            "forward t e"),
        rule(
            "2 stamped for one cell: never to another, and aborted",
            m ->
                m.list(true, small("e"))
                    .take("t cell a")
                    .decide()
                    .list(true, small("f"))
                    .end("t", 0, Outcome.ERROR)
                    .pass(5000),
            "forward t e",
            "abort t"),
        rule(
            "3 draining: nothing new",
            m ->
                m.list(true, engine("e", "small", 0, State.DRAINING, 0))
                    .take("t short a left=1000")
                    .decide()
                    .pass(300),
            "bounce t"),
        rule(
            "3 no longer listed: nothing new",
            m -> m.list(true, small("e")).list(true).take("t short a left=1000").decide().pass(300),
            "bounce t"),
        rule(
            "3 a change names only what changed",
            m ->
                m.list(true, small("e"))
                    .list(false, small("f"))
                    .list(false, engine("f", "small", 0, State.GONE, 0))
                    .take("t short a")
                    .decide(),
            "forward t e"),
        rule(
            "3 replaced under a new id with a forward out: what it still says counts",
            m ->
                m.list(true, small("e"))
                    .take("t once a")
                    .decide()
                    .list(true, small("f"))
                    .pass(200)
                    .end("t", 0, Outcome.FULL)
                    .pass(200)
                    .list(true, small("f"))
                    .end("t", 1, Outcome.OK),
            "forward t e",
            "forward t f"),
        rule(
            "5 one key: one at a time, in order",
            m ->
                m.list(true, small("e"))
                    .take("t once a key=1 left=9000")
                    .take("u once a key=1 left=5000")
                    .take("v once a key=2")
                    .decide()
                    .end("t", 0, Outcome.OK),
            "forward t e",
            "forward v e",
            "forward u e"),
        rule(
            "5 after a time-out the key rests",
            m ->
                m.list(true, small("e"))
                    .take("t once a key=1")
                    .take("u once a key=1")
                    .decide()
                    .end("t", 0, Outcome.TIME_OUT)
                    .pass(325),
            "forward t e",
            "abort t"),
        rule(
            "5 and then goes on",
            m ->
                m.list(true, small("e"))
                    .take("t once a key=1")
                    .take("u once a key=1")
                    .decide()
                    .end("t", 0, Outcome.TIME_OUT)
                    .pass(375),
            "forward t e",
            "abort t",
            "forward u e"),
        rule(
            "5 a key whose line was dropped in the same batch",
            m ->
                m.list(true, small("e"))
                    .take("t once a key=1")
                    .decide()
                    .take("u once a key=1")
                    .end("t", 0, Outcome.OK),
            "forward t e",
            "forward u e"),
        rule(
            "5 a client leaves in the batch of its task: the next of its key waits for the forward",
            m ->
                m.list(true, small("e"))
                    .take("t once - key=1")
                    .leaves("t")
                    .take("u once - key=1")
                    .decide()
                    .pass(500)
                    .end("t", 0, Outcome.CANCELLED)
                    .pass(375),
            "forward t e",
            "cancel t 0",
            "forward u e"),
        rule(
            "6 bound to a kind that is gone: never elsewhere",
            m -> m.list(true, small("e")).take("t bound a left=1000").decide().pass(300),
            "bounce t"),
        rule(
            "6 bound: also at a further forward",
            m ->
                m.list(true, small("e"), big("g"))
                    .take("t bound a")
                    .decide()
                    .end("t", 0, Outcome.ERROR),
            "forward t g",
            "forward t g"),
        rule(
            "7 the ration holds for every further forward",
            m -> {
              m.ration = new Settings.RetryBudget(1, 0, 5000 * MS);
              m.list(true, small("e")).take("t short a").take("u short a left=15000").decide();
              m.end("t", 0, Outcome.ERROR).end("u", 0, Outcome.ERROR).pass(4000);
            },
            "forward u e",
            "forward t e",
            "forward t e",
            "bounce u"),
        rule(
            "7 and counts a share of the tasks taken",
            m -> {
              m.ration = new Settings.RetryBudget(0, 0.5, 5000 * MS);
              m.list(true, small("e")).take("t short a").take("u short a left=15000").decide();
              m.end("t", 0, Outcome.ERROR).end("u", 0, Outcome.ERROR).pass(4000);
            },
            "forward u e",
            "forward t e",
            "forward t e",
            "bounce u"),
        rule(
            "at most so many forwards",
            m ->
                m.list(true, small("e"))
                    .take("t short a")
                    .decide()
                    .end("t", 0, Outcome.ERROR)
                    .end("t", 1, Outcome.ERROR)
                    .end("t", 2, Outcome.ERROR),
            "forward t e",
            "forward t e",
            "forward t e",
            "bounce t"),
        rule(
            "unknown grade", m -> m.list(true, small("e")).take("t other a").decide(), "bounce t"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("rules")
  void keeps(String name, Consumer<Manager> play, List<String> expected) {
    Manager manager = new Manager();
    play.accept(manager);
    assertThat(manager.did).as(name).containsExactlyElementsOf(expected);
  }

  static Stream<Arguments> coldCases() {
    // 4 cores, of which 0.3 work at the start: 0.9 of 2 x 1.2 core-seconds a second, by even
    // shares, 0.3 each.
    return Stream.of(
        arguments(1, 0L, 7L),
        arguments(2, 0L, 3L),
        arguments(4, 0L, 1L),
        arguments(1, 5000L, 8L),
        arguments(1, 10_000L, 8L));
  }

  @ParameterizedTest(name = "4 cold: {0} managers, started {1} ms ago")
  @MethodSource("coldCases")
  void coldEngineIsNotPushedOver(int siblings, long age, long most) {
    Manager manager = new Manager();
    manager.siblings = siblings;
    manager.cold = new Settings.ColdStartLimit(0.3, 10_000 * MS, 2, 1000 * MS);
    manager.list(true).pass(1000).list(true, engine("e", "small", 0, State.READY, 101_000 - age));
    manager.takeAll(30, "t# short a cost=300");
    assertThat(manager.sentTo("e")).isEqualTo(most);
  }

  /**
   * Guards against a cold engine that gets from a restarted manager what its earlier life gave in
   * the same window.
   */
  @ParameterizedTest(
      name = "4 cold: {0} ms after the manager's start, engine started {1} ms before it: {2} sent")
  @CsvSource({"0, 100, 0", "500, 100, 4", "1000, 100, 8", "0, -1, 7", "200, -100, 7"})
  void aRestartedManagerLeavesRoomForWhatItsEarlierLifeSent(long since, long before, long most) {
    Manager manager = new Manager();
    manager.cold = new Settings.ColdStartLimit(0.3, 10_000 * MS, 2, 1000 * MS);
    manager
        .list(true)
        .pass(since)
        .list(true, engine("e", "small", 0, State.READY, 100_000 - before));
    manager.takeAll(30, "t# short a cost=300");
    assertThat(manager.sentTo("e")).isEqualTo(most);
  }

  /**
   * So many managers, each with the seed behind the one before it, are told of an engine that has
   * just started.
   */
  private static int sentByAll(int siblings, long seed, int tasks, long cost) {
    int sent = 0;
    for (int i = 0; i < siblings; i++) {
      Manager manager = new Manager();
      manager.seed = seed + i;
      manager.siblings = siblings;
      manager.cold = new Settings.ColdStartLimit(0.3, 10_000 * MS, 2, 1000 * MS);
      manager
          .list(true, engine("e", "small", 0, State.READY, 100_000))
          .takeAll(tasks, "t# short a cost=" + cost);
      sent += (int) manager.sentTo("e");
    }
    return sent;
  }

  /**
   * The fleet's budget of N calls, and beyond it 2 roots of N and 2, with few managers and with
   * many.
   */
  @ParameterizedTest(name = "4 cold: {0} managers, work of {1} ms")
  @CsvSource({"2, 100", "2, 300", "30, 100", "30, 300", "30, 900", "200, 300"})
  void beyondTheBudgetOfTheFleetIsOnlyChance(int siblings, long cost) {
    double budget = 2 * 0.3 * 4 * 1000 / cost;
    for (int round = 0; round < 40; round++) {
      double sent = sentByAll(siblings, 1000L * round, 30, cost);
      assertThat(sent)
          .as("round %s", round)
          .isLessThanOrEqualTo(budget + 2 * Math.sqrt(budget) + 2);
    }
  }

  @ParameterizedTest(name = "4 cold: {0} managers together, {1} s after the start")
  @CsvSource({"50, 0", "200, 0", "200, 9"})
  void allManagersTogetherKeepAColdEngineUp(int siblings, long age) {
    // Guards against a cold engine left idle since an even part holds no task, and against all
    // sending one.
    int sent = 0;
    for (int i = 0; i < siblings; i++) {
      Manager manager = new Manager();
      manager.seed = i;
      manager.siblings = siblings;
      manager.cold = new Settings.ColdStartLimit(0.3, 10_000 * MS, 2, 1000 * MS);
      manager
          .list(true)
          .pass(1000)
          .list(true, engine("e", "small", 0, State.READY, 101_000 - age * 1000))
          .takeAll(3, "t# short a");
      sent += (int) manager.sentTo("e");
    }
    assertThat(sent * 0.1).isBetween(0.3, 2 * (0.3 + 0.07 * age) * 4);
  }

  /**
   * Guards against a cold engine left half idle by tickets that are dealt as if the rule had no
   * room for chance.
   */
  @org.junit.jupiter.api.Test
  void ticketsBringAColdEngineWhatItCanDoAndNeverWhatItFallsBy() {
    // 1.2 core-seconds at the start; the rule allows 2.4, 8 tasks of 0.3, and 2 roots of 8 and 2
    // more for chance.
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
  void afterARestartACachedListIsEnough() {
    Manager manager = new Manager().list(true, small("e"), big("g"));
    manager.takeAll(8, "t# short a");
    assertThat(manager.did("forward")).hasSize(8);
  }
}

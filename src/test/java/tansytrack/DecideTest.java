package tansytrack;

import static org.assertj.core.api.Assertions.assertThat;
import static tansytrack.Manager.big;
import static tansytrack.Manager.engine;
import static tansytrack.Manager.small;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tansytrack.api.EngineEntry.State;
import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;
import tansytrack.api.Settings;

/** The mechanism, and each defence with the failure that it answers. */
class DecideTest {

  /** An engine with 8 threads of ours out, which is its first bound: what comes next waits. */
  private static Manager full() {
    return new Manager().list(true, small("e")).takeAll(8, "x# short a left=19000");
  }

  private static LoadReport report(double used, double held, double memory) {
    return new LoadReport(used, held, Double.NaN, memory, Double.NaN);
  }

  @Test
  void leastTimeLeftLeavesFirst() {
    Manager manager = full().take("late short a left=9000").take("soon short a left=4000").decide();
    manager.end("x0", 0, Outcome.OK).end("x1", 0, Outcome.OK);
    assertThat(manager.did("forward").subList(8, 10))
        .containsExactly("forward soon e", "forward late e");
  }

  /**
   * Guards against a deployment that names no tenants and so gets no queue: tasks are told apart by
   * time left alone.
   */
  @Test
  void withoutTenantsAllShareOneQueue() {
    Manager manager = new Manager();
    manager.tenants = false;
    manager.list(true, small("e")).takeAll(8, "x# short - left=19000");
    manager.take("late short - left=9000").take("soon short - left=4000").decide();
    manager.end("x0", 0, Outcome.OK).end("x1", 0, Outcome.OK);
    assertThat(manager.did("forward").subList(8, 10))
        .containsExactly("forward soon e", "forward late e");
  }

  /**
   * Guards against a room that stays at one thread: slow answers say nothing of a crowd that is not
   * there.
   */
  @Test
  void slowAnswersLeaveAThreadForEachCore() {
    Manager manager =
        new Manager()
            .list(true, small("e"))
            .take("f short a")
            .decide()
            .pass(100)
            .end("f", 0, Outcome.OK);
    for (int i = 0; i < 12; i++) {
      manager.take("s" + i + " short a").decide().pass(1500).end("s" + i, 0, Outcome.OK);
    }
    assertThat(manager.takeAll(8, "t# short a").did("forward t")).hasSize(4);
  }

  @Test
  void turnsGoByWeight() {
    Manager manager = full();
    manager.takeAll(8, "a# short a left=9000").takeAll(8, "b# short b left=9000");
    for (int i = 0; i < 8; i++) {
      manager.end("x" + i, 0, Outcome.OK);
    }
    // Shares of 0.75 and 0.25; the room grows with each fast answer, so more than eight may leave.
    List<String> sent = manager.did("forward").subList(8, 16);
    assertThat(sent.stream().filter(line -> line.contains(" a"))).hasSize(6);
  }

  @ParameterizedTest(name = "{0} waiting")
  @CsvSource({"31, 0", "32, 0", "33, 1", "40, 8"})
  void aTenantsQueueIsBounded(int waiting, int refused) {
    Manager manager = full().takeAll(waiting, "w# short a left=15000");
    assertThat(manager.did("bounce")).hasSize(refused);
  }

  @Test
  void aWaitBeyondTheBudgetIsRefusedAtOnce() {
    // A usual run of four seconds was learned; the nine sent now end no sooner.
    Manager manager = new Manager().list(true, small("e")).take("p short a cost=4000").decide();
    manager.pass(4000).end("p", 0, Outcome.OK).takeAll(9, "x# short a left=19000");
    assertThat(manager.take("t short a left=5000").decide().did("bounce"))
        .containsExactly("bounce t");
  }

  @Test
  void aTaskOfNoTenantGoesAtOnceOrNotAtAll() {
    assertThat(full().take("t short -").decide().did("bounce")).containsExactly("bounce t");
    assertThat(new Manager().list(true, small("e")).take("t short -").decide().did)
        .containsExactly("forward t e");
  }

  @ParameterizedTest(name = "{0}: {1} more")
  @CsvSource({"FULL, 0", "TIME_OUT, 0", "OK, 4"})
  void theRoomHalvesAndRises(Outcome outcome, int more) {
    Manager manager = new Manager().list(true, small("e")).takeAll(8, "x# once a left=19000");
    manager
        .takeAll(6, "w# stamp b left=15000")
        .end("x0", 0, outcome)
        .end("x1", 0, outcome)
        .pass(25);
    assertThat(manager.did("forward w")).hasSize(more);
  }

  @Test
  void theDrawFollowsReportsElseThreads() {
    Manager manager = new Manager().list(true, small("e"), small("f"), small("g"));
    manager.probed("e", Outcome.OK, report(0.9, 40, Double.NaN));
    manager.probed("f", Outcome.OK, report(0.1, 1, Double.NaN));
    manager.takeAll(8, "t# short a");
    assertThat(manager.sentTo("f")).isGreaterThanOrEqualTo(6);
    assertThat(manager.sentTo("g")).as("unheard: average").isLessThanOrEqualTo(2);
    Manager unheard = new Manager().list(true, small("e"), big("g"));
    unheard.takeAll(12, "t# short a");
    assertThat(unheard.sentTo("e")).isBetween(1L, 7L);
    assertThat(unheard.sentTo("g")).isGreaterThan(unheard.sentTo("e"));
  }

  @ParameterizedTest(name = "{0} managers, report {1} ms old")
  @CsvSource({"1, 0, 5, 8", "1, 1000, 5, 8", "50, 0, 5, 8", "50, 1000, 0, 6"})
  void anOldReportFadesWhereOthersSendToo(int siblings, long age, int least, int most) {
    // Guards against many managers that crowd onto the engine which was idle some time ago.
    int sent = 0;
    for (int seed = 0; seed < 8; seed++) {
      Manager manager = new Manager();
      manager.seed = seed;
      manager.siblings = siblings;
      manager.list(true, small("e"), small("f"), small("g"));
      manager.probed("e", Outcome.OK, report(Double.NaN, 8, Double.NaN));
      manager.probed("f", Outcome.OK, report(Double.NaN, 0, Double.NaN));
      manager.probed("g", Outcome.OK, report(Double.NaN, 8, Double.NaN));
      sent += (int) manager.pass(age).take("t short a").decide().sentTo("f");
    }
    assertThat(sent).isBetween(least, most);
  }

  @ParameterizedTest(
      name = "{0} managers, a task every {1} ms: {2} to {3} probes of 10 engines in 10 s")
  @CsvSource({"1, 5, 0, 20", "1, 500, 10, 50", "100, 500, 0, 10"})
  void probesAskOnlyWhatAnswersDoNotTell(int siblings, long gap, int least, int most) {
    // Guards against probes that cost more than they tell: many managers, each with few tasks.
    Manager manager = new Manager();
    manager.probes = true;
    manager.siblings = siblings;
    for (int i = 0; i < 10; i++) {
      manager.list(false, small("e" + i));
    }
    for (long at = 0; at < 10_000; at += gap) {
      manager.take("t" + at + " short a").decide().end("t" + at, 0, Outcome.OK).pass(gap);
    }
    assertThat(manager.did("probe ").size()).isBetween(least, most);
  }

  @ParameterizedTest(name = "warm sets run in {0} ms, others in 100")
  @CsvSource({"25, 0.75, 1.0", "100, 0.1, 0.45"})
  void whatWarmDataSetsSaveIsLearned(int warm, double least, double most) {
    // Guards against chasing warm data sets where engines gain nothing from them.
    Manager manager = new Manager().list(true, small("e"), small("f"));
    java.util.Map<String, List<Integer>> read =
        java.util.Map.of("e", new java.util.LinkedList<>(), "f", new java.util.LinkedList<>());
    int hits = 0;
    for (int i = 0; i < 1200; i++) {
      manager.take("t" + i + " short a set=" + i % 8).decide();
      List<Integer> sets = read.get(manager.did.get(manager.did.size() - 1).split(" ")[2]);
      boolean hit = sets.remove((Integer) (i % 8));
      sets.add(i % 8);
      if (sets.size() > 4) {
        sets.remove(0);
      }
      hits += hit && i >= 800 ? 1 : 0;
      manager.pass(hit ? warm : 100).end("t" + i, 0, Outcome.OK);
    }
    assertThat(hits / 400.0).isBetween(least, most);
  }

  @Test
  void memoryThatDoesNotFitIsWaitedFor() {
    // Guards against grants past an engine's memory, which make all its tasks spill or page.
    Manager manager = new Manager().list(true, small("e")).takeAll(4, "t# short a mb=300");
    assertThat(manager.did("forward")).hasSize(2);
    assertThat(manager.end("t0", 0, Outcome.OK).did("forward")).hasSize(3);
  }

  @Test
  void theShareOfAnEngineIsLearned() {
    // Guards against an even share where nearly all traffic comes to this manager.
    Manager manager = new Manager();
    manager.siblings = 4;
    manager.list(true, small("e"));
    for (int i = 0; i < 60; i++) {
      manager.take("p" + i + " short a").take("q" + i + " short a").decide();
      manager.probed("e", Outcome.OK, report(Double.NaN, 4, Double.NaN));
      manager.end("p" + i, 0, Outcome.OK).end("q" + i, 0, Outcome.OK);
    }
    int before = manager.did("forward").size();
    manager.takeAll(12, "t# short a mb=90");
    assertThat(manager.did("forward").size() - before).isEqualTo(4);
  }

  @ParameterizedTest(name = "{0} managers: {1} of 12 go")
  @CsvSource({"1, 12", "8, 4", "100, 1"})
  void aRoomThatHoldsNoTaskIsThatOfAll(int siblings, int most) {
    // Guards against a floor of one task an engine and manager, which is far more than the engines
    // hold.
    Manager manager = new Manager();
    manager.siblings = siblings;
    manager
        .list(true, small("e"), small("f"), small("g"), small("h"))
        .takeAll(12, "t# short a mb=1");
    assertThat(manager.did("forward")).hasSize(most);
  }

  @ParameterizedTest(name = "tasks of {0} MB: {1} of 4 go")
  @CsvSource({"160, 2", "80, 4"})
  void theMemoryOfTheMarketBindsAllButSmallTasks(int mb, int most) {
    // Guards against one task an engine from each of many managers, at twice the memory that there
    // is.
    Manager manager = new Manager();
    manager.siblings = 9;
    manager
        .list(true, small("e"), small("f"), small("g"), small("h"))
        .takeAll(4, "t# short a mb=" + mb);
    assertThat(manager.did("forward")).hasSize(most);
  }

  @Test
  void whileTasksWaitTheHeavyOnesAreRefused() {
    // Guards against a few heavy tasks that take the room of many.
    Manager manager = full().takeAll(10, "w# short a left=19000").pass(3000);
    manager.take("heavy short b cost=20000").take("light short b cost=50").decide();
    assertThat(manager.did("bounce")).containsExactly("bounce heavy");
  }

  @Test
  void aWaitForSomeEnginesPricesOnlyThose() {
    // Guards against refusing what fits elsewhere while one kind of machine is out.
    Manager manager =
        new Manager().list(true, small("e")).takeAll(10, "w# bound a left=20000").pass(3000);
    manager.take("t short b cost=20000").decide();
    assertThat(manager.did("forward")).containsExactly("forward t e");
  }

  private static Manager answering(boolean copies) {
    Manager manager = new Manager();
    manager.copies = copies;
    manager.list(true, small("e"), small("f"), small("g"));
    for (int i = 0; i < 40; i++) {
      manager.take("p" + i + " short a").decide().pass(50).end("p" + i, 0, Outcome.OK);
    }
    return manager;
  }

  @ParameterizedTest(name = "second copies {0}")
  @CsvSource({"false", "true"})
  void aSilentEngineIsLeftAndItsTasksRescued(boolean copies) {
    // Guards against hangs, vanished engines and cut links.
    Manager manager = answering(copies).takeAll(6, "t# short a");
    List<String> stuck =
        manager.did("forward t").stream().filter(line -> line.endsWith(" e")).toList();
    for (String line : manager.did("forward t")) {
      if (!line.endsWith(" e")) {
        manager.end(line.split(" ")[1], 0, Outcome.OK);
      }
    }
    assertThat(stuck).isNotEmpty();
    manager.pass(900);
    assertThat(manager.logs).anyMatch(line -> line.startsWith("engine e suspected: silent"));
    assertThat(manager.did(copies ? "forward t" : "cancel t").size())
        .isEqualTo((copies ? 6 : 0) + stuck.size());
    long before = manager.sentTo("e");
    manager.takeAll(6, "u# short a");
    assertThat(manager.sentTo("e") - before).as("but one trial").isLessThanOrEqualTo(1);
  }

  @ParameterizedTest(name = "cancels {0}, second copies {1}: forwards {2}, cancels {3}")
  @CsvSource({"true, true, 2, 0", "true, false, 1, 1", "false, true, 1, 0"})
  void aForwardThatStandsStillMayRunElsewhere(
      boolean cancels, boolean copies, int forwards, int cancelled) {
    // Guards against tasks stuck behind a load; a copy of what cannot be taken back would feed a
    // crowd.
    Manager manager = new Manager();
    manager.cancels = cancels;
    manager.copies = copies;
    manager.list(true, small("e"), small("f")).take("t short a").decide().waits("t");
    assertThat(manager.did("forward t")).hasSize(forwards);
    assertThat(manager.did("cancel t")).hasSize(cancelled);
  }

  @ParameterizedTest(name = "second copies {0}, {1} done after 1 s: forwards {2}, cancels {3}")
  @CsvSource({"true, 0.9, 1, 0", "true, 0.05, 2, 0", "false, 0.05, 1, 1", "true, 0, 1, 0"})
  void aForwardFarFromItsEndIsTakenElsewhere(
      boolean copies, double done, int forwards, int cancelled) {
    // Guards against jammed engines, bad plans and starved priorities: notes tell of them long
    // before answers.
    Manager manager =
        answering(copies).take("t short a cost=500").decide().pass(1000).tells("t", done);
    assertThat(manager.did("forward t ")).hasSize(forwards);
    assertThat(manager.did("cancel t ")).hasSize(cancelled);
  }

  @Test
  void whenAllAreSilentNoneIsLeft() {
    Manager manager = answering(false).takeAll(9, "t# short a").pass(3000);
    manager.takeAll(9, "u# short a");
    assertThat(manager.did("forward u")).hasSize(9);
  }

  @Test
  void anEngineThatFailsFastIsLeft() {
    // Guards against a black hole: fast errors make an engine look idle.
    Manager manager = answering(false);
    long before = manager.sentTo("e");
    for (int i = 0; i < 60; i++) {
      manager.take("t" + i + " stamp a").decide();
      String line = manager.did("forward t" + i + " ").get(0);
      manager.end("t" + i, 0, line.endsWith(" e") ? Outcome.ERROR : Outcome.OK);
    }
    assertThat(manager.sentTo("e") - before).isBetween(1L, 4L);
  }

  /** Guards against engines left because of tasks that fail wherever they run. */
  @ParameterizedTest(name = "handled in the end: {0}")
  @CsvSource({"false", "true"})
  void errorsCountAgainstAnEngineOnceTheTaskIsHandledElsewhere(boolean handled) {
    Manager manager = answering(false);
    manager.list(true, small("e"));
    for (int i = 0; i < 6; i++) {
      manager
          .take("t" + i + " short a")
          .decide()
          .end("t" + i, 0, Outcome.ERROR)
          .end("t" + i, 1, Outcome.ERROR)
          .end("t" + i, 2, handled && i > 3 ? Outcome.OK : Outcome.ERROR);
    }
    assertThat(manager.logs.stream().anyMatch(line -> line.contains("its answers fail")))
        .isEqualTo(handled);
  }

  /** Guards against a key whose turns all go to tasks that cannot end in time any more. */
  @ParameterizedTest(name = "{0} ms left, where a usual run takes 1800: bounced {1}")
  @CsvSource({"3000, false", "2500, true"})
  void aTaskBehindAKeyGoesBackWhenAUsualRunPassesItsCutOff(long left, boolean bounced) {
    Manager manager = new Manager().list(true, small("e"));
    for (int i = 0; i < 100; i++) {
      manager.take("p" + i + " once a key=" + i).decide().pass(150).end("p" + i, 0, Outcome.OK);
    }
    manager
        .take("t once a key=7")
        .take("u once a key=7 cost=1200 left=" + left)
        .decide()
        .pass(1000)
        .end("t", 0, Outcome.OK);
    assertThat(manager.did("forward u").isEmpty()).isEqualTo(bounced);
    assertThat(manager.did("bounce u")).hasSize(bounced ? 1 : 0);
  }

  @Test
  void anEngineNotReachedIsColdWhenItIsBack() {
    // Guards against the flood that fells an engine which restarted before any list told; and
    // against sending to
    // dead engines because all are.
    Manager manager = new Manager();
    manager.cold = new Settings.ColdStartLimit(0.3, 10_000 * Manager.MS, 2, 1000 * Manager.MS);
    manager.list(true, small("e")).take("t short a").decide().end("t", 0, Outcome.UNREACHED);
    assertThat(manager.takeAll(4, "u# short a").did("forward u")).isEmpty();
    manager.pass(1050).end("t", 1, Outcome.OK).takeAll(30, "w# stamp b cost=900");
    assertThat(manager.did("forward w").size()).isBetween(1, 3);
  }

  @Test
  void aRestartedEngineStartsAnew() {
    Manager manager = answering(false).take("t short a").decide();
    String sick = manager.did("forward t ").get(0).split(" ")[2];
    manager.end("t", 0, Outcome.UNREACHED);
    assertThat(manager.logs).anyMatch(line -> line.startsWith("engine " + sick + " suspected"));
    long before = manager.sentTo(sick);
    manager.list(false, engine(sick, "small", 0, State.READY, 99_000)).takeAll(18, "u# short b");
    assertThat(manager.sentTo(sick) - before).isGreaterThan(1);
  }

  @Test
  void shortTasksAndLoadsComeFirstOnAnEngine() {
    Manager manager = new Manager().list(true, small("e"), small("f"));
    manager
        .takeAll(20, "w# short a cost=100")
        .take("t short a cost=9000 mb=100")
        .take("l load a cost=9000")
        .decide();
    for (int i = 0; i < 20; i++) {
      manager.end("w" + i, 0, Outcome.OK);
    }
    assertThat(manager.provided).contains("w1 13 3", "t 125 0", "l 13 2");
  }

  /**
   * Guards against answers that SIGKILL cuts off: all are given before, and what cannot end by then
   * goes at once.
   */
  @ParameterizedTest(name = "{0} costing {1} ms, after {2} ms of 3000: {3}")
  @CsvSource({
    "short, 10, 1, ''",
    "short, 10, 2900, ''",
    "short, 10, 2995, bounce t",
    "short, 9000, 1, ''",
    "once, 10, 2900, ''",
    "once, 10, 2995, abort t",
    "stamp, 10, 2995, bounce t",
    "cell, 10, 2995, abort t"
  })
  void whatIsOutWhenItEndsIsAnsweredBefore(String grade, long cost, long after, String answer) {
    Manager manager =
        new Manager().list(true, small("e")).take("t " + grade + " a cost=" + cost).decide();
    manager.stop(3000).pass(after);
    assertThat(
            manager.did.stream()
                .filter(line -> !line.startsWith("forward") && !line.startsWith("cancel"))
                .toList())
        .isEqualTo(answer.isEmpty() ? List.of() : List.of(answer));
  }

  @ParameterizedTest(name = "costing {0} ms: {1}")
  @CsvSource({"10, forward t e", "9000, bounce t"})
  void whatComesWhileItEndsIsServedIfItCanEndInTime(long cost, String then) {
    Manager manager =
        new Manager().list(true, small("e")).stop(3000).take("t short a cost=" + cost).decide();
    assertThat(manager.did).containsExactly(then);
  }

  @ParameterizedTest(name = "costing {0} ms: {1}")
  @CsvSource({"10, 0", "9000, 1"})
  void whatWaitsWhenItEndsGoesAtOnceIfItCannotEndInTime(long cost, int bounced) {
    Manager manager = full().take("t short a left=15000 cost=" + cost).decide().stop(3000).pass(60);
    assertThat(manager.did("bounce t")).hasSize(bounced);
  }

  /**
   * Guards against a market that keeps the room of an engine's old listing until the next sweep.
   */
  @Test
  void theMarketKnowsAListingAtOnce() {
    Manager manager = new Manager();
    manager.siblings = 12;
    manager.list(true, small("e")).take("x short a").decide().atOnce(big("e"), "t short a");
    assertThat(manager.did("forward")).containsExactly("forward x e", "forward t e");
  }

  @Test
  void whileNothingIsLetInWhatComesIsBouncedAndWhatCameGoesOn() {
    Manager manager = new Manager().list(true, small("e")).take("in short a").decide();
    manager.admit(false).take("out short a").decide();
    assertThat(manager.did)
        .anyMatch(one -> one.startsWith("forward in"))
        .anyMatch(one -> one.startsWith("bounce out"));
    manager.admit(true).take("again short a").decide();
    assertThat(manager.did).noneMatch(one -> one.startsWith("bounce again"));
  }
}

package tansytrack;

import static org.assertj.core.api.Assertions.assertThat;
import static tansytrack.ManagerHarness.big;
import static tansytrack.ManagerHarness.engine;
import static tansytrack.ManagerHarness.managerWithHistory;
import static tansytrack.ManagerHarness.report;
import static tansytrack.ManagerHarness.small;
import static tansytrack.api.Outcome.ERROR;
import static tansytrack.api.Outcome.OK;
import static tansytrack.api.Outcome.UNREACHED;

import java.util.LinkedList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tansytrack.api.EngineEntry.State;
import tansytrack.api.Outcome;

/** The decisions, and each protective mechanism with the failure that it guards against. */
class DecideTest {

  /** One engine with 8 open forwards, which is its initial limit: further tasks wait. */
  private static ManagerHarness saturatedManager() {
    return new ManagerHarness().listEngines(true, small("e")).submitAll(8, "x# short a left=19000");
  }

  @Test
  void earliestDeadlineIsSentFirst() {
    ManagerHarness manager =
        saturatedManager()
            .submit("late short a left=9000")
            .submit("soon short a left=4000")
            .decide();
    manager.endForward("x0", 0, OK).endForward("x1", 0, OK);
    assertThat(manager.actionsWith("forward").subList(8, 10))
        .containsExactly("forward soon e", "forward late e");
  }

  /** Guards against no queue without named tenants: all tasks share one, ordered by deadline. */
  @Test
  void withoutTenantsAllShareOneQueue() {
    ManagerHarness manager = new ManagerHarness();
    manager.hasTenants = false;
    manager.listEngines(true, small("e")).submitAll(8, "x# short - left=19000");
    manager.submit("late short - left=9000").submit("soon short - left=4000").decide();
    manager.endForward("x0", 0, OK).endForward("x1", 0, OK);
    assertThat(manager.actionsWith("forward").subList(8, 10))
        .containsExactly("forward soon e", "forward late e");
  }

  /** Guards against a limit stuck at one: slow answers are no overload while few tasks run. */
  @Test
  void slowAnswersStillAllowOneThreadPerCore() {
    ManagerHarness manager =
        new ManagerHarness()
            .listEngines(true, small("e"))
            .submit("f short a")
            .decide()
            .advance(100)
            .endForward("f", 0, OK);
    for (int i = 0; i < 12; i++) {
      manager.submit("s" + i + " short a").decide().advance(1500).endForward("s" + i, 0, OK);
    }
    assertThat(manager.submitAll(8, "t# short a").actionsWith("forward t")).hasSize(4);
  }

  @Test
  void tenantsAreServedByWeight() {
    ManagerHarness manager = saturatedManager();
    manager.submitAll(8, "a# short a left=9000").submitAll(8, "b# short b left=9000");
    for (int i = 0; i < 8; i++) {
      manager.endForward("x" + i, 0, OK);
    }
    // Shares of 0.75 and 0.25; the limit grows with each fast answer, so more than 8 may be sent.
    List<String> sent = manager.actionsWith("forward").subList(8, 16);
    assertThat(sent.stream().filter(line -> line.contains(" a"))).hasSize(6);
  }

  @ParameterizedTest(name = "{0} waiting")
  @CsvSource({"31, 0", "32, 0", "33, 1", "40, 8"})
  void tenantQueueIsBounded(int waiting, int rejected) {
    ManagerHarness manager = saturatedManager().submitAll(waiting, "w# short a left=15000");
    assertThat(manager.actionsWith("bounce")).hasSize(rejected);
  }

  @Test
  void expectedWaitBeyondBudgetIsRejectedAtOnce() {
    // The learned run time is four seconds; the nine tasks sent now take as long.
    ManagerHarness manager =
        new ManagerHarness().listEngines(true, small("e")).submit("p short a cost=4000").decide();
    manager.advance(4000).endForward("p", 0, OK).submitAll(9, "x# short a left=19000");
    assertThat(manager.submit("t short a left=5000").decide().actionsWith("bounce"))
        .containsExactly("bounce t");
  }

  @Test
  void taskWithoutTenantIsSentAtOnceOrRejected() {
    assertThat(saturatedManager().submit("t short -").decide().actionsWith("bounce"))
        .containsExactly("bounce t");
    assertThat(
            new ManagerHarness().listEngines(true, small("e")).submit("t short -").decide().actions)
        .containsExactly("forward t e");
  }

  @ParameterizedTest(name = "{0}: {1} more")
  @CsvSource({"FULL, 0", "TIME_OUT, 0", "OK, 4"})
  void concurrencyLimitHalvesAndRises(Outcome outcome, int more) {
    ManagerHarness manager =
        new ManagerHarness().listEngines(true, small("e")).submitAll(8, "x# once a left=19000");
    manager
        .submitAll(6, "w# stamp b left=15000")
        .endForward("x0", 0, outcome)
        .endForward("x1", 0, outcome)
        .advance(25);
    assertThat(manager.actionsWith("forward w")).hasSize(more);
  }

  @Test
  void choiceFollowsReportsOrElseThreads() {
    ManagerHarness manager =
        new ManagerHarness().listEngines(true, small("e"), small("f"), small("g"));
    manager.endProbe("e", OK, report(0.9, 40, Double.NaN));
    manager.endProbe("f", OK, report(0.1, 1, Double.NaN));
    manager.submitAll(8, "t# short a");
    assertThat(manager.sentTo("f")).isGreaterThanOrEqualTo(6);
    assertThat(manager.sentTo("g")).as("no report: counts as average").isLessThanOrEqualTo(2);
    ManagerHarness unheard = new ManagerHarness().listEngines(true, small("e"), big("g"));
    unheard.submitAll(12, "t# short a");
    assertThat(unheard.sentTo("e")).isBetween(1L, 7L);
    assertThat(unheard.sentTo("g")).isGreaterThan(unheard.sentTo("e"));
  }

  @ParameterizedTest(name = "{0} managers, report {1} ms old")
  @CsvSource({"1, 0, 5, 8", "1, 1000, 5, 8", "50, 0, 5, 8", "50, 1000, 0, 6"})
  void oldReportLosesWeightWhereOtherManagersSend(int managerCount, long age, int min, int max) {
    // Guards against many managers that all send to the engine which was idle some time ago.
    int sent = 0;
    for (int seed = 0; seed < 8; seed++) {
      ManagerHarness manager = new ManagerHarness();
      manager.seed = seed;
      manager.managerCount = managerCount;
      manager.listEngines(true, small("e"), small("f"), small("g"));
      manager.endProbe("e", OK, report(Double.NaN, 8, Double.NaN));
      manager.endProbe("f", OK, report(Double.NaN, 0, Double.NaN));
      manager.endProbe("g", OK, report(Double.NaN, 8, Double.NaN));
      sent += (int) manager.advance(age).submit("t short a").decide().sentTo("f");
    }
    assertThat(sent).isBetween(min, max);
  }

  @ParameterizedTest(
      name = "{0} managers, a task every {1} ms: {2} to {3} probes of 10 engines in 10 s")
  @CsvSource({"1, 5, 0, 20", "1, 500, 10, 50", "100, 500, 0, 10"})
  void probesAreRareWhereAnswersTellEnough(int managerCount, long interval, int min, int max) {
    // Guards against probes that cost more than they tell, with many managers and few tasks each.
    ManagerHarness manager = new ManagerHarness();
    manager.probing = true;
    manager.managerCount = managerCount;
    for (int i = 0; i < 10; i++) {
      manager.listEngines(false, small("e" + i));
    }
    for (long at = 0; at < 10_000; at += interval) {
      manager.submit("t" + at + " short a").decide().endForward("t" + at, 0, OK).advance(interval);
    }
    assertThat(manager.actionsWith("probe ").size()).isBetween(min, max);
  }

  @ParameterizedTest(name = "warm sets run in {0} ms, others in 100")
  @CsvSource({"25, 0.75, 1.0", "100, 0.1, 0.45"})
  void benefitOfWarmDataSetsIsLearned(int warm, double min, double max) {
    // Guards against preferring warm data sets where engines gain nothing from them.
    ManagerHarness manager = new ManagerHarness().listEngines(true, small("e"), small("f"));
    Map<String, List<Integer>> read = Map.of("e", new LinkedList<>(), "f", new LinkedList<>());
    int hits = 0;
    for (int i = 0; i < 1200; i++) {
      manager.submit("t" + i + " short a set=" + i % 8).decide();
      List<Integer> sets = read.get(manager.actions.get(manager.actions.size() - 1).split(" ")[2]);
      boolean hit = sets.remove((Integer) (i % 8));
      sets.add(i % 8);
      if (sets.size() > 4) {
        sets.remove(0);
      }
      hits += hit && i >= 800 ? 1 : 0;
      manager.advance(hit ? warm : 100).endForward("t" + i, 0, OK);
    }
    assertThat(hits / 400.0).isBetween(min, max);
  }

  @Test
  void tasksWaitForMemory() {
    // Guards against grants beyond an engine's memory, which make all its tasks spill or page.
    ManagerHarness manager =
        new ManagerHarness().listEngines(true, small("e")).submitAll(4, "t# short a mb=300");
    assertThat(manager.actionsWith("forward")).hasSize(2);
    assertThat(manager.endForward("t0", 0, OK).actionsWith("forward")).hasSize(3);
  }

  @Test
  void shareOfAnEngineIsLearned() {
    // Guards against using only an even share where nearly all traffic comes to this manager.
    ManagerHarness manager = new ManagerHarness();
    manager.managerCount = 4;
    manager.listEngines(true, small("e"));
    for (int i = 0; i < 60; i++) {
      manager.submit("p" + i + " short a").submit("q" + i + " short a").decide();
      manager.endProbe("e", OK, report(Double.NaN, 4, Double.NaN));
      manager.endForward("p" + i, 0, OK).endForward("q" + i, 0, OK);
    }
    int before = manager.actionsWith("forward").size();
    manager.submitAll(12, "t# short a mb=90");
    assertThat(manager.actionsWith("forward").size() - before).isEqualTo(4);
  }

  @ParameterizedTest(name = "{0} managers: {1} of 12 go")
  @CsvSource({"1, 12", "8, 4", "100, 1"})
  void limitBelowOneTaskAppliesToTheWholePool(int managerCount, int max) {
    // Guards against a minimum of one task per engine and manager: engines hold far less.
    ManagerHarness manager = new ManagerHarness();
    manager.managerCount = managerCount;
    manager
        .listEngines(true, small("e"), small("f"), small("g"), small("h"))
        .submitAll(12, "t# short a mb=1");
    assertThat(manager.actionsWith("forward")).hasSize(max);
  }

  @ParameterizedTest(name = "tasks of {0} MB: {1} of 4 go")
  @CsvSource({"160, 2", "80, 4"})
  void poolMemoryLimitsAllButSmallTasks(int mb, int max) {
    // Guards against one task per engine from each of many managers, at twice the available memory.
    ManagerHarness manager = new ManagerHarness();
    manager.managerCount = 9;
    manager
        .listEngines(true, small("e"), small("f"), small("g"), small("h"))
        .submitAll(4, "t# short a mb=" + mb);
    assertThat(manager.actionsWith("forward")).hasSize(max);
  }

  @Test
  void expensiveTasksAreRejectedWhileTasksWait() {
    // Guards against a few expensive tasks that take the capacity of many.
    ManagerHarness manager =
        saturatedManager().submitAll(10, "w# short a left=19000").advance(3000);
    manager.submit("heavy short b cost=20000").submit("light short b cost=50").decide();
    assertThat(manager.actionsWith("bounce")).containsExactly("bounce heavy");
  }

  @Test
  void waitForOnePoolRaisesOnlyItsPrice() {
    // Guards against rejecting what fits elsewhere while one type of engine is missing.
    ManagerHarness manager =
        new ManagerHarness()
            .listEngines(true, small("e"))
            .submitAll(10, "w# bound a left=20000")
            .advance(3000);
    manager.submit("t short b cost=20000").decide();
    assertThat(manager.actionsWith("forward")).containsExactly("forward t e");
  }

  @ParameterizedTest(name = "hedging {0}")
  @CsvSource({"false", "true"})
  void silentEngineIsExcludedAndItsTasksRetried(boolean hedging) {
    // Guards against engines that hang or vanish, and against broken links.
    ManagerHarness manager = managerWithHistory(hedging).submitAll(6, "t# short a");
    List<String> stuck =
        manager.actionsWith("forward t").stream().filter(line -> line.endsWith(" e")).toList();
    for (String line : manager.actionsWith("forward t")) {
      if (!line.endsWith(" e")) {
        manager.endForward(line.split(" ")[1], 0, OK);
      }
    }
    assertThat(stuck).isNotEmpty();
    manager.advance(900);
    assertThat(manager.logs).anyMatch(line -> line.startsWith("engine e suspected: silent"));
    assertThat(manager.actionsWith(hedging ? "forward t" : "cancel t").size())
        .isEqualTo((hedging ? 6 : 0) + stuck.size());
    long before = manager.sentTo("e");
    manager.submitAll(6, "u# short a");
    assertThat(manager.sentTo("e") - before).as("at most one trial task").isLessThanOrEqualTo(1);
  }

  @ParameterizedTest(name = "cancellation {0}, hedging {1}: forwards {2}, cancels {3}")
  @CsvSource({"true, true, 2, 0", "true, false, 1, 1", "false, true, 1, 0"})
  void waitingForwardMayRunElsewhere(
      boolean cancellation, boolean hedging, int forwards, int cancelled) {
    // Guards against tasks that wait behind a bulk load. Where a forward cannot be cancelled, a
    // second one would only add to the overload.
    ManagerHarness manager = new ManagerHarness();
    manager.cancellation = cancellation;
    manager.hedging = hedging;
    manager
        .listEngines(true, small("e"), small("f"))
        .submit("t short a")
        .decide()
        .reportWaiting("t");
    assertThat(manager.actionsWith("forward t")).hasSize(forwards);
    assertThat(manager.actionsWith("cancel t")).hasSize(cancelled);
  }

  @ParameterizedTest(name = "hedging {0}, {1} done after 1 s: forwards {2}, cancels {3}")
  @CsvSource({"true, 0.9, 1, 0", "true, 0.05, 2, 0", "false, 0.05, 1, 1", "true, 0, 1, 0"})
  void forwardFarFromItsEndIsRetriedElsewhere(
      boolean hedging, double fractionDone, int forwards, int cancelled) {
    // Guards against overloaded engines, bad plans and starved priorities: progress reports tell of
    // them long before answers.
    ManagerHarness manager =
        managerWithHistory(hedging)
            .submit("t short a cost=500")
            .decide()
            .advance(1000)
            .reportFractionDone("t", fractionDone);
    assertThat(manager.actionsWith("forward t ")).hasSize(forwards);
    assertThat(manager.actionsWith("cancel t ")).hasSize(cancelled);
  }

  @Test
  void noEngineIsExcludedWhenAllAreSilent() {
    ManagerHarness manager = managerWithHistory(false).submitAll(9, "t# short a").advance(3000);
    manager.submitAll(9, "u# short a");
    assertThat(manager.actionsWith("forward u")).hasSize(9);
  }

  @Test
  void engineThatFailsFastIsExcluded() {
    // Guards against an engine that attracts tasks because its fast errors make it look idle.
    ManagerHarness manager = managerWithHistory(false);
    long before = manager.sentTo("e");
    for (int i = 0; i < 60; i++) {
      manager.submit("t" + i + " stamp a").decide();
      String line = manager.actionsWith("forward t" + i + " ").get(0);
      manager.endForward("t" + i, 0, line.endsWith(" e") ? ERROR : OK);
    }
    assertThat(manager.sentTo("e") - before).isBetween(1L, 4L);
  }

  /** Guards against excluding engines because of tasks that fail wherever they run. */
  @ParameterizedTest(name = "succeeds on another engine: {0}")
  @CsvSource({"false", "true"})
  void errorsCountOnceTheTaskSucceedsElsewhere(boolean succeeds) {
    ManagerHarness manager = managerWithHistory(false);
    manager.listEngines(true, small("e"));
    for (int i = 0; i < 6; i++) {
      manager
          .submit("t" + i + " short a")
          .decide()
          .endForward("t" + i, 0, ERROR)
          .endForward("t" + i, 1, ERROR)
          .endForward("t" + i, 2, succeeds && i > 3 ? OK : ERROR);
    }
    assertThat(manager.logs.stream().anyMatch(line -> line.contains("its answers fail")))
        .isEqualTo(succeeds);
  }

  /** Guards against a key that is used up by tasks which can no longer end in time. */
  @ParameterizedTest(name = "{0} ms left, where a usual run takes 1800: rejected {1}")
  @CsvSource({"3000, false", "2500, true"})
  void taskQueuedByKeyIsRejectedWhenItCannotMeetItsDeadline(long left, boolean rejected) {
    ManagerHarness manager = new ManagerHarness().listEngines(true, small("e"));
    for (int i = 0; i < 100; i++) {
      manager.submit("p" + i + " once a key=" + i).decide().advance(150).endForward("p" + i, 0, OK);
    }
    manager
        .submit("t once a key=7")
        .submit("u once a key=7 cost=1200 left=" + left)
        .decide()
        .advance(1000)
        .endForward("t", 0, OK);
    assertThat(manager.actionsWith("forward u").isEmpty()).isEqualTo(rejected);
    assertThat(manager.actionsWith("bounce u")).hasSize(rejected ? 1 : 0);
  }

  @Test
  void restartedEngineIsNoLongerSuspected() {
    ManagerHarness manager = managerWithHistory(false).submit("t short a").decide();
    String unreachable = manager.actionsWith("forward t ").get(0).split(" ")[2];
    manager.endForward("t", 0, UNREACHED);
    assertThat(manager.logs)
        .anyMatch(line -> line.startsWith("engine " + unreachable + " suspected"));
    long before = manager.sentTo(unreachable);
    manager
        .listEngines(false, engine(unreachable, "small", 0, State.READY, 99_000))
        .submitAll(18, "u# short b");
    assertThat(manager.sentTo(unreachable) - before).isGreaterThan(1);
  }

  @Test
  void shortTasksAndBulkLoadsGetHighPriority() {
    ManagerHarness manager = new ManagerHarness().listEngines(true, small("e"), small("f"));
    manager
        .submitAll(20, "w# short a cost=100")
        .submit("t short a cost=9000 mb=100")
        .submit("l load a cost=9000")
        .decide();
    for (int i = 0; i < 20; i++) {
      manager.endForward("w" + i, 0, OK);
    }
    assertThat(manager.resources).contains("w1 13 3", "t 125 0", "l 13 2");
  }

  /**
   * Guards against answers that are lost when SIGKILL ends the process: all are given before, and
   * tasks that cannot end by then are answered at once.
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
  void openForwardsAreAnsweredBeforeShutdown(
      String queryClass, long cost, long after, String answer) {
    ManagerHarness manager =
        new ManagerHarness()
            .listEngines(true, small("e"))
            .submit("t " + queryClass + " a cost=" + cost)
            .decide();
    manager.announceShutdown(3000).advance(after);
    assertThat(
            manager.actions.stream()
                .filter(line -> !line.startsWith("forward") && !line.startsWith("cancel"))
                .toList())
        .isEqualTo(answer.isEmpty() ? List.of() : List.of(answer));
  }

  @ParameterizedTest(name = "costing {0} ms: {1}")
  @CsvSource({"10, forward t e", "9000, bounce t"})
  void tasksDuringShutdownAreServedIfTheyCanEndInTime(long cost, String then) {
    ManagerHarness manager =
        new ManagerHarness()
            .listEngines(true, small("e"))
            .announceShutdown(3000)
            .submit("t short a cost=" + cost)
            .decide();
    assertThat(manager.actions).containsExactly(then);
  }

  @ParameterizedTest(name = "costing {0} ms: {1}")
  @CsvSource({"10, 0", "9000, 1"})
  void queuedTasksThatCannotEndBeforeShutdownAreRejected(long cost, int rejected) {
    ManagerHarness manager =
        saturatedManager()
            .submit("t short a left=15000 cost=" + cost)
            .decide()
            .announceShutdown(3000)
            .advance(60);
    assertThat(manager.actionsWith("bounce t")).hasSize(rejected);
  }

  /** Guards against a pool that keeps an engine's old capacity until the next sweep. */
  @Test
  void poolUsesAChangedEntryAtOnce() {
    ManagerHarness manager = new ManagerHarness();
    manager.managerCount = 12;
    manager
        .listEngines(true, small("e"))
        .submit("x short a")
        .decide()
        .sweepListAndSubmit(big("e"), "t short a");
    assertThat(manager.actionsWith("forward")).containsExactly("forward x e", "forward t e");
  }

  @Test
  void closedAdmissionRejectsNewTasksOnly() {
    ManagerHarness manager =
        new ManagerHarness().listEngines(true, small("e")).submit("in short a").decide();
    manager.setAdmission(false).submit("out short a").decide();
    assertThat(manager.actions)
        .anyMatch(action -> action.startsWith("forward in"))
        .anyMatch(action -> action.startsWith("bounce out"));
    manager.setAdmission(true).submit("again short a").decide();
    assertThat(manager.actions).noneMatch(action -> action.startsWith("bounce again"));
  }
}

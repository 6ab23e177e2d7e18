package tansytrack;

import static org.assertj.core.api.Assertions.assertThat;
import static tansytrack.ManagerHarness.NANOS_PER_MS;

import java.util.AbstractList;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import tansytrack.api.EngineEntry;
import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;
import tansytrack.api.Settings;

/** The decision module with engine lists below the maximum subset size and far above it. */
class DecideSubsetTest {

  private static final Settings.ColdStartLimit COLD_START_LIMIT =
      new Settings.ColdStartLimit(0.3, 10_000 * NANOS_PER_MS, 2, 1000 * NANOS_PER_MS);

  private static String id(int engine) {
    return String.format("engine-%04d", engine);
  }

  private static EngineEntry entry(int engine, EngineEntry.State state, long startedAt) {
    return ManagerHarness.engine(
        id(engine), engine % 3 == 0 ? "big" : "small", engine % 7, state, startedAt);
  }

  private static EngineEntry[] entries(int count) {
    EngineEntry[] all = new EngineEntry[count];
    for (int i = 0; i < count; i++) {
      all[i] = entry(i, EngineEntry.State.READY, 0);
    }
    return all;
  }

  /** Tasks of all classes, while engines answer, fail, fall silent, drain, start and leave. */
  private static ManagerHarness simulate(long seed, int engines, int managerIndex) {
    return simulate(seed, engines, managerIndex, COLD_START_LIMIT);
  }

  private static ManagerHarness simulate(
      long seed, int engines, int managerIndex, Settings.ColdStartLimit coldStartLimit) {
    ManagerHarness manager = new ManagerHarness();
    manager.seed = seed;
    manager.managerCount = 40;
    manager.managerIndex = managerIndex;
    manager.probing = true;
    manager.coldStartLimit = coldStartLimit;
    SplittableRandom random = new SplittableRandom(seed);
    manager.listEngines(true, entries(engines));
    ArrayDeque<String> open = new ArrayDeque<>();
    String[] queryClasses = {"short", "stamp", "cell", "once", "load", "bound"};
    int seen = 0;
    for (int step = 0; step < 400; step++) {
      manager.advance(10);
      int engine = random.nextInt(engines);
      if (step % 20 == 0) {
        EngineEntry.State state = EngineEntry.State.values()[random.nextInt(3)];
        manager.listEngines(false, entry(engine, state, 100_000 + step * 10L));
      }
      if (step == 120 || step == 160) {
        manager.listEngines(true, entries(engines * 2 / 3)).advance(30);
      }
      if (step == 125 || step == 250) {
        manager.listEngines(true, entries(engines));
      }
      for (int i = random.nextInt(4); i > 0; i--) {
        String key = random.nextInt(4) == 0 ? " key=" + random.nextInt(5) : "";
        String queryClass = queryClasses[random.nextInt(queryClasses.length)];
        manager.submit("t" + step + "." + i + " " + queryClass + (i % 2 == 0 ? " a" : " b") + key);
      }
      manager.decide();
      for (; seen < manager.actions.size(); seen++) {
        if (manager.actions.get(seen).startsWith("forward ")) {
          open.add(manager.actions.get(seen).split(" ")[1]);
        }
      }
      while (open.size() > 12) {
        String task = open.poll();
        Outcome outcome = Outcome.values()[random.nextInt(5) > 0 ? 0 : random.nextInt(8)];
        LoadReport report =
            random.nextBoolean() ? null : new LoadReport(random.nextDouble(), 3, 0, 0.4, 0);
        manager.endForward(task, 0, outcome, report);
      }
    }
    return manager;
  }

  /**
   * Up to the maximum subset size the actions are those recorded before subsets existed. The hashes
   * must be recorded anew with each intended change of a decision.
   */
  @ParameterizedTest(name = "seed {0}, {1} engines")
  @CsvSource({
    "1, 100, -1658500195",
    "2, 100, 1342901524",
    "3, 100, 1062716285",
    "4, 20, 561274444",
    "5, 128, -1253814093"
  })
  void actionsMatchTheRecordingUpToTheMaximumSize(long seed, int engines, int recorded) {
    ManagerHarness manager = simulate(seed, engines, 3);
    assertThat(manager.actions.hashCode())
        .as("%d actions", manager.actions.size())
        .isEqualTo(recorded);
  }

  /** Guards against changes of slow start that change decisions where no engine is ever cold. */
  @ParameterizedTest(name = "seed {0}, {1} engines")
  @CsvSource({
    "1, 100, -1829279822",
    "2, 100, -1837457733",
    "3, 100, -1420083349",
    "4, 20, -2083710384",
    "5, 128, 121068538"
  })
  void actionsWithoutColdEnginesMatchTheRecording(long seed, int engines, int recorded) {
    ManagerHarness manager = simulate(seed, engines, 3, null);
    assertThat(manager.actions.hashCode())
        .as("%d actions", manager.actions.size())
        .isEqualTo(recorded);
  }

  @ParameterizedTest(name = "{0} engines")
  @ValueSource(ints = {20, 100, 128})
  void managerIndexChangesNothingUpToTheMaximumSize(int engines) {
    List<String> did = simulate(9, engines, 0).actions;
    assertThat(simulate(9, engines, 17).actions).isEqualTo(did);
    assertThat(simulate(9, engines, Settings.UNKNOWN_INDEX).actions).isEqualTo(did);
  }

  private static ManagerHarness manager(int managerCount, int managerIndex) {
    ManagerHarness manager = new ManagerHarness();
    manager.managerCount = managerCount;
    manager.managerIndex = managerIndex;
    manager.seed = 1000L + managerIndex;
    return manager;
  }

  /** A list that counts how often its entries are read. */
  private static final class ReadCountingList extends AbstractList<EngineEntry> {
    final EngineEntry[] all;
    int reads;

    ReadCountingList(EngineEntry... all) {
      this.all = all;
    }

    @Override
    public EngineEntry get(int index) {
      reads++;
      return all[index];
    }

    @Override
    public int size() {
      return all.length;
    }
  }

  /** Guards against decisions whose cost grows with the length of the engine list. */
  @Test
  void decisionCostDoesNotGrowWithTheList() {
    ManagerHarness few = manager(5200, 1234).listEngines(true, entries(100));
    ReadCountingList list = new ReadCountingList(entries(6200));
    ManagerHarness many = manager(5200, 1234).listEngines(true, list);
    int reads = list.reads;
    many.submitAll(50, "t# short a").advance(1000);
    assertThat(few.knownEngines()).hasSize(100);
    assertThat(many.knownEngines()).hasSizeBetween(50, 200);
    assertThat(list.reads).isEqualTo(reads);
    assertThat(many.actionsWith("forward")).hasSizeGreaterThan(8);
    assertThat(many.actionsWith("forward"))
        .allMatch(line -> many.knownEngines().contains(line.split(" ")[2]));
  }

  @Test
  void classesBoundToATypeHaveTheirOwnSubset() {
    ManagerHarness manager = manager(200, 55);
    EngineEntry[] all = entries(3000); // a third of them big: 1,000 for the class 'bound'
    manager.listEngines(true, all);
    long big =
        manager.knownEngines().stream()
            .filter(id -> Integer.parseInt(id.substring(7)) % 3 == 0)
            .count();
    assertThat(big).isBetween(64L, 190L);
    manager.submitAll(300, "b# bound a mb=1 cost=1");
    assertThat(
            manager.actionsWith("forward b").stream()
                .map(line -> line.split(" ")[2])
                .distinct()
                .count())
        .isBetween(50L, big);
    manager.submitAll(300, "s# short a mb=1 cost=1");
    // The engines that are only in the other class's subset get none of these tasks.
    assertThat(
            manager.actionsWith("forward s").stream()
                .map(line -> line.split(" ")[2])
                .distinct()
                .count())
        .isLessThan(manager.knownEngines().size() - 20L);
  }

  @Test
  void changesOutsideTheSubsetAreIgnored() {
    ManagerHarness manager = manager(200, 55).listEngines(true, entries(1000));
    List<String> known = manager.knownEngines();
    int outside = 0;
    while (known.contains(id(outside))) {
      outside++;
    }
    manager
        .listEngines(false, entry(outside, EngineEntry.State.DRAINING, 0))
        .listEngines(false, entry(outside, EngineEntry.State.READY, 100_000))
        .endProbe(id(outside), Outcome.UNREACHED, null);
    assertThat(manager.knownEngines()).isEqualTo(known);
  }

  /** The list grows beyond the maximum subset size while a forward is open. */
  @Test
  void engineThatLeftTheSubsetOnlyEndsItsOpenForwards() {
    ManagerHarness manager = manager(200, 55).listEngines(true, entries(100));
    manager.submit("k once a key=1").submit("l once a key=1").decide();
    manager.submitAll(20, "t# short a");
    String engine = manager.actionsWith("forward k").get(0).split(" ")[2];
    int number = Integer.parseInt(engine.substring(7));
    int listed = 100;
    while (listed < 6200) {
      listed *= 2;
      manager.listEngines(true, entries(listed));
    }
    manager.advance(100);
    assertThat(manager.knownEngines()).as("kept for its open forward").contains(engine);
    long sent = manager.sentTo(engine);
    for (int i = 0; i < 40; i++) {
      int from = manager.actions.size();
      manager.submitAll(2, "u" + i + ".# short a cost=1").advance(30);
      endAll(manager, from);
    }
    assertThat(manager.actionsWith("forward u")).hasSize(80);
    assertThat(manager.sentTo(engine)).isEqualTo(sent);
    assertThat(manager.actionsWith("forward l")).as("its key waits").isEmpty();
    manager.listEngines(false, entry(number, EngineEntry.State.DRAINING, 0));
    manager.endForward("k", 0, Outcome.OK);
    assertThat(manager.actionsWith("forward l")).as("the next task of its key is sent").hasSize(1);
    assertThat(manager.actionsWith("forward l").get(0)).doesNotEndWith(engine);
    endAll(manager, 0);
    manager.advance(1100);
    assertThat(manager.knownEngines()).doesNotContain(engine);
    manager.listEngines(true, entries(100)).advance(50);
    assertThat(manager.knownEngines()).as("and back").hasSize(100).contains(engine);
  }

  /** A retry stays in the deduplication scope of the first engine, even outside the subset. */
  @Test
  void retryStaysInTheCellOfAnEngineThatLeftTheSubset() {
    ManagerHarness manager = manager(200, 55).listEngines(true, entries(100));
    manager.submit("t cell a").decide();
    int first =
        Integer.parseInt(manager.actionsWith("forward t").get(0).split(" ")[2].substring(7));
    manager.listEngines(true, entries(6200)).endForward("t", 0, Outcome.ERROR);
    List<String> sent = manager.actionsWith("forward t");
    assertThat(sent).hasSize(2);
    assertThat(Integer.parseInt(sent.get(1).split(" ")[2].substring(7)) % 7).isEqualTo(first % 7);
    assertThat(manager.knownEngines()).contains(sent.get(1).split(" ")[2]);
  }

  @Test
  void emptyOrShortListIsFollowedAndReverted() {
    ManagerHarness manager = manager(5200, 77).listEngines(true, entries(6200));
    List<String> known = manager.knownEngines();
    manager.listEngines(true).advance(100).submit("t short a").decide();
    assertThat(manager.knownEngines()).isEmpty();
    manager.listEngines(true, entries(40));
    assertThat(manager.knownEngines()).hasSize(40);
    assertThat(manager.actionsWith("forward t")).hasSize(1);
    manager.endForward("t", 0, Outcome.OK).listEngines(true, entries(6200)).advance(100);
    assertThat(manager.knownEngines()).isEqualTo(known);
  }

  @Test
  void managerCountChangesTheLevel() {
    ManagerHarness manager = manager(5200, 77).listEngines(true, entries(6200));
    List<String> known = manager.knownEngines();
    manager.setManagerCount(100).decide();
    assertThat(manager.knownEngines()).hasSizeGreaterThan(600).containsAll(known);
    manager.setManagerCount(5200).decide().advance(100);
    assertThat(manager.knownEngines()).isEqualTo(known);
  }

  /** Part of the subset fails: substitutes are added one per sweep, and released after recovery. */
  @Test
  void substitutesAreAddedGraduallyAndReleased() {
    ManagerHarness manager = manager(500, 42).listEngines(true, entries(3000));
    List<String> own = manager.knownEngines();
    List<String> unhealthy = own.subList(0, own.size() * 3 / 4);
    unhealthy.forEach(id -> manager.endProbe(id, Outcome.UNREACHED, null));
    unhealthy.forEach(id -> manager.endProbe(id, Outcome.UNREACHED, null));
    int before = manager.knownEngines().size();
    while (true) {
      manager.advance(50); // a sweep, where tasks are rare
      int after = manager.knownEngines().size();
      assertThat(after - before).isBetween(0, 2);
      if (after == before) {
        break;
      }
      before = after;
    }
    assertThat(before - own.size()).isBetween(100, 219); // the subsets of both classes
    List<String> standIns =
        manager.knownEngines().stream().filter(id -> !own.contains(id)).toList();
    manager.submitAll(400, "t# short a cost=1 mb=1");
    List<String> sentTo =
        manager.actionsWith("forward").stream().map(line -> line.split(" ")[2]).distinct().toList();
    assertThat(unhealthy).as("at most one trial task").allMatch(id -> manager.sentTo(id) <= 1);
    assertThat(sentTo).containsAnyElementsOf(standIns);
    endAll(manager, 0);
    // Each is a new process now: the suspicion of the old one does not apply.
    unhealthy.forEach(
        id ->
            manager.listEngines(
                false, entry(Integer.parseInt(id.substring(7)), EngineEntry.State.READY, 1)));
    manager.advance(5000);
    assertThat(manager.knownEngines()).isEqualTo(own);
  }

  /** Three quarters of all engines are replaced at once: no cold one becomes a substitute. */
  @Test
  void coldEngineIsNoSubstitute() {
    ManagerHarness manager = manager(500, 42);
    manager.coldStartLimit = COLD_START_LIMIT;
    manager.listEngines(true, entries(3000));
    List<String> own = manager.knownEngines();
    EngineEntry[] half = entries(3000);
    for (int i = 0; i < half.length; i++) {
      if (i % 4 != 0) {
        half[i] = entry(i, EngineEntry.State.READY, 100_000);
      }
    }
    manager.listEngines(true, half).advance(4000);
    List<String> standIns =
        manager.knownEngines().stream().filter(id -> !own.contains(id)).toList();
    assertThat(standIns).hasSizeGreaterThan(10);
    assertThat(standIns).allMatch(id -> Integer.parseInt(id.substring(7)) % 4 == 0);
    // A substitute that restarts, and so is cold, gets nothing.
    String restarted = standIns.get(0);
    long sent = manager.sentTo(restarted);
    manager.listEngines(
        false,
        entry(
            Integer.parseInt(restarted.substring(7)),
            EngineEntry.State.READY,
            manager.now() / NANOS_PER_MS));
    for (int i = 0; i < 20; i++) {
      int from = manager.actions.size();
      manager.submitAll(40, "t" + i + ".# short a cost=1 mb=1 left=400").advance(50);
      endAll(manager, from);
    }
    assertThat(manager.actionsWith("forward")).hasSizeGreaterThan(100);
    assertThat(manager.sentTo(restarted)).isEqualTo(sent);
    endAll(manager, 0);
    manager.advance(20_000);
    assertThat(manager.knownEngines()).as("all warm").isEqualTo(own);
  }

  /** An engine that leaves the subset and returns within the window keeps its cold work count. */
  @Test
  void coldWorkCountSurvivesLeavingTheSubset() {
    ManagerHarness manager = manager(64, 3);
    manager.coldStartLimit = COLD_START_LIMIT;
    manager.listEngines(true).advance(1000);
    EngineEntry[] few = entries(100);
    EngineEntry[] many = entries(6200);
    for (int i = 0; i < few.length; i++) {
      few[i] = entry(i, EngineEntry.State.READY, 101_000);
      many[i] = few[i];
    }
    manager.listEngines(true, few);
    fill(manager, "t", 100, 10);
    manager.advance(150);
    Map<String, Long> sent = new TreeMap<>();
    manager.knownEngines().forEach(id -> sent.put(id, manager.sentTo(id)));
    assertThat(sent).hasSize(100);
    assertThat(sent.values()).allMatch(count -> count >= 2);
    manager.listEngines(true, many).advance(150).listEngines(true, few);
    fill(manager, "u", 100, 10);
    for (int i = 0; i < few.length; i++) {
      // 0.9 of the budget 2 x 0.3 x cores x 1 s, shared by 64 managers, in tasks of 10 ms.
      double part = 0.9 * 2 * (0.3 + 0.7 * 0.03) * (i % 3 == 0 ? 8 : 4) * 1000 / 64 / 10;
      assertThat((double) manager.sentTo(id(i))).isLessThanOrEqualTo(part);
    }
  }

  /** Submits rounds of 20 tasks that end at once, until no cold engine takes any more. */
  private static void fill(ManagerHarness manager, String name, int rounds, long cost) {
    int ended = manager.actions.size();
    for (int i = 0; i < rounds; i++) {
      manager.submitAll(20, name + i + ".# short a mb=1 left=400 cost=" + cost);
      ended = endAll(manager, ended);
    }
  }

  /** Ends all forwards from the given action on successfully, including those that result. */
  private static int endAll(ManagerHarness manager, int from) {
    for (; from < manager.actions.size(); from++) {
      if (manager.actions.get(from).startsWith("forward")) {
        manager.endForward(manager.actions.get(from).split(" ")[1], 0, Outcome.OK);
      }
    }
    return from;
  }

  /** What the managers of a fleet know wrongly. */
  private enum Misconfiguration {
    NONE,
    LOW_MANAGER_COUNT, // half of them count only three quarters of the managers
    DUPLICATE_INDEX, // a quarter has the index of another manager
    UNKNOWN_INDEX, // no manager knows its index
    SHORT_LIST // half of them have a list that is a tenth shorter
  }

  /**
   * In a fleet with subsets, no cold engine gets more from all managers together than the limit of
   * N tasks, plus 2 square roots of N and 2 tasks.
   */
  @ParameterizedTest(name = "{0}, work of {1} ms")
  @CsvSource({
    "NONE, 100",
    "NONE, 300",
    "LOW_MANAGER_COUNT, 100",
    "LOW_MANAGER_COUNT, 300",
    "DUPLICATE_INDEX, 100",
    "DUPLICATE_INDEX, 300",
    "UNKNOWN_INDEX, 100",
    "UNKNOWN_INDEX, 300",
    "SHORT_LIST, 100",
    "SHORT_LIST, 300"
  })
  void coldStartLimitHoldsInTheSumOverManagers(Misconfiguration mistake, long cost) {
    int managers = 64;
    int engines = 300;
    long most = 0;
    for (int round = 0; round < 4; round++) {
      Map<String, Long> sent = new TreeMap<>();
      for (int i = 0; i < managers; i++) {
        ManagerHarness manager = manager(managers, i);
        manager.seed = 10_000L * round + i;
        manager.coldStartLimit = COLD_START_LIMIT;
        manager.managerCount =
            mistake == Misconfiguration.LOW_MANAGER_COUNT && i % 2 == 0
                ? managers * 3 / 4
                : managers;
        manager.managerIndex =
            mistake == Misconfiguration.DUPLICATE_INDEX && i % 4 == 1 ? i - 1 : i;
        manager.managerIndex =
            mistake == Misconfiguration.UNKNOWN_INDEX
                ? Settings.UNKNOWN_INDEX
                : manager.managerIndex;
        int listed =
            mistake == Misconfiguration.SHORT_LIST && i % 2 == 0 ? engines * 9 / 10 : engines;
        EngineEntry[] all = new EngineEntry[listed];
        for (int engine = 0; engine < listed; engine++) {
          // Only the cold engines are ready, so that they get all tasks.
          EngineEntry.State state =
              engine < 40 ? EngineEntry.State.READY : EngineEntry.State.DRAINING;
          all[engine] = ManagerHarness.engine(id(engine), "small", 0, state, 101_000);
        }
        manager.listEngines(true).advance(1000).listEngines(true, all);
        fill(manager, "t", 10, cost);
        manager
            .actionsWith("forward")
            .forEach(line -> sent.merge(line.split(" ")[2], 1L, Long::sum));
      }
      for (int engine = 0; engine < 40; engine++) {
        most = Math.max(most, sent.getOrDefault(id(engine), 0L));
      }
    }
    double budget = 2 * 0.3 * 4 * 1000 / cost;
    assertThat((double) most).isLessThanOrEqualTo(budget + 2 * Math.sqrt(budget) + 2);
    assertThat(most).as("cold engines are used").isGreaterThan(2);
  }
}

package tansytrack;

import static org.assertj.core.api.Assertions.assertThat;
import static tansytrack.Manager.MS;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tansytrack.api.EngineEntry;
import tansytrack.api.LoadReport;
import tansytrack.api.Outcome;
import tansytrack.api.Settings;

/** The module with lists of engines under the bound of a subset and far above it. */
class DecideSubsetTest {

  private static final Settings.ColdRule COLD =
      new Settings.ColdRule(0.3, 10_000 * MS, 2, 1000 * MS);

  private static String id(int engine) {
    return String.format("engine-%04d", engine);
  }

  private static EngineEntry entry(int engine, EngineEntry.State state, long startedAt) {
    return Manager.engine(
        id(engine), engine % 3 == 0 ? "big" : "small", engine % 7, state, startedAt);
  }

  private static EngineEntry[] entries(int count) {
    EngineEntry[] all = new EngineEntry[count];
    for (int i = 0; i < count; i++) {
      all[i] = entry(i, EngineEntry.State.READY, 0);
    }
    return all;
  }

  /** Tasks of all grades while engines answer, fail, fall silent, drain, start cold and go. */
  private static Manager play(long seed, int engines, int position) {
    Manager manager = new Manager();
    manager.seed = seed;
    manager.siblings = 40;
    manager.position = position;
    manager.probes = true;
    manager.cold = COLD;
    SplittableRandom chance = new SplittableRandom(seed);
    manager.list(true, entries(engines));
    ArrayDeque<String> open = new ArrayDeque<>();
    String[] grades = {"short", "stamp", "cell", "once", "load", "bound"};
    int seen = 0;
    for (int step = 0; step < 400; step++) {
      manager.pass(10);
      int engine = chance.nextInt(engines);
      if (step % 20 == 0) {
        EngineEntry.State state = EngineEntry.State.values()[chance.nextInt(3)];
        manager.list(false, entry(engine, state, 100_000 + step * 10L));
      }
      if (step == 250) {
        manager.list(true, entries(engines));
      }
      for (int i = chance.nextInt(4); i > 0; i--) {
        String key = chance.nextInt(4) == 0 ? " key=" + chance.nextInt(5) : "";
        String grade = grades[chance.nextInt(grades.length)];
        manager.take("t" + step + "." + i + " " + grade + (i % 2 == 0 ? " a" : " b") + key);
      }
      manager.decide();
      for (; seen < manager.did.size(); seen++) {
        if (manager.did.get(seen).startsWith("forward ")) {
          open.add(manager.did.get(seen).split(" ")[1]);
        }
      }
      while (open.size() > 12) {
        String task = open.poll();
        Outcome outcome = Outcome.values()[chance.nextInt(5) > 0 ? 0 : chance.nextInt(8)];
        LoadReport report =
            chance.nextBoolean() ? null : new LoadReport(chance.nextDouble(), 3, 0, 0.4, 0);
        manager.end(task, 0, outcome, report);
      }
    }
    return manager;
  }

  /**
   * The actions recorded before there were subsets; to be recorded anew with each intended change
   * of a decision.
   */
  @ParameterizedTest(name = "seed {0}, {1} engines")
  @CsvSource({
    "1, 100, 302820652",
    "2, 100, -1599250075",
    "3, 100, 803638359",
    "4, 20, 843341950",
    "5, 128, -13582320"
  })
  void upToTheBoundAllActionsAreAsBefore(long seed, int engines, int recorded) {
    Manager manager = play(seed, engines, 3);
    assertThat(manager.did.hashCode()).as("%d actions", manager.did.size()).isEqualTo(recorded);
  }
}

package tansytrack;

import static org.assertj.core.api.Assertions.assertThat;
import static tansytrack.Manager.MS;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import tansytrack.api.EngineEntry;
import tansytrack.api.Outcome;
import tansytrack.api.Settings;
import tansytrack.fleet.BudgetDivisor;
import tansytrack.fleet.MembershipConfig;
import tansytrack.lab.simulation.LinkConditions;
import tansytrack.lab.simulation.MembershipSimulation;

/**
 * Managers whose number changes, with links between them that break, and engines that start cold:
 * real decisions, virtual time.
 */
class ColdFleetTest {

  private static final int MEMBERS = 12;
  private static final int ENGINES = 4;
  private static final long COST = 250; // ms of work of a task
  private static final long STEP = 50; // ms
  private static final Settings.ColdStartLimit COLD =
      new Settings.ColdStartLimit(0.3, 10_000 * MS, 2, 1000 * MS);

  /** One manager in one of its lives. */
  private static final class Life {
    final long id;
    final Manager manager = new Manager();
    final BudgetDivisor reckoning = new BudgetDivisor(MEMBERS - 1, 10_000 * MS);
    final long began; // on the world's clock
    final ArrayDeque<String[]> out = new ArrayDeque<>(); // task, engine and when it ends
    int seen;
    int tasks;

    Life(long id, long began, long seed) {
      this.id = id;
      this.began = began;
      manager.seed = seed;
      manager.siblings = MEMBERS;
      manager.cold = COLD;
    }
  }

  private final Map<String, Life> lives = new HashMap<>();
  private final long[] startedAt = new long[ENGINES]; // ms on the world's clock; 0: long ago
  private final List<ArrayDeque<Long>> sends = new ArrayList<>();
  private int falls;
  private int most; // tasks to a cold engine within the window
  private int fewest = Integer.MAX_VALUE; // managers that one reckoned by

  private EngineEntry entry(int engine, Life life) {
    long start = startedAt[engine] == 0 ? 0 : Math.max(1, 100_000 + startedAt[engine] - life.began);
    return Manager.engine("e" + engine, "small", engine, EngineEntry.State.READY, start);
  }

  private void play(long seed, boolean byView) {
    MembershipSimulation world =
        MembershipSimulation.startConverged(
            MEMBERS,
            MembershipConfig.defaults(List.of("m0", "m1")),
            seed,
            LinkConditions.GOOD.withLoss(0.1));
    SplittableRandom chance = new SplittableRandom(seed);
    lives.clear();
    sends.clear();
    for (int i = 0; i < ENGINES; i++) {
      startedAt[i] = 0;
      sends.add(new ArrayDeque<>());
    }
    long from = world.now();
    int cut = chance.nextInt(3);
    world.schedule(
        from + 1000 * MS,
        () -> world.partition((a, b) -> cut == 0 || cut == 1 && !a.zone().equals(b.zone())));
    for (int i = 0; i < 3; i++) {
      String address = "m" + chance.nextInt(MEMBERS);
      world.schedule(
          from + chance.nextLong(8000 * MS),
          () -> {
            if (world.node(address).running() && chance.nextBoolean()) {
              world.shutDown(address);
            } else {
              world.kill(address);
            }
          });
      world.schedule(
          from + (9000 + chance.nextLong(12_000)) * MS,
          () -> {
            if (!world.node(address).running()) {
              world.start(address);
            }
          });
    }
    for (int engine = 0; engine < ENGINES; engine++) {
      int which = engine;
      world.schedule(
          from + (6000 + chance.nextLong(14_000)) * MS,
          () -> {
            startedAt[which] = world.now() / MS;
            sends.get(which).clear();
            lives.values().forEach(life -> life.manager.list(false, entry(which, life)));
          });
    }
    for (long at = from; at < from + 25_000 * MS; at += STEP * MS) {
      world.runUntil(at);
      for (MembershipSimulation.Node node : world.nodes()) {
        if (node.running()) {
          turn(world, node, byView, chance);
        } else {
          lives.remove(node.name());
        }
      }
    }
  }

  private void turn(
      MembershipSimulation world,
      MembershipSimulation.Node node,
      boolean byView,
      SplittableRandom chance) {
    long now = world.now() / MS;
    Life life = lives.get(node.name());
    if (life == null || life.id != node.membership().self().instanceId()) {
      // Its clock is at its first step by the end of this turn.
      life = new Life(node.membership().self().instanceId(), now - STEP, chance.nextLong());
      lives.put(node.name(), life);
      EngineEntry[] all = new EngineEntry[ENGINES];
      for (int i = 0; i < ENGINES; i++) {
        all[i] = entry(i, life);
      }
      life.manager.list(true, all);
    }
    node.membership().others().forEach(life.reckoning::memberChanged);
    int by =
        byView
            ? node.membership().view().liveMembers()
            : life.reckoning.update(world.now(), node.membership().view().liveMembers());
    fewest = Math.min(fewest, by);
    life.manager.siblings(by).pass(STEP);
    while (!life.out.isEmpty() && Long.parseLong(life.out.peek()[1]) <= now) {
      life.manager.end(life.out.poll()[0], 0, Outcome.OK);
    }
    for (int i = chance.nextInt(4); i > 0; i--) {
      life.manager.take("t" + life.tasks++ + " short a cost=" + COST).decide();
    }
    for (; life.seen < life.manager.did.size(); life.seen++) {
      String[] done = life.manager.did.get(life.seen).split(" ");
      if (done[0].equals("forward")) {
        life.out.add(new String[] {done[1], Long.toString(now + COST)});
        sent(Integer.parseInt(done[2].substring(1)), now);
      }
    }
  }

  /**
   * Counts it, and whether the engine falls by it: N tasks are allowed in the window, and 3 roots
   * of N and 3 more.
   */
  private void sent(int engine, long now) {
    ArrayDeque<Long> window = sends.get(engine);
    window.add(now);
    while (window.peek() <= now - COLD.windowNanos() / MS) {
      window.poll();
    }
    double age =
        startedAt[engine] == 0 ? 1 : (now - startedAt[engine]) * MS / (double) COLD.warmUpNanos();
    if (age < 1) {
      most = Math.max(most, window.size());
      double allowed =
          COLD.overloadFactor()
              * (COLD.startCapacityFraction() + (1 - COLD.startCapacityFraction()) * age)
              * 4
              * 1000
              / COST;
      falls += window.size() > allowed + 3 * Math.sqrt(allowed) + 3 ? 1 : 0;
    }
  }

  /**
   * Fifty schedules: links all cut, places cut off, managers killed, ended and started again,
   * engines started cold.
   */
  @Test
  void noColdEngineIsPushedOverWhileTheNumberOfManagersChanges() {
    for (long seed = 1; seed <= 50; seed++) {
      play(seed, false);
      assertThat(falls).as("seed %d, at most %d", seed, most).isZero();
    }
    assertThat(most).isGreaterThan(10);
  }

  /** What the reckoning guards against: managers that deal the budget among those whom they see. */
  @Test
  void managersThatReckonByWhomTheySeePushColdEnginesOver() {
    for (long seed = 1; seed <= 20; seed++) {
      play(seed, true);
    }
    assertThat(falls).isPositive();
    assertThat(fewest).isEqualTo(1);
  }
}

package tansytrack;

import static org.assertj.core.api.Assertions.assertThat;
import static tansytrack.ManagerHarness.NANOS_PER_MS;

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
 * Decision modules on virtual time, with a changing number of managers, broken links between them
 * and engines that start cold.
 */
class ColdFleetTest {

  private static final int MEMBERS = 12;
  private static final int ENGINES = 4;
  private static final long TASK_COST_MS = 250;
  private static final long STEP_MS = 50;
  private static final Settings.ColdStartLimit COLD_START_LIMIT =
      new Settings.ColdStartLimit(0.3, 10_000 * NANOS_PER_MS, 2, 1000 * NANOS_PER_MS);

  /** One process of a manager, from its start to its end. */
  private static final class Process {
    final long id;
    final ManagerHarness manager = new ManagerHarness();
    final BudgetDivisor budgetDivisor = new BudgetDivisor(MEMBERS - 1, 10_000 * NANOS_PER_MS);
    final long startedAtMs; // in ms of virtual time
    final ArrayDeque<String[]> openTasks = new ArrayDeque<>(); // id and end time of each open task
    // Engines whose restart the manager is told of in its next step, as its clock lags until then.
    final List<Integer> restartedEngines = new ArrayList<>();
    int seenActions;
    int tasks;

    Process(long id, long startedAtMs, long seed) {
      this.id = id;
      this.startedAtMs = startedAtMs;
      manager.seed = seed;
      manager.managerCount = MEMBERS;
      manager.coldStartLimit = COLD_START_LIMIT;
    }
  }

  private final Map<String, Process> processes = new HashMap<>();
  private final long[] startedAtMs = new long[ENGINES]; // ms of virtual time; 0 means long ago
  private final List<ArrayDeque<Long>> sends = new ArrayList<>();
  private int overloads;
  private int maxColdTasks; // the most tasks sent to a cold engine within the window
  private int minManagers = Integer.MAX_VALUE; // the lowest number of managers that one assumed

  private EngineEntry entry(int engine, Process process) {
    long start =
        startedAtMs[engine] == 0
            ? 0
            : Math.max(1, 100_000 + startedAtMs[engine] - process.startedAtMs);
    return ManagerHarness.engine("e" + engine, "small", engine, EngineEntry.State.READY, start);
  }

  private void simulate(long seed, boolean byView) {
    MembershipSimulation world =
        MembershipSimulation.startConverged(
            MEMBERS,
            MembershipConfig.defaults(List.of("m0", "m1")),
            seed,
            LinkConditions.GOOD.withLoss(0.1));
    SplittableRandom random = new SplittableRandom(seed);
    processes.clear();
    sends.clear();
    for (int i = 0; i < ENGINES; i++) {
      startedAtMs[i] = 0;
      sends.add(new ArrayDeque<>());
    }
    long from = world.now();
    int partitionKind = random.nextInt(3);
    world.schedule(
        from + 1000 * NANOS_PER_MS,
        () ->
            world.partition(
                (a, b) -> partitionKind == 0 || partitionKind == 1 && !a.zone().equals(b.zone())));
    for (int i = 0; i < 3; i++) {
      String address = "m" + random.nextInt(MEMBERS);
      world.schedule(
          from + random.nextLong(8000 * NANOS_PER_MS),
          () -> {
            if (world.node(address).running() && random.nextBoolean()) {
              world.shutDown(address);
            } else {
              world.kill(address);
            }
          });
      world.schedule(
          from + (9000 + random.nextLong(12_000)) * NANOS_PER_MS,
          () -> {
            if (!world.node(address).running()) {
              world.start(address);
            }
          });
    }
    for (int engine = 0; engine < ENGINES; engine++) {
      int restartedEngine = engine;
      world.schedule(
          from + (6000 + random.nextLong(14_000)) * NANOS_PER_MS,
          () -> {
            startedAtMs[restartedEngine] = world.now() / NANOS_PER_MS;
            sends.get(restartedEngine).clear();
            processes.values().forEach(process -> process.restartedEngines.add(restartedEngine));
          });
    }
    for (long at = from; at < from + 25_000 * NANOS_PER_MS; at += STEP_MS * NANOS_PER_MS) {
      world.runUntil(at);
      for (MembershipSimulation.Node node : world.nodes()) {
        if (node.running()) {
          step(world, node, byView, random);
        } else {
          processes.remove(node.name());
        }
      }
    }
  }

  private void step(
      MembershipSimulation world,
      MembershipSimulation.Node node,
      boolean byView,
      SplittableRandom random) {
    long now = world.now() / NANOS_PER_MS;
    Process process = processes.get(node.name());
    if (process == null || process.id != node.membership().self().instanceId()) {
      // The manager's clock reaches its first step at the end of this call.
      process =
          new Process(node.membership().self().instanceId(), now - STEP_MS, random.nextLong());
      processes.put(node.name(), process);
      EngineEntry[] all = new EngineEntry[ENGINES];
      for (int i = 0; i < ENGINES; i++) {
        all[i] = entry(i, process);
      }
      process.manager.listEngines(true, all);
    }
    node.membership().others().forEach(process.budgetDivisor::memberChanged);
    int by =
        byView
            ? node.membership().view().liveMembers()
            : process.budgetDivisor.update(world.now(), node.membership().view().liveMembers());
    minManagers = Math.min(minManagers, by);
    process.manager.setManagerCount(by).advance(STEP_MS);
    for (int engine : process.restartedEngines) {
      process.manager.listEngines(false, entry(engine, process));
    }
    process.restartedEngines.clear();
    while (!process.openTasks.isEmpty() && Long.parseLong(process.openTasks.peek()[1]) <= now) {
      process.manager.endForward(process.openTasks.poll()[0], 0, Outcome.OK);
    }
    for (int i = random.nextInt(4); i > 0; i--) {
      process.manager.submit("t" + process.tasks++ + " short a cost=" + TASK_COST_MS).decide();
    }
    for (; process.seenActions < process.manager.actions.size(); process.seenActions++) {
      String[] done = process.manager.actions.get(process.seenActions).split(" ");
      if (done[0].equals("forward")) {
        process.openTasks.add(new String[] {done[1], Long.toString(now + TASK_COST_MS)});
        recordForward(Integer.parseInt(done[2].substring(1)), now);
      }
    }
  }

  /**
   * Records a forward, and whether it overloads the engine: in a window, N tasks are allowed, plus
   * 3 square roots of N and 3 tasks.
   */
  private void recordForward(int engine, long now) {
    ArrayDeque<Long> window = sends.get(engine);
    window.add(now);
    while (window.peek() <= now - COLD_START_LIMIT.windowNanos() / NANOS_PER_MS) {
      window.poll();
    }
    double age =
        startedAtMs[engine] == 0
            ? 1
            : (now - startedAtMs[engine]) * NANOS_PER_MS / (double) COLD_START_LIMIT.warmUpNanos();
    if (age < 1) {
      maxColdTasks = Math.max(maxColdTasks, window.size());
      double allowed =
          COLD_START_LIMIT.overloadFactor()
              * (COLD_START_LIMIT.startCapacityFraction()
                  + (1 - COLD_START_LIMIT.startCapacityFraction()) * age)
              * 4
              * 1000
              / TASK_COST_MS;
      overloads += window.size() > allowed + 3 * Math.sqrt(allowed) + 3 ? 1 : 0;
    }
  }

  /**
   * Runs fifty random schedules in which links or zones are cut off, managers are killed, shut down
   * and restarted, and engines start cold.
   */
  @Test
  void coldEnginesAreNotOverloadedWhileTheManagerCountChanges() {
    for (long seed = 1; seed <= 50; seed++) {
      simulate(seed, false);
      assertThat(overloads).as("seed %d, at most %d", seed, maxColdTasks).isZero();
    }
    assertThat(maxColdTasks).isGreaterThan(10);
  }

  /**
   * The failure guarded against: managers that divide the budget by the managers they can reach.
   */
  @Test
  void countingOnlyReachableManagersOverloadsColdEngines() {
    for (long seed = 1; seed <= 20; seed++) {
      simulate(seed, true);
    }
    assertThat(overloads).isPositive();
    assertThat(minManagers).isEqualTo(1);
  }
}

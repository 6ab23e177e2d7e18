package tansytrack.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import tansytrack.lab.simulation.LinkConditions;
import tansytrack.lab.simulation.MembershipSimulation;

/** Tests the number by which a budget is divided, and that the shares never exceed the budget. */
class BudgetDivisorTest {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private static MemberState state(String name, MemberStatus status) {
    return new MemberState(name, name, "p", 1, 1, status, Stage.SERVING, "", "", "");
  }

  @Test
  void excludesOnlyMembersThatLeftAfterTheSettleTime() {
    BudgetDivisor divisor = new BudgetDivisor(9, 30 * NANOS_PER_SECOND);
    assertThat(divisor.update(0, 1)).isEqualTo(10);
    divisor.memberChanged(state("a", MemberStatus.DEAD));
    divisor.memberChanged(state("b", MemberStatus.LEFT));
    divisor.memberChanged(state("c", MemberStatus.LEFT));
    assertThat(divisor.update(NANOS_PER_SECOND, 1)).isEqualTo(10);
    // It returns within the settling time, so its share was never redistributed.
    divisor.memberChanged(state("c", MemberStatus.ALIVE));
    assertThat(divisor.update(20 * NANOS_PER_SECOND, 2)).isEqualTo(10);
    assertThat(divisor.update(31 * NANOS_PER_SECOND, 2)).isEqualTo(9);
    divisor.memberChanged(state("b", MemberStatus.ALIVE));
    assertThat(divisor.update(32 * NANOS_PER_SECOND, 3)).isEqualTo(10);
    assertThat(divisor.update(33 * NANOS_PER_SECOND, 14)).isEqualTo(14);
  }

  /** A member that leaves and returns within the settling time does not change the number. */
  @Test
  void flappingMemberDoesNotChangeTheDivisor() {
    BudgetDivisor divisor = new BudgetDivisor(9, 30 * NANOS_PER_SECOND);
    for (int i = 0; i < 100; i++) {
      divisor.memberChanged(state("a", i % 2 == 0 ? MemberStatus.LEFT : MemberStatus.ALIVE));
      assertThat(divisor.update(i * 10L * NANOS_PER_SECOND, 5)).isEqualTo(10);
    }
  }

  /**
   * Plays sixty seeded schedules of members that leave, are killed, restarted and partitioned. The
   * shares of all running members add up to one budget at most, except for members that returned
   * after the settling time and are not yet known to all.
   */
  @Test
  void sharesOfRunningMembersAddUpToOneAtMost() {
    int largerShares = 0;
    int completeSamples = 0;
    for (long seed = 1; seed <= 60; seed++) {
      int members = 12;
      MembershipSimulation simulation =
          MembershipSimulation.startConverged(
              members,
              MembershipConfig.defaults(List.of("m0", "m1")),
              seed,
              LinkConditions.GOOD.withLoss(0.1));
      Map<String, BudgetDivisor> divisors = new HashMap<>();
      Map<String, Long> instanceIds = new HashMap<>();
      SplittableRandom random = new SplittableRandom(seed);
      long start = simulation.now();
      for (int i = 0; i < 14; i++) {
        String address = "m" + random.nextInt(members);
        long at = start + random.nextLong(150 * NANOS_PER_SECOND);
        long restartAt = at + random.nextLong(80 * NANOS_PER_SECOND);
        switch (random.nextInt(4)) {
          case 0 -> simulation.schedule(at, () -> simulation.kill(address));
          case 1 ->
              simulation.schedule(
                  at,
                  () ->
                      simulation.partition(
                          (from, to) ->
                              from.zone().equals("place-1") != to.zone().equals("place-1")));
          case 2 -> simulation.schedule(at, () -> simulation.partition((from, to) -> false));
          default ->
              simulation.schedule(
                  at,
                  () -> {
                    if (simulation.node(address).running()) {
                      simulation.shutDown(address);
                    }
                  });
        }
        simulation.schedule(
            restartAt,
            () -> {
              if (!simulation.node(address).running()) {
                simulation.start(address);
              }
            });
      }
      while (simulation.now() < start + 240 * NANOS_PER_SECOND) {
        simulation.runUntil(simulation.now() + NANOS_PER_SECOND / 10);
        double shares = 0;
        int running = 0;
        int unknownToSome = 0;
        for (MembershipSimulation.Node node : simulation.nodes()) {
          if (node.running()) {
            if (!Long.valueOf(node.membership().self().instanceId())
                .equals(instanceIds.put(node.name(), node.membership().self().instanceId()))) {
              divisors.put(node.name(), new BudgetDivisor(members - 1, 30 * NANOS_PER_SECOND));
            }
            BudgetDivisor divisor = divisors.get(node.name());
            node.membership().others().forEach(divisor::memberChanged);
            int current = divisor.update(simulation.now(), node.membership().view().liveMembers());
            largerShares += current < members ? 1 : 0;
            shares += 1.0 / current;
            running++;
            unknownToSome += isKnownToAll(simulation, node) ? 0 : 1;
          }
        }
        assertThat(shares)
            .as("seed %d at %d", seed, simulation.now())
            .isLessThanOrEqualTo(
                unknownToSome < running
                    ? running / (double) (running - unknownToSome) + 1e-9
                    : running);
        completeSamples += unknownToSome == 0 ? 1 : 0;
      }
    }
    assertThat(largerShares)
        .as("samples in which a share was larger than that of all members")
        .isPositive();
    assertThat(completeSamples)
        .as("samples in which all members were known to all")
        .isGreaterThan(60 * 1000);
  }

  private static boolean isKnownToAll(
      MembershipSimulation simulation, MembershipSimulation.Node node) {
    for (MembershipSimulation.Node other : simulation.nodes()) {
      if (other != node
          && other.running()
          && other.membership().others().stream()
              .noneMatch(
                  state ->
                      state.name().equals(node.name())
                          && state.instanceId() == node.membership().self().instanceId()
                          && state.status() != MemberStatus.LEFT)) {
        return false;
      }
    }
    return true;
  }
}

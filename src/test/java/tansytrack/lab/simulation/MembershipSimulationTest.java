package tansytrack.lab.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import tansytrack.fleet.MemberStatus;
import tansytrack.fleet.MembershipConfig;
import tansytrack.fleet.Message;

/** Tests the membership over faulty links in virtual time. */
class MembershipSimulationTest {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MS;
  private static final MembershipConfig CONFIG =
      MembershipConfig.defaults(List.of("m0", "m1", "m2"));
  private static final LinkConditions BURSTY =
      new LinkConditions(0, 4, 0.02, 500_000L, 2 * NANOS_PER_MS);

  private static MembershipSimulation start(int members, long seed, double loss) {
    return MembershipSimulation.startConverged(members, CONFIG, seed, BURSTY.withLoss(loss));
  }

  private static long countObservations(
      MembershipSimulation simulation, MemberStatus status, long after) {
    return simulation.observations().stream()
        .filter(observation -> observation.at() > after && observation.status() == status)
        .count();
  }

  /**
   * Asserts that all running members that know the member have it as dead or left; returns the time
   * until the last one observed it.
   */
  private static long timeUntilKnownByAll(
      MembershipSimulation simulation, String name, MemberStatus status, long after) {
    long lastObservedAt =
        simulation.observations().stream()
            .filter(
                observation ->
                    observation.at() > after
                        && observation.member().equals(name)
                        && observation.status() == status)
            .mapToLong(MembershipSimulation.Observation::at)
            .max()
            .orElse(-1);
    for (MembershipSimulation.Node node : simulation.nodes()) {
      if (node.running()) {
        assertThat(node.membership().others().stream().filter(state -> state.name().equals(name)))
            .as("status that %s has of %s", node.name(), name)
            .allMatch(state -> state.status() == status);
      }
    }
    return lastObservedAt - after;
  }

  @ParameterizedTest(name = "{0} members, loss {1}: known dead within {2} ms")
  @CsvSource({"3, 0, 12000", "9, 0, 9000", "9, 0.1, 12000", "60, 0.1, 14000", "60, 0.3, 20000"})
  void allMembersDetectAKilledMember(int members, double loss, long limitMs) {
    for (long seed = 1; seed <= 5; seed++) {
      MembershipSimulation simulation = start(members, seed, loss);
      long start = simulation.now();
      simulation.kill("m2");
      simulation.runUntil(start + 30 * NANOS_PER_SECOND);
      assertThat(timeUntilKnownByAll(simulation, "n2", MemberStatus.DEAD, start))
          .as("seed %d", seed)
          .isBetween(0L, limitMs * NANOS_PER_MS);
    }
  }

  @ParameterizedTest
  @CsvSource({"9, 0.1", "60, 0.1", "30, 0.2"})
  void runningMembersAreNotDeclaredDead(int members, double loss) {
    for (long seed = 1; seed <= 5; seed++) {
      MembershipSimulation simulation = start(members, seed, loss);
      long start = simulation.now();
      simulation.runUntil(start + 120 * NANOS_PER_SECOND);
      assertThat(countObservations(simulation, MemberStatus.DEAD, start))
          .as("seed %d", seed)
          .isZero();
    }
  }

  /** A paused member must neither suspect all others on its return nor stay dead. */
  @ParameterizedTest
  @ValueSource(longs = {3, 10, 40})
  void pausedMemberDeclaresNobodyDead(long seconds) {
    for (long seed = 1; seed <= 5; seed++) {
      MembershipSimulation simulation = start(12, seed, 0.1);
      long start = simulation.now();
      simulation.pause("m5", seconds * NANOS_PER_SECOND);
      simulation.runUntil(start + seconds * NANOS_PER_SECOND + 60 * NANOS_PER_SECOND);
      assertThat(simulation.observations())
          .as("seed %d", seed)
          .noneMatch(
              observation ->
                  observation.at() > start
                      && observation.status() == MemberStatus.DEAD
                      && (observation.observer().equals("n5")
                          || !observation.member().equals("n5")));
      simulation.linkConditions(LinkConditions.GOOD);
      assertThat(simulation.runUntilConverged(20 * NANOS_PER_SECOND)).isNotNegative();
    }
  }

  @Test
  void memberThatCannotSendIsDeclaredDeadAndRaisesItsHealthScore() {
    MembershipSimulation simulation = start(9, 3, 0);
    long start = simulation.now();
    // n4 receives messages, but none of its own arrive.
    simulation.partition((sender, to) -> sender.name().equals("n4"));
    simulation.runUntil(start + 30 * NANOS_PER_SECOND);
    assertOthersCountEight(simulation, "n4");
    assertThat(simulation.node("m4").membership().healthScore()).isGreaterThan(3);
    simulation.partition((sender, to) -> false);
    assertThat(simulation.runUntilConverged(20 * NANOS_PER_SECOND)).isNotNegative();
  }

  private static void assertOthersCountEight(MembershipSimulation simulation, String name) {
    for (MembershipSimulation.Node node : simulation.nodes()) {
      if (!node.name().equals(name)) {
        assertThat(node.membership().view().liveMembers()).as(node.name()).isEqualTo(8);
      }
    }
  }

  /** One direction between two members is lost; indirect probes keep both alive. */
  @Test
  void oneWayPartitionOfALinkIsTolerated() {
    MembershipSimulation simulation = start(9, 4, 0);
    long start = simulation.now();
    simulation.partition((sender, to) -> sender.name().equals("n3") && to.name().equals("n4"));
    simulation.runUntil(start + 60 * NANOS_PER_SECOND);
    assertThat(countObservations(simulation, MemberStatus.DEAD, start)).isZero();
  }

  @ParameterizedTest
  @CsvSource({"9, 40, 0", "30, 60, 0.1", "60, 120, 0"})
  void partitionedZoneConvergesAfterHealing(int members, long seconds, double loss) {
    for (long seed = 1; seed <= 3; seed++) {
      MembershipSimulation simulation = start(members, seed, loss);
      simulation.partition(
          (sender, to) -> sender.zone().equals("place-0") != to.zone().equals("place-0"));
      simulation.runUntil(simulation.now() + seconds * NANOS_PER_SECOND);
      assertThat(simulation.node("m0").membership().view().liveMembers()).isEqualTo(members / 3);
      assertThat(simulation.node("m1").membership().view().liveMembers())
          .isEqualTo(members - members / 3);
      simulation.partition((sender, to) -> false);
      long healed = simulation.now();
      long duration = simulation.runUntilConverged(30 * NANOS_PER_SECOND);
      assertThat(duration).as("seed %d", seed).isBetween(0L, 20 * NANOS_PER_SECOND);
      assertThat(countObservations(simulation, MemberStatus.DEAD, healed))
          .as("deaths carried over from the other side of the partition, seed %d", seed)
          .isZero();
    }
  }

  @Test
  void memberPartitionedFromHalfOfItsPeersStaysAlive() {
    MembershipSimulation simulation = start(20, 5, 0);
    long start = simulation.now();
    Set<String> half =
        new HashSet<>(Set.of("n1", "n3", "n5", "n7", "n9", "n11", "n13", "n15", "n17"));
    simulation.partition(
        (sender, to) ->
            (sender.name().equals("n0") && half.contains(to.name()))
                || (to.name().equals("n0") && half.contains(sender.name())));
    simulation.runUntil(start + 60 * NANOS_PER_SECOND);
    assertThat(countObservations(simulation, MemberStatus.DEAD, start)).isZero();
  }

  @Test
  void convergesAfterSeventyPercentAreKilledAndRestarted() {
    MembershipSimulation simulation = start(30, 6, 0.1);
    long start = simulation.now();
    for (int i = 0; i < 21; i++) {
      String address = "m" + i;
      simulation.schedule(start + i * 45L * NANOS_PER_MS, () -> simulation.kill(address));
      simulation.schedule(
          start + 5 * NANOS_PER_SECOND + i * 45L * NANOS_PER_MS, () -> simulation.start(address));
    }
    simulation.runUntil(start + 6 * NANOS_PER_SECOND);
    simulation.linkConditions(LinkConditions.GOOD);
    assertThat(simulation.runUntilConverged(30 * NANOS_PER_SECOND)).isNotNegative();
  }

  @Test
  void rollingRestartConvergesWithoutDeaths() {
    MembershipSimulation simulation = start(30, 7, 0.05);
    long start = simulation.now();
    for (int i = 0; i < 30; i++) {
      String address = "m" + i;
      long at = start + i / 3 * 1500L * NANOS_PER_MS;
      simulation.schedule(at, () -> simulation.shutDown(address));
      simulation.schedule(at + 2 * NANOS_PER_SECOND, () -> simulation.start(address));
    }
    simulation.runUntil(start + 18 * NANOS_PER_SECOND);
    simulation.linkConditions(LinkConditions.GOOD);
    assertThat(simulation.runUntilConverged(20 * NANOS_PER_SECOND)).isNotNegative();
    assertThat(countObservations(simulation, MemberStatus.DEAD, start)).isZero();
  }

  @ParameterizedTest
  @ValueSource(longs = {-3600, 3600})
  void restartSupersedesOldInstanceDespiteClockStep(long step) {
    MembershipSimulation simulation = start(9, 8, 0);
    // Its incarnation grows with each pause.
    for (int i = 0; i < 5; i++) {
      simulation.pause("m4", 20 * NANOS_PER_SECOND);
      simulation.runUntil(simulation.now() + 30 * NANOS_PER_SECOND);
    }
    simulation.kill("m4");
    simulation.stepClock("m4", step * NANOS_PER_SECOND);
    simulation.start("m4");
    assertThat(simulation.runUntilConverged(10 * NANOS_PER_SECOND)).isNotNegative();
  }

  /** To the membership, a clock step looks like a pause or like time that stands still. */
  @ParameterizedTest
  @ValueSource(longs = {-3600, 3600})
  void clockStepDoesNotDeclareOthersDead(long step) {
    MembershipSimulation simulation = start(9, 9, 0);
    long start = simulation.now();
    simulation.stepClock("m4", step * NANOS_PER_SECOND);
    simulation.runUntil(start + 60 * NANOS_PER_SECOND);
    assertThat(simulation.observations())
        .noneMatch(
            observation ->
                observation.at() > start
                    && observation.status() == MemberStatus.DEAD
                    && !observation.member().equals("n4"));
  }

  @Test
  void memberAtAnotherMembersAddressIsNotConfusedWithIt() {
    MembershipSimulation simulation = start(9, 10, 0);
    simulation.kill("m4");
    simulation.kill("m5");
    MembershipSimulation.Node replaced = simulation.node("m4");
    simulation.replaceNode("m4", "n5");
    simulation.start("m4");
    simulation.runUntil(simulation.now() + 30 * NANOS_PER_SECOND);
    assertThat(replaced.name()).isEqualTo("n4");
    for (MembershipSimulation.Node node : simulation.nodes()) {
      if (node.running() && !node.address().equals("m4")) {
        assertThat(node.membership().others())
            .as(node.name())
            .anyMatch(
                state ->
                    state.name().equals("n5")
                        && state.status() == MemberStatus.ALIVE
                        && state.address().equals("m4"));
        assertThat(node.membership().others())
            .noneMatch(state -> state.name().equals("n4") && state.status().isLive());
      }
    }
  }

  @Test
  void bothProcessesReportANameConflictAndTheNameStaysLive() {
    MembershipSimulation simulation = start(9, 11, 0);
    long start = simulation.now();
    simulation.node("m9", "n4", "place-1");
    simulation.start("m9");
    simulation.runUntil(start + 60 * NANOS_PER_SECOND);
    assertThat(simulation.node("m4").nameConflicts).isBetween(1L, 2L);
    assertThat(simulation.node("m9").nameConflicts).isBetween(1L, 2L);
    assertThat(countObservations(simulation, MemberStatus.DEAD, start)).isZero();
    for (MembershipSimulation.Node node : simulation.nodes()) {
      assertThat(node.membership().view().liveMembers()).as(node.address()).isEqualTo(9);
    }
  }

  @Test
  void leavingIsAnnounced() {
    MembershipSimulation simulation = start(30, 12, 0.1);
    long start = simulation.now();
    simulation.shutDown("m7");
    simulation.runUntil(start + 20 * NANOS_PER_SECOND);
    assertThat(timeUntilKnownByAll(simulation, "n7", MemberStatus.LEFT, start))
        .isBetween(0L, 5 * NANOS_PER_SECOND);
    assertThat(countObservations(simulation, MemberStatus.DEAD, start)).isZero();
  }

  /** Messages sent before a restart are replayed after it in random order, three times over. */
  @Test
  void replayedMessagesFromBeforeARestartChangeNothing() {
    MembershipSimulation simulation = start(9, 13, 0.1);
    List<Message> old = List.copyOf(simulation.capturedMessages());
    simulation.kill("m4");
    simulation.runUntil(simulation.now() + 20 * NANOS_PER_SECOND);
    simulation.start("m4");
    simulation.linkConditions(LinkConditions.GOOD);
    assertThat(simulation.runUntilConverged(20 * NANOS_PER_SECOND)).isNotNegative();
    SplittableRandom random = new SplittableRandom(1);
    long start = simulation.now();
    for (int i = 0; i < 3 * old.size(); i++) {
      Message message = old.get(random.nextInt(old.size()));
      MembershipSimulation.Node to = simulation.node("m" + random.nextInt(9));
      simulation.schedule(
          start + random.nextLong(10 * NANOS_PER_SECOND),
          () -> simulation.deliver(message.sender().address(), to, message));
    }
    simulation.runUntil(start + 30 * NANOS_PER_SECOND);
    assertThat(simulation.hasConverged()).isTrue();
    assertThat(countObservations(simulation, MemberStatus.DEAD, start)).isZero();
  }

  @Test
  void joinsSeedsThatStartLater() {
    MembershipSimulation simulation = new MembershipSimulation(CONFIG, 14);
    for (int i = 0; i < 6; i++) {
      simulation.node("m" + i, "n" + i, "place-0");
    }
    simulation.start("m5");
    simulation.runUntil(30 * NANOS_PER_SECOND);
    assertThat(simulation.node("m5").membership().view().liveMembers()).isEqualTo(1);
    simulation.start("m1");
    assertThat(simulation.runUntilConverged(5 * NANOS_PER_SECOND)).isNotNegative();
  }

  @Test
  void factsReachAllMembersAndExpireWithTheirOwner() {
    MembershipSimulation simulation = start(20, 15, 0.2);
    MembershipSimulation.Node owner = simulation.node("m3");
    for (int i = 0; i < 60; i++) {
      long value = i;
      simulation.schedule(
          simulation.now() + i * NANOS_PER_SECOND,
          () -> simulation.publishFact(owner, "place", "north", value, 9 * NANOS_PER_SECOND));
    }
    simulation.runUntil(simulation.now() + 59 * NANOS_PER_SECOND);
    simulation.linkConditions(LinkConditions.GOOD);
    simulation.runUntil(simulation.now() + 4 * NANOS_PER_SECOND);
    for (MembershipSimulation.Node node : simulation.nodes()) {
      assertThat(node.membership().facts().ofKind(simulation.now(), "place"))
          .as(node.name())
          .singleElement()
          .satisfies(fact -> assertThat(fact.values()[0]).isEqualTo(59));
    }
    simulation.kill("m3");
    simulation.runUntil(simulation.now() + 9 * NANOS_PER_SECOND);
    for (MembershipSimulation.Node node : simulation.nodes()) {
      if (node.running()) {
        assertThat(node.membership().facts().ofKind(simulation.now(), "place"))
            .as(node.name())
            .isEmpty();
      }
    }
  }

  @Test
  void sendRateStaysWithinItsLimit() {
    MembershipSimulation simulation = start(60, 16, 0.3);
    simulation.nodes().forEach(node -> node.bytesSent = 0);
    simulation.runUntil(simulation.now() + 100 * NANOS_PER_SECOND);
    for (MembershipSimulation.Node node : simulation.nodes()) {
      assertThat(node.bytesSent / 100).as(node.name()).isLessThan(CONFIG.maxBytesPerSecond());
    }
    assertThat(simulation.capturedMessages())
        .allMatch(message -> message.maxEncodedBytes() <= CONFIG.maxMessageBytes());
  }

  @Test
  void equalSeedsGiveEqualRuns() {
    Set<Long> digests = new HashSet<>();
    for (int i = 0; i < 3; i++) {
      MembershipSimulation simulation = start(20, 17, 0.2);
      simulation.kill("m3");
      simulation.runUntil(simulation.now() + 30 * NANOS_PER_SECOND);
      digests.add(simulation.digest());
    }
    assertThat(digests).hasSize(1);
  }
}

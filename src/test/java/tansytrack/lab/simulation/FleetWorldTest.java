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

/** Memberships that talk over bad links, in virtual time. */
class FleetWorldTest {

  private static final long MS = 1_000_000L;
  private static final long SECOND = 1000 * MS;
  private static final MembershipConfig RULES =
      MembershipConfig.defaults(List.of("m0", "m1", "m2"));
  private static final LinkConditions BURSTS = new LinkConditions(0, 4, 0.02, 500_000L, 2 * MS);

  private static MembershipSimulation of(int members, long seed, double loss) {
    return MembershipSimulation.startConverged(members, RULES, seed, BURSTS.withLoss(loss));
  }

  private static long times(MembershipSimulation world, MemberStatus standing, long after) {
    return world.observations().stream()
        .filter(one -> one.at() > after && one.status() == standing)
        .count();
  }

  /** All that run hold it to be dead or gone; since when. */
  private static long knownGone(
      MembershipSimulation world, String name, MemberStatus how, long after) {
    long by =
        world.observations().stream()
            .filter(one -> one.at() > after && one.member().equals(name) && one.status() == how)
            .mapToLong(MembershipSimulation.Observation::at)
            .max()
            .orElse(-1);
    for (MembershipSimulation.Node node : world.nodes()) {
      if (node.running()) {
        assertThat(node.membership().others().stream().filter(word -> word.name().equals(name)))
            .as("what %s holds of %s", node.name(), name)
            .allMatch(word -> word.status() == how);
      }
    }
    return by - after;
  }

  @ParameterizedTest(name = "{0} members, loss {1}: known dead within {2} ms")
  @CsvSource({"3, 0, 12000", "9, 0, 9000", "9, 0.1, 12000", "60, 0.1, 14000", "60, 0.3, 20000"})
  void aKilledMemberIsKnownDeadByAll(int members, double loss, long within) {
    for (long seed = 1; seed <= 5; seed++) {
      MembershipSimulation world = of(members, seed, loss);
      long from = world.now();
      world.kill("m2");
      world.runUntil(from + 30 * SECOND);
      assertThat(knownGone(world, "n2", MemberStatus.DEAD, from))
          .as("seed %d", seed)
          .isBetween(0L, within * MS);
    }
  }

  @ParameterizedTest
  @CsvSource({"9, 0.1", "60, 0.1", "30, 0.2"})
  void nobodyWhoLivesIsDeclaredDead(int members, double loss) {
    for (long seed = 1; seed <= 5; seed++) {
      MembershipSimulation world = of(members, seed, loss);
      long from = world.now();
      world.runUntil(from + 120 * SECOND);
      assertThat(times(world, MemberStatus.DEAD, from)).as("seed %d", seed).isZero();
    }
  }

  /** It must neither accuse everybody at its return nor stay dead. */
  @ParameterizedTest
  @ValueSource(longs = {3, 10, 40})
  void aMemberThatWasStoppedAccusesNobody(long seconds) {
    for (long seed = 1; seed <= 5; seed++) {
      MembershipSimulation world = of(12, seed, 0.1);
      long from = world.now();
      world.pause("m5", seconds * SECOND);
      world.runUntil(from + seconds * SECOND + 60 * SECOND);
      assertThat(world.observations())
          .as("seed %d", seed)
          .noneMatch(
              one ->
                  one.at() > from
                      && one.status() == MemberStatus.DEAD
                      && (one.observer().equals("n5") || !one.member().equals("n5")));
      world.linkConditions(LinkConditions.GOOD);
      assertThat(world.runUntilConverged(20 * SECOND)).isNotNegative();
    }
  }

  @Test
  void aMemberWhoseLettersAllGetLostIsDeadToTheOthersAndOneThatHearsNothingDoubtsItself() {
    MembershipSimulation world = of(9, 3, 0);
    long from = world.now();
    world.partition((sender, to) -> sender.name().equals("n4")); // it hears, and is never heard
    world.runUntil(from + 30 * SECOND);
    knownGoneBut(world, "n4");
    assertThat(world.node("m4").membership().healthScore()).isGreaterThan(3);
    world.partition((sender, to) -> false);
    assertThat(world.runUntilConverged(20 * SECOND)).isNotNegative();
  }

  private static void knownGoneBut(MembershipSimulation world, String name) {
    for (MembershipSimulation.Node node : world.nodes()) {
      if (!node.name().equals(name)) {
        assertThat(node.membership().view().liveMembers()).as(node.name()).isEqualTo(8);
      }
    }
  }

  /** A hears B, B never hears A; all others hear both: helpers keep both there. */
  @Test
  void aLinkCutOneWayBringsNobodyDown() {
    MembershipSimulation world = of(9, 4, 0);
    long from = world.now();
    world.partition((sender, to) -> sender.name().equals("n3") && to.name().equals("n4"));
    world.runUntil(from + 60 * SECOND);
    assertThat(times(world, MemberStatus.DEAD, from)).isZero();
  }

  @ParameterizedTest
  @CsvSource({"9, 40, 0", "30, 60, 0.1", "60, 120, 0"})
  void aPlaceCutOffAndHealedComesTogetherAgain(int members, long seconds, double loss) {
    for (long seed = 1; seed <= 3; seed++) {
      MembershipSimulation world = of(members, seed, loss);
      world.partition(
          (sender, to) -> sender.zone().equals("place-0") != to.zone().equals("place-0"));
      world.runUntil(world.now() + seconds * SECOND);
      assertThat(world.node("m0").membership().view().liveMembers()).isEqualTo(members / 3);
      assertThat(world.node("m1").membership().view().liveMembers())
          .isEqualTo(members - members / 3);
      world.partition((sender, to) -> false);
      long healed = world.now();
      long took = world.runUntilConverged(30 * SECOND);
      assertThat(took).as("seed %d", seed).isBetween(0L, 20 * SECOND);
      assertThat(times(world, MemberStatus.DEAD, healed))
          .as("the dead of the other half, seed %d", seed)
          .isZero();
    }
  }

  @Test
  void aMemberCutOffFromHalfOfItsPeersStays() {
    MembershipSimulation world = of(20, 5, 0);
    long from = world.now();
    Set<String> half =
        new HashSet<>(Set.of("n1", "n3", "n5", "n7", "n9", "n11", "n13", "n15", "n17"));
    world.partition(
        (sender, to) ->
            (sender.name().equals("n0") && half.contains(to.name()))
                || (to.name().equals("n0") && half.contains(sender.name())));
    world.runUntil(from + 60 * SECOND);
    assertThat(times(world, MemberStatus.DEAD, from)).isZero();
  }

  @Test
  void sevenInTenKilledWithinASecondAndStartedAgain() {
    MembershipSimulation world = of(30, 6, 0.1);
    long from = world.now();
    for (int i = 0; i < 21; i++) {
      String address = "m" + i;
      world.schedule(from + i * 45L * MS, () -> world.kill(address));
      world.schedule(from + 5 * SECOND + i * 45L * MS, () -> world.start(address));
    }
    world.runUntil(from + 6 * SECOND);
    world.linkConditions(LinkConditions.GOOD);
    assertThat(world.runUntilConverged(30 * SECOND)).isNotNegative();
  }

  @Test
  void allStartedAgainInWavesAreKnownByTheirNewLives() {
    MembershipSimulation world = of(30, 7, 0.05);
    long from = world.now();
    for (int i = 0; i < 30; i++) {
      String address = "m" + i;
      long at = from + i / 3 * 1500L * MS;
      world.schedule(at, () -> world.shutDown(address));
      world.schedule(at + 2 * SECOND, () -> world.start(address));
    }
    world.runUntil(from + 18 * SECOND);
    world.linkConditions(LinkConditions.GOOD);
    assertThat(world.runUntilConverged(20 * SECOND)).isNotNegative();
    assertThat(times(world, MemberStatus.DEAD, from)).isZero();
  }

  @ParameterizedTest
  @ValueSource(longs = {-3600, 3600})
  void aRestartThatKnowsNothingWinsWhateverItsClockDid(long step) {
    MembershipSimulation world = of(9, 8, 0);
    for (int i = 0; i < 5; i++) { // its incarnation grows meanwhile
      world.pause("m4", 20 * SECOND);
      world.runUntil(world.now() + 30 * SECOND);
    }
    world.kill("m4");
    world.stepClock("m4", step * SECOND);
    world.start("m4");
    assertThat(world.runUntilConverged(10 * SECOND)).isNotNegative();
  }

  /** The pure part is told steady times; a step is as a stall, or as time standing still. */
  @ParameterizedTest
  @ValueSource(longs = {-3600, 3600})
  void aClockThatStepsWhileItRunsBringsNobodyElseDown(long step) {
    MembershipSimulation world = of(9, 9, 0);
    long from = world.now();
    world.stepClock("m4", step * SECOND);
    world.runUntil(from + 60 * SECOND);
    assertThat(world.observations())
        .noneMatch(
            one ->
                one.at() > from && one.status() == MemberStatus.DEAD && !one.member().equals("n4"));
  }

  @Test
  void aMemberAtAnothersAddressIsNotTakenForIt() {
    MembershipSimulation world = of(9, 10, 0);
    world.kill("m4");
    world.kill("m5");
    MembershipSimulation.Node there = world.node("m4");
    world.replaceNode("m4", "n5");
    world.start("m4");
    world.runUntil(world.now() + 30 * SECOND);
    assertThat(there.name()).isEqualTo("n4");
    for (MembershipSimulation.Node node : world.nodes()) {
      if (node.running() && !node.address().equals("m4")) {
        assertThat(node.membership().others())
            .as(node.name())
            .anyMatch(
                word ->
                    word.name().equals("n5")
                        && word.status() == MemberStatus.ALIVE
                        && word.address().equals("m4"));
        assertThat(node.membership().others())
            .noneMatch(word -> word.name().equals("n4") && word.status().isLive());
      }
    }
  }

  @Test
  void twoProcessesUnderOneNameBothSaySoAndTheNameStaysThere() {
    MembershipSimulation world = of(9, 11, 0);
    long from = world.now();
    world.node("m9", "n4", "place-1");
    world.start("m9");
    world.runUntil(from + 60 * SECOND);
    assertThat(world.node("m4").nameConflicts).isBetween(1L, 2L);
    assertThat(world.node("m9").nameConflicts).isBetween(1L, 2L);
    assertThat(times(world, MemberStatus.DEAD, from)).isZero();
    for (MembershipSimulation.Node node : world.nodes()) {
      assertThat(node.membership().view().liveMembers()).as(node.address()).isEqualTo(9);
    }
  }

  @Test
  void leavingIsToldNotFoundOut() {
    MembershipSimulation world = of(30, 12, 0.1);
    long from = world.now();
    world.shutDown("m7");
    world.runUntil(from + 20 * SECOND);
    assertThat(knownGone(world, "n7", MemberStatus.LEFT, from)).isBetween(0L, 5 * SECOND);
    assertThat(times(world, MemberStatus.DEAD, from)).isZero();
  }

  /**
   * What was on its way before a restart comes again behind it, in another order, three times over.
   */
  @Test
  void lettersOfBeforeARestartThatComeAgainChangeNothing() {
    MembershipSimulation world = of(9, 13, 0.1);
    List<Message> old = List.copyOf(world.capturedMessages());
    world.kill("m4");
    world.runUntil(world.now() + 20 * SECOND);
    world.start("m4");
    world.linkConditions(LinkConditions.GOOD);
    assertThat(world.runUntilConverged(20 * SECOND)).isNotNegative();
    SplittableRandom chance = new SplittableRandom(1);
    long from = world.now();
    for (int i = 0; i < 3 * old.size(); i++) {
      Message letter = old.get(chance.nextInt(old.size()));
      MembershipSimulation.Node to = world.node("m" + chance.nextInt(9));
      world.schedule(
          from + chance.nextLong(10 * SECOND),
          () -> world.deliver(letter.sender().address(), to, letter));
    }
    world.runUntil(from + 30 * SECOND);
    assertThat(world.hasConverged()).isTrue();
    assertThat(times(world, MemberStatus.DEAD, from)).isZero();
  }

  @Test
  void seedsThatAreDownAreJoinedWhenTheyComeUp() {
    MembershipSimulation world = new MembershipSimulation(RULES, 14);
    for (int i = 0; i < 6; i++) {
      world.node("m" + i, "n" + i, "place-0");
    }
    world.start("m5");
    world.runUntil(30 * SECOND);
    assertThat(world.node("m5").membership().view().liveMembers()).isEqualTo(1);
    world.start("m1");
    assertThat(world.runUntilConverged(5 * SECOND)).isNotNegative();
  }

  @Test
  void whatAMemberSaysComesToAllAndEndsWithIt() {
    MembershipSimulation world = of(20, 15, 0.2);
    MembershipSimulation.Node owner = world.node("m3");
    for (int i = 0; i < 60; i++) {
      long value = i;
      world.schedule(
          world.now() + i * SECOND,
          () -> world.publishFact(owner, "place", "north", value, 9 * SECOND));
    }
    world.runUntil(world.now() + 59 * SECOND);
    world.linkConditions(LinkConditions.GOOD);
    world.runUntil(world.now() + 4 * SECOND);
    for (MembershipSimulation.Node node : world.nodes()) {
      assertThat(node.membership().facts().ofKind(world.now(), "place"))
          .as(node.name())
          .singleElement()
          .satisfies(fact -> assertThat(fact.values()[0]).isEqualTo(59));
    }
    world.kill("m3");
    world.runUntil(world.now() + 9 * SECOND);
    for (MembershipSimulation.Node node : world.nodes()) {
      if (node.running()) {
        assertThat(node.membership().facts().ofKind(world.now(), "place"))
            .as(node.name())
            .isEmpty();
      }
    }
  }

  @Test
  void bytesStayWithinTheirBoundInTheWorstHour() {
    MembershipSimulation world = of(60, 16, 0.3);
    world.nodes().forEach(node -> node.bytesSent = 0);
    world.runUntil(world.now() + 100 * SECOND);
    for (MembershipSimulation.Node node : world.nodes()) {
      assertThat(node.bytesSent / 100).as(node.name()).isLessThan(RULES.maxBytesPerSecond());
    }
    assertThat(world.capturedMessages())
        .allMatch(letter -> letter.maxEncodedBytes() <= RULES.maxMessageBytes());
  }

  @Test
  void theSameSeedPlaysTheSameDay() {
    Set<Long> digests = new HashSet<>();
    for (int i = 0; i < 3; i++) {
      MembershipSimulation world = of(20, 17, 0.2);
      world.kill("m3");
      world.runUntil(world.now() + 30 * SECOND);
      digests.add(world.digest());
    }
    assertThat(digests).hasSize(1);
  }
}

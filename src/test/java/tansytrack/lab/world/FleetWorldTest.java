package tansytrack.lab.world;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import tansytrack.fleet.Letter;
import tansytrack.fleet.Rules;
import tansytrack.fleet.Standing;

/** Tests the membership over faulty links in virtual time. */
class FleetWorldTest {

  private static final long MS = 1_000_000L;
  private static final long SECOND = 1000 * MS;
  private static final Rules RULES = Rules.usual(List.of("m0", "m1", "m2"));
  private static final Weather BURSTS = new Weather(0, 4, 0.02, 500_000L, 2 * MS);

  private static FleetWorld of(int members, long seed, double loss) {
    return FleetWorld.of(members, RULES, seed, BURSTS.losing(loss));
  }

  private static long times(FleetWorld world, Standing standing, long after) {
    return world.seen().stream()
        .filter(one -> one.at() > after && one.standing() == standing)
        .count();
  }

  /**
   * Asserts that all running members that know the member have it as dead or left; returns the time
   * until the last one observed it.
   */
  private static long knownGone(FleetWorld world, String name, Standing how, long after) {
    long by =
        world.seen().stream()
            .filter(one -> one.at() > after && one.of().equals(name) && one.standing() == how)
            .mapToLong(FleetWorld.Seen::at)
            .max()
            .orElse(-1);
    for (FleetWorld.Node node : world.nodes()) {
      if (node.running()) {
        assertThat(node.fleet().others().stream().filter(word -> word.name().equals(name)))
            .as("status that %s has of %s", node.name(), name)
            .allMatch(word -> word.standing() == how);
      }
    }
    return by - after;
  }

  @ParameterizedTest(name = "{0} members, loss {1}: known dead within {2} ms")
  @CsvSource({"3, 0, 12000", "9, 0, 9000", "9, 0.1, 12000", "60, 0.1, 14000", "60, 0.3, 20000"})
  void aKilledMemberIsKnownDeadByAll(int members, double loss, long within) {
    for (long seed = 1; seed <= 5; seed++) {
      FleetWorld world = of(members, seed, loss);
      long from = world.now();
      world.kill("m2");
      world.run(from + 30 * SECOND);
      assertThat(knownGone(world, "n2", Standing.DEAD, from))
          .as("seed %d", seed)
          .isBetween(0L, within * MS);
    }
  }

  @ParameterizedTest
  @CsvSource({"9, 0.1", "60, 0.1", "30, 0.2"})
  void nobodyWhoLivesIsDeclaredDead(int members, double loss) {
    for (long seed = 1; seed <= 5; seed++) {
      FleetWorld world = of(members, seed, loss);
      long from = world.now();
      world.run(from + 120 * SECOND);
      assertThat(times(world, Standing.DEAD, from)).as("seed %d", seed).isZero();
    }
  }

  /** A paused member must neither suspect all others on its return nor stay dead. */
  @ParameterizedTest
  @ValueSource(longs = {3, 10, 40})
  void aMemberThatWasStoppedAccusesNobody(long seconds) {
    for (long seed = 1; seed <= 5; seed++) {
      FleetWorld world = of(12, seed, 0.1);
      long from = world.now();
      world.stop("m5", seconds * SECOND);
      world.run(from + seconds * SECOND + 60 * SECOND);
      assertThat(world.seen())
          .as("seed %d", seed)
          .noneMatch(
              one ->
                  one.at() > from
                      && one.standing() == Standing.DEAD
                      && (one.by().equals("n5") || !one.of().equals("n5")));
      world.weather(Weather.FINE);
      assertThat(world.untilAgreed(20 * SECOND)).isNotNegative();
    }
  }

  @Test
  void aMemberWhoseLettersAllGetLostIsDeadToTheOthersAndOneThatHearsNothingDoubtsItself() {
    FleetWorld world = of(9, 3, 0);
    long from = world.now();
    // n4 receives messages, but none of its own arrive.
    world.cut((sender, to) -> sender.name().equals("n4"));
    world.run(from + 30 * SECOND);
    knownGoneBut(world, "n4");
    assertThat(world.node("m4").fleet().health()).isGreaterThan(3);
    world.cut((sender, to) -> false);
    assertThat(world.untilAgreed(20 * SECOND)).isNotNegative();
  }

  private static void knownGoneBut(FleetWorld world, String name) {
    for (FleetWorld.Node node : world.nodes()) {
      if (!node.name().equals(name)) {
        assertThat(node.fleet().view().there()).as(node.name()).isEqualTo(8);
      }
    }
  }

  /** One direction between two members is lost; indirect probes keep both alive. */
  @Test
  void aLinkCutOneWayBringsNobodyDown() {
    FleetWorld world = of(9, 4, 0);
    long from = world.now();
    world.cut((sender, to) -> sender.name().equals("n3") && to.name().equals("n4"));
    world.run(from + 60 * SECOND);
    assertThat(times(world, Standing.DEAD, from)).isZero();
  }

  @ParameterizedTest
  @CsvSource({"9, 40, 0", "30, 60, 0.1", "60, 120, 0"})
  void aPlaceCutOffAndHealedComesTogetherAgain(int members, long seconds, double loss) {
    for (long seed = 1; seed <= 3; seed++) {
      FleetWorld world = of(members, seed, loss);
      world.cut((sender, to) -> sender.place().equals("place-0") != to.place().equals("place-0"));
      world.run(world.now() + seconds * SECOND);
      assertThat(world.node("m0").fleet().view().there()).isEqualTo(members / 3);
      assertThat(world.node("m1").fleet().view().there()).isEqualTo(members - members / 3);
      world.cut((sender, to) -> false);
      long healed = world.now();
      long took = world.untilAgreed(30 * SECOND);
      assertThat(took).as("seed %d", seed).isBetween(0L, 20 * SECOND);
      assertThat(times(world, Standing.DEAD, healed))
          .as("deaths carried over from the other side of the partition, seed %d", seed)
          .isZero();
    }
  }

  @Test
  void aMemberCutOffFromHalfOfItsPeersStays() {
    FleetWorld world = of(20, 5, 0);
    long from = world.now();
    Set<String> half =
        new HashSet<>(Set.of("n1", "n3", "n5", "n7", "n9", "n11", "n13", "n15", "n17"));
    world.cut(
        (sender, to) ->
            (sender.name().equals("n0") && half.contains(to.name()))
                || (to.name().equals("n0") && half.contains(sender.name())));
    world.run(from + 60 * SECOND);
    assertThat(times(world, Standing.DEAD, from)).isZero();
  }

  @Test
  void sevenInTenKilledWithinASecondAndStartedAgain() {
    FleetWorld world = of(30, 6, 0.1);
    long from = world.now();
    for (int i = 0; i < 21; i++) {
      String address = "m" + i;
      world.at(from + i * 45L * MS, () -> world.kill(address));
      world.at(from + 5 * SECOND + i * 45L * MS, () -> world.start(address));
    }
    world.run(from + 6 * SECOND);
    world.weather(Weather.FINE);
    assertThat(world.untilAgreed(30 * SECOND)).isNotNegative();
  }

  @Test
  void allStartedAgainInWavesAreKnownByTheirNewLives() {
    FleetWorld world = of(30, 7, 0.05);
    long from = world.now();
    for (int i = 0; i < 30; i++) {
      String address = "m" + i;
      long at = from + i / 3 * 1500L * MS;
      world.at(at, () -> world.end(address));
      world.at(at + 2 * SECOND, () -> world.start(address));
    }
    world.run(from + 18 * SECOND);
    world.weather(Weather.FINE);
    assertThat(world.untilAgreed(20 * SECOND)).isNotNegative();
    assertThat(times(world, Standing.DEAD, from)).isZero();
  }

  @ParameterizedTest
  @ValueSource(longs = {-3600, 3600})
  void aRestartThatKnowsNothingWinsWhateverItsClockDid(long step) {
    FleetWorld world = of(9, 8, 0);
    // Its incarnation grows with each pause.
    for (int i = 0; i < 5; i++) {
      world.stop("m4", 20 * SECOND);
      world.run(world.now() + 30 * SECOND);
    }
    world.kill("m4");
    world.step("m4", step * SECOND);
    world.start("m4");
    assertThat(world.untilAgreed(10 * SECOND)).isNotNegative();
  }

  /** To the membership, a clock step looks like a pause or like time that stands still. */
  @ParameterizedTest
  @ValueSource(longs = {-3600, 3600})
  void aClockThatStepsWhileItRunsBringsNobodyElseDown(long step) {
    FleetWorld world = of(9, 9, 0);
    long from = world.now();
    world.step("m4", step * SECOND);
    world.run(from + 60 * SECOND);
    assertThat(world.seen())
        .noneMatch(
            one -> one.at() > from && one.standing() == Standing.DEAD && !one.of().equals("n4"));
  }

  @Test
  void aMemberAtAnothersAddressIsNotTakenForIt() {
    FleetWorld world = of(9, 10, 0);
    world.kill("m4");
    world.kill("m5");
    FleetWorld.Node there = world.node("m4");
    world.rename("m4", "n5");
    world.start("m4");
    world.run(world.now() + 30 * SECOND);
    assertThat(there.name()).isEqualTo("n4");
    for (FleetWorld.Node node : world.nodes()) {
      if (node.running() && !node.address().equals("m4")) {
        assertThat(node.fleet().others())
            .as(node.name())
            .anyMatch(
                word ->
                    word.name().equals("n5")
                        && word.standing() == Standing.ALIVE
                        && word.address().equals("m4"));
        assertThat(node.fleet().others())
            .noneMatch(word -> word.name().equals("n4") && word.standing().there());
      }
    }
  }

  @Test
  void twoProcessesUnderOneNameBothSaySoAndTheNameStaysThere() {
    FleetWorld world = of(9, 11, 0);
    long from = world.now();
    world.node("m9", "n4", "place-1");
    world.start("m9");
    world.run(from + 60 * SECOND);
    assertThat(world.node("m4").twins).isBetween(1L, 2L);
    assertThat(world.node("m9").twins).isBetween(1L, 2L);
    assertThat(times(world, Standing.DEAD, from)).isZero();
    for (FleetWorld.Node node : world.nodes()) {
      assertThat(node.fleet().view().there()).as(node.address()).isEqualTo(9);
    }
  }

  @Test
  void leavingIsToldNotFoundOut() {
    FleetWorld world = of(30, 12, 0.1);
    long from = world.now();
    world.end("m7");
    world.run(from + 20 * SECOND);
    assertThat(knownGone(world, "n7", Standing.LEFT, from)).isBetween(0L, 5 * SECOND);
    assertThat(times(world, Standing.DEAD, from)).isZero();
  }

  /** Messages sent before a restart are replayed after it in random order, three times over. */
  @Test
  void lettersOfBeforeARestartThatComeAgainChangeNothing() {
    FleetWorld world = of(9, 13, 0.1);
    List<Letter> old = List.copyOf(world.wiretap());
    world.kill("m4");
    world.run(world.now() + 20 * SECOND);
    world.start("m4");
    world.weather(Weather.FINE);
    assertThat(world.untilAgreed(20 * SECOND)).isNotNegative();
    SplittableRandom chance = new SplittableRandom(1);
    long from = world.now();
    for (int i = 0; i < 3 * old.size(); i++) {
      Letter letter = old.get(chance.nextInt(old.size()));
      FleetWorld.Node to = world.node("m" + chance.nextInt(9));
      world.at(
          from + chance.nextLong(10 * SECOND),
          () -> world.deliver(letter.from().address(), to, letter));
    }
    world.run(from + 30 * SECOND);
    assertThat(world.agreed()).isTrue();
    assertThat(times(world, Standing.DEAD, from)).isZero();
  }

  @Test
  void seedsThatAreDownAreJoinedWhenTheyComeUp() {
    FleetWorld world = new FleetWorld(RULES, 14);
    for (int i = 0; i < 6; i++) {
      world.node("m" + i, "n" + i, "place-0");
    }
    world.start("m5");
    world.run(30 * SECOND);
    assertThat(world.node("m5").fleet().view().there()).isEqualTo(1);
    world.start("m1");
    assertThat(world.untilAgreed(5 * SECOND)).isNotNegative();
  }

  @Test
  void whatAMemberSaysComesToAllAndEndsWithIt() {
    FleetWorld world = of(20, 15, 0.2);
    FleetWorld.Node owner = world.node("m3");
    for (int i = 0; i < 60; i++) {
      long value = i;
      world.at(
          world.now() + i * SECOND, () -> world.tell(owner, "place", "north", value, 9 * SECOND));
    }
    world.run(world.now() + 59 * SECOND);
    world.weather(Weather.FINE);
    world.run(world.now() + 4 * SECOND);
    for (FleetWorld.Node node : world.nodes()) {
      assertThat(node.fleet().facts().of(world.now(), "place"))
          .as(node.name())
          .singleElement()
          .satisfies(fact -> assertThat(fact.values()[0]).isEqualTo(59));
    }
    world.kill("m3");
    world.run(world.now() + 9 * SECOND);
    for (FleetWorld.Node node : world.nodes()) {
      if (node.running()) {
        assertThat(node.fleet().facts().of(world.now(), "place")).as(node.name()).isEmpty();
      }
    }
  }

  @Test
  void bytesStayWithinTheirBoundInTheWorstHour() {
    FleetWorld world = of(60, 16, 0.3);
    world.nodes().forEach(node -> node.bytesSent = 0);
    world.run(world.now() + 100 * SECOND);
    for (FleetWorld.Node node : world.nodes()) {
      assertThat(node.bytesSent / 100).as(node.name()).isLessThan(RULES.bytesASecond());
    }
    assertThat(world.wiretap()).allMatch(letter -> letter.bytes() <= RULES.datagram());
  }

  @Test
  void theSameSeedPlaysTheSameDay() {
    Set<Long> digests = new HashSet<>();
    for (int i = 0; i < 3; i++) {
      FleetWorld world = of(20, 17, 0.2);
      world.kill("m3");
      world.run(world.now() + 30 * SECOND);
      digests.add(world.digest());
    }
    assertThat(digests).hasSize(1);
  }
}

package tansytrack.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;
import static tansytrack.fleet.MemberStatus.ALIVE;
import static tansytrack.fleet.MemberStatus.DEAD;
import static tansytrack.fleet.MemberStatus.LEFT;
import static tansytrack.fleet.MemberStatus.SUSPECT;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests a single membership and its parts, message by message. */
class MembershipTest {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final MembershipConfig CONFIG = MembershipConfig.defaults(List.of("a1"));

  private long now;
  private long messageNumber;
  private final Membership membership =
      new Membership(CONFIG, MemberState.initial("me", "a0", "here", 77, "1", "s"), 1, 0);

  private static MemberState state(
      String name, long instanceId, long incarnation, MemberStatus status) {
    return new MemberState(
        name, "a-" + name, "here", instanceId, incarnation, status, Stage.SERVING, "1", "s", "x");
  }

  private Message message(Message.Kind kind, MemberState sender, MemberState... updates) {
    return new Message(kind, ++messageNumber, 5, sender, "me", "", List.of(updates), List.of());
  }

  private List<Action> receive(MemberState sender, MemberState... updates) {
    return membership.receive(now, sender.address(), message(Message.Kind.PING, sender, updates));
  }

  private MemberStatus statusOf(String name) {
    return membership.others().stream()
        .filter(state -> state.name().equals(name))
        .map(MemberState::status)
        .findFirst()
        .orElse(null);
  }

  static Stream<Arguments> merges() {
    MemberState alive = state("b", 1, 5, ALIVE);
    return Stream.of(
        arguments("the same again", alive, alive, ALIVE, 5L),
        arguments("suspected", alive, state("b", 1, 5, SUSPECT), SUSPECT, 5L),
        arguments("suspected at an older incarnation", alive, state("b", 1, 4, SUSPECT), ALIVE, 5L),
        arguments("refuted", state("b", 1, 5, SUSPECT), state("b", 1, 6, ALIVE), ALIVE, 6L),
        arguments(
            "alive again at the same incarnation", state("b", 1, 5, SUSPECT), alive, SUSPECT, 5L),
        arguments("dead as reported by another member", alive, state("b", 1, 5, DEAD), SUSPECT, 5L),
        arguments("left", alive, state("b", 1, 6, LEFT), LEFT, 6L),
        arguments(
            "left, received late", state("b", 1, 7, ALIVE), state("b", 1, 6, LEFT), ALIVE, 7L),
        arguments("another instance, older incarnation", alive, state("b", 9, 4, ALIVE), ALIVE, 5L),
        arguments("another instance, newer incarnation", alive, state("b", 9, 6, ALIVE), ALIVE, 6L),
        arguments("unknown and dead", null, state("b", 1, 5, DEAD), null, 0L));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("merges")
  void mergesReceivedStates(
      String name,
      MemberState held,
      MemberState received,
      MemberStatus expected,
      long incarnation) {
    MemberState sender = state("c", 3, 1, ALIVE);
    if (held != null) {
      receive(sender, held);
    }
    receive(sender, received);
    assertThat(statusOf("b")).isEqualTo(expected);
    assertThat(
            membership.others().stream()
                .filter(state -> state.name().equals("b"))
                .mapToLong(MemberState::incarnation)
                .sum())
        .isEqualTo(incarnation);
    assertThat(membership.view().liveMembers())
        .isEqualTo(2 + (expected != null && expected.isLive() ? 1 : 0));
  }

  @Test
  void refutesItsDeathAndRaisesHealthScore() {
    MemberState claim =
        new MemberState("me", "a0", "here", 77, 4, DEAD, Stage.SERVING, "1", "s", "x");
    List<Action> actions = receive(state("b", 1, 1, ALIVE), claim);
    assertThat(membership.self().incarnation()).isEqualTo(5);
    assertThat(membership.healthScore()).isEqualTo(1);
    assertThat(actions.get(actions.size() - 1))
        .isInstanceOfSatisfying(
            Action.Send.class,
            send -> {
              assertThat(send.message().kind()).isEqualTo(Message.Kind.ACK);
              assertThat(send.message().sender()).isEqualTo(membership.self());
            });
  }

  @Test
  void doesNotAckPingForAnotherMember() {
    MemberState sender = state("b", 1, 1, ALIVE);
    List<Action> actions =
        membership.receive(
            now,
            "a-b",
            new Message(Message.Kind.PING, 1, 5, sender, "other", "", List.of(), List.of()));
    assertThat(actions)
        .filteredOn(Action.Send.class::isInstance)
        .singleElement()
        .isInstanceOfSatisfying(
            Action.Send.class, send -> assertThat(send.message().requestId()).isZero());
  }

  static Stream<Arguments> invalidStates() {
    MemberState valid = state("b", 1, 1, ALIVE);
    return Stream.of(
        arguments("no name", state("", 1, 1, ALIVE), valid),
        arguments("a name that sorts after all others", state("~b", 1, 1, ALIVE), valid),
        arguments("a name that is too long", state("b".repeat(65), 1, 1, ALIVE), valid),
        arguments("incarnation 0", state("b", 1, 0, ALIVE), valid),
        arguments("the maximum incarnation", state("b", 1, Long.MAX_VALUE, ALIVE), valid),
        arguments("no instance ID", state("b", 0, 1, ALIVE), valid),
        arguments("an invalid update", valid, state("c", 1, -1, ALIVE)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("invalidStates")
  void countsAndIgnoresInvalidMessages(String name, MemberState sender, MemberState update) {
    assertThat(receive(sender, update)).isEmpty();
    assertThat(membership.others()).isEmpty();
    assertThat(membership.counts()).containsEntry("unusable", 1L);
  }

  @Test
  void refusesMembersAboveTheMaximum() {
    for (int i = 0; i < CONFIG.maxMembers() + 10; i++) {
      receive(state("b" + i, 1, 1, ALIVE));
    }
    assertThat(membership.view().liveMembers()).isEqualTo(CONFIG.maxMembers() + 1);
    assertThat(membership.counts()).containsEntry("too_many", 10L);
  }

  /** A forged or faulty peer may send any message; the membership continues within its limits. */
  @Test
  void survivesRandomMessagesWithinItsLimits() {
    SplittableRandom random = new SplittableRandom(5);
    long sentBytes = 0;
    for (int i = 0; i < 100_000; i++) {
      now += random.nextLong(10 * NANOS_PER_MS);
      MemberState sender = randomState(random);
      Message message =
          new Message(
              Message.Kind.values()[random.nextInt(6)],
              random.nextLong(-5, 1000),
              random.nextLong(50),
              sender,
              random.nextBoolean() ? "me" : "b" + random.nextInt(40),
              random.nextBoolean() ? "" : "b" + random.nextInt(40),
              List.of(randomState(random), randomState(random)),
              List.of(
                  new Fact(
                      "b" + random.nextInt(40),
                      random.nextLong(1, 9),
                      random.nextLong(1, 4),
                      "k",
                      "s" + random.nextInt(9),
                      random.nextLong(9),
                      new long[random.nextInt(10)],
                      random.nextLong(-1, 2000 * NANOS_PER_MS),
                      1000 * NANOS_PER_MS)));
      List<Action> actions = new ArrayList<>(membership.receive(now, sender.address(), message));
      if (now >= membership.nextDeadline()) {
        actions.addAll(membership.tick(now));
      }
      for (Action action : actions) {
        if (action instanceof Action.Send send) {
          sentBytes += send.message().maxEncodedBytes();
          assertThat(send.message().maxEncodedBytes())
              .isLessThanOrEqualTo(CONFIG.maxMessageBytes() + 300);
        }
      }
      assertThat(membership.nextDeadline()).isGreaterThanOrEqualTo(0);
    }
    assertThat(membership.others()).hasSizeLessThanOrEqualTo(41);
    assertThat(sentBytes).isPositive();
  }

  private static MemberState randomState(SplittableRandom random) {
    String name = random.nextInt(50) == 0 ? "me" : "b" + random.nextInt(40);
    return state(
        name,
        random.nextLong(0, 4),
        random.nextLong(0, 50),
        MemberStatus.values()[random.nextInt(4)]);
  }

  @Test
  void replayWindowRejectsDuplicatesAndOldMessages() {
    ReplayWindow window = new ReplayWindow();
    assertThat(
            Stream.of(10L, 12L, 11L, 12L, 10L, 80L, 17L, 16L, 18L)
                .map(number -> window.accept(1, number)))
        .containsExactly(true, true, true, false, false, true, true, false, true);
    assertThat(window.accept(2, 3)).isTrue();
  }

  @Test
  void gossipQueuePrefersLeastTransmittedUpdates() {
    GossipQueue<String> queue = new GossipQueue<>(String::length);
    queue.put("a", "x".repeat(50));
    queue.put("b", "y".repeat(50));
    assertThat(queue.take(60, 2)).containsExactly("y".repeat(50));
    assertThat(queue.take(60, 2)).containsExactly("x".repeat(50));
    assertThat(queue.take(110, 2)).hasSize(2);
    assertThat(queue.take(110, 2)).isEmpty();
  }

  /** Merging facts is commutative, associative and idempotent. */
  @Property(tries = 300, seed = "9")
  void factMergeIsIndependentOfOrder(
      @ForAll @IntRange(min = 1, max = 30) int count, @ForAll long seed) {
    Random random = new Random(seed);
    List<Fact> facts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      long version = random.nextInt(4);
      facts.add(
          new Fact(
              "o" + random.nextInt(2),
              1 + version / 2,
              1,
              "k",
              "s" + random.nextInt(2),
              version,
              new long[] {version},
              random.nextInt(900) * NANOS_PER_MS,
              1000 * NANOS_PER_MS));
    }
    List<Fact> shuffled = new ArrayList<>(facts);
    shuffled.addAll(facts.subList(0, facts.size() / 2));
    Collections.shuffle(shuffled, random);
    assertThat(merged(shuffled)).isEqualTo(merged(facts));
  }

  private static List<Fact> merged(List<Fact> received) {
    FactStore store = new FactStore(100);
    received.forEach(fact -> store.merge(0, fact));
    return store.ofKind(0, "k");
  }
}

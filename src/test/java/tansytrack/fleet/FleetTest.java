package tansytrack.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

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

/** One membership and its parts, letter by letter. */
class FleetTest {

  private static final long MS = 1_000_000L;
  private static final MembershipConfig RULES = MembershipConfig.defaults(List.of("a1"));

  private long now;
  private long number;
  private final Membership fleet =
      new Membership(RULES, MemberState.initial("me", "a0", "here", 77, "1", "s"), 1, 0);

  private static MemberState word(String name, long life, long incarnation, MemberStatus standing) {
    return new MemberState(
        name, "a-" + name, "here", life, incarnation, standing, Stage.SERVING, "1", "s", "x");
  }

  private Message letter(Message.Kind kind, MemberState from, MemberState... words) {
    return new Message(kind, ++number, 5, from, "me", "", List.of(words), List.of());
  }

  private List<Action> hear(MemberState from, MemberState... words) {
    return fleet.receive(now, from.address(), letter(Message.Kind.PING, from, words));
  }

  private MemberStatus held(String name) {
    return fleet.others().stream()
        .filter(one -> one.name().equals(name))
        .map(MemberState::status)
        .findFirst()
        .orElse(null);
  }

  static Stream<Arguments> merges() {
    MemberState alive = word("b", 1, 5, MemberStatus.ALIVE);
    return Stream.of(
        arguments("the same again", alive, alive, MemberStatus.ALIVE, 5L),
        arguments(
            "suspected", alive, word("b", 1, 5, MemberStatus.SUSPECT), MemberStatus.SUSPECT, 5L),
        arguments(
            "suspected at an older one",
            alive,
            word("b", 1, 4, MemberStatus.SUSPECT),
            MemberStatus.ALIVE,
            5L),
        arguments(
            "refuted",
            word("b", 1, 5, MemberStatus.SUSPECT),
            word("b", 1, 6, MemberStatus.ALIVE),
            MemberStatus.ALIVE,
            6L),
        arguments(
            "alive again at the same",
            word("b", 1, 5, MemberStatus.SUSPECT),
            alive,
            MemberStatus.SUSPECT,
            5L),
        arguments(
            "dead by hearsay", alive, word("b", 1, 5, MemberStatus.DEAD), MemberStatus.SUSPECT, 5L),
        arguments("left", alive, word("b", 1, 6, MemberStatus.LEFT), MemberStatus.LEFT, 6L),
        arguments(
            "left, told late",
            word("b", 1, 7, MemberStatus.ALIVE),
            word("b", 1, 6, MemberStatus.LEFT),
            MemberStatus.ALIVE,
            7L),
        arguments(
            "another life, older",
            alive,
            word("b", 9, 4, MemberStatus.ALIVE),
            MemberStatus.ALIVE,
            5L),
        arguments(
            "another life, later",
            alive,
            word("b", 9, 6, MemberStatus.ALIVE),
            MemberStatus.ALIVE,
            6L),
        arguments("unknown and dead", null, word("b", 1, 5, MemberStatus.DEAD), null, 0L));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("merges")
  void whatIsHeldAfterAWord(
      String name, MemberState before, MemberState told, MemberStatus after, long incarnation) {
    MemberState teller = word("c", 3, 1, MemberStatus.ALIVE);
    if (before != null) {
      hear(teller, before);
    }
    hear(teller, told);
    assertThat(held("b")).isEqualTo(after);
    assertThat(
            fleet.others().stream()
                .filter(one -> one.name().equals("b"))
                .mapToLong(MemberState::incarnation)
                .sum())
        .isEqualTo(incarnation);
    assertThat(fleet.view().liveMembers()).isEqualTo(2 + (after != null && after.isLive() ? 1 : 0));
  }

  @Test
  void itRefutesWhatIsSaidOfItselfAndDoubtsItself() {
    MemberState of =
        new MemberState("me", "a0", "here", 77, 4, MemberStatus.DEAD, Stage.SERVING, "1", "s", "x");
    List<Action> done = hear(word("b", 1, 1, MemberStatus.ALIVE), of);
    assertThat(fleet.self().incarnation()).isEqualTo(5);
    assertThat(fleet.healthScore()).isEqualTo(1);
    assertThat(done.get(done.size() - 1))
        .isInstanceOfSatisfying(
            Action.Send.class,
            send -> {
              assertThat(send.message().kind()).isEqualTo(Message.Kind.ACK);
              assertThat(send.message().sender()).isEqualTo(fleet.self());
            });
  }

  @Test
  void aPingForAnotherIsNotAnsweredInItsName() {
    MemberState from = word("b", 1, 1, MemberStatus.ALIVE);
    List<Action> done =
        fleet.receive(
            now,
            "a-b",
            new Message(Message.Kind.PING, 1, 5, from, "other", "", List.of(), List.of()));
    assertThat(done)
        .filteredOn(Action.Send.class::isInstance)
        .singleElement()
        .isInstanceOfSatisfying(
            Action.Send.class, send -> assertThat(send.message().requestId()).isZero());
  }

  static Stream<Arguments> unusable() {
    MemberState good = word("b", 1, 1, MemberStatus.ALIVE);
    return Stream.of(
        arguments("no name", word("", 1, 1, MemberStatus.ALIVE), good),
        arguments("a name behind all others", word("~b", 1, 1, MemberStatus.ALIVE), good),
        arguments("a name too long", word("b".repeat(65), 1, 1, MemberStatus.ALIVE), good),
        arguments("incarnation 0", word("b", 1, 0, MemberStatus.ALIVE), good),
        arguments(
            "an incarnation without room", word("b", 1, Long.MAX_VALUE, MemberStatus.ALIVE), good),
        arguments("no life", word("b", 0, 1, MemberStatus.ALIVE), good),
        arguments("a word among others", good, word("c", 1, -1, MemberStatus.ALIVE)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("unusable")
  void whatCannotBeUsedIsCountedAndChangesNothing(String name, MemberState from, MemberState word) {
    assertThat(hear(from, word)).isEmpty();
    assertThat(fleet.others()).isEmpty();
    assertThat(fleet.counts()).containsEntry("unusable", 1L);
  }

  @Test
  void moreMembersThanMayBeKnownAreRefused() {
    for (int i = 0; i < RULES.maxMembers() + 10; i++) {
      hear(word("b" + i, 1, 1, MemberStatus.ALIVE));
    }
    assertThat(fleet.view().liveMembers()).isEqualTo(RULES.maxMembers() + 1);
    assertThat(fleet.counts()).containsEntry("too_many", 10L);
  }

  /** Guards against a forged or broken peer: whatever comes, it goes on, within its bounds. */
  @Test
  void aHundredThousandLettersOfChanceDoNoHarm() {
    SplittableRandom chance = new SplittableRandom(5);
    long sent = 0;
    for (int i = 0; i < 100_000; i++) {
      now += chance.nextLong(10 * MS);
      MemberState from = any(chance);
      Message any =
          new Message(
              Message.Kind.values()[chance.nextInt(6)],
              chance.nextLong(-5, 1000),
              chance.nextLong(50),
              from,
              chance.nextBoolean() ? "me" : "b" + chance.nextInt(40),
              chance.nextBoolean() ? "" : "b" + chance.nextInt(40),
              List.of(any(chance), any(chance)),
              List.of(
                  new Fact(
                      "b" + chance.nextInt(40),
                      chance.nextLong(1, 9),
                      chance.nextLong(1, 4),
                      "k",
                      "s" + chance.nextInt(9),
                      chance.nextLong(9),
                      new long[chance.nextInt(10)],
                      chance.nextLong(-1, 2000 * MS),
                      1000 * MS)));
      List<Action> done = new ArrayList<>(fleet.receive(now, from.address(), any));
      if (now >= fleet.nextDeadline()) {
        done.addAll(fleet.tick(now));
      }
      for (Action action : done) {
        if (action instanceof Action.Send send) {
          sent += send.message().maxEncodedBytes();
          assertThat(send.message().maxEncodedBytes())
              .isLessThanOrEqualTo(RULES.maxMessageBytes() + 300);
        }
      }
      assertThat(fleet.nextDeadline()).isGreaterThanOrEqualTo(0);
    }
    assertThat(fleet.others()).hasSizeLessThanOrEqualTo(41);
    assertThat(sent).isPositive();
  }

  private static MemberState any(SplittableRandom chance) {
    String name = chance.nextInt(50) == 0 ? "me" : "b" + chance.nextInt(40);
    return word(
        name,
        chance.nextLong(0, 4),
        chance.nextLong(0, 50),
        MemberStatus.values()[chance.nextInt(4)]);
  }

  @Test
  void eachLetterOfALifeCountsOnceAndOldOnesNotAtAll() {
    ReplayWindow numbers = new ReplayWindow();
    assertThat(
            Stream.of(10L, 12L, 11L, 12L, 10L, 80L, 17L, 16L, 18L)
                .map(one -> numbers.accept(1, one)))
        .containsExactly(true, true, true, false, false, true, true, false, true);
    assertThat(numbers.accept(2, 3)).isTrue();
  }

  @Test
  void rumoursGoOutLeastToldFirstSoOftenAndNoMore() {
    GossipQueue<String> rumours = new GossipQueue<>(String::length);
    rumours.put("a", "x".repeat(50));
    rumours.put("b", "y".repeat(50));
    assertThat(rumours.take(60, 2)).containsExactly("y".repeat(50));
    assertThat(rumours.take(60, 2)).containsExactly("x".repeat(50));
    assertThat(rumours.take(110, 2)).hasSize(2);
    assertThat(rumours.take(110, 2)).isEmpty();
  }

  /**
   * Merging facts is commutative, associative and idempotent: any order, with any of them twice,
   * ends in the same.
   */
  @Property(tries = 300, seed = "9")
  void factsMergeToTheSameInAnyOrder(
      @ForAll @IntRange(min = 1, max = 30) int count, @ForAll long seed) {
    Random chance = new Random(seed);
    List<Fact> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      long version = chance.nextInt(4);
      all.add(
          new Fact(
              "o" + chance.nextInt(2),
              1 + version / 2,
              1,
              "k",
              "s" + chance.nextInt(2),
              version,
              new long[] {version},
              chance.nextInt(900) * MS,
              1000 * MS));
    }
    List<Fact> again = new ArrayList<>(all);
    again.addAll(all.subList(0, all.size() / 2));
    Collections.shuffle(again, chance);
    assertThat(merged(again)).isEqualTo(merged(all));
  }

  private static List<Fact> merged(List<Fact> all) {
    FactStore facts = new FactStore(100);
    all.forEach(one -> facts.merge(0, one));
    return facts.ofKind(0, "k");
  }
}

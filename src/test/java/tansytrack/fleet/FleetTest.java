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

/** Tests a single membership and its parts, message by message. */
class FleetTest {

  private static final long MS = 1_000_000L;
  private static final Rules RULES = Rules.usual(List.of("a1"));

  private long now;
  private long number;
  private final Fleet fleet = new Fleet(RULES, Word.first("me", "a0", "here", 77, "1", "s"), 1, 0);

  private static Word word(String name, long life, long incarnation, Standing standing) {
    return new Word(
        name, "a-" + name, "here", life, incarnation, standing, Stage.SERVING, "1", "s", "x");
  }

  private Letter letter(Letter.Kind kind, Word from, Word... words) {
    return new Letter(kind, ++number, 5, from, "me", "", List.of(words), List.of());
  }

  private List<Action> hear(Word from, Word... words) {
    return fleet.heard(now, from.address(), letter(Letter.Kind.PING, from, words));
  }

  private Standing held(String name) {
    return fleet.others().stream()
        .filter(one -> one.name().equals(name))
        .map(Word::standing)
        .findFirst()
        .orElse(null);
  }

  static Stream<Arguments> merges() {
    Word alive = word("b", 1, 5, Standing.ALIVE);
    return Stream.of(
        arguments("the same again", alive, alive, Standing.ALIVE, 5L),
        arguments("suspected", alive, word("b", 1, 5, Standing.SUSPECT), Standing.SUSPECT, 5L),
        arguments(
            "suspected at an older one",
            alive,
            word("b", 1, 4, Standing.SUSPECT),
            Standing.ALIVE,
            5L),
        arguments(
            "refuted",
            word("b", 1, 5, Standing.SUSPECT),
            word("b", 1, 6, Standing.ALIVE),
            Standing.ALIVE,
            6L),
        arguments(
            "alive again at the same",
            word("b", 1, 5, Standing.SUSPECT),
            alive,
            Standing.SUSPECT,
            5L),
        arguments("dead by hearsay", alive, word("b", 1, 5, Standing.DEAD), Standing.SUSPECT, 5L),
        arguments("left", alive, word("b", 1, 6, Standing.LEFT), Standing.LEFT, 6L),
        arguments(
            "left, told late",
            word("b", 1, 7, Standing.ALIVE),
            word("b", 1, 6, Standing.LEFT),
            Standing.ALIVE,
            7L),
        arguments(
            "another life, older", alive, word("b", 9, 4, Standing.ALIVE), Standing.ALIVE, 5L),
        arguments(
            "another life, later", alive, word("b", 9, 6, Standing.ALIVE), Standing.ALIVE, 6L),
        arguments("unknown and dead", null, word("b", 1, 5, Standing.DEAD), null, 0L));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("merges")
  void whatIsHeldAfterAWord(String name, Word before, Word told, Standing after, long incarnation) {
    Word teller = word("c", 3, 1, Standing.ALIVE);
    if (before != null) {
      hear(teller, before);
    }
    hear(teller, told);
    assertThat(held("b")).isEqualTo(after);
    assertThat(
            fleet.others().stream()
                .filter(one -> one.name().equals("b"))
                .mapToLong(Word::incarnation)
                .sum())
        .isEqualTo(incarnation);
    assertThat(fleet.view().there()).isEqualTo(2 + (after != null && after.there() ? 1 : 0));
  }

  @Test
  void itRefutesWhatIsSaidOfItselfAndDoubtsItself() {
    Word of = new Word("me", "a0", "here", 77, 4, Standing.DEAD, Stage.SERVING, "1", "s", "x");
    List<Action> done = hear(word("b", 1, 1, Standing.ALIVE), of);
    assertThat(fleet.self().incarnation()).isEqualTo(5);
    assertThat(fleet.health()).isEqualTo(1);
    assertThat(done.get(done.size() - 1))
        .isInstanceOfSatisfying(
            Action.Send.class,
            send -> {
              assertThat(send.letter().kind()).isEqualTo(Letter.Kind.ACK);
              assertThat(send.letter().from()).isEqualTo(fleet.self());
            });
  }

  @Test
  void aPingForAnotherIsNotAnsweredInItsName() {
    Word from = word("b", 1, 1, Standing.ALIVE);
    List<Action> done =
        fleet.heard(
            now,
            "a-b",
            new Letter(Letter.Kind.PING, 1, 5, from, "other", "", List.of(), List.of()));
    assertThat(done)
        .filteredOn(Action.Send.class::isInstance)
        .singleElement()
        .isInstanceOfSatisfying(
            Action.Send.class, send -> assertThat(send.letter().sequence()).isZero());
  }

  static Stream<Arguments> unusable() {
    Word good = word("b", 1, 1, Standing.ALIVE);
    return Stream.of(
        arguments("no name", word("", 1, 1, Standing.ALIVE), good),
        arguments("a name behind all others", word("~b", 1, 1, Standing.ALIVE), good),
        arguments("a name too long", word("b".repeat(65), 1, 1, Standing.ALIVE), good),
        arguments("incarnation 0", word("b", 1, 0, Standing.ALIVE), good),
        arguments(
            "an incarnation without room", word("b", 1, Long.MAX_VALUE, Standing.ALIVE), good),
        arguments("no life", word("b", 0, 1, Standing.ALIVE), good),
        arguments("a word among others", good, word("c", 1, -1, Standing.ALIVE)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("unusable")
  void whatCannotBeUsedIsCountedAndChangesNothing(String name, Word from, Word word) {
    assertThat(hear(from, word)).isEmpty();
    assertThat(fleet.others()).isEmpty();
    assertThat(fleet.counts()).containsEntry("unusable", 1L);
  }

  @Test
  void moreMembersThanMayBeKnownAreRefused() {
    for (int i = 0; i < RULES.mostMembers() + 10; i++) {
      hear(word("b" + i, 1, 1, Standing.ALIVE));
    }
    assertThat(fleet.view().there()).isEqualTo(RULES.mostMembers() + 1);
    assertThat(fleet.counts()).containsEntry("too_many", 10L);
  }

  /** A forged or faulty peer may send any message; the membership continues within its limits. */
  @Test
  void aHundredThousandLettersOfChanceDoNoHarm() {
    SplittableRandom chance = new SplittableRandom(5);
    long sent = 0;
    for (int i = 0; i < 100_000; i++) {
      now += chance.nextLong(10 * MS);
      Word from = any(chance);
      Letter any =
          new Letter(
              Letter.Kind.values()[chance.nextInt(6)],
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
      List<Action> done = new ArrayList<>(fleet.heard(now, from.address(), any));
      if (now >= fleet.due()) {
        done.addAll(fleet.tick(now));
      }
      for (Action action : done) {
        if (action instanceof Action.Send send) {
          sent += send.letter().bytes();
          assertThat(send.letter().bytes()).isLessThanOrEqualTo(RULES.datagram() + 300);
        }
      }
      assertThat(fleet.due()).isGreaterThanOrEqualTo(0);
    }
    assertThat(fleet.others()).hasSizeLessThanOrEqualTo(41);
    assertThat(sent).isPositive();
  }

  private static Word any(SplittableRandom chance) {
    String name = chance.nextInt(50) == 0 ? "me" : "b" + chance.nextInt(40);
    return word(
        name, chance.nextLong(0, 4), chance.nextLong(0, 50), Standing.values()[chance.nextInt(4)]);
  }

  @Test
  void eachLetterOfALifeCountsOnceAndOldOnesNotAtAll() {
    Numbers numbers = new Numbers();
    assertThat(
            Stream.of(10L, 12L, 11L, 12L, 10L, 80L, 17L, 16L, 18L)
                .map(one -> numbers.fresh(1, one)))
        .containsExactly(true, true, true, false, false, true, true, false, true);
    assertThat(numbers.fresh(2, 3)).isTrue();
  }

  @Test
  void rumoursGoOutLeastToldFirstSoOftenAndNoMore() {
    Rumours<String> rumours = new Rumours<>(String::length);
    rumours.put("a", "x".repeat(50));
    rumours.put("b", "y".repeat(50));
    assertThat(rumours.take(60, 2)).containsExactly("y".repeat(50));
    assertThat(rumours.take(60, 2)).containsExactly("x".repeat(50));
    assertThat(rumours.take(110, 2)).hasSize(2);
    assertThat(rumours.take(110, 2)).isEmpty();
  }

  /** Merging facts is commutative, associative and idempotent. */
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
    Facts facts = new Facts(100);
    all.forEach(one -> facts.merge(0, one));
    return facts.of(0, "k");
  }
}

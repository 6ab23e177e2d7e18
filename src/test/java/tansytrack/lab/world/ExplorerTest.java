package tansytrack.lab.world;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import tansytrack.fleet.Letter;

/**
 * Every order of letters, losses, doubles, one cut, one kill and one restart of three members, as
 * deep as the time of a build allows.
 */
class ExplorerTest {

  @Test
  void fromEveryStateReachedTheyComeToAgree() {
    Explorer.Found found = new Explorer((to, letter) -> letter).explore(7, 3000);
    assertThat(found.broken()).as("choices that lead to a state without agreement").isNull();
    assertThat(found.states()).isGreaterThan(1000);
  }

  /**
   * A variant whose members never hear what is said of themselves: who was once declared dead stays
   * so, and that is found.
   */
  @Test
  void aVariantWithoutRefutationIsCaught() {
    Explorer.Found found =
        new Explorer(
                (to, letter) ->
                    new Letter(
                        letter.kind(),
                        letter.number(),
                        letter.sequence(),
                        letter.from(),
                        letter.about(),
                        letter.next(),
                        letter.words().stream().filter(word -> !word.name().equals(to)).toList(),
                        letter.facts()))
            .explore(7, 3000);
    assertThat(found.broken()).isNotNull();
  }
}

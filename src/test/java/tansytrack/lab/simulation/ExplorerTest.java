package tansytrack.lab.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import tansytrack.fleet.Message;

/**
 * Every order of letters, losses, doubles, one cut, one kill and one restart of three members, as
 * deep as the time of a build allows.
 */
class ExplorerTest {

  @Test
  void fromEveryStateReachedTheyComeToAgree() {
    MembershipModelChecker.Result found =
        new MembershipModelChecker((to, letter) -> letter).explore(7, 3000);
    assertThat(found.counterexample())
        .as("choices that lead to a state without agreement")
        .isNull();
    assertThat(found.states()).isGreaterThan(1000);
  }

  /**
   * A variant whose members never hear what is said of themselves: who was once declared dead stays
   * so, and that is found.
   */
  @Test
  void aVariantWithoutRefutationIsCaught() {
    MembershipModelChecker.Result found =
        new MembershipModelChecker(
                (to, letter) ->
                    new Message(
                        letter.kind(),
                        letter.messageNumber(),
                        letter.requestId(),
                        letter.sender(),
                        letter.targetOrStartKey(),
                        letter.nextKey(),
                        letter.updates().stream().filter(word -> !word.name().equals(to)).toList(),
                        letter.facts()))
            .explore(7, 3000);
    assertThat(found.counterexample()).isNotNull();
  }
}

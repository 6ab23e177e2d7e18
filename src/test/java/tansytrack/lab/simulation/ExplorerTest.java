package tansytrack.lab.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import tansytrack.fleet.Message;

/**
 * Model checks a membership of three under reordering, loss and duplication of messages, one
 * partition, one kill and one restart, to a depth that keeps the build short.
 */
class ExplorerTest {

  @Test
  void fromEveryStateReachedTheyComeToAgree() {
    MembershipModelChecker.Result found =
        new MembershipModelChecker((to, letter) -> letter).explore(7, 3000);
    assertThat(found.counterexample())
        .as("choices that lead to a state that does not converge")
        .isNull();
    assertThat(found.states()).isGreaterThan(1000);
  }

  /**
   * If members never receive claims about themselves, they cannot refute their death. The checker
   * must find a state that does not converge.
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

package tansytrack.lab.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import tansytrack.fleet.Message;

/**
 * Model checks a membership of three under reordering, loss and duplication of messages, one
 * partition, one kill and one restart, to a depth that keeps the build short.
 */
class MembershipModelCheckerTest {

  @Test
  void everyReachableStateConverges() {
    MembershipModelChecker.Result result =
        new MembershipModelChecker((to, message) -> message).explore(7, 3000);
    assertThat(result.counterexample())
        .as("choices that lead to a state that does not converge")
        .isNull();
    assertThat(result.states()).isGreaterThan(1000);
  }

  /**
   * If members never receive claims about themselves, they cannot refute their death. The checker
   * must find a state that does not converge.
   */
  @Test
  void findsCounterexampleWithoutRefutation() {
    MembershipModelChecker.Result result =
        new MembershipModelChecker(
                (to, message) ->
                    new Message(
                        message.kind(),
                        message.messageNumber(),
                        message.requestId(),
                        message.sender(),
                        message.targetOrStartKey(),
                        message.nextKey(),
                        message.updates().stream()
                            .filter(update -> !update.name().equals(to))
                            .toList(),
                        message.facts()))
            .explore(7, 3000);
    assertThat(result.counterexample()).isNotNull();
  }
}

package tansytrack.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tansytrack.wire.MemoryBudget.Purpose;

class MemoryBudgetTest {

  private static final long LIMIT = 1000;

  private final List<Runnable> actions = new ArrayList<>();
  private final List<String> granted = new ArrayList<>();
  private final MemoryBudget budget = new MemoryBudget(LIMIT, actions::add);

  private MemoryBudget.Request request(String name, long bytes) {
    return budget.reserve(Purpose.RESULT, bytes, reservation -> granted.add(name));
  }

  private void runActions() {
    List<Runnable> due = new ArrayList<>(actions);
    actions.clear();
    due.forEach(Runnable::run);
  }

  @Test
  void whatDoesNotFitWaitsInOrder() {
    MemoryBudget.Reservation held = budget.tryReserve(Purpose.RESULT, LIMIT);
    request("large", 700);
    request("small", 200);
    runActions();
    assertThat(granted).isEmpty();
    held.release();
    held.release(); // has no effect a second time
    runActions();
    assertThat(granted).containsExactly("large", "small");
    assertThat(budget.held()).isEqualTo(900);
    assertThat(budget.mostHeld()).isEqualTo(LIMIT);
  }

  /** Guards against a large request that is overtaken for ever. */
  @Test
  void nothingOvertakesARequestThatWaits() {
    budget.tryReserve(Purpose.RESULT, 500);
    request("large", 700);
    assertThat(budget.tryReserve(Purpose.RESULT, 100)).isNull();
  }

  @Test
  void aWithdrawnRequestHoldsNothing() {
    MemoryBudget.Reservation held = budget.tryReserve(Purpose.RESULT, LIMIT);
    MemoryBudget.Request waiting = request("waiting", 400);
    MemoryBudget.Request delivered = request("granted", 400);
    waiting.cancel();
    held.release();
    delivered.cancel(); // granted, and its action has not run yet
    runActions();
    assertThat(granted).isEmpty();
    assertThat(budget.held()).isZero();
    assertThat(budget.waiting()).isZero();
  }

  @Test
  void messagesGetHalfOfTheMemory() {
    assertThat(budget.tryReserve(Purpose.MESSAGE, LIMIT / 2)).isNotNull();
    assertThat(budget.tryReserve(Purpose.MESSAGE, 1)).isNull();
    assertThat(budget.tryReserve(Purpose.RESULT, LIMIT / 2)).isNotNull();
  }

  /** Guards against a request that could never be granted. */
  @Test
  void whatIsLargerThanTheBudgetGetsAllOfIt() {
    request("huge", 10 * LIMIT);
    runActions();
    assertThat(granted).containsExactly("huge");
    assertThat(budget.held()).isEqualTo(LIMIT);
  }
}

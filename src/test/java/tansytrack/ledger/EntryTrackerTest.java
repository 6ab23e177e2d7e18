package tansytrack.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the updates made of tasks' events, and which of them are handed over to the writer. */
class EntryTrackerTest {

  private static final long NANOS_PER_MS = 1_000_000L;
  private final EntryTracker entries =
      new EntryTracker(
          (grade, end, time) -> end == TaskEnd.HANDLED && time < 10 * NANOS_PER_MS ? 2000 : 0);
  private final WriteFlowControl flow = new WriteFlowControl(7, 4, 100 * NANOS_PER_MS);
  private final List<String> released = new ArrayList<>();

  private LedgerUpdate rejectedTaskUpdate(long number) {
    entries.taskAccepted(0, "t" + number, "a", "g");
    return entries.taskAnswered(1, "t" + number, TaskEnd.BOUNCED, 0);
  }

  @Test
  void entryIsCompleteAfterAnswerAndLastForward() {
    entries.taskAccepted(5, "t", "a", "g");
    entries.forwardSent(6, "t", 0, "e", 64);
    entries.forwardSent(7, "t", 1, "f", 0);
    assertThat(entries.forwardEnded(8, "t", 0, "RESET", 0, 0, false))
        .isEqualTo(
            new LedgerUpdate.ForwardEnded(
                1, new Use(0, "e", 6, 8, "RESET", 0, 0, 64, true), false));
    assertThat(entries.taskAnswered(9, "t", TaskEnd.ABANDONED, 0).complete()).isFalse();
    assertThat(entries.openTasks()).isEqualTo(1);
    assertThat(entries.forwardEnded(10, "t", 1, "OK", 3, 2.6, false))
        .isEqualTo(
            new LedgerUpdate.ForwardEnded(1, new Use(1, "f", 7, 10, "OK", 3, 3, 0, true), true));
    assertThat(entries.openTasks()).isZero();
    assertThat(entries.forwardEnded(11, "t", 1, "OK", 3, 2.6, false)).as("ended twice").isNull();
  }

  @Test
  void handledTaskHasEarningsAndNoWaste() {
    entries.taskAccepted(0, "t", "a", "g");
    entries.forwardSent(1, "t", 0, "e", 8);
    assertThat(
            ((LedgerUpdate.ForwardEnded) entries.forwardEnded(2, "t", 0, "OK", 9, 1, true))
                .use()
                .wasted())
        .isFalse();
    LedgerUpdate.TaskAnswered update =
        (LedgerUpdate.TaskAnswered) entries.taskAnswered(3, "t", TaskEnd.HANDLED, 40);
    assertThat(update.complete()).isTrue();
    assertThat(update.earningsMilli()).isEqualTo(2000);
    entries.taskAccepted(4, "late", "a", "g");
    assertThat(
            ((LedgerUpdate.TaskAnswered)
                    entries.taskAnswered(4 + 10 * NANOS_PER_MS, "late", TaskEnd.HANDLED, 0))
                .earningsMilli())
        .isZero();
  }

  @Test
  void updatesBeyondBoundBecomeOneGap() {
    for (int i = 1; i <= 4; i++) {
      assertThat(flow.offer(i, rejectedTaskUpdate(i))).hasSize(1);
    }
    for (int i = 5; i <= 7; i++) {
      assertThat(flow.offer(i * NANOS_PER_MS, rejectedTaskUpdate(i))).isEmpty();
    }
    flow.markDurable(1);
    assertThat(flow.offer(8 * NANOS_PER_MS, rejectedTaskUpdate(8)))
        .as("no room for the gap and the update")
        .isEmpty();
    assertThat(flow.openGapUpdates()).isEqualTo(4);
    flow.markDurable(2);
    List<LedgerUpdate> updates = flow.offer(9 * NANOS_PER_MS, rejectedTaskUpdate(9));
    assertThat(updates)
        .hasSize(2)
        .first()
        .isEqualTo(
            new LedgerUpdate.UpdatesLost(
                new Gap(
                    7,
                    1,
                    5,
                    8,
                    5 * NANOS_PER_MS,
                    9 * NANOS_PER_MS,
                    4,
                    "the disk did not keep up")));
    assertThat(flow.unwritten()).isEqualTo(4);
  }

  @Test
  void updateWithoutNumberDoesNotExtendGap() {
    for (int i = 1; i <= 4; i++) {
      flow.offer(i, rejectedTaskUpdate(i));
    }
    LedgerUpdate runReported =
        new LedgerUpdate.RunReported(new Reconciliation.Run("e", "t", 1, true));
    flow.offer(5, runReported);
    flow.offer(6, rejectedTaskUpdate(5));
    flow.offer(7, runReported);
    flow.markDurable(4);
    assertThat(flow.flushGap(8))
        .containsExactly(
            new LedgerUpdate.UpdatesLost(new Gap(7, 1, 5, 5, 5, 8, 3, "the disk did not keep up")));
  }

  @Test
  void openGapIsFlushedWithoutFurtherTask() {
    for (int i = 1; i <= 5; i++) {
      flow.offer(i, rejectedTaskUpdate(i));
    }
    assertThat(flow.flushGap(10)).isEmpty();
    flow.markDurable(4);
    assertThat(flow.flushGap(11)).hasSize(1);
    assertThat(flow.flushGap(12)).isEmpty();
    assertThat(flow.gapCount()).isEqualTo(1);
  }

  @Test
  void answersWaitForCommitInOrderUpToMaximumTime() {
    flow.hold(0, () -> released.add("nothing to wait for"));
    flow.offer(1, rejectedTaskUpdate(1));
    flow.hold(1, () -> released.add("first"));
    flow.offer(2, rejectedTaskUpdate(2));
    flow.hold(2, () -> released.add("second"));
    assertThat(released).containsExactly("nothing to wait for");
    flow.markDurable(1);
    assertThat(released).containsExactly("nothing to wait for", "first");
    assertThat(flow.releaseOverdue(3)).isEqualTo(2 + 100 * NANOS_PER_MS);
    assertThat(flow.releaseOverdue(2 + 100 * NANOS_PER_MS)).isZero();
    assertThat(released).endsWith("second");
    assertThat(flow.releasedBeforeCommit()).isEqualTo(1);
  }

  @Test
  void acceptsTasksWhileThereIsRoomForTheirUpdates() {
    WriteFlowControl largeFlow = new WriteFlowControl(7, 12, NANOS_PER_MS);
    assertThat(largeFlow.acceptsTask(0)).isTrue();
    assertThat(largeFlow.acceptsTask(1)).isTrue();
    assertThat(largeFlow.acceptsTask(2)).isFalse();
    for (int i = 1; i <= 13; i++) {
      largeFlow.offer(i, rejectedTaskUpdate(i));
      assertThat(largeFlow.acceptsTask(0)).as("with %d updates", i).isEqualTo(i <= 7);
    }
    largeFlow.markDurable(12);
    assertThat(largeFlow.acceptsTask(0)).as("a gap is open").isFalse();
    assertThat(largeFlow.flushGap(20)).hasSize(1);
    assertThat(largeFlow.acceptsTask(0)).isTrue();
  }

  @Test
  void nothingIsHeldWhileGapIsOpen() {
    for (int i = 1; i <= 5; i++) {
      flow.offer(i, rejectedTaskUpdate(i));
    }
    flow.hold(6, () -> released.add("at once"));
    assertThat(released).containsExactly("at once");
    assertThat(flow.releasedBeforeCommit()).isEqualTo(1);
  }
}

package tansytrack.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the updates made of tasks' events, and which of them are handed over to the writer. */
class EntryTrackerTest {

  private static final long MS = 1_000_000L;
  private final EntryTracker entries =
      new EntryTracker((grade, end, time) -> end == End.HANDLED && time < 10 * MS ? 2000 : 0);
  private final WriteFlowControl flow = new WriteFlowControl(7, 4, 100 * MS);
  private final List<String> said = new ArrayList<>();

  private Line bounced(long number) {
    entries.taken(0, "t" + number, "a", "g");
    return entries.answered(1, "t" + number, End.BOUNCED, 0);
  }

  @Test
  void anEntryIsCompleteWithItsAnswerOnceNothingIsOut() {
    entries.taken(5, "t", "a", "g");
    entries.sent(6, "t", 0, "e", 64);
    entries.sent(7, "t", 1, "f", 0);
    assertThat(entries.ended(8, "t", 0, "RESET", 0, 0, false))
        .isEqualTo(new Line.Ended(1, new Use(0, "e", 6, 8, "RESET", 0, 0, 64, true), false));
    assertThat(entries.answered(9, "t", End.ABANDONED, 0).complete()).isFalse();
    assertThat(entries.openTasks()).isEqualTo(1);
    assertThat(entries.ended(10, "t", 1, "OK", 3, 2.6, false))
        .isEqualTo(new Line.Ended(1, new Use(1, "f", 7, 10, "OK", 3, 3, 0, true), true));
    assertThat(entries.openTasks()).isZero();
    assertThat(entries.ended(11, "t", 1, "OK", 3, 2.6, false)).as("ended twice").isNull();
  }

  @Test
  void aServedTaskEarnsAndItsForwardIsNoWaste() {
    entries.taken(0, "t", "a", "g");
    entries.sent(1, "t", 0, "e", 8);
    assertThat(((Line.Ended) entries.ended(2, "t", 0, "OK", 9, 1, true)).use().wasted()).isFalse();
    Line.Answered line = (Line.Answered) entries.answered(3, "t", End.HANDLED, 40);
    assertThat(line.complete()).isTrue();
    assertThat(line.earningsMilli()).isEqualTo(2000);
    entries.taken(4, "late", "a", "g");
    assertThat(
            ((Line.Answered) entries.answered(4 + 10 * MS, "late", End.HANDLED, 0)).earningsMilli())
        .isZero();
  }

  @Test
  void beyondTheBoundLinesAreCountedAsOneNumberedGap() {
    for (int i = 1; i <= 4; i++) {
      assertThat(flow.offer(i, bounced(i))).hasSize(1);
    }
    for (int i = 5; i <= 7; i++) {
      assertThat(flow.offer(i * MS, bounced(i))).isEmpty();
    }
    flow.durable(1);
    assertThat(flow.offer(8 * MS, bounced(8))).as("no room for the gap and the update").isEmpty();
    assertThat(flow.uncounted()).isEqualTo(4);
    flow.durable(2);
    List<Line> out = flow.offer(9 * MS, bounced(9));
    assertThat(out)
        .hasSize(2)
        .first()
        .isEqualTo(
            new Line.Missing(new Gap(7, 1, 5, 8, 5 * MS, 9 * MS, 4, "the disk did not keep up")));
    assertThat(flow.unwritten()).isEqualTo(4);
  }

  @Test
  void aLineWithoutANumberDoesNotWidenTheGap() {
    for (int i = 1; i <= 4; i++) {
      flow.offer(i, bounced(i));
    }
    Line told = new Line.Told(new Reconciliation.Run("e", "t", 1, true));
    flow.offer(5, told);
    flow.offer(6, bounced(5));
    flow.offer(7, told);
    flow.durable(4);
    assertThat(flow.idle(8))
        .containsExactly(
            new Line.Missing(new Gap(7, 1, 5, 5, 5, 8, 3, "the disk did not keep up")));
  }

  @Test
  void anOpenGapGoesOutWithoutAFurtherTask() {
    for (int i = 1; i <= 5; i++) {
      flow.offer(i, bounced(i));
    }
    assertThat(flow.idle(10)).isEmpty();
    flow.durable(4);
    assertThat(flow.idle(11)).hasSize(1);
    assertThat(flow.idle(12)).isEmpty();
    assertThat(flow.gaps()).isEqualTo(1);
  }

  @Test
  void answersWaitForTheirLineInOrderAndNoLongerThanThePatience() {
    flow.hold(0, () -> said.add("nothing to wait for"));
    flow.offer(1, bounced(1));
    flow.hold(1, () -> said.add("first"));
    flow.offer(2, bounced(2));
    flow.hold(2, () -> said.add("second"));
    assertThat(said).containsExactly("nothing to wait for");
    flow.durable(1);
    assertThat(said).containsExactly("nothing to wait for", "first");
    assertThat(flow.overdue(3)).isEqualTo(2 + 100 * MS);
    assertThat(flow.overdue(2 + 100 * MS)).isZero();
    assertThat(said).endsWith("second");
    assertThat(flow.answeredUndurable()).isEqualTo(1);
  }

  @Test
  void tasksAreLetInWhileTheirLinesHaveRoom() {
    WriteFlowControl wide = new WriteFlowControl(7, 12, MS);
    assertThat(wide.admits(0)).isTrue();
    assertThat(wide.admits(1)).isTrue();
    assertThat(wide.admits(2)).isFalse();
    for (int i = 1; i <= 13; i++) {
      wide.offer(i, bounced(i));
      assertThat(wide.admits(0)).as("with %d updates", i).isEqualTo(i <= 7);
    }
    wide.durable(12);
    assertThat(wide.admits(0)).as("a gap is open").isFalse();
    assertThat(wide.idle(20)).hasSize(1);
    assertThat(wide.admits(0)).isTrue();
  }

  @Test
  void withAGapOpenNothingWaits() {
    for (int i = 1; i <= 5; i++) {
      flow.offer(i, bounced(i));
    }
    flow.hold(6, () -> said.add("at once"));
    assertThat(said).containsExactly("at once");
    assertThat(flow.answeredUndurable()).isEqualTo(1);
  }
}

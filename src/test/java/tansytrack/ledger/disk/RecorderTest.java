package tansytrack.ledger.disk;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tansytrack.api.Grade;
import tansytrack.api.Outcome;
import tansytrack.api.TaskOffer;
import tansytrack.ledger.End;
import tansytrack.ledger.Gap;
import tansytrack.ledger.Merged;
import tansytrack.operator.OperatorFile;
import tansytrack.state.TaskWatch;
import tansytrack.state.Timers;

/** Tests the ledger of a running manager on a disk that is full or slow for a while. */
class RecorderTest {

  private static final long MS = 1_000_000L;
  private static final Grade GRADE =
      new Grade(
          "g",
          Grade.Repeat.HARMLESS,
          Grade.Scope.ALL,
          0,
          10 * MS,
          1,
          100 * MS,
          1,
          0,
          false,
          Set.of(),
          Set.of(),
          1,
          false,
          false);

  @TempDir Path folder;
  private final Timers timers = new Timers();
  private final LinkedBlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
  private final List<String> said = new ArrayList<>();
  private volatile String fault = "";
  private int tasks;

  private Recorder start(String more) throws IOException {
    timers.now(MS);
    return Recorder.start(
        OperatorFile.of("f", "ledger { folder: '" + folder + "' " + more + " }").ledger(),
        "m",
        List.of(GRADE),
        timers,
        inbox::add,
        step -> {
          if (fault.equals("full") && step.startsWith("lines")) {
            throw new IOException("no space left on device");
          }
          if (fault.equals("slow") && step.equals("lines commit")) {
            pause();
          }
        });
  }

  private static void pause() {
    try {
      Thread.sleep(2000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void task(Recorder to) {
    String id = "t" + ++tasks;
    to.taken(timers.now(), new TaskOffer(id, "g", "a", null, 0, 0, 0, 0));
    to.sent(timers.now(), id, 0, "e", 8, () -> said.add("sent " + id));
    to.ended(timers.now(), id, 0, Outcome.OK, 5, 1, true);
    to.answered(timers.now(), id, TaskWatch.End.HANDLED, 10, () -> said.add("answered " + id));
  }

  /** Runs the actions in the inbox of the event loop until the condition holds. */
  private void until(BooleanSupplier so) throws InterruptedException {
    while (!so.getAsBoolean()) {
      Runnable note = inbox.poll(10, TimeUnit.MILLISECONDS);
      if (note != null) {
        note.run();
      }
    }
  }

  private Merged read() throws IOException {
    return LedgerFiles.merged(List.of(folder));
  }

  @Test
  void whatADiskDoesNotTakeIsCountedAsAGapAndTasksGoOn() throws IOException, InterruptedException {
    Recorder recorder = start("most_unwritten: 64");
    fault = "full";
    for (int i = 0; i < 100; i++) {
      task(recorder);
    }
    assertThat(said).as("no forward or answer waits").hasSize(200);
    assertThat(recorder.unwritten()).isEqualTo(64);
    fault = "";
    until(() -> recorder.unwritten() == 0);
    task(recorder);
    recorder.close();
    Merged all = read();
    assertThat(all.gaps())
        .singleElement()
        .satisfies(
            gap -> {
              assertThat(gap.lines()).isEqualTo(300 - 64);
              assertThat(gap.lastSequence()).isEqualTo(100);
            });
    assertThat(all.holes()).isEmpty();
    assertThat(all.entries()).containsKey(new Merged.Key("m", 1, 101));
    Gap gap = all.gaps().get(0);
    for (long number = 1; number <= 101; number++) {
      assertThat(all.entries().containsKey(new Merged.Key("m", 1, number)) || gap.covers(number))
          .isTrue();
    }
  }

  @Test
  void answersAndForwardsWaitForTheCommitAndNoLongerThanAllowed()
      throws IOException, InterruptedException {
    Recorder recorder = start("answers: AFTER_COMMIT forwards: AFTER_COMMIT most_wait_ms: 50");
    fault = "full";
    task(recorder);
    assertThat(said).isEmpty();
    timers.now(timers.now() + 49 * MS);
    timers.run();
    assertThat(said).isEmpty();
    timers.now(timers.now() + MS);
    timers.run();
    assertThat(said).containsExactly("sent t1", "answered t1");
    fault = "";
    task(recorder);
    until(() -> said.size() == 4);
    assertThat(said).endsWith("sent t2", "answered t2");
    recorder.close();
    assertThat(read().entries()).hasSize(2);
  }

  @Test
  void whereTheFileSaysSoNoTaskIsLetInThatCouldNotBeKept()
      throws IOException, InterruptedException {
    Recorder recorder = start("most_unwritten: 64 when_full: BOUNCE");
    fault = "full";
    while (recorder.admits()) {
      task(recorder);
    }
    assertThat(tasks).isEqualTo(20);
    fault = "";
    until(recorder::admits);
    recorder.close();
    assertThat(read().entries()).hasSize(20);
    assertThat(read().gaps()).isEmpty();
  }

  /** The updates of rejected tasks must not use the room that accepted tasks still need. */
  @Test
  void tasksThatWereLetInAreKeptHoweverManyAreBounced() throws IOException, InterruptedException {
    Recorder recorder = start("most_unwritten: 64 when_full: BOUNCE");
    fault = "full";
    int open = 0;
    for (; recorder.admits(); open++) {
      recorder.taken(timers.now(), new TaskOffer("in" + open, "g", "a", null, 0, 0, 0, 0));
      recorder.sent(timers.now(), "in" + open, 0, "e", 8, () -> {});
    }
    for (int i = 0; i < 100; i++) {
      recorder.taken(timers.now(), new TaskOffer("out" + i, "g", "a", null, 0, 0, 0, 0));
      recorder.answered(timers.now(), "out" + i, TaskWatch.End.BOUNCED, 0, () -> {});
    }
    for (int i = 0; i < open; i++) {
      recorder.ended(timers.now(), "in" + i, 0, Outcome.OK, 5, 1, true);
      recorder.answered(timers.now(), "in" + i, TaskWatch.End.HANDLED, 10, () -> {});
    }
    fault = "";
    until(() -> recorder.unwritten() == 0);
    recorder.close();
    assertThat(open).isGreaterThan(5);
    for (long number = 1; number <= open; number++) {
      assertThat(read().entries().get(new Merged.Key("m", 1, number)))
          .singleElement()
          .satisfies(one -> assertThat(one.end()).isEqualTo(End.HANDLED));
    }
    assertThat(read().holes()).isEmpty();
  }

  @Test
  void aDiskThatIsSlowBySecondsHoldsUpNoTaskForLongerThanAllowedAndLosesNothing()
      throws IOException, InterruptedException {
    Recorder recorder = start("answers: AFTER_COMMIT most_wait_ms: 50");
    fault = "slow";
    long from = System.nanoTime();
    task(recorder);
    Thread.sleep(100); // By now the writer thread is in the first commit.
    for (int i = 0; i < 20; i++) {
      task(recorder);
    }
    assertThat(System.nanoTime() - from).as("time in the event loop").isLessThan(1_000 * MS);
    timers.now(timers.now() + 50 * MS);
    timers.run();
    assertThat(said).filteredOn(one -> one.startsWith("answered")).hasSize(21);
    fault = "";
    until(() -> recorder.unwritten() == 0);
    recorder.close();
    assertThat(read().entries()).hasSize(21);
    assertThat(read().gaps()).isEmpty();
  }

  @Test
  void refusalsNeverWaitAndTheEndReleasesWhatDoes() throws IOException {
    Recorder recorder = start("answers: AFTER_COMMIT most_wait_ms: 10000");
    fault = "full";
    recorder.taken(timers.now(), new TaskOffer("b", "g", "a", null, 0, 0, 0, 0));
    recorder.answered(timers.now(), "b", TaskWatch.End.BOUNCED, 0, () -> said.add("bounced"));
    task(recorder);
    assertThat(said).containsExactly("bounced", "sent t1");
    fault = "";
    recorder.close();
    assertThat(said).endsWith("answered t1");
    assertThat(read().entries()).hasSize(2);
  }
}

package tansytrack.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests merging, reconciliation and the invariants of ledgers. */
class MergedTest {

  private static Entry entry(long epoch, long number, long bytes, Use... uses) {
    return new Entry(
        epoch,
        number,
        "t" + epoch + '-' + number,
        "a",
        "g",
        1,
        2,
        End.HANDLED,
        bytes,
        0,
        List.of(uses));
  }

  @Provide
  Arbitrary<Merged> ledgers() {
    Arbitrary<Entry> entries =
        Combinators.combine(
                Arbitraries.longs().between(1, 2),
                Arbitraries.longs().between(1, 6),
                Arbitraries.longs().between(0, 1))
            .as((epoch, number, bytes) -> entry(epoch, number, bytes));
    Arbitrary<Gap> gaps =
        Combinators.combine(Arbitraries.longs().between(1, 2), Arbitraries.longs().between(1, 3))
            .as((epoch, first) -> new Gap(epoch, first, first, first + 1, 0, 1, 2, "full"));
    return Combinators.combine(
            Arbitraries.of("m", "n"), entries.list().ofMaxSize(8), gaps.list().ofMaxSize(2))
        .as(
            (manager, all, missing) -> {
              Merged made = new Merged();
              all.forEach(one -> made.add(manager, one));
              missing.forEach(one -> made.add(manager, one));
              return made;
            });
  }

  private static Merged merged(Merged... parts) {
    Merged all = new Merged();
    for (Merged one : parts) {
      all.add(one);
    }
    return all;
  }

  @Property(tries = 300, seed = "7")
  void orderRepetitionAndGroupingMakeNoDifference(
      @ForAll("ledgers") Merged one,
      @ForAll("ledgers") Merged two,
      @ForAll("ledgers") Merged three) {
    assertThat(merged(merged(one, two), three)).isEqualTo(merged(one, merged(two, three)));
    assertThat(merged(one, two)).isEqualTo(merged(two, one));
    assertThat(merged(one, two, one)).isEqualTo(merged(one, two));
    assertThat(merged(one, two).holes()).isEqualTo(merged(two, one).holes());
  }

  @Property(tries = 300, seed = "8")
  void everyNumberIsThereInAGapOrInAHole(@ForAll("ledgers") Merged merged) {
    List<String> accounted = new ArrayList<>();
    merged.entries().keySet().forEach(key -> accounted.add(key.epoch() + ":" + key.sequence()));
    for (Merged.Hole hole : merged.holes()) {
      for (long number = hole.first(); number <= hole.last(); number++) {
        assertThat(accounted).doesNotContain(hole.epoch() + ":" + number);
        accounted.add(hole.epoch() + ":" + number);
      }
    }
    for (Merged.Key key : merged.entries().keySet()) {
      for (long number = 1; number < key.sequence(); number++) {
        long at = number;
        assertThat(
                accounted.contains(key.epoch() + ":" + number)
                    || merged.gaps().stream()
                        .anyMatch(gap -> gap.epoch() == key.epoch() && gap.covers(at)))
            .isTrue();
      }
    }
  }

  @Test
  void whatIsSaidDifferentlyIsAContradictionWithBothKept() {
    Merged all = new Merged();
    all.add("m", entry(1, 1, 5));
    all.add("m", entry(1, 1, 6));
    all.add("n", entry(1, 1, 7));
    assertThat(all.contradictions()).containsExactly(new Merged.Key("m", 1, 1));
    assertThat(all.entries().get(new Merged.Key("m", 1, 1))).hasSize(2);
  }

  @ParameterizedTest
  @CsvSource(
      nullValues = "-",
      value = {
        "OK, 5:true, -",
        "OK, -, in the ledger only",
        "OK, 6:true, work differs",
        "UNREACHED, -, -",
        "RESET, -, -",
        "RESET, 5:false, -",
        "UNKNOWN, 5:true, resolved by the engine",
        "UNKNOWN, -, -",
        "ERROR, -, in the ledger only",
        "none, 5:true, at the engine only",
        "OK, 5:true 5:true, at the engine only"
      })
  void eachForwardIsMatchedWithARun(String outcome, String runs, String finding) {
    Reconciliation all = new Reconciliation();
    all.stated("e");
    Use use = new Use(0, "e", 1, 2, outcome, 5, 0, 0, false);
    all.take(
        outcome.equals("none")
            ? entry(1, 2, 0)
            : entry(1, 1, 0, use, new Use(1, "unstated", 1, 2, "OK", 5, 0, 0, true)));
    for (String run : runs == null ? new String[0] : runs.split(" ")) {
      all.take(
          new Reconciliation.Run(
              "e", "t1-1", Long.parseLong(run.split(":")[0]), run.endsWith("true")));
    }
    if (finding == null) {
      assertThat(all.findings()).isEmpty();
      assertThat(all.agreed()).isEqualTo(1);
    } else {
      assertThat(all.findings())
          .singleElement()
          .extracting(Reconciliation.Finding::kind)
          .isEqualTo(finding);
      assertThat(all.findings().get(0).fault()).isEqualTo(!finding.startsWith("resolved"));
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"1,3 | position 2 is missing", "1,2 | none"})
  void positionsRunWithoutAHole(String positions, String breach) {
    Invariants checks = new Invariants();
    for (String one : positions.split(",")) {
      checks.line(Long.parseLong(one), entry(1, Long.parseLong(one), 0));
    }
    checks.batch(1, 1, 2, "x", "x");
    assertThat(checks.breach() == null ? "none" : checks.breach()).contains(breach);
    checks.batch(2, 4, 5, "x", "x");
    assertThat(checks.breach()).isNotNull();
  }

  @Test
  void theFirstBreachIsSaid() {
    Invariants checks = new Invariants();
    checks.line(
        1,
        entry(
            1,
            1,
            0,
            new Use(0, "e", 1, 2, "OK", 0, 0, 0, false),
            new Use(1, "f", 1, 2, "OK", 0, 0, 0, false)));
    checks.line(2, entry(1, 2, 0, new Use(0, "e", 1, 0, "", 0, 0, 0, true)));
    checks.batch(1, 1, 2, "sealed", "other");
    checks.closed("2026-01", "then", "now");
    assertThat(checks.breach()).isEqualTo("entry 1:1 was served by 2 forwards");
  }
}

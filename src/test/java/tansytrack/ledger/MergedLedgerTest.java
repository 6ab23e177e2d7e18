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
class MergedLedgerTest {

  private static Entry entry(long epoch, long number, long bytes, Use... uses) {
    return new Entry(
        epoch,
        number,
        "t" + epoch + '-' + number,
        "a",
        "g",
        1,
        2,
        TaskEnd.HANDLED,
        bytes,
        0,
        List.of(uses));
  }

  @Provide
  Arbitrary<MergedLedger> ledgers() {
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
              MergedLedger made = new MergedLedger();
              all.forEach(one -> made.add(manager, one));
              missing.forEach(one -> made.add(manager, one));
              return made;
            });
  }

  private static MergedLedger merged(MergedLedger... parts) {
    MergedLedger all = new MergedLedger();
    for (MergedLedger one : parts) {
      all.add(one);
    }
    return all;
  }

  @Property(tries = 300, seed = "7")
  void orderRepetitionAndGroupingMakeNoDifference(
      @ForAll("ledgers") MergedLedger one,
      @ForAll("ledgers") MergedLedger two,
      @ForAll("ledgers") MergedLedger three) {
    assertThat(merged(merged(one, two), three)).isEqualTo(merged(one, merged(two, three)));
    assertThat(merged(one, two)).isEqualTo(merged(two, one));
    assertThat(merged(one, two, one)).isEqualTo(merged(one, two));
    assertThat(merged(one, two).missingRanges()).isEqualTo(merged(two, one).missingRanges());
  }

  @Property(tries = 300, seed = "8")
  void everyNumberIsThereInAGapOrInAHole(@ForAll("ledgers") MergedLedger merged) {
    List<String> accounted = new ArrayList<>();
    merged.entries().keySet().forEach(key -> accounted.add(key.epoch() + ":" + key.sequence()));
    for (MergedLedger.MissingRange hole : merged.missingRanges()) {
      for (long number = hole.first(); number <= hole.last(); number++) {
        assertThat(accounted).doesNotContain(hole.epoch() + ":" + number);
        accounted.add(hole.epoch() + ":" + number);
      }
    }
    for (MergedLedger.Key key : merged.entries().keySet()) {
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
    MergedLedger all = new MergedLedger();
    all.add("m", entry(1, 1, 5));
    all.add("m", entry(1, 1, 6));
    all.add("n", entry(1, 1, 7));
    assertThat(all.contradictions()).containsExactly(new MergedLedger.Key("m", 1, 1));
    assertThat(all.entries().get(new MergedLedger.Key("m", 1, 1))).hasSize(2);
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
    all.addEngine("e");
    Use use = new Use(0, "e", 1, 2, outcome, 5, 0, 0, false);
    all.add(
        outcome.equals("none")
            ? entry(1, 2, 0)
            : entry(1, 1, 0, use, new Use(1, "unstated", 1, 2, "OK", 5, 0, 0, true)));
    for (String run : runs == null ? new String[0] : runs.split(" ")) {
      all.add(
          new Reconciliation.Run(
              "e", "t1-1", Long.parseLong(run.split(":")[0]), run.endsWith("true")));
    }
    if (finding == null) {
      assertThat(all.findings()).isEmpty();
      assertThat(all.matchedForwards()).isEqualTo(1);
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
    LedgerChecker checks = new LedgerChecker();
    for (String one : positions.split(",")) {
      checks.checkLine(Long.parseLong(one), entry(1, Long.parseLong(one), 0));
    }
    checks.checkBatch(1, 1, 2, "x", "x");
    assertThat(checks.firstViolation() == null ? "none" : checks.firstViolation()).contains(breach);
    checks.checkBatch(2, 4, 5, "x", "x");
    assertThat(checks.firstViolation()).isNotNull();
  }

  @Test
  void theFirstBreachIsSaid() {
    LedgerChecker checks = new LedgerChecker();
    checks.checkLine(
        1,
        entry(
            1,
            1,
            0,
            new Use(0, "e", 1, 2, "OK", 0, 0, 0, false),
            new Use(1, "f", 1, 2, "OK", 0, 0, 0, false)));
    checks.checkLine(2, entry(1, 2, 0, new Use(0, "e", 1, 0, "", 0, 0, 0, true)));
    checks.checkBatch(1, 1, 2, "sealed", "other");
    checks.checkClosedPeriod("2026-01", "then", "now");
    assertThat(checks.firstViolation()).isEqualTo("entry 1:1 was served by 2 forwards");
  }
}

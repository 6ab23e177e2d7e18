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

  private static Entry entry(long epoch, long sequence, long bytes, Use... uses) {
    return new Entry(
        epoch,
        sequence,
        "t" + epoch + '-' + sequence,
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
            .as((epoch, sequence, bytes) -> entry(epoch, sequence, bytes));
    Arbitrary<Gap> gaps =
        Combinators.combine(Arbitraries.longs().between(1, 2), Arbitraries.longs().between(1, 3))
            .as((epoch, first) -> new Gap(epoch, first, first, first + 1, 0, 1, 2, "full"));
    return Combinators.combine(
            Arbitraries.of("m", "n"), entries.list().ofMaxSize(8), gaps.list().ofMaxSize(2))
        .as(
            (manager, ledgerEntries, ledgerGaps) -> {
              MergedLedger ledger = new MergedLedger();
              ledgerEntries.forEach(entry -> ledger.add(manager, entry));
              ledgerGaps.forEach(gap -> ledger.add(manager, gap));
              return ledger;
            });
  }

  private static MergedLedger merged(MergedLedger... parts) {
    MergedLedger result = new MergedLedger();
    for (MergedLedger part : parts) {
      result.add(part);
    }
    return result;
  }

  @Property(tries = 300, seed = "7")
  void mergeIsAssociativeCommutativeAndIdempotent(
      @ForAll("ledgers") MergedLedger first,
      @ForAll("ledgers") MergedLedger second,
      @ForAll("ledgers") MergedLedger third) {
    assertThat(merged(merged(first, second), third))
        .isEqualTo(merged(first, merged(second, third)));
    assertThat(merged(first, second)).isEqualTo(merged(second, first));
    assertThat(merged(first, second, first)).isEqualTo(merged(first, second));
    assertThat(merged(first, second).missingRanges())
        .isEqualTo(merged(second, first).missingRanges());
  }

  @Property(tries = 300, seed = "8")
  void everySequenceHasEntryOrGapOrIsMissing(@ForAll("ledgers") MergedLedger merged) {
    List<String> accountedSequences = new ArrayList<>();
    merged
        .entries()
        .keySet()
        .forEach(key -> accountedSequences.add(key.epoch() + ":" + key.sequence()));
    for (MergedLedger.MissingRange range : merged.missingRanges()) {
      for (long sequence = range.first(); sequence <= range.last(); sequence++) {
        assertThat(accountedSequences).doesNotContain(range.epoch() + ":" + sequence);
        accountedSequences.add(range.epoch() + ":" + sequence);
      }
    }
    for (MergedLedger.Key key : merged.entries().keySet()) {
      for (long sequence = 1; sequence < key.sequence(); sequence++) {
        long currentSequence = sequence;
        assertThat(
                accountedSequences.contains(key.epoch() + ":" + sequence)
                    || merged.gaps().stream()
                        .anyMatch(gap -> gap.epoch() == key.epoch() && gap.covers(currentSequence)))
            .isTrue();
      }
    }
  }

  @Test
  void keepsBothVersionsOfContradictingEntries() {
    MergedLedger all = new MergedLedger();
    all.add("m", entry(1, 1, 5));
    all.add("m", entry(1, 1, 6));
    all.add("n", entry(1, 1, 7));
    assertThat(all.contradictions()).containsExactly(new MergedLedger.Key("m", 1, 1));
    assertThat(all.entries().get(new MergedLedger.Key("m", 1, 1))).hasSize(2);
  }

  // The outcome "none" stands for a task without a forward to the engine.
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
  void reconcilesForwardsWithRuns(String outcome, String runs, String finding) {
    Reconciliation reconciliation = new Reconciliation();
    reconciliation.addEngine("e");
    Use forward = new Use(0, "e", 1, 2, outcome, 5, 0, 0, false);
    reconciliation.add(
        outcome.equals("none")
            ? entry(1, 2, 0)
            : entry(1, 1, 0, forward, new Use(1, "unstated", 1, 2, "OK", 5, 0, 0, true)));
    for (String run : runs == null ? new String[0] : runs.split(" ")) {
      reconciliation.add(
          new Reconciliation.Run(
              "e", "t1-1", Long.parseLong(run.split(":")[0]), run.endsWith("true")));
    }
    if (finding == null) {
      assertThat(reconciliation.findings()).isEmpty();
      assertThat(reconciliation.matchedForwards()).isEqualTo(1);
    } else {
      assertThat(reconciliation.findings())
          .singleElement()
          .extracting(Reconciliation.Finding::kind)
          .isEqualTo(finding);
      assertThat(reconciliation.findings().get(0).fault())
          .isEqualTo(!finding.startsWith("resolved"));
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"1,3 | position 2 is missing", "1,2 | none"})
  void detectsMissingPosition(String positions, String violation) {
    LedgerChecker checker = new LedgerChecker();
    for (String position : positions.split(",")) {
      checker.checkLine(Long.parseLong(position), entry(1, Long.parseLong(position), 0));
    }
    checker.checkBatch(1, 1, 2, "x", "x");
    assertThat(checker.firstViolation() == null ? "none" : checker.firstViolation())
        .contains(violation);
    checker.checkBatch(2, 4, 5, "x", "x");
    assertThat(checker.firstViolation()).isNotNull();
  }

  @Test
  void reportsFirstViolation() {
    LedgerChecker checker = new LedgerChecker();
    checker.checkLine(
        1,
        entry(
            1,
            1,
            0,
            new Use(0, "e", 1, 2, "OK", 0, 0, 0, false),
            new Use(1, "f", 1, 2, "OK", 0, 0, 0, false)));
    checker.checkLine(2, entry(1, 2, 0, new Use(0, "e", 1, 0, "", 0, 0, 0, true)));
    checker.checkBatch(1, 1, 2, "sealed", "other");
    checker.checkClosedPeriod("2026-01", "then", "now");
    assertThat(checker.firstViolation()).isEqualTo("entry 1:1 was served by 2 forwards");
  }
}

package tansytrack.ledger;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneId;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests billing periods, rates, bills and amendments. */
class BillingTest {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final BillingPeriods DAYS =
      new BillingPeriods(BillingPeriods.Length.DAY, ZoneId.of("UTC"));

  private static long nanosOf(String moment) {
    return Instant.parse(moment).getEpochSecond() * NANOS_PER_SECOND;
  }

  @ParameterizedTest
  @CsvSource({
    "MONTH, Asia/Kolkata, 2026-12-31T18:29:59Z, 2026-12",
    "MONTH, Asia/Kolkata, 2026-12-31T18:30:00Z, 2027-01",
    "WEEK, UTC, 2027-01-03T23:59:59Z, 2026-W53",
    "WEEK, UTC, 2027-01-04T00:00:00Z, 2027-W01",
    "DAY, Europe/Berlin, 2026-03-28T23:00:00Z, 2026-03-29",
    "DAY, Africa/Cairo, 2026-04-23T22:00:00Z, 2026-04-24",
    "DAY, UTC, 1969-12-31T23:59:59Z, 1969-12-31"
  })
  void assignsTimeToPeriodOfTimeZone(
      BillingPeriods.Length length, String zone, String moment, String period) {
    BillingPeriods periods = new BillingPeriods(length, ZoneId.of(zone));
    assertThat(periods.periodAt(nanosOf(moment))).isEqualTo(period);
    assertThat(periods.startNanos(period)).isLessThanOrEqualTo(nanosOf(moment));
    assertThat(periods.endNanos(period)).isGreaterThan(nanosOf(moment));
    assertThat(periods.periodAt(periods.endNanos(period))).isNotEqualTo(period);
    assertThat(periods.periodAt(periods.endNanos(period) - 1)).isEqualTo(period);
  }

  @ParameterizedTest
  @CsvSource({"2026-03-29, 23", "2026-10-25, 25", "2026-06-01, 24"})
  void dayLengthFollowsDaylightSavingTime(String day, int hours) {
    BillingPeriods periods =
        new BillingPeriods(BillingPeriods.Length.DAY, ZoneId.of("Europe/Berlin"));
    assertThat(periods.endNanos(day) - periods.startNanos(day))
        .isEqualTo(hours * 3600L * NANOS_PER_SECOND);
  }

  @ParameterizedTest
  @CsvSource({
    "MONTH, 2026-13",
    "MONTH, 2026-W01",
    "WEEK, 2026-W54",
    "WEEK, 2025-W53",
    "WEEK, 2026-W00",
    "DAY, 2026-02-29",
    "DAY, ''"
  })
  void rejectsInvalidPeriod(BillingPeriods.Length length, String text) {
    assertThatThrownBy(() -> new BillingPeriods(length, ZoneId.of("UTC")).firstDay(text))
        .isInstanceOf(BillingPeriods.InvalidPeriodException.class)
        .hasMessageContaining("'" + text + "'")
        .hasMessageContaining("as in");
  }

  private static Rates.Rate rate(
      String tenant, String grade, String from, String task, String work) {
    return new Rates.Rate(
        tenant,
        grade,
        LocalDate.parse(from),
        new BigDecimal(task),
        new BigDecimal(work),
        BigDecimal.ZERO,
        BigDecimal.ZERO);
  }

  private static Entry entry(long number, String tenant, TaskEnd end, long takenAt, Use... uses) {
    return new Entry(
        1,
        number,
        "t" + number,
        tenant,
        "g",
        takenAt,
        takenAt + NANOS_PER_SECOND,
        end,
        0,
        0,
        List.of(uses));
  }

  private static Use use(long work, boolean wasted) {
    return new Use(0, "e", 0, NANOS_PER_SECOND, wasted ? "RESET" : "OK", work, 1, 512, wasted);
  }

  private static final Rates RATES =
      new Rates(
          List.of(
              rate("", "", "2026-01-01", "0.10", "1"),
              rate("", "g", "2026-01-01", "0.20", "1"),
              rate("a", "", "2026-06-01", "0.30", "1"),
              rate("a", "", "2026-06-15", "0.40", "1")),
          2,
          RoundingMode.HALF_EVEN,
          false);

  @ParameterizedTest
  @CsvSource({
    "a, x, 2025-12-31, ",
    "b, x, 2026-01-01, 0.10",
    "b, g, 2026-01-01, 0.20",
    "a, g, 2026-05-31, 0.20",
    "a, g, 2026-06-14, 0.30",
    "a, g, 2026-06-15, 0.40"
  })
  void mostSpecificThenLatestRateApplies(
      String tenant, String grade, LocalDate day, BigDecimal task) {
    Rates.Rate rate = RATES.rateFor(tenant, grade, day);
    assertThat(rate == null ? null : rate.perTask()).isEqualTo(task);
  }

  @ParameterizedTest
  @CsvSource({
    "HANDLED, 1500000001, false, 1.700000001",
    "HANDLED, 1000000000, true, 0.20",
    "ABANDONED, 1000000000, false, 1",
    "BOUNCED, 1000000000, false, 0",
    "UNRESOLVED, 1000000000, true, 0"
  })
  void priceIsExactAndExcludesWasteByDefault(
      TaskEnd end, long work, boolean wasted, BigDecimal price) {
    Entry entry = entry(1, "b", end, 0, use(work, wasted));
    assertThat(RATES.price(entry, LocalDate.parse("2026-02-01"))).isEqualByComparingTo(price);
    Rates billed = new Rates(RATES.rates(), 2, RoundingMode.HALF_EVEN, true);
    if (end == TaskEnd.HANDLED) {
      assertThat(billed.price(entry, LocalDate.parse("2026-02-01")))
          .isEqualByComparingTo(new BigDecimal("0.20").add(BigDecimal.valueOf(work, 9)));
    }
  }

  @Test
  void roundsOnlySubtotals() {
    Rates small =
        new Rates(
            List.of(rate("", "", "2026-01-01", "0.001", "0")), 2, RoundingMode.HALF_EVEN, false);
    Bill bill = new Bill("2026-02-01", DAYS, small, 0);
    for (int i = 0; i < 1000; i++) {
      bill.add(i + 1, entry(i, "a", TaskEnd.HANDLED, nanosOf("2026-02-01T10:00:00Z")));
    }
    assertThat(bill.total("a")).isEqualByComparingTo("1.00");
  }

  @Test
  void lateEntriesDoNotChangeClosedSubtotals() {
    long day = nanosOf("2026-02-01T10:00:00Z");
    Bill open = new Bill("2026-02-01", DAYS, RATES, 0);
    open.add(1, entry(1, "b", TaskEnd.HANDLED, day));
    String sealed = open.canonicalText();
    Bill closed = new Bill("2026-02-01", DAYS, RATES, 1);
    closed.add(1, entry(1, "b", TaskEnd.HANDLED, day));
    closed.add(2, entry(2, "b", TaskEnd.HANDLED, day));
    closed.add(3, entry(3, "b", TaskEnd.HANDLED, day + 24 * 3600 * NANOS_PER_SECOND));
    assertThat(closed.canonicalText()).isEqualTo(sealed);
    assertThat(closed.lateSubtotals()).hasSize(1);
    assertThat(closed.total("b")).isEqualByComparingTo("0.40");
  }

  private static Amendment amendment(
      long number, String amount, String corrects, boolean withdraws) {
    return new Amendment(
        number, "2026-02-01", "a", new BigDecimal(amount), "me", "why", corrects, 0, withdraws);
  }

  @Test
  void amendmentsAndWithdrawalsCanBeWithdrawn() {
    List<Amendment> amendments =
        List.of(
            amendment(1, "-1.25", "e:1:1", false),
            amendment(2, "0.25", "a:1", false),
            amendment(3, "0", "a:1", true),
            amendment(4, "0", "a:3", true));
    String[] sums = {"-1.25", "-1.00", "0.25", "-1.00"};
    for (int i = 1; i <= 4; i++) {
      Bill bill = new Bill("2026-02-01", DAYS, RATES, 0);
      amendments.subList(0, i).forEach(bill::add);
      assertThat(bill.amendedAmount("a")).as("after %d", i).isEqualByComparingTo(sums[i - 1]);
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      nullValues = "taken",
      value = {
        "1 | e:1:7 | false | taken",
        "1 | e:1:8 | false | no such entry",
        "1 | a:1 | false | taken",
        "1 | a:2 | false | withdrawn already",
        "1 | a:9 | false | no such amendment",
        "0 | '' | false | --amount is 0",
        "0 | a:1 | true | taken",
        "0 | e:1:7 | true | only an amendment can be withdrawn",
        "0 | '' | true | --withdraw without --corrects",
        "1 | b:1 | false | is not a valid reference",
        "1 | e:x:1 | false | is not a valid reference"
      })
  void validatesReferenceOfAmendment(
      String amount, String corrects, boolean withdraws, String expectedRejection) {
    List<Amendment> amendments =
        List.of(
            amendment(1, "1", "", false),
            amendment(2, "1", "", false),
            amendment(3, "0", "a:2", true));
    String rejection =
        AmendmentValidator.rejectionReason(
            amendment(0, amount, corrects, withdraws),
            amendments,
            (epoch, number) -> epoch == 1 && number == 7);
    if (expectedRejection == null) {
      assertThat(rejection).isNull();
    } else {
      assertThat(rejection).contains(expectedRejection);
    }
  }

  @Test
  void closesPeriodsAfterGracePeriod() {
    ClosingPolicy policy = new ClosingPolicy(DAYS, 3600 * NANOS_PER_SECOND);
    List<String> periods = List.of("2026-02-02", "2026-02-01", "2026-01-31");
    assertThat(policy.duePeriods(nanosOf("2026-02-02T00:59:59Z"), periods, List.of()))
        .containsExactly("2026-01-31");
    assertThat(policy.duePeriods(nanosOf("2026-02-02T01:00:00Z"), periods, List.of("2026-01-31")))
        .containsExactly("2026-02-01");
    assertThat(new ClosingPolicy(DAYS, 0).duePeriods(Long.MAX_VALUE, periods, List.of())).isEmpty();
    assertThat(policy.rejectionReason("2026-02-01", nanosOf("2026-02-01T23:59:59Z"), List.of(), 0))
        .contains("not over");
    assertThat(policy.rejectionReason("2026-02-01", nanosOf("2026-02-02T00:00:00Z"), List.of(), 3))
        .contains("3 tasks open");
    assertThat(
            policy.rejectionReason(
                "2026-02-01", nanosOf("2026-02-02T00:00:00Z"), List.of("2026-02-01"), 0))
        .contains("closed already");
    assertThat(policy.rejectionReason("2026-02-01", nanosOf("2026-02-02T00:00:00Z"), List.of(), 0))
        .isNull();
  }
}

package tansytrack.ledger;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.time.LocalDate;
import java.util.List;

/**
 * What use costs, in exact decimals. Of the rates that a task's day has reached, the one that names
 * most holds (tenant and grade, then tenant, then grade, then none), of those the latest that
 * began. Amounts are exact for a task, and rounded once, for each sum of a tenant's grade in a
 * period. A bounced task costs nothing, nor does one whose end nobody knows.
 */
public record Rates(List<Rate> rates, int decimals, RoundingMode rounding, boolean billsWaste) {

  private static final BigDecimal NANOS_PER_SECOND = new BigDecimal("1000000000");
  private static final BigDecimal MB_NANOS_PER_GB_SECOND = new BigDecimal("1024000000000");
  private static final BigDecimal BYTES_PER_MB = new BigDecimal("1048576");
  private static final int QUOTIENT_SCALE =
      24; // digits behind the point; a binary fraction of 2^20 needs 20

  /** One price list; an empty tenant or grade means any. */
  public record Rate(
      String tenant,
      String grade,
      LocalDate validFrom,
      BigDecimal perTask,
      BigDecimal perWorkSecond,
      BigDecimal perGbSecond,
      BigDecimal perMbReturned) {

    private int specificity() {
      return (tenant.isEmpty() ? 0 : 2) + (grade.isEmpty() ? 0 : 1);
    }

    private boolean appliesTo(String ofTenant, String ofGrade, LocalDate day) {
      return (tenant.isEmpty() || tenant.equals(ofTenant))
          && (grade.isEmpty() || grade.equals(ofGrade))
          && !validFrom.isAfter(day);
    }
  }

  /** The rate that holds, or null. */
  public Rate rateFor(String tenant, String grade, LocalDate day) {
    Rate best = null;
    for (Rate rate : rates) {
      if (rate.appliesTo(tenant, grade, day)
          && (best == null
              || rate.specificity() > best.specificity()
              || (rate.specificity() == best.specificity()
                  && rate.validFrom.isAfter(best.validFrom)))) {
        best = rate;
      }
    }
    return best;
  }

  /** The exact price of a task on its day. */
  public BigDecimal price(Entry entry, LocalDate day) {
    Rate rate = rateFor(entry.tenant(), entry.grade(), day);
    if (rate == null || entry.end() == TaskEnd.BOUNCED || entry.end() == TaskEnd.UNRESOLVED) {
      return BigDecimal.ZERO;
    }
    BigDecimal sum = entry.end() == TaskEnd.HANDLED ? rate.perTask : BigDecimal.ZERO;
    return sum.add(
            cost(
                rate.perWorkSecond,
                BigDecimal.valueOf(entry.workNanos(billsWaste)),
                NANOS_PER_SECOND))
        .add(cost(rate.perGbSecond, entry.memoryMbNanos(billsWaste), MB_NANOS_PER_GB_SECOND))
        .add(cost(rate.perMbReturned, BigDecimal.valueOf(entry.bytes()), BYTES_PER_MB));
  }

  private static BigDecimal cost(BigDecimal price, BigDecimal amount, BigDecimal unit) {
    return price.signum() == 0 || amount.signum() == 0
        ? BigDecimal.ZERO
        : price.multiply(amount).divide(unit, QUOTIENT_SCALE, RoundingMode.HALF_EVEN);
  }

  /** The amount as it is billed, by the rounding that the operator chose. */
  public BigDecimal round(BigDecimal exact) {
    return exact.setScale(decimals, rounding);
  }
}

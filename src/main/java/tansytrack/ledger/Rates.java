package tansytrack.ledger;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.time.LocalDate;
import java.util.List;

/**
 * The price list, in exact decimals. Of the rates that are valid on the day of a task, the most
 * specific one applies (tenant and query class, then tenant, then query class, then neither); among
 * equally specific ones, the one with the latest start. The price of a task is exact; amounts are
 * rounded once, for each subtotal of a tenant and query class in a period. Rejected tasks and tasks
 * whose end is unknown cost nothing.
 */
public record Rates(List<Rate> rates, int decimals, RoundingMode rounding, boolean billsWaste) {

  private static final BigDecimal NANOS_PER_SECOND = new BigDecimal("1000000000");
  private static final BigDecimal MB_NANOS_PER_GB_SECOND = new BigDecimal("1024000000000");
  private static final BigDecimal BYTES_PER_MB = new BigDecimal("1048576");
  // Decimal places of quotients; an exact quotient by 2^20 (the bytes of a MB) needs 20.
  private static final int QUOTIENT_SCALE = 24;

  /** One rate; an empty tenant or query class stands for all. */
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

    private boolean appliesTo(String taskTenant, String taskGrade, LocalDate day) {
      return (tenant.isEmpty() || tenant.equals(taskTenant))
          && (grade.isEmpty() || grade.equals(taskGrade))
          && !validFrom.isAfter(day);
    }
  }

  /** The rate that applies, or null. */
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

  /** The exact price of a task by the rate of the given day. */
  public BigDecimal price(Entry entry, LocalDate day) {
    Rate rate = rateFor(entry.tenant(), entry.grade(), day);
    if (rate == null || entry.end() == TaskEnd.BOUNCED || entry.end() == TaskEnd.UNRESOLVED) {
      return BigDecimal.ZERO;
    }
    BigDecimal taskPrice = entry.end() == TaskEnd.HANDLED ? rate.perTask : BigDecimal.ZERO;
    return taskPrice
        .add(
            cost(
                rate.perWorkSecond,
                BigDecimal.valueOf(entry.workNanos(billsWaste)),
                NANOS_PER_SECOND))
        .add(cost(rate.perGbSecond, entry.memoryMbNanos(billsWaste), MB_NANOS_PER_GB_SECOND))
        .add(cost(rate.perMbReturned, BigDecimal.valueOf(entry.bytes()), BYTES_PER_MB));
  }

  private static BigDecimal cost(BigDecimal unitPrice, BigDecimal amount, BigDecimal unit) {
    return unitPrice.signum() == 0 || amount.signum() == 0
        ? BigDecimal.ZERO
        : unitPrice.multiply(amount).divide(unit, QUOTIENT_SCALE, RoundingMode.HALF_EVEN);
  }

  /** Rounds an amount for the bill, by the decimals and the rounding mode that are configured. */
  public BigDecimal round(BigDecimal exact) {
    return exact.setScale(decimals, rounding);
  }
}

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
public record Rates(List<Rate> rates, int decimals, RoundingMode rounding, boolean wasteBilled) {

  private static final BigDecimal NS_A_SECOND = new BigDecimal("1000000000");
  private static final BigDecimal MB_NS_A_GB_SECOND = new BigDecimal("1024000000000");
  private static final BigDecimal BYTES_A_MB = new BigDecimal("1048576");
  // Decimal places of quotients; an exact quotient by 2^20 (the bytes of a MB) needs 20.
  private static final int EXACT = 24;

  /** One rate; an empty tenant or query class stands for all. */
  public record Rate(
      String tenant,
      String grade,
      LocalDate from,
      BigDecimal perTask,
      BigDecimal perWorkSecond,
      BigDecimal perGbSecond,
      BigDecimal perMb) {

    private int names() {
      return (tenant.isEmpty() ? 0 : 2) + (grade.isEmpty() ? 0 : 1);
    }

    private boolean fits(String ofTenant, String ofGrade, LocalDate day) {
      return (tenant.isEmpty() || tenant.equals(ofTenant))
          && (grade.isEmpty() || grade.equals(ofGrade))
          && !from.isAfter(day);
    }
  }

  /** The rate that applies, or null. */
  public Rate of(String tenant, String grade, LocalDate day) {
    Rate best = null;
    for (Rate rate : rates) {
      if (rate.fits(tenant, grade, day)
          && (best == null
              || rate.names() > best.names()
              || (rate.names() == best.names() && rate.from.isAfter(best.from)))) {
        best = rate;
      }
    }
    return best;
  }

  /** The exact price of a task by the rate of the given day. */
  public BigDecimal price(Entry entry, LocalDate day) {
    Rate rate = of(entry.tenant(), entry.grade(), day);
    if (rate == null || entry.end() == End.BOUNCED || entry.end() == End.UNRESOLVED) {
      return BigDecimal.ZERO;
    }
    BigDecimal sum = entry.end() == End.HANDLED ? rate.perTask : BigDecimal.ZERO;
    return sum.add(
            part(rate.perWorkSecond, BigDecimal.valueOf(entry.work(wasteBilled)), NS_A_SECOND))
        .add(part(rate.perGbSecond, entry.held(wasteBilled), MB_NS_A_GB_SECOND))
        .add(part(rate.perMb, BigDecimal.valueOf(entry.bytes()), BYTES_A_MB));
  }

  private static BigDecimal part(BigDecimal price, BigDecimal amount, BigDecimal unit) {
    return price.signum() == 0 || amount.signum() == 0
        ? BigDecimal.ZERO
        : price.multiply(amount).divide(unit, EXACT, RoundingMode.HALF_EVEN);
  }

  /** Rounds an amount for the bill, by the decimals and the rounding mode that are configured. */
  public BigDecimal rounded(BigDecimal exact) {
    return exact.setScale(decimals, rounding);
  }
}

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
public record Rates(List<Rate> rates, int decimals, RoundingMode rounding, boolean wasteBilled) {

  private static final BigDecimal NS_A_SECOND = new BigDecimal("1000000000");
  private static final BigDecimal MB_NS_A_GB_SECOND = new BigDecimal("1024000000000");
  private static final BigDecimal BYTES_A_MB = new BigDecimal("1048576");
  private static final int EXACT =
      24; // digits behind the point; a binary fraction of 2^20 needs 20

  /** One price list; an empty tenant or grade means any. */
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

  /** The rate that holds, or null. */
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

  /** The exact price of a task on its day. */
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

  /** The amount as it is billed, by the rounding that the operator chose. */
  public BigDecimal rounded(BigDecimal exact) {
    return exact.setScale(decimals, rounding);
  }
}

package tansytrack.ledger;

import java.math.BigDecimal;
import java.util.List;

/**
 * One task in a ledger, named by the epoch (start) of its manager and its number there. Times in
 * nanoseconds of the Unix clock; earnings in thousandths.
 */
public record Entry(
    long epoch,
    long sequence,
    String task,
    String tenant,
    String grade,
    long takenAt,
    long endedAt,
    TaskEnd end,
    long bytes,
    long earningsMilli,
    List<Use> uses) {

  /** Memory granted times time in MB-nanoseconds, with or without what was wasted. */
  public BigDecimal memoryMbNanos(boolean withWaste) {
    BigDecimal held = BigDecimal.ZERO;
    for (Use use : uses) {
      held = withWaste || !use.wasted() ? held.add(use.memoryMbNanos()) : held;
    }
    return held;
  }

  /** Work in nanoseconds, with or without what was wasted. */
  public long workNanos(boolean withWaste) {
    long work = 0;
    for (Use use : uses) {
      work += withWaste || !use.wasted() ? use.work() : 0;
    }
    return work;
  }
}

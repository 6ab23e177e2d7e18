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
    End end,
    long bytes,
    long earningsMilli,
    List<Use> uses) {

  /** Memory granted times time in MB-nanoseconds, with or without what was wasted. */
  public BigDecimal held(boolean withWaste) {
    BigDecimal held = BigDecimal.ZERO;
    for (Use use : uses) {
      held = withWaste || !use.wasted() ? held.add(use.held()) : held;
    }
    return held;
  }

  /** Work in nanoseconds, with or without what was wasted. */
  public long work(boolean withWaste) {
    long work = 0;
    for (Use use : uses) {
      work += withWaste || !use.wasted() ? use.work() : 0;
    }
    return work;
  }
}

package tansytrack.ledger;

import java.math.BigDecimal;
import java.util.List;

/**
 * One task in a ledger, identified by the epoch of its manager (one for each start) and its number
 * in that epoch. Times are in nanoseconds of the Unix clock, earnings in thousandths. {@code ledger
 * merge} prints contradicting entries in this record's string form, so the component names are part
 * of its output.
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

  /** Granted memory multiplied by time, in MB-nanoseconds, with or without wasted forwards. */
  public BigDecimal memoryMbNanos(boolean withWaste) {
    BigDecimal held = BigDecimal.ZERO;
    for (Use use : uses) {
      held = withWaste || !use.wasted() ? held.add(use.memoryMbNanos()) : held;
    }
    return held;
  }

  /** Work in nanoseconds, with or without wasted forwards. */
  public long workNanos(boolean withWaste) {
    long work = 0;
    for (Use use : uses) {
      work += withWaste || !use.wasted() ? use.work() : 0;
    }
    return work;
  }
}

package tansytrack.ledger;

import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/** Which periods may be closed, and which close by themselves. */
public record ClosingPolicy(BillingPeriods periods, long graceNanos) {

  /** Why a period cannot be closed now, or null. Open: tasks of it that are not complete. */
  public String rejectionReason(String period, long now, Collection<String> closed, long open) {
    long end = periods.endNanos(period);
    if (closed.contains(period)) {
      return "period " + period + " is closed already";
    }
    if (now < end) {
      return "period " + period + " is not over yet";
    }
    return open > 0 ? "period " + period + " still has " + open + " tasks open" : null;
  }

  /** Those whose grace is over, in order; none where only operators close. */
  public List<String> duePeriods(long now, Collection<String> seen, Collection<String> closed) {
    if (graceNanos <= 0) {
      return List.of();
    }
    TreeSet<String> due = new TreeSet<>();
    for (String period : seen) {
      if (!closed.contains(period) && now >= periods.endNanos(period) + graceNanos) {
        due.add(period);
      }
    }
    return List.copyOf(due);
  }
}

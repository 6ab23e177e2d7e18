package tansytrack.ledger;

import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * Decides which periods may be closed and which are closed automatically.
 *
 * @param graceNanos the time after the end of a period at which it is closed automatically, in
 *     nanoseconds; 0 if periods are only closed by operators
 */
public record ClosingPolicy(BillingPeriods periods, long graceNanos) {

  /**
   * Returns why a period cannot be closed now, or null if it can.
   *
   * @param openTasks the number of tasks of the period that are not complete
   */
  public String rejectionReason(
      String period, long now, Collection<String> closedPeriods, long openTasks) {
    long end = periods.endNanos(period);
    if (closedPeriods.contains(period)) {
      return "period " + period + " is closed already";
    }
    if (now < end) {
      return "period " + period + " is not over yet";
    }
    return openTasks > 0 ? "period " + period + " still has " + openTasks + " tasks open" : null;
  }

  /** The periods whose grace period is over, sorted; none if only operators close periods. */
  public List<String> duePeriods(
      long now, Collection<String> periodsWithEntries, Collection<String> closedPeriods) {
    if (graceNanos <= 0) {
      return List.of();
    }
    TreeSet<String> due = new TreeSet<>();
    for (String period : periodsWithEntries) {
      if (!closedPeriods.contains(period) && now >= periods.endNanos(period) + graceNanos) {
        due.add(period);
      }
    }
    return List.copyOf(due);
  }
}

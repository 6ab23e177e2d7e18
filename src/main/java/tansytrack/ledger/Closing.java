package tansytrack.ledger;

import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/** Which periods may be closed, and which close by themselves. */
public record Closing(Periods periods, long grace) {

  /** Why a period cannot be closed now, or null. Open: tasks of it that are not complete. */
  public String refused(String period, long now, Collection<String> closed, long open) {
    long end = periods.end(period);
    if (closed.contains(period)) {
      return "period " + period + " is closed already";
    }
    if (now < end) {
      return "period " + period + " is not over yet";
    }
    return open > 0 ? "period " + period + " still has " + open + " tasks open" : null;
  }

  /** Those whose grace is over, in order; none where only operators close. */
  public List<String> due(long now, Collection<String> seen, Collection<String> closed) {
    if (grace <= 0) {
      return List.of();
    }
    TreeSet<String> due = new TreeSet<>();
    for (String period : seen) {
      if (!closed.contains(period) && now >= periods.end(period) + grace) {
        due.add(period);
      }
    }
    return List.copyOf(due);
  }
}

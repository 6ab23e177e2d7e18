package tansytrack.fleet;

import java.util.Set;
import java.util.TreeSet;

/**
 * The number of managers among which the load budget of cold engines is divided. No share may be
 * handed out twice: a silent manager may still send forwards on the other side of a partition.
 * Therefore each configured manager counts until it has announced that it leaves, and for the
 * settling time after that; a manager that joins counts at once. The cost is that the share of a
 * manager that died without leaving stays unused.
 */
public final class BudgetDivisor {

  // The number of other managers that are named in the operator file or in the settings.
  private final int namedPeers;
  private final long settleNanos;
  private final Set<String> leftMembers = new TreeSet<>();
  private int divisor;
  // The highest required number since it fell below the used one.
  private int highestRequired;
  // When the required number fell below the used one; -1 if it has not.
  private long lowerSince = -1;

  /**
   * Starts with all configured managers; the number decreases only after a lower one has been
   * required for the settling time.
   */
  public BudgetDivisor(int namedPeers, long settleTimeNanos) {
    this.namedPeers = namedPeers;
    this.settleNanos = settleTimeNanos;
    divisor = namedPeers + 1;
  }

  /** Records a changed member; members that are not configured count while they are live. */
  public void memberChanged(MemberState state) {
    if (state.status() == MemberStatus.LEFT) {
      leftMembers.add(state.name());
    } else {
      leftMembers.remove(state.name());
    }
  }

  /** Updates and returns the number to use from now on. */
  public int update(long now, int liveMembers) {
    int required = Math.max(liveMembers, namedPeers + 1 - leftMembers.size());
    if (required >= divisor) {
      divisor = required;
      lowerSince = -1;
    } else if (lowerSince < 0) {
      lowerSince = now;
      highestRequired = required;
    } else {
      highestRequired = Math.max(highestRequired, required);
      if (now - lowerSince >= settleNanos) {
        divisor = highestRequired;
        lowerSince = -1;
      }
    }
    return divisor;
  }
}

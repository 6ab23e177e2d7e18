package tansytrack.fleet;

import java.util.Set;
import java.util.TreeSet;

/**
 * How many managers an even part of what cold engines bear is reckoned by. Guards against a budget
 * that is dealt twice: a manager that is silent may still send, on the other side of a cut, so each
 * one that is named counts until it has said that it leaves, and for a while longer; one that comes
 * counts at once. Harm: of a manager that died without a word nobody takes the part.
 */
public final class BudgetDivisor {

  private final int namedPeers; // other managers, in the operators' file or by the settings
  private final long settleNanos;
  private final Set<String> left = new TreeSet<>();
  private int divisor;
  private int highestWanted; // the most that was wanted since less than what is used is wanted
  private long lowerSince = -1; // that is; -1: it is not

  /** With so many others named; fewer count once that has been wanted for so long. */
  public BudgetDivisor(int named, long settle) {
    this.namedPeers = named;
    this.settleNanos = settle;
    divisor = named + 1;
  }

  /** Something else is held of a member; unknown names count as they are there. */
  public void memberChanged(MemberState after) {
    if (after.status() == MemberStatus.LEFT) {
      left.add(after.name());
    } else {
      left.remove(after.name());
    }
  }

  /** The number to use from now on. */
  public int update(long now, int there) {
    int wanted = Math.max(there, namedPeers + 1 - left.size());
    if (wanted >= divisor) {
      divisor = wanted;
      lowerSince = -1;
    } else if (lowerSince < 0) {
      lowerSince = now;
      highestWanted = wanted;
    } else {
      highestWanted = Math.max(highestWanted, wanted);
      if (now - lowerSince >= settleNanos) {
        divisor = highestWanted;
        lowerSince = -1;
      }
    }
    return divisor;
  }
}

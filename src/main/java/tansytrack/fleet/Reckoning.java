package tansytrack.fleet;

import java.util.Set;
import java.util.TreeSet;

/**
 * How many managers an even part of what cold engines bear is reckoned by. Guards against a budget
 * that is dealt twice: a manager that is silent may still send, on the other side of a cut, so each
 * one that is named counts until it has said that it leaves, and for a while longer; one that comes
 * counts at once. Harm: of a manager that died without a word nobody takes the part.
 */
public final class Reckoning {

  private final int named; // other managers, in the operators' file or by the settings
  private final long settle;
  private final Set<String> left = new TreeSet<>();
  private int used;
  private int lowest; // the most that was wanted since less than what is used is wanted
  private long since = -1; // that is; -1: it is not

  /** With so many others named; fewer count once that has been wanted for so long. */
  public Reckoning(int named, long settle) {
    this.named = named;
    this.settle = settle;
    used = named + 1;
  }

  /** Something else is held of a member; unknown names count as they are there. */
  public void changed(Word after) {
    if (after.standing() == Standing.LEFT) {
      left.add(after.name());
    } else {
      left.remove(after.name());
    }
  }

  /** The number to use from now on. */
  public int used(long now, int there) {
    int wanted = Math.max(there, named + 1 - left.size());
    if (wanted >= used) {
      used = wanted;
      since = -1;
    } else if (since < 0) {
      since = now;
      lowest = wanted;
    } else {
      lowest = Math.max(lowest, wanted);
      if (now - since >= settle) {
        used = lowest;
        since = -1;
      }
    }
    return used;
  }
}

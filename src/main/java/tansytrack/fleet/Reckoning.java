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
public final class Reckoning {

  // Other managers that the operator's file or the settings name.
  private final int named;
  private final long settle;
  private final Set<String> left = new TreeSet<>();
  private int used;
  // The highest number wanted since the wanted number fell below the used one.
  private int lowest;
  // When the wanted number fell below the used one; -1 if it has not.
  private long since = -1;

  /**
   * Starts with all configured managers; the number decreases only after a lower one has been
   * wanted for the settling time.
   */
  public Reckoning(int named, long settle) {
    this.named = named;
    this.settle = settle;
    used = named + 1;
  }

  /** Records a changed member; members that are not configured count while they are live. */
  public void changed(Word after) {
    if (after.standing() == Standing.LEFT) {
      left.add(after.name());
    } else {
      left.remove(after.name());
    }
  }

  /** Updates and returns the number to use from now on. */
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

package tansytrack.lab.scale;

import java.util.AbstractSet;
import java.util.Collections;
import java.util.Iterator;

/**
 * An empty set of allowed zones that counts the calls of {@link #isEmpty}. A module makes one such
 * call each time it checks whether a query class may run in the zone of an engine.
 */
final class PlacementCheckCounter extends AbstractSet<String> {

  private long count;

  /** The number of checks so far. */
  long count() {
    return count;
  }

  @Override
  public boolean isEmpty() {
    count++;
    return true;
  }

  @Override
  public Iterator<String> iterator() {
    return Collections.emptyIterator();
  }

  @Override
  public int size() {
    return 0;
  }
}

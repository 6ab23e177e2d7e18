package tansytrack.lab.scale;

import java.util.AbstractSet;
import java.util.Collections;
import java.util.Iterator;

/**
 * An empty set of places that counts how often it is asked whether it is empty: once each time a
 * module checks whether a listed engine is at a place where a grade may run.
 */
final class PlacementCheckCounter extends AbstractSet<String> {

  private long count;

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

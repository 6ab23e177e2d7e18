package tansytrack.lab.scale;

import java.util.AbstractSet;
import java.util.Collections;
import java.util.Iterator;

/**
 * An empty set of places that counts how often it is asked whether it is empty. A module asks each
 * time it looks whether an engine suits a statement's grade: that counts its visits of engines.
 */
final class VisitCounter extends AbstractSet<String> {

  private long visits;

  long visits() {
    return visits;
  }

  @Override
  public boolean isEmpty() {
    visits++;
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

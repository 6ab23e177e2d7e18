package tansytrack.parts;

import java.util.ArrayDeque;

/**
 * The queue of the tasks of one key, in the order accepted, with the number of their open forwards
 * and the end of the key's cooldown.
 */
public final class KeyLine<T> {

  public final long key;
  public final ArrayDeque<T> line = new ArrayDeque<>();
  public int out;
  public long restsUntil;

  /** Creates an empty queue for the key. */
  public KeyLine(long key) {
    this.key = key;
  }
}

package tansytrack.parts;

import java.util.ArrayDeque;

/**
 * The tasks of one key, in the order taken; how many forwards of theirs are out, and until when the
 * key rests.
 */
public final class KeyLine<T> {

  public final long key;
  public final ArrayDeque<T> line = new ArrayDeque<>();
  public int out;
  public long restsUntil;

  /** The tasks of one key, in the order in which they came. */
  public KeyLine(long key) {
    this.key = key;
  }
}

package tansytrack.util;

import java.util.ArrayDeque;

/**
 * The tasks of one key, in the order taken; how many forwards of theirs are out, and until when the
 * key rests.
 */
public final class KeyQueue<T> {

  public final long key;
  public final ArrayDeque<T> tasks = new ArrayDeque<>();
  public int openForwards;
  public long cooldownUntilNanos;

  /** The tasks of one key, in the order in which they came. */
  public KeyQueue(long key) {
    this.key = key;
  }
}

package tansytrack.util;

import java.util.ArrayDeque;

/**
 * The queue of the tasks of one key, in the order accepted, with the number of their open forwards
 * and the end of the key's cooldown.
 */
public final class KeyQueue<T> {

  public final long key;
  public final ArrayDeque<T> tasks = new ArrayDeque<>();
  public int openForwards;
  public long cooldownUntilNanos;

  /** Creates an empty queue for the key. */
  public KeyQueue(long key) {
    this.key = key;
  }
}

package tansytrack.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/**
 * Updates to piggyback on messages, each for a limited number of transmissions; those transmitted
 * least often come first, newer ones before older ones. A newer update replaces the one with the
 * same key, so the size is bounded by the number of keys.
 */
final class GossipQueue<T> {

  private final ToIntFunction<T> bytes;
  private final Map<String, Entry<T>> byKey = new HashMap<>();
  private final TreeSet<Entry<T>> order =
      new TreeSet<>(
          Comparator.<Entry<T>>comparingInt(entry -> entry.transmissions)
              .thenComparingLong(entry -> -entry.insertionOrder));
  private long insertions;

  private static final class Entry<T> {
    final String key;
    final T update;
    final long insertionOrder;
    int transmissions;

    Entry(String key, T update, long insertionOrder) {
      this.key = key;
      this.update = update;
      this.insertionOrder = insertionOrder;
    }
  }

  GossipQueue(ToIntFunction<T> bytes) {
    this.bytes = bytes;
  }

  void put(String key, T update) {
    remove(key);
    Entry<T> entry = new Entry<>(key, update, insertions++);
    byKey.put(key, entry);
    order.add(entry);
  }

  void remove(String key) {
    Entry<T> old = byKey.remove(key);
    if (old != null) {
      order.remove(old);
    }
  }

  int size() {
    return byKey.size();
  }

  /**
   * Takes the updates that fit into a number of bytes and counts a transmission of each; an update
   * is removed once it has been transmitted the given number of times.
   */
  List<T> take(int maxBytes, int maxTransmissions) {
    List<Entry<T>> taken = new ArrayList<>();
    int remainingBytes = maxBytes;
    for (Entry<T> entry : order) {
      int size = bytes.applyAsInt(entry.update);
      if (size <= remainingBytes) {
        remainingBytes -= size;
        taken.add(entry);
      }
      if (remainingBytes < Message.FIXED_BYTES) {
        break;
      }
    }
    List<T> updates = new ArrayList<>();
    for (Entry<T> entry : taken) {
      updates.add(entry.update);
      order.remove(entry);
      if (++entry.transmissions < maxTransmissions) {
        order.add(entry);
      } else {
        byKey.remove(entry.key);
      }
    }
    return updates;
  }
}

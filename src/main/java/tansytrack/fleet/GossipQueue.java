package tansytrack.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/**
 * What is new and to be passed on beside other letters, each so often at most, the least told
 * first. Bounded by its keys: a later rumour of the same takes the place of the one before.
 */
final class GossipQueue<T> {

  private final ToIntFunction<T> bytes;
  private final Map<String, Entry<T>> byKey = new HashMap<>();
  private final TreeSet<Entry<T>> order =
      new TreeSet<>(
          Comparator.<Entry<T>>comparingInt(one -> one.transmissions)
              .thenComparingLong(one -> -one.number));
  private long count;

  private static final class Entry<T> {
    final String key;
    final T update;
    final long number;
    int transmissions;

    Entry(String key, T what, long number) {
      this.key = key;
      this.update = what;
      this.number = number;
    }
  }

  GossipQueue(ToIntFunction<T> bytes) {
    this.bytes = bytes;
  }

  void put(String key, T what) {
    remove(key);
    Entry<T> rumour = new Entry<>(key, what, count++);
    byKey.put(key, rumour);
    order.add(rumour);
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

  /** Takes what fits into so many bytes, and counts it as told once more. */
  List<T> take(int room, int often) {
    List<Entry<T>> taken = new ArrayList<>();
    int left = room;
    for (Entry<T> one : order) {
      int size = bytes.applyAsInt(one.update);
      if (size <= left) {
        left -= size;
        taken.add(one);
      }
      if (left < Message.FIXED_BYTES) {
        break;
      }
    }
    List<T> said = new ArrayList<>();
    for (Entry<T> one : taken) {
      said.add(one.update);
      order.remove(one);
      if (++one.transmissions < often) {
        order.add(one);
      } else {
        byKey.remove(one.key);
      }
    }
    return said;
  }
}

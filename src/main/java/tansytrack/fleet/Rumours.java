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
final class Rumours<T> {

  private final ToIntFunction<T> bytes;
  private final Map<String, Rumour<T>> byKey = new HashMap<>();
  private final TreeSet<Rumour<T>> order =
      new TreeSet<>(
          Comparator.<Rumour<T>>comparingInt(one -> one.told)
              .thenComparingLong(one -> -one.number));
  private long count;

  private static final class Rumour<T> {
    final String key;
    final T what;
    final long number;
    int told;

    Rumour(String key, T what, long number) {
      this.key = key;
      this.what = what;
      this.number = number;
    }
  }

  Rumours(ToIntFunction<T> bytes) {
    this.bytes = bytes;
  }

  void put(String key, T what) {
    drop(key);
    Rumour<T> rumour = new Rumour<>(key, what, count++);
    byKey.put(key, rumour);
    order.add(rumour);
  }

  void drop(String key) {
    Rumour<T> old = byKey.remove(key);
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
  List<T> take(int room, int often) {
    List<Rumour<T>> taken = new ArrayList<>();
    int left = room;
    for (Rumour<T> one : order) {
      int size = bytes.applyAsInt(one.what);
      if (size <= left) {
        left -= size;
        taken.add(one);
      }
      if (left < Letter.BESIDE_TEXT) {
        break;
      }
    }
    List<T> said = new ArrayList<>();
    for (Rumour<T> one : taken) {
      said.add(one.what);
      order.remove(one);
      if (++one.told < often) {
        order.add(one);
      } else {
        byKey.remove(one.key);
      }
    }
    return said;
  }
}

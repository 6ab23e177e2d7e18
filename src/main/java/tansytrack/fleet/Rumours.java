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

  /** Takes what fits into so many bytes, and counts it as told once more. */
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

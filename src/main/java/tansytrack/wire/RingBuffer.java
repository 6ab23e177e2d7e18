package tansytrack.wire;

import java.nio.ByteBuffer;

/**
 * The bytes of one direction of a connection: a ring that starts small, doubles when full, and has
 * a bound.
 */
public final class RingBuffer {

  private static final int INITIAL_CAPACITY_BYTES = 1 << 11; // most messages are shorter

  private static final int MAX_RETAINED_CAPACITY_BYTES =
      1 << 13; // by an empty ring: hundreds of sessions must not keep their largest

  private final int maxCapacity;
  private byte[] bytes = new byte[INITIAL_CAPACITY_BYTES];
  private int head;
  private int size;

  /** A ring that holds at most so many bytes; a power of two. */
  public RingBuffer(int most) {
    if (Integer.bitCount(most) != 1 || most < INITIAL_CAPACITY_BYTES) {
      throw new IllegalArgumentException(
          "the bound of a ring is a power of two from " + INITIAL_CAPACITY_BYTES);
    }
    this.maxCapacity = most;
  }

  /** How many bytes it holds. */
  public int size() {
    return size;
  }

  /** How many bytes it may hold. */
  public int maxCapacity() {
    return maxCapacity;
  }

  /** What more it could hold. */
  public int freeSpace() {
    return maxCapacity - size;
  }

  /** The byte at an index, counted from the oldest. */
  public byte byteAt(int index) {
    if (index < 0 || index >= size) {
      throw new IndexOutOfBoundsException(index);
    }
    return bytes[head + index & bytes.length - 1];
  }

  /** Four bytes, the highest first. */
  public int intAt(int index) {
    return (byteAt(index) & 255) << 24
        | (byteAt(index + 1) & 255) << 16
        | (byteAt(index + 2) & 255) << 8
        | (byteAt(index + 3) & 255);
  }

  /** Takes all of the buffer, or nothing: false if it does not fit. */
  public boolean put(ByteBuffer from) {
    int count = from.remaining();
    if (count > freeSpace()) {
      return false;
    }
    ensureCapacity(count);
    int tail = head + size & bytes.length - 1;
    int first = Math.min(count, bytes.length - tail);
    from.get(bytes, tail, first);
    from.get(bytes, 0, count - first);
    size += count;
    return true;
  }

  /** Takes all of the bytes, or nothing: false if they do not fit. */
  public boolean put(byte[] from) {
    return put(ByteBuffer.wrap(from));
  }

  /** A copy of some bytes, which stay in the buffer. */
  public byte[] copy(int from, int count) {
    if (from < 0 || count < 0 || from + count > size) {
      throw new IndexOutOfBoundsException(from + count);
    }
    byte[] copy = new byte[count];
    copyTo(copy, from, count);
    return copy;
  }

  private void copyTo(byte[] copy, int from, int count) {
    int start = head + from & bytes.length - 1;
    int first = Math.min(count, bytes.length - start);
    System.arraycopy(bytes, start, copy, 0, first);
    System.arraycopy(bytes, 0, copy, first, count - first);
  }

  /** Drops the oldest bytes. */
  public void skip(int count) {
    if (count < 0 || count > size) {
      throw new IndexOutOfBoundsException(count);
    }
    head = head + count & bytes.length - 1;
    size -= count;
    if (size == 0 && bytes.length > MAX_RETAINED_CAPACITY_BYTES) {
      bytes = new byte[INITIAL_CAPACITY_BYTES];
      head = 0;
    }
  }

  /** Takes the first bytes out. */
  public byte[] take(int count) {
    byte[] taken = copy(0, count);
    skip(count);
    return taken;
  }

  private void ensureCapacity(int more) {
    int wanted = bytes.length;
    while (wanted < size + more) {
      wanted *= 2;
    }
    if (wanted > bytes.length) {
      byte[] grown = new byte[wanted];
      copyTo(grown, 0, size);
      bytes = grown;
      head = 0;
    }
  }
}

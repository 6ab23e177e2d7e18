package tansytrack.wire;

import java.nio.ByteBuffer;

/**
 * A ring buffer for the bytes of one direction of a connection. It starts small, doubles when full,
 * and has a maximum capacity.
 */
public final class RingBuffer {

  // Most messages are shorter.
  private static final int INITIAL_CAPACITY_BYTES = 1 << 11;

  // A buffer that has grown further is shrunk once it is almost empty, so that hundreds of sessions
  // do not keep the
  // memory of their largest messages.
  private static final int MAX_RETAINED_CAPACITY_BYTES = 1 << 13;

  private final int maxCapacity;
  // Counts the capacity beyond the retained one; null if it is not counted.
  private final MemoryBudget budget;
  private byte[] bytes = new byte[INITIAL_CAPACITY_BYTES];
  private int head;
  private int size;

  /** Creates a buffer with the given maximum capacity in bytes, a power of two. */
  public RingBuffer(int maxCapacity) {
    this(maxCapacity, null);
  }

  /**
   * Creates a buffer that takes no more than a few kilobytes where they do not fit into a budget.
   *
   * @param maxCapacity the maximum capacity in bytes, a power of two
   */
  RingBuffer(int maxCapacity, MemoryBudget budget) {
    this.budget = budget;
    if (Integer.bitCount(maxCapacity) != 1 || maxCapacity < INITIAL_CAPACITY_BYTES) {
      throw new IllegalArgumentException(
          "the maximum capacity of a ring buffer must be a power of two of at least "
              + INITIAL_CAPACITY_BYTES);
    }
    this.maxCapacity = maxCapacity;
  }

  /** Returns the number of bytes in the buffer. */
  public int size() {
    return size;
  }

  /** Returns the maximum capacity in bytes. */
  public int maxCapacity() {
    return maxCapacity;
  }

  /** Returns the number of bytes that can be added up to the maximum capacity. */
  public int freeSpace() {
    return maxCapacity - size;
  }

  /** Returns the byte at an index, counted from the oldest. */
  public byte byteAt(int index) {
    if (index < 0 || index >= size) {
      throw new IndexOutOfBoundsException(index);
    }
    return bytes[head + index & bytes.length - 1];
  }

  /** Returns the big-endian integer of the four bytes at an index. */
  public int intAt(int index) {
    return (byteAt(index) & 255) << 24
        | (byteAt(index + 1) & 255) << 16
        | (byteAt(index + 2) & 255) << 8
        | (byteAt(index + 3) & 255);
  }

  /** Adds all remaining bytes of the source, or none; returns false if they do not fit. */
  public boolean put(ByteBuffer source) {
    int count = source.remaining();
    if (count > freeSpace()) {
      return false;
    }
    if (!ensureCapacity(count)) {
      return false;
    }
    int tail = head + size & bytes.length - 1;
    int first = Math.min(count, bytes.length - tail);
    source.get(bytes, tail, first);
    source.get(bytes, 0, count - first);
    size += count;
    return true;
  }

  /** Adds all of the bytes, or none; returns false if they do not fit. */
  public boolean put(byte[] source) {
    return put(ByteBuffer.wrap(source));
  }

  /** Returns a copy of bytes, which remain in the buffer. */
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

  /** Removes the oldest bytes. */
  public void skip(int count) {
    if (count < 0 || count > size) {
      throw new IndexOutOfBoundsException(count);
    }
    head = head + count & bytes.length - 1;
    size -= count;
    if (size <= INITIAL_CAPACITY_BYTES && bytes.length > MAX_RETAINED_CAPACITY_BYTES) {
      resize(INITIAL_CAPACITY_BYTES);
    }
  }

  /** Removes the oldest bytes and returns them. */
  public byte[] take(int count) {
    byte[] taken = copy(0, count);
    skip(count);
    return taken;
  }

  /** Drops all bytes and the memory for them. */
  void clear() {
    size = 0;
    if (bytes.length > INITIAL_CAPACITY_BYTES) {
      resize(INITIAL_CAPACITY_BYTES);
    }
  }

  private boolean ensureCapacity(int additional) {
    int capacity = bytes.length;
    while (capacity < size + additional) {
      capacity *= 2;
    }
    if (capacity > bytes.length) {
      if (budget != null && !budget.tryTake(counted(capacity) - counted(bytes.length))) {
        return false;
      }
      replace(capacity);
    }
    return true;
  }

  private void resize(int capacity) {
    int released = counted(bytes.length) - counted(capacity);
    replace(capacity);
    if (budget != null && released > 0) {
      budget.give(released);
    }
  }

  private void replace(int capacity) {
    byte[] replacement = new byte[capacity];
    copyTo(replacement, 0, size);
    bytes = replacement;
    head = 0;
  }

  private static int counted(int capacity) {
    return Math.max(0, capacity - MAX_RETAINED_CAPACITY_BYTES);
  }
}

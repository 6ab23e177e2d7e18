package tansytrack.wire;

import java.nio.ByteBuffer;

/**
 * The bytes of one direction of a connection: a ring that starts small, doubles when full, and has
 * a bound.
 */
public final class Ring {

  private static final int FIRST = 1 << 11; // most messages are shorter

  private static final int KEPT =
      1 << 13; // by an empty ring: hundreds of sessions must not keep their largest

  private final int most;
  private byte[] bytes = new byte[FIRST];
  private int head;
  private int size;

  /** A ring that holds at most so many bytes; a power of two. */
  public Ring(int most) {
    if (Integer.bitCount(most) != 1 || most < FIRST) {
      throw new IllegalArgumentException("the bound of a ring is a power of two from " + FIRST);
    }
    this.most = most;
  }

  /** How many bytes it holds. */
  public int size() {
    return size;
  }

  /** How many bytes it may hold. */
  public int most() {
    return most;
  }

  /** What more it could hold. */
  public int space() {
    return most - size;
  }

  /** The byte at an index, counted from the oldest. */
  public byte at(int index) {
    if (index < 0 || index >= size) {
      throw new IndexOutOfBoundsException(index);
    }
    return bytes[head + index & bytes.length - 1];
  }

  /** Four bytes, the highest first. */
  public int intAt(int index) {
    return (at(index) & 255) << 24
        | (at(index + 1) & 255) << 16
        | (at(index + 2) & 255) << 8
        | (at(index + 3) & 255);
  }

  /** Takes all of the buffer, or nothing: false if it does not fit. */
  public boolean put(ByteBuffer from) {
    int count = from.remaining();
    if (count > space()) {
      return false;
    }
    room(count);
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
    if (size == 0 && bytes.length > KEPT) {
      bytes = new byte[FIRST];
      head = 0;
    }
  }

  /** Takes the first bytes out. */
  public byte[] take(int count) {
    byte[] taken = copy(0, count);
    skip(count);
    return taken;
  }

  private void room(int more) {
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

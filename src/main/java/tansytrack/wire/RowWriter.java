package tansytrack.wire;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;

/** Turns pages of text into the bodies of DataRow messages, one row at a time. */
public final class RowWriter {

  /** With more output than this in a session, no further row is written. */
  static final int MAX_PENDING_OUTPUT_BYTES = 1 << 13;

  // What a result takes in the session's output besides its pages.
  private static final int MAX_OUTPUT_OF_A_RESULT_BYTES = 2 * MAX_PENDING_OUTPUT_BYTES;

  // The most by which rows grow as messages: a row of three bytes becomes one of nineteen.
  private static final int MAX_OUTPUT_GROWTH = 7;

  private final ArrayDeque<byte[]> pages;
  private final Runnable whenDone;
  // Where the next row begins in the first page.
  private int position;
  private int rows;

  /**
   * Creates a writer.
   *
   * @param pages rows as text with a tab between columns and a line feed after each row
   * @param whenDone is run once the pages are no longer needed
   */
  RowWriter(List<byte[]> pages, Runnable whenDone) {
    this.pages = new ArrayDeque<>(pages);
    this.whenDone = whenDone;
  }

  /** Returns the memory in bytes that a result of the given size takes until it is written. */
  public static long memoryOfResult(long pageBytes) {
    return pageBytes + Math.min(MAX_OUTPUT_GROWTH * pageBytes, MAX_OUTPUT_OF_A_RESULT_BYTES);
  }

  /**
   * Whether every row of the page has the given number of columns and the page ends with a complete
   * row.
   */
  public static boolean hasWholeRows(byte[] page, int columns) {
    int tabs = 0;
    for (byte b : page) {
      tabs += b == '\t' ? 1 : 0;
      if (b == '\n') {
        if (tabs != columns - 1) {
          return false;
        }
        tabs = 0;
      }
    }
    return page.length == 0 || page[page.length - 1] == '\n';
  }

  /** Returns the number of rows so far. */
  int rows() {
    return rows;
  }

  /** Returns the body of the next row's message, or null if there is none. */
  byte[] nextRow() {
    while (!pages.isEmpty()) {
      byte[] page = pages.peek();
      for (int end = position; end < page.length; end++) {
        if (page[end] == '\n') {
          byte[] row = dataRow(page, position, end);
          position = end + 1;
          rows++;
          return row;
        }
      }
      pages.poll();
      position = 0;
    }
    return null;
  }

  /** Ends the use of the pages. */
  void close() {
    pages.clear();
    whenDone.run();
  }

  private static byte[] dataRow(byte[] page, int from, int to) {
    int columns = 1;
    for (int i = from; i < to; i++) {
      columns += page[i] == '\t' ? 1 : 0;
    }
    ByteBuffer row =
        ByteBuffer.allocate(2 + 4 * columns + to - from - columns + 1).putShort((short) columns);
    int start = from;
    for (int i = from; i <= to; i++) {
      if (i == to || page[i] == '\t') {
        row.putInt(i - start).put(page, start, i - start);
        start = i + 1;
      }
    }
    return row.array();
  }
}

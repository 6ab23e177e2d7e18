package tansytrack.wire;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;

/** Turns pages of text into the bodies of DataRow messages, one row at a time. */
final class RowWriter {

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

package tansytrack.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import tansytrack.wire.HttpCodec;
import tansytrack.wire.MemoryBudget;
import tansytrack.wire.ProtocolException;
import tansytrack.wire.RowWriter;

/**
 * The pages of one result. A page whose response told too small a length looks like a shorter page
 * if it was cut between two rows, so a page counts only once the end of its response is confirmed:
 * by the next response on the same connection, which would begin with the rest of the page. After
 * the last page, which no other page follows, that page is requested a second time.
 */
final class ResultPages {

  // A result has at most 48,000 bytes, a page at most 6,000.
  private static final int MAX_PAGES = 64;
  private static final int USUAL_MAX_PAGE_BYTES = 6000;
  private static final int MAX_RESULT_BYTES = 1 << 16;

  private final int columns;
  private final List<byte[]> confirmed = new ArrayList<>();
  // The page that was received last, null if all received pages are confirmed.
  private byte[] unconfirmed;
  // The number of pages that the engine told with the first one.
  private int pageCount;
  private int confirmedBytes;
  private double workMs;
  private double peakMb;
  // The memory for the whole result and its way to the client; null until it is granted.
  private MemoryBudget.Reservation memory;
  private MemoryBudget.Request memoryRequest;

  ResultPages(int columns) {
    this.columns = columns;
  }

  /** Returns the number of the page to request next. */
  int nextPage() {
    return confirmed.size() + (unconfirmed == null || awaitsSecondCopy() ? 0 : 1);
  }

  /** Whether the last page has been received and is requested once more to confirm it. */
  boolean awaitsSecondCopy() {
    return unconfirmed != null && confirmed.size() + 1 == pageCount;
  }

  /** Whether all pages have been received and confirmed. */
  boolean complete() {
    return pageCount > 0 && confirmed.size() == pageCount;
  }

  /**
   * Whether there is memory for the result, as far as its first response tells its size. Otherwise
   * it is requested, and the response is not to be added.
   *
   * @param whenGranted is run once there is memory, for the result to be fetched from its beginning
   */
  boolean reserve(HttpCodec.Response response, MemoryBudget budget, Runnable whenGranted)
      throws ProtocolException {
    if (memory == null) {
      long further = (readPageCount(response) - 1L) * USUAL_MAX_PAGE_BYTES;
      long bytes = RowWriter.memoryOfResult(response.body().length + further);
      memory = budget.tryReserve(MemoryBudget.Purpose.RESULT, bytes);
      if (memory == null) {
        memoryRequest =
            budget.reserve(
                MemoryBudget.Purpose.RESULT,
                bytes,
                granted -> {
                  memoryRequest = null;
                  memory = granted;
                  whenGranted.run();
                });
      }
    }
    return memory != null;
  }

  /** Whether the result is not fetched until there is memory for it. */
  boolean waitsForMemory() {
    return memoryRequest != null;
  }

  /** Gives back the memory, as the pages are no longer needed. */
  void release() {
    if (memoryRequest != null) {
      memoryRequest.cancel();
      memoryRequest = null;
    }
    if (memory != null) {
      memory.release();
    }
  }

  /** Returns the number of confirmed pages. */
  int confirmedCount() {
    return confirmed.size();
  }

  /** Returns the confirmed pages. */
  List<byte[]> pages() {
    return confirmed;
  }

  /** Returns the total size of the confirmed pages in bytes. */
  int bytes() {
    return confirmedBytes;
  }

  /** Returns the work that the engine told with the result, in milliseconds. */
  double workMs() {
    return workMs;
  }

  /** Returns the memory that the engine told with the result, in megabytes. */
  double peakMb() {
    return peakMb;
  }

  /**
   * Adds the page with the number {@link #nextPage}. There must be memory for the result. If the
   * response is malformed or brings another page, it is rejected and the state remains unchanged.
   *
   * @param delimited whether the end of this response is certain by itself
   */
  void add(HttpCodec.Response response, boolean delimited) throws ProtocolException {
    int number = nextPage();
    int count = number == 0 ? readPageCount(response) : pageCount;
    if (number > 0 && response.numericHeader("page-no", -1) != number) {
      throw new ProtocolException("another page than asked for");
    }
    byte[] body = response.body();
    int precedingBytes = confirmedBytes;
    if (unconfirmed != null && number > confirmed.size()) {
      precedingBytes += unconfirmed.length;
    }
    if (precedingBytes + body.length > MAX_RESULT_BYTES || !RowWriter.hasWholeRows(body, columns)) {
      throw new ProtocolException("a page that does not hold whole rows, or too large a result");
    }
    if (number == 0) {
      double toldWorkMs = response.numericHeader("work-ms", 0);
      double toldPeakMb = response.numericHeader("peak-mb", 0);
      pageCount = count;
      workMs = toldWorkMs;
      peakMb = toldPeakMb;
    }
    memory.growTo(RowWriter.memoryOfResult(precedingBytes + body.length));
    boolean secondCopy = unconfirmed != null && number == confirmed.size();
    if (!secondCopy) {
      confirmLast();
    }
    boolean identical = secondCopy && Arrays.equals(unconfirmed, body);
    unconfirmed = body;
    if (identical || delimited) {
      confirmLast();
    }
  }

  private static int readPageCount(HttpCodec.Response response) throws ProtocolException {
    double count = response.numericHeader("page-count", 0);
    if (count < 1 || count > MAX_PAGES || count != Math.rint(count)) {
      throw new ProtocolException("a result of " + count + " pages");
    }
    return (int) count;
  }

  /** Confirms the page that was received last, as a sound response followed it. */
  void confirmLast() {
    if (unconfirmed != null) {
      confirmed.add(unconfirmed);
      confirmedBytes += unconfirmed.length;
      unconfirmed = null;
    }
  }

  /** Drops the page that was received last, as its connection failed before it was confirmed. */
  void dropUnconfirmed() {
    unconfirmed = null;
  }
}

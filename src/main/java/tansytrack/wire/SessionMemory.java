package tansytrack.wire;

import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * The memory for what a client's session has received: a large message reserves it from its first
 * bytes on, and so does what is received ahead of its turn. Without a reservation a connection is
 * read up to a few kilobytes.
 */
final class SessionMemory {

  private static final String SQLSTATE_LIMIT_EXCEEDED = "54000";

  // A message of this size is read without a reservation of memory.
  private static final int MAX_UNRESERVED_BYTES = 1 << 12;

  // A message is held as such, and once more while its statement is sent to an engine.
  private static final int COPIES_OF_A_MESSAGE = 2;

  // What a client may write ahead of the answer to its open query. The rest of a connection is read
  // all the same, as its end behind it shows that the client has gone.
  private static final int MAX_READ_AHEAD_BYTES = 3 << 15;
  private static final int MAX_UNREAD_AHEAD_BYTES = 1 << 17;

  private final Connection connection;
  private final int maxMessageBytes;
  private final Supplier<MemoryBudget> budget;
  private MemoryBudget.Reservation messageMemory;
  private MemoryBudget.Request request;
  // Whether the last message had to wait for its memory.
  private boolean waited;
  private MemoryBudget.Reservation readAheadMemory;

  SessionMemory(Connection connection, int maxMessageBytes, Supplier<MemoryBudget> budget) {
    this.connection = connection;
    this.maxMessageBytes = maxMessageBytes;
    this.budget = budget;
    connection.maxUnreadBytes(MAX_UNRESERVED_BYTES);
  }

  /** Whether a message waits for memory. */
  boolean waiting() {
    return request != null;
  }

  /** Whether the message that is complete now had to wait for memory; asked once. */
  boolean takeWaited() {
    boolean result = waited;
    waited = false;
    return result;
  }

  /**
   * Whether there is memory for a message of the given size. Otherwise it is requested, and no more
   * of the message is read than fits without.
   */
  boolean availableFor(int messageBytes, Runnable whenGranted) {
    if (messageBytes <= MAX_UNRESERVED_BYTES || messageMemory != null) {
      return true;
    }
    if (request != null) {
      return false;
    }
    long bytes = (long) COPIES_OF_A_MESSAGE * messageBytes;
    messageMemory = budget.get().tryReserve(MemoryBudget.Purpose.MESSAGE, bytes);
    if (messageMemory != null) {
      readLargeMessage();
      return true;
    }
    request =
        budget
            .get()
            .reserve(
                MemoryBudget.Purpose.MESSAGE,
                bytes,
                granted -> {
                  request = null;
                  messageMemory = granted;
                  waited = true;
                  readLargeMessage();
                  whenGranted.run();
                });
    return false;
  }

  private void readLargeMessage() {
    if (readAheadMemory == null) {
      connection.maxUnreadBytes(maxMessageBytes);
    }
  }

  /** Called when a message has been taken from the input. */
  void messageTaken() {
    if (readAheadMemory == null) {
      connection.maxUnreadBytes(MAX_UNRESERVED_BYTES);
    }
  }

  /**
   * Reads on where messages wait for their turn, within limits: a connection that is not read does
   * not show that its client has gone.
   *
   * @param querying whether a query is open
   * @param fatalError ends the session with a code and a text
   */
  void adjustReadAhead(boolean querying, BiConsumer<String, String> fatalError) {
    int received = connection.input.size();
    boolean readingLargeMessage = !querying && (messageMemory != null || request != null);
    if (received <= MAX_UNRESERVED_BYTES) {
      if (readAheadMemory != null) {
        connection.maxUnreadBytes(MAX_UNRESERVED_BYTES);
        releaseReadAhead();
      }
    } else if (connection.open() && !readingLargeMessage && readAheadMemory == null) {
      readAheadMemory =
          budget.get().tryReserve(MemoryBudget.Purpose.MESSAGE, MAX_UNREAD_AHEAD_BYTES);
      if (readAheadMemory == null) {
        fatalError.accept(MemoryBudget.SQLSTATE_OUT_OF_MEMORY, "no memory for further messages");
      } else {
        connection.maxUnreadBytes(MAX_UNREAD_AHEAD_BYTES);
      }
    } else if (connection.open() && received > MAX_READ_AHEAD_BYTES) {
      fatalError.accept(SQLSTATE_LIMIT_EXCEEDED, "too many messages at once");
    }
  }

  /** Gives back the memory of the message that is handled, or withdraws the request for it. */
  void releaseMessage() {
    if (request != null) {
      request.cancel();
      request = null;
    }
    if (messageMemory != null) {
      messageMemory.release();
      messageMemory = null;
    }
  }

  private void releaseReadAhead() {
    if (readAheadMemory != null) {
      readAheadMemory.release();
      readAheadMemory = null;
    }
  }

  /** Gives back everything, at the end of the session. */
  void release() {
    releaseMessage();
    releaseReadAhead();
  }
}

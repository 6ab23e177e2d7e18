package tansytrack.wire;

import java.nio.ByteBuffer;
import java.util.List;

/**
 * A client session of the PostgreSQL frontend/backend protocol 3.0. It serves only simple queries,
 * one at a time.
 */
public final class PgSession implements Connection.Owner {

  /** Handles the queries and events of sessions. A session has one open query at a time. */
  public interface Handler {
    /**
     * Called for each query; it must be answered exactly once.
     *
     * @param receivedAt when the last byte of the query was received
     */
    void query(PgSession session, byte[] statement, long receivedAt);

    /**
     * Called for a cancel request.
     *
     * @param processId the number of the session whose query is to be cancelled
     * @param secretKey the secret key that the request names
     */
    void cancelRequested(int processId, int secretKey);

    /** Called when the session ends, possibly with an open query. */
    void sessionEnded(PgSession session);

    /**
     * Called when a session is closed because its client violated the protocol or exceeded a limit.
     */
    default void protocolViolated(String reason) {}

    /** Called when the session's connection has released its resources. */
    void sessionReleased(PgSession session);

    /** Runs an action after the current event has been handled. */
    void defer(Runnable action);

    /**
     * Runs an action after the given time, and not before the events of others have had their turn.
     * The default is for handlers without a clock.
     */
    default void runLater(long delayNanos, Runnable action) {
      defer(action);
    }

    /** Returns the bound on the memory for all sessions. */
    MemoryBudget memory();
  }

  // The statements of clients are far shorter.
  private static final int MAX_MESSAGE_BYTES = 1 << 15;
  private static final int MIN_STARTUP_MESSAGE_BYTES = 8;

  // The limit of PostgreSQL's server.
  private static final int MAX_STARTUP_MESSAGE_BYTES = 10_000;

  // With more output than this, no further row is written and no further message handled until the
  // client has read.
  private static final int MAX_PENDING_OUTPUT_BYTES = RowWriter.MAX_PENDING_OUTPUT_BYTES;

  // Time for the end of a connection to be noticed that was not read while its session waited.
  private static final long CLIENT_CHECK_NANOS = 20_000_000L;

  // Messages that a session handles before the events of others have their turn.
  private static final int MAX_MESSAGES_PER_TURN = 8;

  // Rounds in which a client reads nothing of a pending answer before its session is closed.
  // Longer than any client waits, as closing earlier would lose the answer.
  private static final int STALLED_CLIENT_ROUNDS = 60;

  // Rounds without any message before a session that has sent no usable query is closed.
  private static final int UNUSED_SESSION_ROUNDS = 120;

  // Rounds without a complete message since its first byte, or since the connection was accepted.
  // Far longer than a round trip.
  private static final int INCOMPLETE_MESSAGE_ROUNDS = 4;

  // Messages in a round that request nothing or cannot be used.
  private static final int MAX_UNPRODUCTIVE_MESSAGES_PER_ROUND = 50;

  private final Connection connection;
  private final Handler handler;
  private final int processId;
  private final int secretKey;
  private final PgMessageWriter messages;
  private final SessionMemory memory;
  private boolean started;
  private boolean querying;
  // Whether messages are ignored up to the next Sync, after one of the extended query protocol.
  private boolean skippingToSync;
  // When the last bytes were received.
  private long lastReceivedAt;
  // Bytes written to the client as of the last round.
  private long bytesWrittenAtLastRound;
  // Rounds since anything was received or written.
  private int idleRounds;
  // Whether the client has ever sent a usable query.
  private boolean sentUsableQuery;
  // Rounds for which a message has been due and incomplete.
  private int incompleteRounds;
  // Messages in this round that requested nothing.
  private int unproductiveMessages;
  // The handler's object for the open query, null if there is none.
  private Object openQuery;
  // The rows that are being written, null if there are none.
  private RowWriter rows;
  // Whether messages are being handled.
  private boolean handlingInput;
  // Whether a further turn is scheduled.
  private boolean turnScheduled;
  // Whether messages wait until it is known whether the client has gone meanwhile.
  private boolean checkingClient;

  /**
   * Creates a session on an accepted connection.
   *
   * @param processId identifies the session in cancel requests (the process ID of the protocol)
   * @param secretKey the secret key that a cancel request must name
   */
  public PgSession(Connection connection, Handler handler, int processId, int secretKey) {
    this.connection = connection;
    this.handler = handler;
    this.processId = processId;
    this.secretKey = secretKey;
    connection.setOwner(this);
    // The writer's overflow: the client sends queries without reading the answers.
    messages = new PgMessageWriter(connection.output, () -> handler.defer(this::closeNow));
    memory = new SessionMemory(connection, MAX_MESSAGE_BYTES, handler::memory);
  }

  /** Returns the number that identifies the session in cancel requests. */
  public int processId() {
    return processId;
  }

  /** Whether the secret key of a cancel request is the one of this session. */
  public boolean matchesSecretKey(int secretKey) {
    return this.secretKey == secretKey;
  }

  /** Returns the handler's object for the open query, null if there is none. */
  public Object openQuery() {
    return openQuery;
  }

  /** Sets the handler's object for the open query; null if the query is answered. */
  public void openQuery(Object query) {
    openQuery = query;
    sentUsableQuery |= query != null;
  }

  /** Whether the session's connection has released its resources. */
  public boolean isReleased() {
    return connection.isReleased();
  }

  /** Whether a message is to be answered, or an answer has not been written completely. */
  public boolean busy() {
    return querying || turnScheduled || checkingClient || connection.output.size() > 0;
  }

  /** Whether a message waits for memory, of which the session has not read all. */
  public boolean waitsForMemory() {
    return memory.waiting();
  }

  /**
   * Returns the priority with which the session is closed to make room for a new one: 2 if its
   * startup is not complete, 1 if it has sent no usable query, 0 if it is idle, and -1 if it must
   * not be closed because an answer is pending.
   */
  public int evictionPriority() {
    return busy() || !connection.open() ? -1 : !started ? 2 : !sentUsableQuery ? 1 : 0;
  }

  /**
   * Called periodically. Closes the session if its client has stopped reading or sending, or does
   * not complete a message, so that such clients do not hold resources.
   */
  public void checkProgress() {
    unproductiveMessages = 0;
    incompleteRounds =
        !querying
                && connection.open()
                && !turnScheduled
                && !checkingClient
                && connection.output.size() < MAX_PENDING_OUTPUT_BYTES
                && (!started || connection.input.size() > 0)
            ? incompleteRounds + 1
            : 0;
    if (incompleteRounds > INCOMPLETE_MESSAGE_ROUNDS) {
      sendFatalError(
          memory.waiting() ? MemoryBudget.SQLSTATE_OUT_OF_MEMORY : "08P01",
          memory.waiting() ? "no memory for the message in time" : "no whole message in time");
      return;
    }
    idleRounds = connection.bytesWritten() == bytesWrittenAtLastRound ? idleRounds + 1 : 1;
    bytesWrittenAtLastRound = connection.bytesWritten();
    boolean outputPending = connection.output.size() > 0 || !connection.open();
    if (!isReleased()
        && (outputPending
            ? idleRounds > STALLED_CLIENT_ROUNDS
            : !querying && !sentUsableQuery && idleRounds > UNUSED_SESSION_ROUNDS)) {
      closeNow();
    }
  }

  /** Rejects the session because there is no room for it. */
  public void rejectConnection() {
    messages.error("FATAL", "53300", "too many connections");
    closeAfterFlush();
  }

  @Override
  public void writeCompleted() {
    idleRounds = 0;
    if (rows != null) {
      writeRows();
    } else if (!querying) {
      handleInput();
    }
  }

  @Override
  public void received(long receivedAt) {
    lastReceivedAt = receivedAt;
    idleRounds = 0;
    handleInput();
  }

  /**
   * Handles the messages that have been received, up to an open query, an incomplete message, a
   * client that does not read, or the end of the session's turn.
   */
  private void handleInput() {
    if (handlingInput || checkingClient) {
      return;
    }
    handlingInput = true;
    int handled = 0;
    while (connection.open()
        && !querying
        && connection.output.size() < MAX_PENDING_OUTPUT_BYTES
        && handled < MAX_MESSAGES_PER_TURN
        && handleNextMessage()) {
      handled++;
    }
    handlingInput = false;
    memory.adjustReadAhead(querying, this::sendFatalError);
    connection.inputConsumed();
    connection.flush();
    if (handled == MAX_MESSAGES_PER_TURN) {
      scheduleTurn();
    }
  }

  private void scheduleTurn() {
    if (!turnScheduled && !querying && connection.open() && connection.input.size() > 0) {
      turnScheduled = true;
      handler.runLater(0, this::turnCame);
    }
  }

  private void turnCame() {
    turnScheduled = false;
    handleInput();
  }

  /** Handles the next message; returns whether there was a complete and valid one. */
  private boolean handleNextMessage() {
    RingBuffer input = connection.input;
    int lengthOffset = started ? 1 : 0;
    if (input.size() < lengthOffset + 4) {
      return false;
    }
    int length = input.intAt(lengthOffset);
    if (length < (started ? 4 : MIN_STARTUP_MESSAGE_BYTES)
        || length > (started ? MAX_MESSAGE_BYTES : MAX_STARTUP_MESSAGE_BYTES)) {
      sendFatalError("08P01", "invalid message length");
      return false;
    }
    if (!memory.availableFor(lengthOffset + length, this::memoryGranted)
        || input.size() < lengthOffset + length) {
      return false;
    }
    if (memory.takeWaited()) {
      checkClient();
      return false;
    }
    byte[] message = input.take(lengthOffset + length);
    memory.messageTaken();
    incompleteRounds = 0;
    if (!started || message[0] != 'Q') {
      countUnproductiveMessage();
    }
    if (!connection.open()) {
      return false;
    }
    if (started) {
      handleMessage(message, lastReceivedAt);
    } else {
      handleStartupMessage(ByteBuffer.wrap(message, 4, length - 4));
    }
    if (!querying) {
      memory.releaseMessage();
    }
    return true;
  }

  private void memoryGranted() {
    incompleteRounds = 0; // the wait for memory does not count as the client's
    handleInput();
  }

  /**
   * Lets a message wait that came whole while its session waited for memory: its client may have
   * gone since, and the end of its connection is read only now.
   */
  private void checkClient() {
    checkingClient = true;
    handler.runLater(CLIENT_CHECK_NANOS, this::clientChecked);
  }

  private void clientChecked() {
    checkingClient = false;
    handleInput();
  }

  private void handleStartupMessage(ByteBuffer message) {
    int code = message.getInt();
    if (code == StartupCodes.SSL_REQUEST || code == StartupCodes.GSSENC_REQUEST) {
      connection.output.put(new byte[] {'N'});
    } else if (code == StartupCodes.CANCEL_REQUEST) {
      if (message.remaining() == 8) {
        handler.cancelRequested(message.getInt(), message.getInt());
      }
      connection.closeAfterFlush();
    } else if (code != StartupCodes.PROTOCOL_VERSION_3) {
      sendFatalError(
          "0A000", "unsupported frontend protocol " + (code >>> 16) + "." + (code & 0xffff));
    } else {
      started = true;
      messages.startupReply(processId, secretKey);
    }
  }

  /**
   * Counts a message that requests nothing, and closes the session if there are too many of them,
   * as an endless stream of them takes the event loop's time from other clients.
   */
  private void countUnproductiveMessage() {
    if (++unproductiveMessages > MAX_UNPRODUCTIVE_MESSAGES_PER_ROUND) {
      sendFatalError("08P01", "too many messages that ask for nothing");
    }
  }

  /** Answers the open query with an error, as it cannot be used. */
  public void rejectQuery(String reason) {
    sendError("22023", reason);
    countUnproductiveMessage();
  }

  private void handleMessage(byte[] message, long receivedAt) {
    switch (message[0]) {
      case 'Q' -> handleQuery(message, receivedAt);
      case 'X' -> closeAfterFlush();
      case 'S' -> {
        skippingToSync = false;
        messages.readyForQuery();
      }
      case 'P', 'B', 'D', 'E', 'C', 'H', 'F' -> {
        if (!skippingToSync) {
          messages.error("ERROR", "0A000", "only simple queries are served");
        }
        skippingToSync = message[0] != 'F';
        if (!skippingToSync) {
          messages.readyForQuery();
        }
      }
      case 'd', 'c', 'f' -> {} // the rest of a COPY that was rejected
      default -> sendFatalError("08P01", "invalid frontend message type " + (message[0] & 255));
    }
  }

  private void handleQuery(byte[] message, long receivedAt) {
    if (skippingToSync) {
      return;
    }
    byte[] statement = QueryMessage.statement(message);
    if (statement == null) {
      sendFatalError("08P01", "invalid string in message");
      return;
    }
    if (QueryMessage.isEmpty(statement)) {
      messages.message('I', new byte[0]);
      messages.readyForQuery();
      countUnproductiveMessage();
    } else {
      querying = true;
      handler.query(this, statement, receivedAt);
    }
  }

  // ---- Answers to the open query; each ends it ----

  /**
   * Answers the open query with rows, as fast as the client reads them.
   *
   * @param pages rows as text with a tab between columns and a line feed after each row
   * @param whenDone is run once the pages are no longer needed, whether or not they were written
   */
  public void sendRows(String[] columns, List<byte[]> pages, Runnable whenDone) {
    if (isReleased()) {
      whenDone.run();
      return;
    }
    messages.rowDescription(columns);
    rows = new RowWriter(pages, whenDone);
    writeRows();
  }

  /** Writes rows until the output is full; continues when the client has read it. */
  private void writeRows() {
    byte[] row = null;
    while (connection.output.size() < MAX_PENDING_OUTPUT_BYTES && (row = rows.nextRow()) != null) {
      messages.message('D', row);
    }
    if (row == null && connection.output.size() < MAX_PENDING_OUTPUT_BYTES) {
      messages.commandComplete(rows.rows());
      closeRows();
      finishQuery();
    } else {
      connection.flush();
    }
  }

  private void closeRows() {
    RowWriter closed = rows;
    rows = null;
    if (closed != null) {
      closed.close();
    }
  }

  /** Answers the open query with an error. The session continues. */
  public void sendError(String code, String text) {
    messages.error("ERROR", code, text);
    finishQuery();
  }

  private void finishQuery() {
    messages.readyForQuery();
    idleRounds = 0; // the time until the answer does not count as the client's silence
    querying = false;
    openQuery = null;
    memory.releaseMessage();
    connection.flush();
    // Messages received after the query have been kept in the input buffer.
    if (!handlingInput) {
      scheduleTurn();
    }
  }

  // ---- Messages to the client ----

  private void sendFatalError(String code, String text) {
    handler.protocolViolated(text.replaceAll(" [0-9.]+$", ""));
    messages.error("FATAL", code, text);
    closeAfterFlush();
  }

  /** Closes the session once the output is written. An open query is abandoned. */
  public void closeAfterFlush() {
    connection.closeAfterFlush();
    handler.sessionEnded(this);
  }

  private void closeNow() {
    connection.close();
    handler.sessionEnded(this);
  }

  @Override
  public void closed(boolean wasUp) {
    handler.sessionEnded(this);
  }

  @Override
  public void released() {
    closeRows();
    memory.release();
    handler.sessionReleased(this);
  }
}

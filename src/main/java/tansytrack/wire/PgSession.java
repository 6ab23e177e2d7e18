package tansytrack.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** One client's session in the PostgreSQL protocol 3.0: simple queries, one after the other. */
public final class PgSession implements Connection.Owner {

  /** What sessions are for; one query is open at a time. */
  public interface Handler {
    /** A statement has come whole at that time; it is owed one answer. */
    void query(PgSession session, byte[] statement, long at);

    /** Somebody wants the query of the session with this key given up. */
    void cancelRequested(int number, int secret);

    /** The session ends; a query may have been open. */
    void sessionEnded(PgSession session);

    /** A client spoke what the protocol does not allow, or past a bound, and is closed. */
    default void protocolViolated(String why) {}

    /** Its connection has given back what it held. */
    void sessionReleased(PgSession session);

    /** To be done when the present news has been dealt with. */
    void defer(Runnable what);
  }

  private static final int PROTOCOL_VERSION_3 = 3 << 16;
  private static final int CANCEL_REQUEST_CODE = 80877102;
  private static final int SSL_REQUEST_CODE = 80877103;
  private static final int GSSENC_REQUEST_CODE = 80877104;
  private static final int MAX_MESSAGE_BYTES =
      1 << 15; // a message; statements here are far shorter
  private static final int MIN_STARTUP_MESSAGE_BYTES = 8;
  private static final int STALLED_CLIENT_ROUNDS =
      60; // rounds without a byte read by a client that is owed some:
  // longer than any waits, as a cut before loses its answer
  private static final int UNUSED_SESSION_ROUNDS =
      120; // rounds without a word, for one that never asked anything
  private static final int INCOMPLETE_MESSAGE_ROUNDS =
      4; // rounds without a whole message since its first byte, or since
  // the connection came: far more than a round trip
  private static final int MAX_UNPRODUCTIVE_MESSAGES_PER_ROUND =
      50; // messages in a round that ask for nothing or cannot be used
  private static final String[] PARAMETER_STATUS = {
    "server_version",
    "15.0",
    "server_encoding",
    "UTF8",
    "client_encoding",
    "UTF8",
    "DateStyle",
    "ISO, MDY",
    "integer_datetimes",
    "on",
    "standard_conforming_strings",
    "on"
  };
  private static final int TEXT_TYPE_OID = 25; // the type of every column

  private final Connection connection;
  private final Handler handler;
  private final int processId;
  private final int secretKey;
  private boolean started;
  private boolean querying;
  private boolean skippingToSync; // to the next Sync, after a message of the extended protocol
  private long lastReceivedAt; // when the last bytes came
  private long bytesWrittenAtLastRound; // of what was written, by the last round
  private int idleRounds; // rounds since anything was heard or written
  private boolean sentUsableQuery; // something that could be used
  private int incompleteRounds; // rounds since a message was due that is not whole
  private int unproductiveMessages; // messages in this round that asked for nothing
  private Object openQuery; // what the owner of the query keeps with it

  /** A session on an accepted connection, with the key that a cancel request must name. */
  public PgSession(Connection connection, Handler front, int number, int secret) {
    this.connection = connection;
    this.handler = front;
    this.processId = number;
    this.secretKey = secret;
    connection.setOwner(this);
  }

  /** The session's number, the public part of its cancel key. */
  public int processId() {
    return processId;
  }

  /** Whether a cancel request names this session's secret. */
  public boolean matchesSecretKey(int secret) {
    return this.secretKey == secret;
  }

  /** The query that is waited for, null between queries. */
  public Object openQuery() {
    return openQuery;
  }

  /** Sets the query that is waited for; null: it is answered. */
  public void openQuery(Object query) {
    openQuery = query;
    sentUsableQuery |= query != null;
  }

  /** Has the connection given back what it held? */
  public boolean isReleased() {
    return connection.isReleased();
  }

  /** Is an answer owed, or still being read by the client? */
  public boolean busy() {
    return querying || connection.output.size() > 0;
  }

  /**
   * How soon it is closed for a new one when there is no room: one that has not started first, then
   * one that never asked, then an idle one; -1: not at all, as it is owed an answer.
   */
  public int evictionPriority() {
    return busy() || !connection.open() ? -1 : !started ? 2 : !sentUsableQuery ? 1 : 0;
  }

  /**
   * One round, some time after the last: a client that stopped reading or speaking must not hold
   * anything, nor one that never comes to the end of a message.
   */
  public void checkProgress() {
    unproductiveMessages = 0;
    incompleteRounds =
        !querying && connection.open() && (!started || connection.input.size() > 0)
            ? incompleteRounds + 1
            : 0;
    if (incompleteRounds > INCOMPLETE_MESSAGE_ROUNDS) {
      sendFatalError("08P01", "no whole message in time");
      return;
    }
    idleRounds = connection.bytesWritten() == bytesWrittenAtLastRound ? idleRounds + 1 : 1;
    bytesWrittenAtLastRound = connection.bytesWritten();
    boolean stuck = connection.output.size() > 0 || !connection.open();
    if (!isReleased()
        && (stuck
            ? idleRounds > STALLED_CLIENT_ROUNDS
            : !querying && !sentUsableQuery && idleRounds > UNUSED_SESSION_ROUNDS)) {
      closeNow();
    }
  }

  /** For a session that there is no room for. */
  public void rejectConnection() {
    sendError("FATAL", "53300", "too many connections");
    closeAfterFlush();
  }

  @Override
  public void writeCompleted() {
    idleRounds = 0;
  }

  @Override
  public void received(long at) {
    lastReceivedAt = at;
    idleRounds = 0;
    RingBuffer in = connection.input;
    while (connection.open() && !querying && in.size() >= 4) {
      int first = started ? 1 : 0;
      if (in.size() < first + 4) {
        return;
      }
      int length = in.intAt(first);
      if (length < (started ? 4 : MIN_STARTUP_MESSAGE_BYTES) || length > MAX_MESSAGE_BYTES) {
        sendFatalError("08P01", "invalid message length");
        return;
      }
      if (in.size() < first + length) {
        return;
      }
      byte[] message = in.take(first + length);
      incompleteRounds = 0;
      if (!started || message[0] != 'Q') {
        countUnproductiveMessage();
      }
      if (!connection.open()) {
        return;
      }
      if (started) {
        message(message, at);
      } else {
        handleStartupMessage(ByteBuffer.wrap(message, 4, length - 4));
      }
    }
    connection.flush();
  }

  private void handleStartupMessage(ByteBuffer message) {
    int code = message.getInt();
    if (code == SSL_REQUEST_CODE || code == GSSENC_REQUEST_CODE) {
      connection.output.put(new byte[] {'N'});
    } else if (code == CANCEL_REQUEST_CODE) {
      if (message.remaining() == 8) {
        handler.cancelRequested(message.getInt(), message.getInt());
      }
      connection.closeAfterFlush();
    } else if (code != PROTOCOL_VERSION_3) {
      sendFatalError(
          "0A000", "unsupported frontend protocol " + (code >>> 16) + "." + (code & 0xffff));
    } else {
      started = true;
      message('R', ByteBuffer.allocate(4).putInt(0).array());
      for (int i = 0; i < PARAMETER_STATUS.length; i += 2) {
        message(
            'S',
            (PARAMETER_STATUS[i] + '\0' + PARAMETER_STATUS[i + 1] + '\0')
                .getBytes(StandardCharsets.UTF_8));
      }
      message('K', ByteBuffer.allocate(8).putInt(processId).putInt(secretKey).array());
      sendReadyForQuery();
    }
  }

  /**
   * Guards against streams without end of messages that ask for nothing: they take the loop's time
   * from the others.
   */
  private void countUnproductiveMessage() {
    if (++unproductiveMessages > MAX_UNPRODUCTIVE_MESSAGES_PER_ROUND) {
      sendFatalError("08P01", "too many messages that ask for nothing");
    }
  }

  /** The open query could not be used. */
  public void rejectQuery(String why) {
    sendError("22023", why);
    countUnproductiveMessage();
  }

  private void message(byte[] message, long at) {
    switch (message[0]) {
      case 'Q' -> handleQuery(message, at);
      case 'X' -> closeAfterFlush();
      case 'S' -> {
        skippingToSync = false;
        sendReadyForQuery();
      }
      case 'P', 'B', 'D', 'E', 'C', 'H', 'F' -> {
        if (!skippingToSync) {
          sendError("ERROR", "0A000", "only simple queries are served");
        }
        skippingToSync = message[0] != 'F';
        if (!skippingToSync) {
          sendReadyForQuery();
        }
      }
      case 'd', 'c', 'f' -> {} // the rest of a copy that was refused
      default -> sendFatalError("08P01", "invalid frontend message type " + (message[0] & 255));
    }
  }

  private void handleQuery(byte[] message, long at) {
    if (skippingToSync) {
      return;
    }
    int end = message.length - 1;
    boolean whole = end >= 5 && message[end] == 0;
    for (int i = 5; i < end; i++) {
      whole &= message[i] != 0;
    }
    if (!whole) {
      sendFatalError("08P01", "invalid string in message");
      return;
    }
    boolean empty = true;
    for (int i = 5; i < end; i++) {
      empty &=
          message[i] == ' '
              || message[i] == ';'
              || message[i] == '\n'
              || message[i] == '\r'
              || message[i] == '\t';
    }
    if (empty) {
      message('I', new byte[0]);
      sendReadyForQuery();
      countUnproductiveMessage();
    } else {
      querying = true;
      handler.query(this, java.util.Arrays.copyOfRange(message, 5, end), at);
    }
  }

  // ---- Answers to the open query; each ends it ----

  /** Rows as text, a tab between columns and a line feed after each row. */
  public void sendRows(String[] columns, List<byte[]> pages) {
    int bytes = 2;
    for (String column : columns) {
      bytes += column.length() + 19;
    }
    ByteBuffer names = ByteBuffer.allocate(bytes).putShort((short) columns.length);
    for (String column : columns) {
      names
          .put(column.getBytes(StandardCharsets.US_ASCII))
          .put((byte) 0)
          .putInt(0)
          .putShort((short) 0);
      names.putInt(TEXT_TYPE_OID).putShort((short) -1).putInt(-1).putShort((short) 0);
    }
    message('T', names.array());
    int count = 0;
    for (byte[] page : pages) {
      int from = 0;
      for (int i = 0; i < page.length; i++) {
        if (page[i] == '\n') {
          sendDataRow(page, from, i);
          count++;
          from = i + 1;
        }
      }
    }
    message('C', ("SELECT " + count + '\0').getBytes(StandardCharsets.US_ASCII));
    finishQuery();
  }

  /** Does every row of the page hold so many columns, and does it end with a row? */
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

  private void sendDataRow(byte[] page, int from, int to) {
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
    message('D', row.array());
  }

  /** An error ends the query, not the session. */
  public void sendError(String code, String text) {
    sendError("ERROR", code, text);
    finishQuery();
  }

  private void finishQuery() {
    sendReadyForQuery();
    idleRounds = 0; // the wait for the answer was not the client's
    querying = false;
    openQuery = null;
    connection.flush();
    // What came behind the query has waited in the ring.
    if (connection.input.size() > 0) {
      handler.defer(() -> received(lastReceivedAt));
    }
  }

  // ---- What is written ----

  private void sendReadyForQuery() {
    message('Z', new byte[] {'I'});
  }

  private void sendError(String severity, String code, String text) {
    message(
        'E',
        ("S" + severity + "\0V" + severity + "\0C" + code + "\0M" + text + "\0\0")
            .getBytes(StandardCharsets.UTF_8));
  }

  private void sendFatalError(String code, String text) {
    handler.protocolViolated(text.replaceAll(" [0-9.]+$", ""));
    sendError("FATAL", code, text);
    closeAfterFlush();
  }

  private void message(char type, byte[] body) {
    ByteBuffer head = ByteBuffer.allocate(5).put((byte) type).putInt(body.length + 4).flip();
    if (connection.output.freeSpace() < body.length + 5) {
      handler.defer(this::closeNow); // asks on, but does not read what it is answered
      return;
    }
    connection.output.put(head);
    connection.output.put(body);
  }

  /** Closes the session once all is written; an open query is given up. */
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
    handler.sessionReleased(this);
  }
}

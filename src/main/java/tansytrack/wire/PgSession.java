package tansytrack.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A client session of the PostgreSQL frontend/backend protocol 3.0. It serves only simple queries,
 * one at a time.
 */
public final class PgSession implements Connection.Owner {

  /** Handles the queries and events of sessions. A session has one open query at a time. */
  public interface Front {
    /**
     * Called for each query; it must be answered exactly once.
     *
     * @param at when the last byte of the query was received
     */
    void query(PgSession session, byte[] statement, long at);

    /**
     * Called for a cancel request.
     *
     * @param number the number of the session whose query is to be cancelled
     * @param secret the secret key that the request names
     */
    void cancel(int number, int secret);

    /** Called when the session ends, possibly with an open query. */
    void gone(PgSession session);

    /**
     * Called when a session is closed because its client violated the protocol or exceeded a limit.
     */
    default void malformed(String why) {}

    /** Called when the session's connection has released its resources. */
    void over(PgSession session);

    /** Runs an action after the current event has been handled. */
    void later(Runnable what);
  }

  private static final int PROTOCOL = 3 << 16;
  private static final int CANCEL = 80877102;
  private static final int TLS = 80877103;
  private static final int GSS = 80877104;

  // The statements of clients are far shorter.
  private static final int LONGEST = 1 << 15;
  private static final int SHORTEST_START = 8;

  // Rounds in which a client reads nothing of a pending answer before its session is closed. This is
  // longer than any client waits, as closing earlier would lose the answer.
  private static final int STUCK = 60;

  // Rounds without any message before a session that has sent no usable query is closed.
  private static final int UNUSED = 120;

  // Rounds without a complete message since its first byte, or since the connection was accepted.
  // Far longer than a round trip.
  private static final int UNREADY = 4;

  // Messages in a round that request nothing or cannot be used.
  private static final int MOST_VAIN = 50;
  private static final String[] STATUS = {
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

  // The type of every column.
  private static final int TEXT = 25;

  private final Connection connection;
  private final Front front;
  private final int number;
  private final int secret;
  private boolean started;
  private boolean querying;
  // Whether messages are ignored up to the next Sync, after one of the extended query protocol.
  private boolean skipping;
  // When the last bytes were received.
  private long heardAt;
  // Bytes written to the client as of the last round.
  private long taken;
  // Rounds since anything was received or written.
  private int quiet;
  // Whether the client has ever sent a usable query.
  private boolean asked;
  // Rounds for which a message has been due and incomplete.
  private int unready;
  // Messages in this round that requested nothing.
  private int vain;
  // The handler's object for the open query, null if there is none.
  private Object open;

  /**
   * Creates a session on an accepted connection.
   *
   * @param number identifies the session in cancel requests (the process ID of the protocol)
   * @param secret the secret key that a cancel request must name
   */
  public PgSession(Connection connection, Front front, int number, int secret) {
    this.connection = connection;
    this.front = front;
    this.number = number;
    this.secret = secret;
    connection.own(this);
  }

  /** Returns the number that identifies the session in cancel requests. */
  public int number() {
    return number;
  }

  /** Whether the secret key of a cancel request is the one of this session. */
  public boolean fits(int secret) {
    return this.secret == secret;
  }

  /** Returns the handler's object for the open query, null if there is none. */
  public Object open() {
    return open;
  }

  /** Sets the handler's object for the open query; null if the query is answered. */
  public void open(Object query) {
    open = query;
    asked |= query != null;
  }

  /** Whether the session's connection has released its resources. */
  public boolean ended() {
    return connection.ended();
  }

  /** Whether a query is open, or its answer has not been written completely. */
  public boolean busy() {
    return querying || connection.out.size() > 0;
  }

  /**
   * Returns the priority with which the session is closed to make room for a new one: 2 if its
   * startup is not complete, 1 if it has sent no usable query, 0 if it is idle, and -1 if it must not
   * be closed because an answer is pending.
   */
  public int dispensable() {
    return busy() || !connection.open() ? -1 : !started ? 2 : !asked ? 1 : 0;
  }

  /**
   * Called periodically. Closes the session if its client has stopped reading or sending, or does not
   * complete a message, so that such clients do not hold resources.
   */
  public void round() {
    vain = 0;
    unready =
        !querying && connection.open() && (!started || connection.in.size() > 0) ? unready + 1 : 0;
    if (unready > UNREADY) {
      fatal("08P01", "no whole message in time");
      return;
    }
    quiet = connection.taken() == taken ? quiet + 1 : 1;
    taken = connection.taken();
    boolean stuck = connection.out.size() > 0 || !connection.open();
    if (!ended() && (stuck ? quiet > STUCK : !querying && !asked && quiet > UNUSED)) {
      cut();
    }
  }

  /** Rejects the session because there is no room for it. */
  public void refuse() {
    error("FATAL", "53300", "too many connections");
    end();
  }

  @Override
  public void written() {
    quiet = 0;
  }

  @Override
  public void heard(long at) {
    heardAt = at;
    quiet = 0;
    Ring in = connection.in;
    while (connection.open() && !querying && in.size() >= 4) {
      int first = started ? 1 : 0;
      if (in.size() < first + 4) {
        return;
      }
      int length = in.intAt(first);
      if (length < (started ? 4 : SHORTEST_START) || length > LONGEST) {
        fatal("08P01", "invalid message length");
        return;
      }
      if (in.size() < first + length) {
        return;
      }
      byte[] message = in.take(first + length);
      unready = 0;
      if (!started || message[0] != 'Q') {
        vain();
      }
      if (!connection.open()) {
        return;
      }
      if (started) {
        message(message, at);
      } else {
        start(ByteBuffer.wrap(message, 4, length - 4));
      }
    }
    connection.flush();
  }

  private void start(ByteBuffer message) {
    int code = message.getInt();
    if (code == TLS || code == GSS) {
      connection.out.put(new byte[] {'N'});
    } else if (code == CANCEL) {
      if (message.remaining() == 8) {
        front.cancel(message.getInt(), message.getInt());
      }
      connection.finish();
    } else if (code != PROTOCOL) {
      fatal("0A000", "unsupported frontend protocol " + (code >>> 16) + "." + (code & 0xffff));
    } else {
      started = true;
      message('R', ByteBuffer.allocate(4).putInt(0).array());
      for (int i = 0; i < STATUS.length; i += 2) {
        message('S', (STATUS[i] + '\0' + STATUS[i + 1] + '\0').getBytes(StandardCharsets.UTF_8));
      }
      message('K', ByteBuffer.allocate(8).putInt(number).putInt(secret).array());
      ready();
    }
  }

  /**
   * Counts a message that requests nothing, and closes the session if there are too many of them, as
   * an endless stream of them takes the event loop's time from other clients.
   */
  private void vain() {
    if (++vain > MOST_VAIN) {
      fatal("08P01", "too many messages that ask for nothing");
    }
  }

  /** Answers the open query with an error, as it cannot be used. */
  public void unusable(String why) {
    error("22023", why);
    vain();
  }

  private void message(byte[] message, long at) {
    switch (message[0]) {
      case 'Q' -> query(message, at);
      case 'X' -> end();
      case 'S' -> {
        skipping = false;
        ready();
      }
      case 'P', 'B', 'D', 'E', 'C', 'H', 'F' -> {
        if (!skipping) {
          error("ERROR", "0A000", "only simple queries are served");
        }
        skipping = message[0] != 'F';
        if (!skipping) {
          ready();
        }
      }
      case 'd', 'c', 'f' -> {} // the rest of a COPY that was rejected
      default -> fatal("08P01", "invalid frontend message type " + (message[0] & 255));
    }
  }

  private void query(byte[] message, long at) {
    if (skipping) {
      return;
    }
    int end = message.length - 1;
    boolean whole = end >= 5 && message[end] == 0;
    for (int i = 5; i < end; i++) {
      whole &= message[i] != 0;
    }
    if (!whole) {
      fatal("08P01", "invalid string in message");
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
      ready();
      vain();
    } else {
      querying = true;
      front.query(this, java.util.Arrays.copyOfRange(message, 5, end), at);
    }
  }

  // ---- Answers to the open query; each ends it ----

  /**
   * Answers the open query with rows.
   *
   * @param pages rows as text with a tab between columns and a line feed after each row
   */
  public void rows(String[] columns, List<byte[]> pages) {
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
      names.putInt(TEXT).putShort((short) -1).putInt(-1).putShort((short) 0);
    }
    message('T', names.array());
    int count = 0;
    for (byte[] page : pages) {
      int from = 0;
      for (int i = 0; i < page.length; i++) {
        if (page[i] == '\n') {
          row(page, from, i);
          count++;
          from = i + 1;
        }
      }
    }
    message('C', ("SELECT " + count + '\0').getBytes(StandardCharsets.US_ASCII));
    done();
  }

  /**
   * Whether every row of the page has the given number of columns and the page ends with a complete
   * row.
   */
  public static boolean holdsRows(byte[] page, int columns) {
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

  private void row(byte[] page, int from, int to) {
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

  /** Answers the open query with an error. The session continues. */
  public void error(String code, String text) {
    error("ERROR", code, text);
    done();
  }

  private void done() {
    ready();
    quiet = 0; // the time until the answer does not count as the client's silence
    querying = false;
    open = null;
    connection.flush();
    // Messages received after the query have been kept in the input buffer.
    if (connection.in.size() > 0) {
      front.later(() -> heard(heardAt));
    }
  }

  // ---- Messages to the client ----

  private void ready() {
    message('Z', new byte[] {'I'});
  }

  private void error(String severity, String code, String text) {
    message(
        'E',
        ("S" + severity + "\0V" + severity + "\0C" + code + "\0M" + text + "\0\0")
            .getBytes(StandardCharsets.UTF_8));
  }

  private void fatal(String code, String text) {
    front.malformed(text.replaceAll(" [0-9.]+$", ""));
    error("FATAL", code, text);
    end();
  }

  private void message(char type, byte[] body) {
    ByteBuffer head = ByteBuffer.allocate(5).put((byte) type).putInt(body.length + 4).flip();
    if (connection.out.space() < body.length + 5) {
      front.later(this::cut); // the client sends queries without reading the answers
      return;
    }
    connection.out.put(head);
    connection.out.put(body);
  }

  /** Closes the session once the output is written. An open query is abandoned. */
  public void end() {
    connection.finish();
    front.gone(this);
  }

  private void cut() {
    connection.close();
    front.gone(this);
  }

  @Override
  public void closed(boolean wasUp) {
    front.gone(this);
  }

  @Override
  public void over() {
    front.over(this);
  }
}

package tansytrack.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** One client's session in the PostgreSQL protocol 3.0: simple queries, one after the other. */
public final class PgSession implements Connection.Owner {

  /** What sessions are for; one query is open at a time. */
  public interface Front {
    /** A statement has come whole at that time; it is owed one answer. */
    void query(PgSession session, byte[] statement, long at);

    /** Somebody wants the query of the session with this key given up. */
    void cancel(int number, int secret);

    /** The session ends; a query may have been open. */
    void gone(PgSession session);

    /** A client spoke what the protocol does not allow, or past a bound, and is closed. */
    default void malformed(String why) {}

    /** Its connection has given back what it held. */
    void over(PgSession session);

    /** To be done when the present news has been dealt with. */
    void later(Runnable what);
  }

  private static final int PROTOCOL = 3 << 16;
  private static final int CANCEL = 80877102;
  private static final int TLS = 80877103;
  private static final int GSS = 80877104;
  private static final int LONGEST = 1 << 15; // a message; statements here are far shorter
  private static final int SHORTEST_START = 8;
  private static final int STUCK = 60; // rounds without a byte read by a client that is owed some:
  // longer than any waits, as a cut before loses its answer
  private static final int UNUSED = 120; // rounds without a word, for one that never asked anything
  private static final int UNREADY =
      4; // rounds without a whole message since its first byte, or since
  // the connection came: far more than a round trip
  private static final int MOST_VAIN =
      50; // messages in a round that ask for nothing or cannot be used
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
  private static final int TEXT = 25; // the type of every column

  private final Connection connection;
  private final Front front;
  private final int number;
  private final int secret;
  private boolean started;
  private boolean querying;
  private boolean skipping; // to the next Sync, after a message of the extended protocol
  private long heardAt; // when the last bytes came
  private long taken; // of what was written, by the last round
  private int quiet; // rounds since anything was heard or written
  private boolean asked; // something that could be used
  private int unready; // rounds since a message was due that is not whole
  private int vain; // messages in this round that asked for nothing
  private Object open; // what the owner of the query keeps with it

  /** A session on an accepted connection, with the key that a cancel request must name. */
  public PgSession(Connection connection, Front front, int number, int secret) {
    this.connection = connection;
    this.front = front;
    this.number = number;
    this.secret = secret;
    connection.own(this);
  }

  /** The session's number, the public part of its cancel key. */
  public int number() {
    return number;
  }

  /** Whether a cancel request names this session's secret. */
  public boolean fits(int secret) {
    return this.secret == secret;
  }

  /** The query that is waited for, null between queries. */
  public Object open() {
    return open;
  }

  /** Sets the query that is waited for; null: it is answered. */
  public void open(Object query) {
    open = query;
    asked |= query != null;
  }

  /** Has the connection given back what it held? */
  public boolean ended() {
    return connection.ended();
  }

  /** Is an answer owed, or still being read by the client? */
  public boolean busy() {
    return querying || connection.out.size() > 0;
  }

  /**
   * How soon it is closed for a new one when there is no room: one that has not started first, then
   * one that never asked, then an idle one; -1: not at all, as it is owed an answer.
   */
  public int dispensable() {
    return busy() || !connection.open() ? -1 : !started ? 2 : !asked ? 1 : 0;
  }

  /**
   * One round, some time after the last: a client that stopped reading or speaking must not hold
   * anything, nor one that never comes to the end of a message.
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

  /** For a session that there is no room for. */
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
   * Guards against streams without end of messages that ask for nothing: they take the loop's time
   * from the others.
   */
  private void vain() {
    if (++vain > MOST_VAIN) {
      fatal("08P01", "too many messages that ask for nothing");
    }
  }

  /** The open query could not be used. */
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
      case 'd', 'c', 'f' -> {} // the rest of a copy that was refused
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

  /** Rows as text, a tab between columns and a line feed after each row. */
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

  /** Does every row of the page hold so many columns, and does it end with a row? */
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

  /** An error ends the query, not the session. */
  public void error(String code, String text) {
    error("ERROR", code, text);
    done();
  }

  private void done() {
    ready();
    quiet = 0; // the wait for the answer was not the client's
    querying = false;
    open = null;
    connection.flush();
    // What came behind the query has waited in the ring.
    if (connection.in.size() > 0) {
      front.later(() -> heard(heardAt));
    }
  }

  // ---- What is written ----

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
      front.later(this::cut); // asks on, but does not read what it is answered
      return;
    }
    connection.out.put(head);
    connection.out.put(body);
  }

  /** Closes the session once all is written; an open query is given up. */
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

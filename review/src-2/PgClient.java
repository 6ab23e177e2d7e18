import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A client of the PostgreSQL protocol 3.0: simple queries, one at a time. */
final class PgClient implements AutoCloseable {

  /** A whole answer: rows and completion, an error, or the answer to an empty query. */
  record Answer(boolean served, String code, String text, List<String> rows) {
    boolean refused() {
      return !served && (code.startsWith("53") || code.equals("57P03"));
    }

    /** The three kinds of the protocol page. */
    String kind() {
      return served ? "served" : refused() ? "refused" : "failed";
    }
  }

  final Socket socket = new Socket();
  private final DataInputStream in;

  PgClient(InetSocketAddress address, int timeoutMs) throws IOException {
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMs);
    socket.connect(address, timeoutMs);
    in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    byte[] body = "user\0app\0database\0bi\0\0".getBytes(StandardCharsets.US_ASCII);
    socket.getOutputStream().write(
        ByteBuffer.allocate(8 + body.length).putInt(8 + body.length).putInt(3 << 16).put(body).array());
    read();
  }

  /** Writes a query and returns without reading. */
  void send(String sql) throws IOException {
    byte[] text = (sql + '\0').getBytes(StandardCharsets.UTF_8);
    socket.getOutputStream().write(
        ByteBuffer.allocate(5 + text.length).put((byte) 'Q').putInt(4 + text.length).put(text).array());
  }

  Answer query(String sql) throws IOException {
    send(sql);
    return read();
  }

  /** Reads up to the next ReadyForQuery; an end of the connection before that is an exception. */
  Answer read() throws IOException {
    String code = "";
    String text = "";
    boolean complete = false;
    List<String> rows = new ArrayList<>();
    while (true) {
      int type = in.readUnsignedByte();
      byte[] body = new byte[in.readInt() - 4];
      in.readFully(body);
      if (type == 'E') {
        for (String field : new String(body, StandardCharsets.UTF_8).split("\0")) {
          code = field.startsWith("C") ? field.substring(1) : code;
          text = field.startsWith("M") ? field.substring(1) : text;
        }
        if (new String(body, StandardCharsets.UTF_8).startsWith("SFATAL")) {
          return new Answer(false, code, text, rows);
        }
      } else if (type == 'D') {
        rows.add(row(ByteBuffer.wrap(body)));
      } else if (type == 'C') {
        complete = true;
      } else if (type == 'Z') {
        return new Answer(complete && code.isEmpty(), code, text, rows);
      }
    }
  }

  /** Whether the manager has closed the connection, by a read of up to the time. */
  boolean endedWithin(int millis) throws IOException {
    socket.setSoTimeout(Math.max(1, millis));
    try {
      in.readUnsignedByte();
      return false;
    } catch (EOFException e) {
      return true;
    }
  }

  private static String row(ByteBuffer body) {
    StringBuilder row = new StringBuilder();
    for (int left = body.getShort(); left > 0; left--) {
      int length = body.getInt();
      byte[] cell = new byte[Math.max(0, length)];
      body.get(cell);
      row.append(new String(cell, StandardCharsets.UTF_8)).append(left > 1 ? "\t" : "");
    }
    return row.toString();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}

package tansytrack.lab;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A client for the lab: simple queries over the PostgreSQL protocol 3.0, one at a time on a
 * session.
 */
public final class LabClient implements AutoCloseable {

  /** What came back: HANDLED, or the SQLSTATE of the error with its text. */
  public record Answer(String code, String text, List<String> columns, List<List<String>> cells) {
    /** How many rows came. */
    public int rowCount() {
      return cells.size();
    }

    /** Whether the manager reported the task as done. */
    public boolean handled() {
      return code.equals("HANDLED");
    }
  }

  private static final int COLUMN_ATTRIBUTES_BYTES = 18; // bytes of a column's description

  private final Socket socket = new Socket();
  private final DataInputStream in;

  /** Connects and goes through the start-up of the PostgreSQL protocol. */
  public LabClient(InetSocketAddress to, int patienceMs) throws IOException {
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(patienceMs);
    socket.connect(to, patienceMs);
    in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    byte[] who = "user\0app\0database\0bi\0\0".getBytes(StandardCharsets.US_ASCII);
    socket
        .getOutputStream()
        .write(
            ByteBuffer.allocate(8 + who.length)
                .putInt(8 + who.length)
                .putInt(3 << 16)
                .put(who)
                .array());
    readAnswer();
  }

  /** Sends one simple query and waits for its whole answer. */
  public Answer query(String statement) throws IOException {
    byte[] text = (statement + '\0').getBytes(StandardCharsets.UTF_8);
    socket
        .getOutputStream()
        .write(
            ByteBuffer.allocate(5 + text.length)
                .put((byte) 'Q')
                .putInt(4 + text.length)
                .put(text)
                .array());
    return readAnswer();
  }

  /** Reads up to the next ReadyForQuery. */
  private Answer readAnswer() throws IOException {
    String code = "HANDLED";
    String text = "";
    List<String> columns = new ArrayList<>();
    List<List<String>> cells = new ArrayList<>();
    while (true) {
      int type = in.readUnsignedByte();
      byte[] body = new byte[in.readInt() - 4];
      in.readFully(body);
      if (type == 'E') {
        for (String field : new String(body, StandardCharsets.UTF_8).split("\0")) {
          code = field.startsWith("C") ? field.substring(1) : code;
          text = field.startsWith("M") ? field.substring(1) : text;
        }
      } else if (type == 'T') {
        readColumnNames(ByteBuffer.wrap(body), columns);
      } else if (type == 'D') {
        cells.add(readRow(ByteBuffer.wrap(body)));
      } else if (type == 'Z') {
        return new Answer(code, text, columns, cells);
      }
    }
  }

  private static void readColumnNames(ByteBuffer body, List<String> into) {
    for (int left = body.getShort(); left > 0; left--) {
      int from = body.position();
      while (body.get() != 0) {
        // to its end
      }
      into.add(decode(body, from, body.position() - 1 - from));
      body.position(body.position() + COLUMN_ATTRIBUTES_BYTES);
    }
  }

  private static String decode(ByteBuffer body, int from, int length) {
    return new String(body.array(), body.arrayOffset() + from, length, StandardCharsets.UTF_8);
  }

  private static List<String> readRow(ByteBuffer body) {
    List<String> row = new ArrayList<>();
    for (int left = body.getShort(); left > 0; left--) {
      int length = body.getInt();
      row.add(length < 0 ? "" : decode(body, body.position(), length));
      body.position(body.position() + Math.max(0, length));
    }
    return row;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}

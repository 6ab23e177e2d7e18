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

/** A client for experiments: simple queries over the PostgreSQL protocol 3.0, one at a time. */
public final class LabClient implements AutoCloseable {

  /**
   * The answer to a query.
   *
   * @param code HANDLED, or the SQLSTATE of the error
   * @param text the error text; empty without an error
   * @param columns names of the columns
   * @param cells the rows, as text
   */
  public record Answer(String code, String text, List<String> columns, List<List<String>> cells) {
    /** Number of rows. */
    public int rowCount() {
      return cells.size();
    }

    /** Whether the manager reported the task as done. */
    public boolean handled() {
      return code.equals("HANDLED");
    }
  }

  // Bytes that follow the name of a column in a RowDescription message.
  private static final int COLUMN_ATTRIBUTES_BYTES = 18;

  private final Socket socket = new Socket();
  private final DataInputStream in;

  /** Connects and completes the start-up of the protocol; the timeout holds for each read too. */
  public LabClient(InetSocketAddress address, int timeoutMs) throws IOException {
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMs);
    socket.connect(address, timeoutMs);
    in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    byte[] parameters = "user\0app\0database\0bi\0\0".getBytes(StandardCharsets.US_ASCII);
    socket
        .getOutputStream()
        .write(
            ByteBuffer.allocate(8 + parameters.length)
                .putInt(8 + parameters.length)
                .putInt(3 << 16)
                .put(parameters)
                .array());
    readAnswer();
  }

  /** Sets the timeout of each read from now on. */
  void setTimeout(int timeoutMs) throws IOException {
    socket.setSoTimeout(timeoutMs);
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

  private static void readColumnNames(ByteBuffer body, List<String> columns) {
    for (int remaining = body.getShort(); remaining > 0; remaining--) {
      int from = body.position();
      while (body.get() != 0) {
        // skip to the terminating zero
      }
      columns.add(decode(body, from, body.position() - 1 - from));
      body.position(body.position() + COLUMN_ATTRIBUTES_BYTES);
    }
  }

  private static String decode(ByteBuffer body, int from, int length) {
    return new String(body.array(), body.arrayOffset() + from, length, StandardCharsets.UTF_8);
  }

  private static List<String> readRow(ByteBuffer body) {
    List<String> row = new ArrayList<>();
    for (int remaining = body.getShort(); remaining > 0; remaining--) {
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

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

/** A client: PostgreSQL 3.0, simple queries, one at a time. */
final class Client implements AutoCloseable {
  /** The answer: "served", or the SQLSTATE of the error; and the rows. */
  record Answer(String code, String text, List<List<String>> rows) {
    boolean served() {
      return code.equals("served");
    }
  }

  private final Socket socket = new Socket();
  private final DataInputStream in;
  private final InetSocketAddress address;
  private byte[] key = new byte[8];

  Client(InetSocketAddress address, int timeoutMs) throws IOException {
    this.address = address;
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMs);
    socket.connect(address, timeoutMs);
    in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16));
    byte[] parameters = "user\0app\0database\0bi\0\0".getBytes(StandardCharsets.US_ASCII);
    socket
        .getOutputStream()
        .write(
            ByteBuffer.allocate(8 + parameters.length)
                .putInt(8 + parameters.length)
                .putInt(3 << 16)
                .put(parameters)
                .array());
    read();
  }

  Answer query(String statement) throws IOException {
    byte[] text = (statement + '\0').getBytes(StandardCharsets.UTF_8);
    socket
        .getOutputStream()
        .write(
            ByteBuffer.allocate(5 + text.length)
                .put((byte) 'Q')
                .putInt(4 + text.length)
                .put(text)
                .array());
    return read();
  }

  private Answer read() throws IOException {
    String code = "served";
    String text = "";
    List<List<String>> rows = new ArrayList<>();
    while (true) {
      int type = in.readUnsignedByte();
      int length = in.readInt() - 4;
      byte[] body = in.readNBytes(length);
      if (body.length < length) {
        throw new EOFException();
      }
      if (type == 'E') {
        for (String field : new String(body, StandardCharsets.UTF_8).split("\0")) {
          code = field.startsWith("C") ? field.substring(1) : code;
          text = field.startsWith("M") ? field.substring(1) : text;
        }
      } else if (type == 'K') {
        key = body;
      } else if (type == 'D') {
        ByteBuffer buffer = ByteBuffer.wrap(body);
        List<String> row = new ArrayList<>();
        for (int left = buffer.getShort(); left > 0; left--) {
          byte[] cell = new byte[buffer.getInt()];
          buffer.get(cell);
          row.add(new String(cell, StandardCharsets.UTF_8));
        }
        rows.add(row);
      } else if (type == 'Z') {
        return new Answer(code, text, rows);
      }
    }
  }

  /** Connects, asks, and closes at once, without waiting for anything. */
  static void askAndGo(InetSocketAddress address, String statement) throws IOException {
    byte[] parameters = "user\0app\0database\0bi\0\0".getBytes(StandardCharsets.US_ASCII);
    byte[] text = (statement + '\0').getBytes(StandardCharsets.UTF_8);
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket
          .getOutputStream()
          .write(
              ByteBuffer.allocate(13 + parameters.length + text.length)
                  .putInt(8 + parameters.length)
                  .putInt(3 << 16)
                  .put(parameters)
                  .put((byte) 'Q')
                  .putInt(4 + text.length)
                  .put(text)
                  .array());
    }
  }

  /** Sends a CancelRequest with the session's key on a new connection. */
  void cancel() throws IOException {
    try (Socket other = new Socket()) {
      other.connect(address, 2000);
      other
          .getOutputStream()
          .write(ByteBuffer.allocate(16).putInt(16).putInt(80877102).put(key).array());
      other.setSoTimeout(2000);
      other.getInputStream().read();
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}

package tansytrack.wire;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Writes the messages of a PostgreSQL server to a session's output. */
final class PgMessageWriter {

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

  // The type of every column.
  private static final int TEXT_TYPE_OID = 25;

  private final RingBuffer output;
  private final Runnable whenFull;
  private boolean overflowed;

  /**
   * Creates a writer.
   *
   * @param whenFull is run once if a message does not fit, which is then left out
   */
  PgMessageWriter(RingBuffer output, Runnable whenFull) {
    this.output = output;
    this.whenFull = whenFull;
  }

  void message(char type, byte[] body) {
    if (output.freeSpace() < body.length + 5) {
      if (!overflowed) {
        overflowed = true;
        whenFull.run();
      }
      return;
    }
    output.put(ByteBuffer.allocate(5).put((byte) type).putInt(body.length + 4).flip());
    output.put(body);
  }

  /** Writes the messages that follow a valid startup message. */
  void startupReply(int processId, int secretKey) {
    message('R', ByteBuffer.allocate(4).putInt(0).array());
    for (int i = 0; i < PARAMETER_STATUS.length; i += 2) {
      message(
          'S',
          (PARAMETER_STATUS[i] + '\0' + PARAMETER_STATUS[i + 1] + '\0')
              .getBytes(StandardCharsets.UTF_8));
    }
    message('K', ByteBuffer.allocate(8).putInt(processId).putInt(secretKey).array());
    readyForQuery();
  }

  void readyForQuery() {
    message('Z', new byte[] {'I'});
  }

  void error(String severity, String code, String text) {
    message(
        'E',
        ("S" + severity + "\0V" + severity + "\0C" + code + "\0M" + text + "\0\0")
            .getBytes(StandardCharsets.UTF_8));
  }

  void rowDescription(String[] columns) {
    int bytes = 2;
    for (String column : columns) {
      bytes += column.length() + 19;
    }
    ByteBuffer description = ByteBuffer.allocate(bytes).putShort((short) columns.length);
    for (String column : columns) {
      description
          .put(column.getBytes(StandardCharsets.US_ASCII))
          .put((byte) 0)
          .putInt(0)
          .putShort((short) 0);
      description.putInt(TEXT_TYPE_OID).putShort((short) -1).putInt(-1).putShort((short) 0);
    }
    message('T', description.array());
  }

  void commandComplete(int rows) {
    message('C', ("SELECT " + rows + '\0').getBytes(StandardCharsets.US_ASCII));
  }
}

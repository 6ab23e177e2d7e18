package tansytrack.wire;

import java.util.Arrays;

/** Reads the simple query message of a client. */
final class QueryMessage {

  private static final int HEADER_BYTES = 5;

  private QueryMessage() {}

  /** Returns the statement of a whole message, null if it is no valid string. */
  static byte[] statement(byte[] message) {
    int end = message.length - 1;
    boolean valid = end >= HEADER_BYTES && message[end] == 0;
    for (int i = HEADER_BYTES; i < end; i++) {
      valid &= message[i] != 0;
    }
    return valid ? Arrays.copyOfRange(message, HEADER_BYTES, end) : null;
  }

  /** Whether a statement holds nothing but white space and semicolons. */
  static boolean isEmpty(byte[] statement) {
    for (byte character : statement) {
      if (" ;\n\r\t".indexOf(character) < 0) {
        return false;
      }
    }
    return true;
  }
}

package tansytrack.wire;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 as a caller speaks it: writes calls into a ring and reads answers from one. */
public final class HttpCodec {

  private static final int MAX_HEAD_BYTES = 1 << 13;

  /** An answer; the names of its fields in lower case. */
  public record Response(int status, Map<String, String> headers, byte[] body, boolean keepAlive) {

    /** The value of a header field by its name in lower case, or null. */
    public String header(String name) {
      return headers.get(name);
    }

    /** A field that is a number from 0 on; the other value where it is absent. */
    public double numericHeader(String name, double otherwise) throws ProtocolException {
      String value = headers.get(name);
      return value == null ? otherwise : parseNonNegative(value);
    }
  }

  private HttpCodec() {}

  /** A call; the fields are whole lines, each with its line end. */
  public static void writeRequest(
      RingBuffer out, String method, String path, String host, String fields, byte[] body) {
    String head =
        method
            + ' '
            + path
            + " HTTP/1.1\r\nHost: "
            + host
            + "\r\n"
            + fields
            + (body.length > 0 || method.startsWith("P")
                ? "Content-Length: " + body.length + "\r\n"
                : "")
            + "\r\n";
    out.put(head.getBytes(StandardCharsets.UTF_8));
    out.put(body);
  }

  /**
   * The next final answer, taken out of the ring, or null while it is not whole. What only says
   * that one will come (1xx) is passed over. An answer with its head may take half of the ring.
   */
  public static Response readResponse(RingBuffer in) throws ProtocolException {
    while (true) {
      int end = findHeadEnd(in);
      if (end < 0) {
        return null;
      }
      byte[] start = in.copy(0, Math.min(end, 10));
      if (start.length < 10 || start[9] != '1') {
        return readFinalResponse(in, end);
      }
      statusLineLength(in.copy(0, end));
      in.skip(end);
    }
  }

  /** Checks the first line of a head and gives its length. */
  private static int statusLineLength(byte[] head) throws ProtocolException {
    int line = findLineEnd(head, 0);
    if (line < 12
        || head[0] != 'H'
        || head[1] != 'T'
        || head[2] != 'T'
        || head[3] != 'P'
        || head[4] != '/'
        || head[5] != '1'
        || head[6] != '.'
        || head[8] != ' '
        || (line > 12 && head[12] != ' ')) {
      throw new ProtocolException("not an HTTP/1 answer");
    }
    return line;
  }

  private static Response readFinalResponse(RingBuffer in, int end) throws ProtocolException {
    int longest = in.maxCapacity() / 2;
    byte[] head = in.copy(0, end);
    int line = statusLineLength(head);
    int status = (int) parseDigits(head, 9, 12);
    Map<String, String> fields = new TreeMap<>();
    for (int from = line + 2; from < head.length - 2; ) {
      int to = findLineEnd(head, from);
      int colon = from;
      while (colon < to && head[colon] != ':') {
        colon++;
      }
      if (colon == to || colon == from) {
        throw new ProtocolException("a field without a name");
      }
      String value = new String(head, colon + 1, to - colon - 1, StandardCharsets.UTF_8).strip();
      String before = fields.put(lowerCaseAscii(head, from, colon), value);
      if (before != null && !before.equals(value)) {
        throw new ProtocolException("a field with two values");
      }
      from = to + 2;
    }
    boolean lasts = head[7] == '1' && !"close".equalsIgnoreCase(fields.get("connection"));
    if (status == 204 || status == 304) {
      in.skip(end);
      return new Response(status, fields, new byte[0], lasts);
    }
    String coding = fields.get("transfer-encoding");
    if (coding != null) {
      if (!coding.equalsIgnoreCase("chunked")) {
        throw new ProtocolException("unknown transfer coding");
      }
      return readChunked(in, end, status, fields, lasts);
    }
    String told = fields.get("content-length");
    if (told == null) {
      throw new ProtocolException("an answer without a length");
    }
    byte[] digits = told.getBytes(StandardCharsets.US_ASCII);
    long length = parseDigits(digits, 0, digits.length);
    if (length > longest) {
      throw new ProtocolException("an answer over " + longest + " bytes");
    }
    if (in.size() < end + length) {
      return null;
    }
    in.skip(end);
    return new Response(status, fields, in.take((int) length), lasts);
  }

  private static Response readChunked(
      RingBuffer in, int from, int status, Map<String, String> fields, boolean lasts)
      throws ProtocolException {
    java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
    int at = from;
    while (true) {
      int length = 0;
      int digits = 0;
      boolean extension = false;
      for (; ; at++) {
        if (at + 1 >= in.size()) {
          return null;
        }
        byte sign = in.byteAt(at);
        if (sign == '\r' && in.byteAt(at + 1) == '\n') {
          break;
        }
        int digit = Character.digit(sign, 16);
        extension |= sign == ';' || sign == ' ';
        if (!extension && (digit < 0 || ++digits > 5)) {
          throw new ProtocolException("a chunk without a length");
        }
        length = extension ? length : length * 16 + digit;
      }
      at += 2;
      if (digits == 0 || body.size() + length > in.maxCapacity() / 2) {
        throw new ProtocolException("a chunk without a length, or too many bytes in all");
      }
      if (in.size() < at + length + 2) {
        return null;
      }
      body.writeBytes(in.copy(at, length));
      at += length;
      if (in.byteAt(at) != '\r' || in.byteAt(at + 1) != '\n') {
        throw new ProtocolException("a chunk without an end");
      }
      at += 2;
      if (length == 0) {
        in.skip(at);
        return new Response(status, fields, body.toByteArray(), lasts);
      }
    }
  }

  private static int findHeadEnd(RingBuffer in) throws ProtocolException {
    int size = in.size();
    for (int i = 3; i < size && i < MAX_HEAD_BYTES; i++) {
      if (in.byteAt(i) == '\n'
          && in.byteAt(i - 1) == '\r'
          && in.byteAt(i - 2) == '\n'
          && in.byteAt(i - 3) == '\r') {
        return i + 1;
      }
    }
    if (size >= MAX_HEAD_BYTES) {
      throw new ProtocolException("an answer's head over " + MAX_HEAD_BYTES + " bytes");
    }
    return -1;
  }

  private static int findLineEnd(byte[] text, int from) throws ProtocolException {
    for (int i = from; i + 1 < text.length; i++) {
      if (text[i] == '\r' && text[i + 1] == '\n') {
        return i;
      }
    }
    throw new ProtocolException("a line without an end");
  }

  private static String lowerCaseAscii(byte[] text, int from, int to) {
    StringBuilder name = new StringBuilder(to - from);
    for (int i = from; i < to; i++) {
      name.append(Character.toLowerCase((char) (text[i] & 127)));
    }
    return name.toString();
  }

  private static long parseDigits(byte[] digits, int from, int to) throws ProtocolException {
    long value = 0;
    for (int i = from; i < to; i++) {
      if (digits[i] < '0' || digits[i] > '9' || to - from > 15) {
        throw new ProtocolException("not a whole number");
      }
      value = value * 10 + digits[i] - '0';
    }
    if (to <= from) {
      throw new ProtocolException("no number");
    }
    return value;
  }

  /** A finite number from 0 on. */
  public static double parseNonNegative(String text) throws ProtocolException {
    try {
      double value = Double.parseDouble(text);
      if (value >= 0 && value < Double.POSITIVE_INFINITY) {
        return value;
      }
    } catch (NumberFormatException e) {
      // said below
    }
    throw new ProtocolException("not an amount: " + text);
  }
}

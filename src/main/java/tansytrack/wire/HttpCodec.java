package tansytrack.wire;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/** The client side of HTTP/1.1: writes requests to a ring buffer and reads responses from one. */
public final class HttpCodec {

  private static final int MAX_HEAD_BYTES = 1 << 13;

  // A field takes far more memory than its bytes.
  private static final int MAX_HEADER_FIELDS = 100;

  /**
   * A complete response.
   *
   * @param headers the header fields by name in lower case
   * @param keepAlive whether the connection can be used for another request
   */
  public record Response(int status, Map<String, String> headers, byte[] body, boolean keepAlive) {

    /** Whether the other response is the same in all that was sent. */
    boolean isCopyOf(Response other) {
      return status == other.status
          && headers.equals(other.headers)
          && Arrays.equals(body, other.body);
    }

    /** Returns the value of a header field, named in lower case, or null. */
    public String header(String name) {
      return headers.get(name);
    }

    /** Returns a header field that is a non-negative number, or the default if it is absent. */
    public double numericHeader(String name, double defaultValue) throws ProtocolException {
      String value = headers.get(name);
      return value == null ? defaultValue : parseNonNegative(value);
    }
  }

  private HttpCodec() {}

  /** Writes a request to the given host. */
  public static void writeRequest(RingBuffer out, String host, HttpRequest request) {
    int bodyBytes = request.body().length;
    String head =
        request.method()
            + ' '
            + request.path()
            + " HTTP/1.1\r\nHost: "
            + host
            + "\r\n"
            + request.headers().get()
            + (bodyBytes > 0 || request.method().startsWith("P")
                ? "Content-Length: " + bodyBytes + "\r\n"
                : "")
            + "\r\n";
    out.put(head.getBytes(StandardCharsets.UTF_8));
    out.put(request.body());
  }

  /**
   * Reads the next final response and removes it from the buffer; null while it is incomplete.
   * Informational responses (1xx) are skipped. A body may be at most half as large as the buffer.
   */
  public static Response readResponse(RingBuffer in) throws ProtocolException {
    while (true) {
      int headEnd = findHeadEnd(in);
      if (headEnd < 0) {
        return null;
      }
      byte[] firstBytes = in.copy(0, Math.min(headEnd, 10));
      if (firstBytes.length < 10 || firstBytes[9] != '1') {
        return readFinalResponse(in, headEnd);
      }
      statusLineLength(in.copy(0, headEnd));
      in.skip(headEnd);
    }
  }

  /**
   * Checks the status line and returns its length. It holds no control character, not even a tab:
   * the rest of a page that came with too small a length, and the head of the next response behind
   * it, must not pass for one head.
   */
  private static int statusLineLength(byte[] head) throws ProtocolException {
    int length = findLineEnd(head, 0);
    if (length < 12
        || head[0] != 'H'
        || head[1] != 'T'
        || head[2] != 'T'
        || head[3] != 'P'
        || head[4] != '/'
        || head[5] != '1'
        || head[6] != '.'
        || head[8] != ' '
        || (length > 12 && head[12] != ' ')) {
      throw new ProtocolException("not an HTTP/1 answer");
    }
    for (int i = 0; i < length; i++) {
      if (head[i] >= 0 && head[i] < ' ') {
        throw new ProtocolException("a control character in the status line");
      }
    }
    return length;
  }

  private static Response readFinalResponse(RingBuffer in, int headEnd) throws ProtocolException {
    int maxBodyBytes = in.maxCapacity() / 2;
    byte[] head = in.copy(0, headEnd);
    int statusLineEnd = statusLineLength(head);
    int status = (int) parseDigits(head, 9, 12);
    Map<String, String> headers = parseHeaders(head, statusLineEnd + 2);
    boolean keepAlive = head[7] == '1' && !"close".equalsIgnoreCase(headers.get("connection"));
    if (status == 204 || status == 304) {
      in.skip(headEnd);
      return new Response(status, headers, new byte[0], keepAlive);
    }
    String transferEncoding = headers.get("transfer-encoding");
    if (transferEncoding != null) {
      if (!transferEncoding.equalsIgnoreCase("chunked")) {
        throw new ProtocolException("unknown transfer coding");
      }
      return readChunked(in, headEnd, status, headers, keepAlive);
    }
    String contentLength = headers.get("content-length");
    if (contentLength == null) {
      throw new ProtocolException("an answer without a length");
    }
    byte[] digits = contentLength.getBytes(StandardCharsets.US_ASCII);
    long length = parseDigits(digits, 0, digits.length);
    if (length > maxBodyBytes) {
      throw new ProtocolException("an answer over " + maxBodyBytes + " bytes");
    }
    if (in.size() < headEnd + length) {
      return null;
    }
    in.skip(headEnd);
    return new Response(status, headers, in.take((int) length), keepAlive);
  }

  private static Map<String, String> parseHeaders(byte[] head, int firstLine)
      throws ProtocolException {
    Map<String, String> headers = new TreeMap<>();
    for (int from = firstLine; from < head.length - 2; ) {
      int to = findLineEnd(head, from);
      int colon = from;
      while (colon < to && head[colon] != ':') {
        colon++;
      }
      if (colon == to || colon == from) {
        throw new ProtocolException("a field without a name");
      }
      String value = new String(head, colon + 1, to - colon - 1, StandardCharsets.UTF_8).strip();
      if (headers.size() >= MAX_HEADER_FIELDS) {
        throw new ProtocolException("over " + MAX_HEADER_FIELDS + " header fields");
      }
      String previous = headers.put(lowerCaseAscii(head, from, colon), value);
      if (previous != null && !previous.equals(value)) {
        throw new ProtocolException("a field with two values");
      }
      from = to + 2;
    }
    return headers;
  }

  private static Response readChunked(
      RingBuffer in, int headEnd, int status, Map<String, String> headers, boolean keepAlive)
      throws ProtocolException {
    java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
    int at = headEnd;
    while (true) {
      int length = 0;
      int digits = 0;
      boolean extension = false;
      for (; ; at++) {
        if (at + 1 >= in.size()) {
          return null;
        }
        byte character = in.byteAt(at);
        if (character == '\r' && in.byteAt(at + 1) == '\n') {
          break;
        }
        int digit = Character.digit(character, 16);
        extension |= character == ';' || character == ' ';
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
        return new Response(status, headers, body.toByteArray(), keepAlive);
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

  /** Parses a finite non-negative number. */
  public static double parseNonNegative(String text) throws ProtocolException {
    try {
      double value = Double.parseDouble(text);
      if (value >= 0 && value < Double.POSITIVE_INFINITY) {
        return value;
      }
    } catch (NumberFormatException e) {
      // reported below
    }
    throw new ProtocolException("not an amount: " + text);
  }
}

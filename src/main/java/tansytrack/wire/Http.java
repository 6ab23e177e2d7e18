package tansytrack.wire;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** The client side of HTTP/1.1: writes requests to a ring buffer and reads responses from one. */
public final class Http {

  private static final int LONGEST_HEAD = 1 << 13;

  /**
   * A complete response.
   *
   * @param fields the header fields by name in lower case
   * @param lasts whether the connection can be used for another request
   */
  public record Answer(int status, Map<String, String> fields, byte[] body, boolean lasts) {

    /** Returns the value of a header field, named in lower case, or null. */
    public String field(String name) {
      return fields.get(name);
    }

    /** Returns a header field that is a non-negative number, or the default if it is absent. */
    public double number(String name, double otherwise) throws Junk {
      String value = fields.get(name);
      return value == null ? otherwise : amount(value);
    }
  }

  private Http() {}

  /** Writes a request; the header fields are given as complete lines, each with its line end. */
  public static void call(
      Ring out, String method, String path, String host, String fields, byte[] body) {
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
   * Reads the next final response and removes it from the buffer; null while it is incomplete.
   * Informational responses (1xx) are skipped. A body may be at most half as large as the buffer.
   */
  public static Answer answer(Ring in) throws Junk {
    while (true) {
      int end = headEnd(in);
      if (end < 0) {
        return null;
      }
      byte[] start = in.copy(0, Math.min(end, 10));
      if (start.length < 10 || start[9] != '1') {
        return finalAnswer(in, end);
      }
      statusLine(in.copy(0, end));
      in.skip(end);
    }
  }

  /** Checks the status line and returns its length. */
  private static int statusLine(byte[] head) throws Junk {
    int line = lineEnd(head, 0);
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
      throw new Junk("not an HTTP/1 answer");
    }
    return line;
  }

  private static Answer finalAnswer(Ring in, int end) throws Junk {
    int longest = in.most() / 2;
    byte[] head = in.copy(0, end);
    int line = statusLine(head);
    int status = (int) whole(head, 9, 12);
    Map<String, String> fields = new TreeMap<>();
    for (int from = line + 2; from < head.length - 2; ) {
      int to = lineEnd(head, from);
      int colon = from;
      while (colon < to && head[colon] != ':') {
        colon++;
      }
      if (colon == to || colon == from) {
        throw new Junk("a field without a name");
      }
      String value = new String(head, colon + 1, to - colon - 1, StandardCharsets.UTF_8).strip();
      String before = fields.put(lower(head, from, colon), value);
      if (before != null && !before.equals(value)) {
        throw new Junk("a field with two values");
      }
      from = to + 2;
    }
    boolean lasts = head[7] == '1' && !"close".equalsIgnoreCase(fields.get("connection"));
    if (status == 204 || status == 304) {
      in.skip(end);
      return new Answer(status, fields, new byte[0], lasts);
    }
    String coding = fields.get("transfer-encoding");
    if (coding != null) {
      if (!coding.equalsIgnoreCase("chunked")) {
        throw new Junk("unknown transfer coding");
      }
      return chunked(in, end, status, fields, lasts);
    }
    String told = fields.get("content-length");
    if (told == null) {
      throw new Junk("an answer without a length");
    }
    byte[] digits = told.getBytes(StandardCharsets.US_ASCII);
    long length = whole(digits, 0, digits.length);
    if (length > longest) {
      throw new Junk("an answer over " + longest + " bytes");
    }
    if (in.size() < end + length) {
      return null;
    }
    in.skip(end);
    return new Answer(status, fields, in.take((int) length), lasts);
  }

  private static Answer chunked(
      Ring in, int from, int status, Map<String, String> fields, boolean lasts) throws Junk {
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
        byte sign = in.at(at);
        if (sign == '\r' && in.at(at + 1) == '\n') {
          break;
        }
        int digit = Character.digit(sign, 16);
        extension |= sign == ';' || sign == ' ';
        if (!extension && (digit < 0 || ++digits > 5)) {
          throw new Junk("a chunk without a length");
        }
        length = extension ? length : length * 16 + digit;
      }
      at += 2;
      if (digits == 0 || body.size() + length > in.most() / 2) {
        throw new Junk("a chunk without a length, or too many bytes in all");
      }
      if (in.size() < at + length + 2) {
        return null;
      }
      body.writeBytes(in.copy(at, length));
      at += length;
      if (in.at(at) != '\r' || in.at(at + 1) != '\n') {
        throw new Junk("a chunk without an end");
      }
      at += 2;
      if (length == 0) {
        in.skip(at);
        return new Answer(status, fields, body.toByteArray(), lasts);
      }
    }
  }

  private static int headEnd(Ring in) throws Junk {
    int size = in.size();
    for (int i = 3; i < size && i < LONGEST_HEAD; i++) {
      if (in.at(i) == '\n'
          && in.at(i - 1) == '\r'
          && in.at(i - 2) == '\n'
          && in.at(i - 3) == '\r') {
        return i + 1;
      }
    }
    if (size >= LONGEST_HEAD) {
      throw new Junk("an answer's head over " + LONGEST_HEAD + " bytes");
    }
    return -1;
  }

  private static int lineEnd(byte[] text, int from) throws Junk {
    for (int i = from; i + 1 < text.length; i++) {
      if (text[i] == '\r' && text[i + 1] == '\n') {
        return i;
      }
    }
    throw new Junk("a line without an end");
  }

  private static String lower(byte[] text, int from, int to) {
    StringBuilder name = new StringBuilder(to - from);
    for (int i = from; i < to; i++) {
      name.append(Character.toLowerCase((char) (text[i] & 127)));
    }
    return name.toString();
  }

  private static long whole(byte[] digits, int from, int to) throws Junk {
    long value = 0;
    for (int i = from; i < to; i++) {
      if (digits[i] < '0' || digits[i] > '9' || to - from > 15) {
        throw new Junk("not a whole number");
      }
      value = value * 10 + digits[i] - '0';
    }
    if (to <= from) {
      throw new Junk("no number");
    }
    return value;
  }

  /** Parses a finite non-negative number. */
  public static double amount(String text) throws Junk {
    try {
      double value = Double.parseDouble(text);
      if (value >= 0 && value < Double.POSITIVE_INFINITY) {
        return value;
      }
    } catch (NumberFormatException e) {
      // reported below
    }
    throw new Junk("not an amount: " + text);
  }
}

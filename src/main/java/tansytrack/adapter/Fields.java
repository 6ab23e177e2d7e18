package tansytrack.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import tansytrack.settings.InvalidInputException;

/** Reads lines as bytes and takes their fields one after the other; '-' is an absent value. */
final class Fields {

  /** A line that does not follow the wire. */
  static final class Malformed extends InvalidInputException {
    private static final long serialVersionUID = 1L;

    Malformed(String what) {
      super(what);
    }
  }

  private final InputStream in;
  private final byte[] chunk = new byte[1 << 16];
  private int chunkAt;
  private int chunkEnd;
  private byte[] line = new byte[1024];
  private int length;
  private int at;
  private int start;
  private int end;

  Fields(InputStream in) {
    this.in = in;
  }

  /** Moves to the next line; false at the end of input. */
  boolean next() throws IOException {
    length = 0;
    at = 0;
    while (true) {
      if (chunkAt == chunkEnd) {
        chunkEnd = in.read(chunk, 0, chunk.length);
        chunkAt = 0;
        if (chunkEnd <= 0) {
          chunkEnd = 0;
          return length > 0;
        }
      }
      byte sign = chunk[chunkAt++];
      if (sign == '\n') {
        return true;
      }
      if (length == line.length) {
        line = java.util.Arrays.copyOf(line, length * 2);
      }
      line[length++] = sign;
    }
  }

  boolean blank() {
    return length == 0;
  }

  String whole() {
    return new String(line, 0, Math.min(length, 200), StandardCharsets.UTF_8);
  }

  private void take(String what) {
    if (at >= length) {
      throw new Malformed("no " + what);
    }
    start = at;
    while (at < length && line[at] != ' ') {
      at++;
    }
    end = at++;
  }

  private boolean absent() {
    return (end - start == 1 && line[start] == '-') || end == start;
  }

  boolean more() {
    return at < length;
  }

  /** A field that may be absent: null then. */
  String textOrNull(String what) {
    take(what);
    return absent() ? null : new String(line, start, end - start, StandardCharsets.UTF_8);
  }

  String textOrEmpty(String what) {
    String value = textOrNull(what);
    return value == null ? "" : value;
  }

  String text(String what) {
    String value = textOrNull(what);
    if (value == null) {
      throw new Malformed(what + " is absent");
    }
    return value;
  }

  /** Milliseconds to nanoseconds, digit by digit; 0 where absent. */
  long time(String what) {
    take(what);
    return absent() ? 0 : fixed(what, 6);
  }

  /** A whole number, or the given value where absent. */
  long integer(String what, long otherwise) {
    take(what);
    return absent() ? otherwise : fixed(what, 0);
  }

  /** A number; 0 where absent. */
  double number(String what) {
    take(what);
    return absent() ? 0 : fixed(what, 9) / 1e9;
  }

  private long fixed(String what, int places) {
    return fixed(what, places, start, end);
  }

  private long fixed(String what, int places, int from, int to) {
    int next = from;
    boolean minus = next < to && line[next] == '-';
    next += minus ? 1 : 0;
    long value = 0;
    int after = -1;
    boolean digits = false;
    for (; next < to; next++) {
      byte sign = line[next];
      if (sign == '.' && after < 0) {
        after = 0;
      } else if (sign >= '0' && sign <= '9') {
        digits = true;
        if (after < places) {
          if (value > (Long.MAX_VALUE - 9) / 10) {
            throw new Malformed(what + " is too large");
          }
          value = value * 10 + (sign - '0');
          after += after >= 0 ? 1 : 0;
        }
      } else {
        return scientific(what, places, from, to);
      }
    }
    if (!digits) {
      throw new Malformed(what + " is not a number");
    }
    for (int k = Math.max(after, 0); k < places; k++) {
      value = Math.multiplyExact(value, 10L);
    }
    return minus ? -value : value;
  }

  private long scientific(String what, int places, int from, int to) {
    try {
      return Math.round(
          Double.parseDouble(new String(line, from, to - from, StandardCharsets.UTF_8))
              * Math.pow(10, places));
    } catch (NumberFormatException e) {
      throw new Malformed(what + " is not a number");
    }
  }

  /**
   * Comma-separated numbers into the row, NaN where absent; returns how many there were, 0 for an
   * absent row.
   */
  int row(String what, double[] into) {
    take(what);
    if (absent()) {
      return 0;
    }
    int count = 0;
    int from = start;
    for (int i = start; i <= end; i++) {
      if (i == end || line[i] == ',') {
        boolean none = i == from || (i - from == 1 && line[from] == '-');
        if (count < into.length) {
          into[count++] = none ? Double.NaN : fixed(what, 9, from, i) / 1e9;
        }
        from = i + 1;
      }
    }
    return count;
  }
}

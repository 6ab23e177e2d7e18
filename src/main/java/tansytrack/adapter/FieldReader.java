package tansytrack.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import tansytrack.settings.InvalidInputException;

/** Reads the space-separated fields of lines, one after the other; '-' is an absent value. */
final class FieldReader {

  /** Thrown when a line does not follow the protocol. */
  static final class MalformedLineException extends InvalidInputException {
    private static final long serialVersionUID = 1L;

    MalformedLineException(String message) {
      super(message);
    }
  }

  private final InputStream in;
  private final byte[] buffer = new byte[1 << 16];
  private int bufferPosition;
  private int bufferEnd;
  private byte[] line = new byte[1024];
  private int length;
  private int position;
  private int fieldStart;
  private int fieldEnd;

  FieldReader(InputStream in) {
    this.in = in;
  }

  /** Moves to the next line; returns false at the end of the input. */
  boolean nextLine() throws IOException {
    length = 0;
    position = 0;
    while (true) {
      if (bufferPosition == bufferEnd) {
        bufferEnd = in.read(buffer, 0, buffer.length);
        bufferPosition = 0;
        if (bufferEnd <= 0) {
          bufferEnd = 0;
          return length > 0;
        }
      }
      byte character = buffer[bufferPosition++];
      if (character == '\n') {
        return true;
      }
      if (length == line.length) {
        line = java.util.Arrays.copyOf(line, length * 2);
      }
      line[length++] = character;
    }
  }

  /** Tells whether the line is empty. */
  boolean isBlank() {
    return length == 0;
  }

  /** Returns the line for an error message, cut to 200 bytes. */
  String excerpt() {
    return new String(line, 0, Math.min(length, 200), StandardCharsets.UTF_8);
  }

  /** Moves to the next field, or fails with the name of the missing one. */
  private void nextField(String name) {
    if (position >= length) {
      throw new MalformedLineException("no " + name);
    }
    fieldStart = position;
    while (position < length && line[position] != ' ') {
      position++;
    }
    fieldEnd = position++;
  }

  private boolean isAbsent() {
    return (fieldEnd - fieldStart == 1 && line[fieldStart] == '-') || fieldEnd == fieldStart;
  }

  /** Tells whether the line has another field. */
  boolean hasMore() {
    return position < length;
  }

  /** Returns the next field, or null where absent. */
  String textOrNull(String name) {
    nextField(name);
    return isAbsent()
        ? null
        : new String(line, fieldStart, fieldEnd - fieldStart, StandardCharsets.UTF_8);
  }

  /** Returns the next field, or an empty string where absent. */
  String textOrEmpty(String name) {
    String value = textOrNull(name);
    return value == null ? "" : value;
  }

  /** Returns the next field, which must be present. */
  String text(String name) {
    String value = textOrNull(name);
    if (value == null) {
      throw new MalformedLineException(name + " is absent");
    }
    return value;
  }

  /** Returns a time in milliseconds as nanoseconds, converted exactly; 0 where absent. */
  long timeNanos(String name) {
    nextField(name);
    return isAbsent() ? 0 : fixedPoint(name, 6);
  }

  /** Returns an integer, or the given value where absent. */
  long integer(String name, long defaultValue) {
    nextField(name);
    return isAbsent() ? defaultValue : fixedPoint(name, 0);
  }

  /** Returns a number; 0 where absent. */
  double number(String name) {
    nextField(name);
    return isAbsent() ? 0 : fixedPoint(name, 9) / 1e9;
  }

  /** Parses a number as a fixed-point value with the given number of decimals. */
  private long fixedPoint(String name, int decimals) {
    return fixedPoint(name, decimals, fieldStart, fieldEnd);
  }

  private long fixedPoint(String name, int decimals, int from, int to) {
    int next = from;
    boolean negative = next < to && line[next] == '-';
    next += negative ? 1 : 0;
    long value = 0;
    int decimalsRead = -1;
    boolean hasDigits = false;
    for (; next < to; next++) {
      byte character = line[next];
      if (character == '.' && decimalsRead < 0) {
        decimalsRead = 0;
      } else if (character >= '0' && character <= '9') {
        hasDigits = true;
        if (decimalsRead < decimals) {
          if (value > (Long.MAX_VALUE - 9) / 10) {
            throw new MalformedLineException(name + " is too large");
          }
          value = value * 10 + (character - '0');
          decimalsRead += decimalsRead >= 0 ? 1 : 0;
        }
      } else {
        return scientific(name, decimals, from, to);
      }
    }
    if (!hasDigits) {
      throw new MalformedLineException(name + " is not a number");
    }
    for (int k = Math.max(decimalsRead, 0); k < decimals; k++) {
      value = Math.multiplyExact(value, 10L);
    }
    return negative ? -value : value;
  }

  private long scientific(String name, int decimals, int from, int to) {
    try {
      return Math.round(
          Double.parseDouble(new String(line, from, to - from, StandardCharsets.UTF_8))
              * Math.pow(10, decimals));
    } catch (NumberFormatException e) {
      throw new MalformedLineException(name + " is not a number");
    }
  }

  /**
   * Reads comma-separated numbers into the array, NaN where absent. Returns how many were read, or
   * 0 for an absent field.
   */
  int numbers(String name, double[] values) {
    nextField(name);
    if (isAbsent()) {
      return 0;
    }
    int count = 0;
    int from = fieldStart;
    for (int i = fieldStart; i <= fieldEnd; i++) {
      if (i == fieldEnd || line[i] == ',') {
        boolean absent = i == from || (i - from == 1 && line[from] == '-');
        if (count < values.length) {
          values[count++] = absent ? Double.NaN : fixedPoint(name, 9, from, i) / 1e9;
        }
        from = i + 1;
      }
    }
    return count;
  }
}

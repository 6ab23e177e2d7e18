package tansytrack.wire;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses JSON into maps, lists, strings, booleans, null, and numbers as Long or Double. Static
 * methods check the type of a parsed value.
 */
public final class Json {

  // Far more than any message of the command channel or configuration uses.
  private static final int MAX_DEPTH = 32;

  private final byte[] text;
  // Member names by themselves, so that equal names share one string.
  private final Map<String, String> memberNames = new HashMap<>();
  private int position;
  private int depth;

  private Json(byte[] text) {
    this.text = text;
  }

  /** Parses a complete JSON text. */
  public static Object parse(byte[] text) throws ProtocolException {
    Json json = new Json(text);
    Object value = json.parseValue();
    json.skipWhitespace();
    if (json.position < text.length) {
      throw json.malformed("more behind the end");
    }
    return value;
  }

  /**
   * Returns the value as an object.
   *
   * @param name names the value in the error message
   */
  @SuppressWarnings("unchecked")
  public static Map<String, Object> asObject(Object value, String name) throws ProtocolException {
    if (value instanceof Map) {
      return (Map<String, Object>) value;
    }
    throw new ProtocolException(name + " is not an object");
  }

  /**
   * Returns the value as a list.
   *
   * @param name names the value in the error message
   */
  @SuppressWarnings("unchecked")
  public static List<Object> asList(Object value, String name) throws ProtocolException {
    if (value instanceof List) {
      return (List<Object>) value;
    }
    throw new ProtocolException(name + " is not a list");
  }

  /**
   * Returns the value as a string.
   *
   * @param name names the value in the error message
   */
  public static String asString(Object value, String name) throws ProtocolException {
    if (value instanceof String) {
      return (String) value;
    }
    throw new ProtocolException(name + " is not a string");
  }

  /**
   * Returns the value as a number.
   *
   * @param name names the value in the error message
   */
  public static double asDouble(Object value, String name) throws ProtocolException {
    if (value instanceof Number) {
      return ((Number) value).doubleValue();
    }
    throw new ProtocolException(name + " is not a number");
  }

  private ProtocolException malformed(String problem) {
    return new ProtocolException(
        "JSON: " + problem + " at byte " + position, position >= text.length);
  }

  private void skipWhitespace() {
    while (position < text.length
        && (text[position] == ' '
            || text[position] == '\n'
            || text[position] == '\r'
            || text[position] == '\t')) {
      position++;
    }
  }

  private boolean consumeIf(char expected) {
    skipWhitespace();
    if (position < text.length && text[position] == expected) {
      position++;
      return true;
    }
    return false;
  }

  private Object parseValue() throws ProtocolException {
    skipWhitespace();
    if (position == text.length) {
      throw malformed("ends early");
    }
    if (++depth > MAX_DEPTH) {
      throw malformed("too deep");
    }
    Object value =
        switch (text[position]) {
          case '{' -> parseObject();
          case '[' -> parseArray();
          case '"' -> parseString();
          case 't' -> parseLiteral("true", Boolean.TRUE);
          case 'f' -> parseLiteral("false", Boolean.FALSE);
          case 'n' -> parseLiteral("null", null);
          default -> parseNumber();
        };
    depth--;
    return value;
  }

  private Object parseLiteral(String word, Object value) throws ProtocolException {
    for (int i = 0; i < word.length(); i++) {
      if (position == text.length || text[position++] != word.charAt(i)) {
        throw malformed("unknown word");
      }
    }
    return value;
  }

  private Map<String, Object> parseObject() throws ProtocolException {
    Map<String, Object> object = new LinkedHashMap<>();
    position++;
    if (consumeIf('}')) {
      return object;
    }
    do {
      skipWhitespace();
      if (position == text.length || text[position] != '"') {
        throw malformed("no name");
      }
      String name = memberNames.computeIfAbsent(parseString(), same -> same);
      if (!consumeIf(':')) {
        throw malformed("no colon");
      }
      object.put(name, parseValue());
    } while (consumeIf(','));
    if (!consumeIf('}')) {
      throw malformed("object without an end");
    }
    return object;
  }

  private List<Object> parseArray() throws ProtocolException {
    List<Object> array = new ArrayList<>();
    position++;
    if (consumeIf(']')) {
      return array;
    }
    do {
      array.add(parseValue());
    } while (consumeIf(','));
    if (!consumeIf(']')) {
      throw malformed("list without an end");
    }
    return array;
  }

  private String parseString() throws ProtocolException {
    int from = ++position;
    while (position < text.length && text[position] != '"' && text[position] != '\\') {
      position++;
    }
    if (position < text.length && text[position] == '"') {
      return new String(text, from, position++ - from, StandardCharsets.UTF_8);
    }
    StringBuilder result = new StringBuilder();
    while (true) {
      result.append(new String(text, from, position - from, StandardCharsets.UTF_8));
      if (position == text.length) {
        throw malformed("string without an end");
      }
      if (text[position++] == '"') {
        return result.toString();
      }
      result.append(parseEscape());
      from = position;
      while (position < text.length && text[position] != '"' && text[position] != '\\') {
        position++;
      }
    }
  }

  private char parseEscape() throws ProtocolException {
    if (position == text.length) {
      throw malformed("string without an end");
    }
    byte escape = text[position++];
    switch (escape) {
      case '"', '\\', '/':
        return (char) escape;
      case 'b':
        return '\b';
      case 'f':
        return '\f';
      case 'n':
        return '\n';
      case 'r':
        return '\r';
      case 't':
        return '\t';
      case 'u':
        int code = 0;
        for (int i = 0; i < 4; i++) {
          int digit = position < text.length ? Character.digit(text[position++], 16) : -1;
          if (digit < 0) {
            throw malformed("bad escape");
          }
          code = code * 16 + digit;
        }
        return (char) code;
      default:
        throw malformed("bad escape");
    }
  }

  private Number parseNumber() throws ProtocolException {
    int from = position;
    boolean integral = true;
    while (position < text.length
        && (text[position] >= '0' && text[position] <= '9'
            || "+-.eE".indexOf(text[position]) >= 0)) {
      integral &= text[position] >= '0' && text[position] <= '9' || text[position] == '-';
      position++;
    }
    String digits = new String(text, from, position - from, StandardCharsets.US_ASCII);
    try {
      if (integral && digits.length() < 19) {
        return Long.valueOf(digits);
      }
      Double value = Double.valueOf(digits);
      if (value.isInfinite()) {
        throw malformed("number out of range");
      }
      return value;
    } catch (NumberFormatException e) {
      throw malformed("no value");
    }
  }
}

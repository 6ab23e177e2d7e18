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
  private static final int DEEPEST = 32;

  private final byte[] text;
  // Member names by themselves, so that equal names share one string.
  private final Map<String, String> names = new HashMap<>();
  private int at;
  private int depth;

  private Json(byte[] text) {
    this.text = text;
  }

  /** Parses a complete JSON text. */
  public static Object read(byte[] text) throws Junk {
    Json json = new Json(text);
    Object value = json.value();
    json.blanks();
    if (json.at < text.length) {
      throw json.junk("more behind the end");
    }
    return value;
  }

  /**
   * Returns the value as an object.
   *
   * @param what names the value in the error message
   */
  @SuppressWarnings("unchecked")
  public static Map<String, Object> map(Object value, String what) throws Junk {
    if (value instanceof Map) {
      return (Map<String, Object>) value;
    }
    throw new Junk(what + " is not an object");
  }

  /**
   * Returns the value as a list.
   *
   * @param what names the value in the error message
   */
  @SuppressWarnings("unchecked")
  public static List<Object> list(Object value, String what) throws Junk {
    if (value instanceof List) {
      return (List<Object>) value;
    }
    throw new Junk(what + " is not a list");
  }

  /**
   * Returns the value as a string.
   *
   * @param what names the value in the error message
   */
  public static String text(Object value, String what) throws Junk {
    if (value instanceof String) {
      return (String) value;
    }
    throw new Junk(what + " is not a string");
  }

  /**
   * Returns the value as a number.
   *
   * @param what names the value in the error message
   */
  public static double number(Object value, String what) throws Junk {
    if (value instanceof Number) {
      return ((Number) value).doubleValue();
    }
    throw new Junk(what + " is not a number");
  }

  private Junk junk(String what) {
    return new Junk("JSON: " + what + " at byte " + at, at >= text.length);
  }

  private void blanks() {
    while (at < text.length
        && (text[at] == ' ' || text[at] == '\n' || text[at] == '\r' || text[at] == '\t')) {
      at++;
    }
  }

  private boolean next(char wanted) {
    blanks();
    if (at < text.length && text[at] == wanted) {
      at++;
      return true;
    }
    return false;
  }

  private Object value() throws Junk {
    blanks();
    if (at == text.length) {
      throw junk("ends early");
    }
    if (++depth > DEEPEST) {
      throw junk("too deep");
    }
    Object value =
        switch (text[at]) {
          case '{' -> object();
          case '[' -> array();
          case '"' -> string();
          case 't' -> word("true", Boolean.TRUE);
          case 'f' -> word("false", Boolean.FALSE);
          case 'n' -> word("null", null);
          default -> number();
        };
    depth--;
    return value;
  }

  private Object word(String word, Object value) throws Junk {
    for (int i = 0; i < word.length(); i++) {
      if (at == text.length || text[at++] != word.charAt(i)) {
        throw junk("unknown word");
      }
    }
    return value;
  }

  private Map<String, Object> object() throws Junk {
    Map<String, Object> object = new LinkedHashMap<>();
    at++;
    if (next('}')) {
      return object;
    }
    do {
      blanks();
      if (at == text.length || text[at] != '"') {
        throw junk("no name");
      }
      String name = names.computeIfAbsent(string(), same -> same);
      if (!next(':')) {
        throw junk("no colon");
      }
      object.put(name, value());
    } while (next(','));
    if (!next('}')) {
      throw junk("object without an end");
    }
    return object;
  }

  private List<Object> array() throws Junk {
    List<Object> array = new ArrayList<>();
    at++;
    if (next(']')) {
      return array;
    }
    do {
      array.add(value());
    } while (next(','));
    if (!next(']')) {
      throw junk("list without an end");
    }
    return array;
  }

  private String string() throws Junk {
    int from = ++at;
    while (at < text.length && text[at] != '"' && text[at] != '\\') {
      at++;
    }
    if (at < text.length && text[at] == '"') {
      return new String(text, from, at++ - from, StandardCharsets.UTF_8);
    }
    StringBuilder made = new StringBuilder();
    while (true) {
      made.append(new String(text, from, at - from, StandardCharsets.UTF_8));
      if (at == text.length) {
        throw junk("string without an end");
      }
      if (text[at++] == '"') {
        return made.toString();
      }
      made.append(escaped());
      from = at;
      while (at < text.length && text[at] != '"' && text[at] != '\\') {
        at++;
      }
    }
  }

  private char escaped() throws Junk {
    if (at == text.length) {
      throw junk("string without an end");
    }
    byte b = text[at++];
    switch (b) {
      case '"', '\\', '/':
        return (char) b;
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
          int digit = at < text.length ? Character.digit(text[at++], 16) : -1;
          if (digit < 0) {
            throw junk("bad escape");
          }
          code = code * 16 + digit;
        }
        return (char) code;
      default:
        throw junk("bad escape");
    }
  }

  private Number number() throws Junk {
    int from = at;
    boolean whole = true;
    while (at < text.length
        && (text[at] >= '0' && text[at] <= '9' || "+-.eE".indexOf(text[at]) >= 0)) {
      whole &= text[at] >= '0' && text[at] <= '9' || text[at] == '-';
      at++;
    }
    String digits = new String(text, from, at - from, StandardCharsets.US_ASCII);
    try {
      if (whole && digits.length() < 19) {
        return Long.valueOf(digits);
      }
      Double value = Double.valueOf(digits);
      if (value.isInfinite()) {
        throw junk("number out of range");
      }
      return value;
    } catch (NumberFormatException e) {
      throw junk("no value");
    }
  }
}

package tansytrack.wire;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * An SQL statement as a client writes it. A leading comment carries fields, and the name of a schema
 * carries the number of the data set.
 */
public final class Statement {

  private static final Set<String> BEFORE_TABLES =
      Set.of("from", "join", "into", "update", "table", "only", "copy");
  private static final Set<String> AFTER_TABLES =
      Set.of(
          "where",
          "select",
          "group",
          "order",
          "set",
          "values",
          "on",
          "using",
          "having",
          "limit",
          "returning",
          "union",
          "except",
          "intersect");
  private static final String STAGING = "staging";

  private final Map<String, String> fields = new HashMap<>();
  private final byte[] text;
  private final byte[] body;
  private int at;
  // The identifier or keyword just read, in lower case unless quoted; null for any other token.
  private String word;
  // Whether it is not in quotation marks, so that it may be a keyword.
  private boolean bare;

  private Statement(byte[] text, int from) {
    this.text = text;
    body = Arrays.copyOfRange(text, from, text.length);
    at = from;
  }

  /** Parses the leading comment of a statement, if there is one, and its fields. */
  public static Statement read(byte[] text) throws Junk {
    int from = blanks(text, 0);
    if (from + 1 >= text.length || text[from] != '/' || text[from + 1] != '*') {
      return new Statement(text, from);
    }
    int to = from + 2;
    while (to + 1 < text.length && !(text[to] == '*' && text[to + 1] == '/')) {
      to++;
    }
    if (to + 1 >= text.length) {
      throw new Junk("comment without an end");
    }
    Statement made = new Statement(text, blanks(text, to + 2));
    made.fields(from + 2, to);
    return made;
  }

  /** Returns the value of a field in the leading comment, or null. */
  public String field(String name) {
    return fields.get(name);
  }

  /** Whether the statement is the given text, ignoring case and surrounding white space. */
  public boolean is(String words) {
    return body.length < 2 * words.length()
        && string(text.length - body.length, text.length).strip().equalsIgnoreCase(words);
  }

  /** Returns the statement without the leading comment. */
  public byte[] body() {
    return body;
  }

  private static int blanks(byte[] text, int from) {
    int at = from;
    while (at < text.length && blank(text[at])) {
      at++;
    }
    return at;
  }

  private static boolean blank(byte sign) {
    return sign == ' ' || sign == '\n' || sign == '\r' || sign == '\t' || sign == '\f';
  }

  private void fields(int from, int to) {
    for (int i = from; i < to; ) {
      int end = i;
      int equals = -1;
      while (end < to && text[end] != ',') {
        equals = equals < 0 && text[end] == '=' ? end : equals;
        end++;
      }
      if (equals > 0) {
        fields.put(string(i, equals).strip(), string(equals + 1, end).strip());
      }
      i = end + 1;
    }
  }

  private String string(int from, int to) {
    return new String(text, from, to - from, java.nio.charset.StandardCharsets.UTF_8);
  }

  /**
   * Returns the number of the data set: the digits after the underscore in the name of the schema
   * that is read or written; -1 if there are none. A name in the position of a table takes precedence
   * over any other, as an alias may look like a schema too.
   */
  public long group() {
    long other = -1;
    boolean tables = false; // within a list of tables
    boolean wanted = false; // a table's name may follow
    String schema = null; // the last name, which a dot may follow
    boolean dotted = false;
    while (next()) {
      if (word == null) {
        byte sign = text[at - 1];
        wanted = sign == ',' ? tables : (sign == '.' && wanted) || (sign == '(' && wanted);
        dotted = sign == '.' && schema != null;
        schema = dotted ? schema : null;
        continue;
      }
      if (dotted) {
        long group = number(schema);
        if (group >= 0 && wanted) {
          return group;
        }
        other = other < 0 ? group : other;
        wanted = false;
        schema = null;
        dotted = false;
      } else if (bare && BEFORE_TABLES.contains(word)) {
        tables = true;
        wanted = true;
        schema = null;
      } else if (bare && AFTER_TABLES.contains(word)) {
        tables = false;
        wanted = false;
        schema = null;
      } else {
        wanted &= schema == null;
        schema = word;
      }
    }
    return other;
  }

  private static long number(String schema) {
    int under = schema.lastIndexOf('_');
    if (under < 1
        || under == schema.length() - 1
        || schema.length() - under > 16
        || schema.equals(STAGING)) {
      return -1;
    }
    long number = 0;
    for (int i = under + 1; i < schema.length(); i++) {
      char digit = schema.charAt(i);
      if (digit < '0' || digit > '9') {
        return -1;
      }
      number = number * 10 + digit - '0';
    }
    return number;
  }

  private byte peek(int ahead) {
    return at + ahead < text.length ? text[at + ahead] : 0;
  }

  /**
   * Reads the next name or sign, skipping white space, comments, strings and numbers; returns false
   * at the end.
   */
  private boolean next() {
    word = null;
    while (at < text.length) {
      byte sign = text[at];
      if (blank(sign)) {
        at++;
      } else if (sign == '-' && peek(1) == '-') {
        while (at < text.length && text[at] != '\n') {
          at++;
        }
      } else if (sign == '/' && peek(1) == '*') {
        comment();
      } else if (sign == '\'') {
        quoted('\'', false);
      } else if ((sign == 'e' || sign == 'E') && peek(1) == '\'') {
        at++;
        quoted('\'', true);
      } else if (sign == '$' && dollars()) {
        // the string has been skipped
      } else if (sign == '"') {
        int from = at;
        quoted('"', false);
        word = string(from + 1, Math.max(from + 1, at - 1));
        bare = false;
        return true;
      } else if (letter(sign)) {
        int from = at;
        while (at < text.length && (letter(text[at]) || digit(text[at]) || text[at] == '$')) {
          at++;
        }
        word = string(from, at).toLowerCase(Locale.ROOT);
        bare = true;
        return true;
      } else if (digit(sign)) {
        while (at < text.length && (letter(text[at]) || digit(text[at]) || text[at] == '.')) {
          at++;
        }
      } else {
        at++;
        return true;
      }
    }
    return false;
  }

  private static boolean letter(byte sign) {
    return (sign >= 'a' && sign <= 'z') || (sign >= 'A' && sign <= 'Z') || sign == '_' || sign < 0;
  }

  private static boolean digit(byte sign) {
    return sign >= '0' && sign <= '9';
  }

  private void comment() {
    int depth = 0;
    while (at < text.length) {
      if (text[at] == '/' && peek(1) == '*') {
        depth++;
        at += 2;
      } else if (text[at] == '*' && peek(1) == '/') {
        at += 2;
        if (--depth == 0) {
          return;
        }
      } else {
        at++;
      }
    }
  }

  /** Skips a string or a quoted name, in which a doubled quotation mark stands for itself. */
  private void quoted(char mark, boolean escapes) {
    at++;
    while (at < text.length) {
      if (escapes && text[at] == '\\') {
        at += 2;
      } else if (text[at] != mark) {
        at++;
      } else if (peek(1) == mark) {
        at += 2;
      } else {
        at++;
        return;
      }
    }
    at = Math.min(at, text.length);
  }

  /** Skips a dollar-quoted string if one starts here. */
  private boolean dollars() {
    int end = at + 1;
    while (end < text.length && (letter(text[end]) || (digit(text[end]) && end > at + 1))) {
      end++;
    }
    if (end == text.length || text[end] != '$') {
      return false;
    }
    int length = end + 1 - at;
    for (int i = end + 1; i + length <= text.length; i++) {
      if (Arrays.equals(text, i, i + length, text, at, at + length)) {
        at = i + length;
        return true;
      }
    }
    at = text.length;
    return true;
  }
}

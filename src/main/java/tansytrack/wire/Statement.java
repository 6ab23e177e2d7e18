package tansytrack.wire;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * A statement as a client writes it: fields in a comment ahead, and the group of tables in a
 * schema's name.
 */
public final class Statement {

  private static final Set<String> KEYWORDS_BEFORE_TABLES =
      Set.of("from", "join", "into", "update", "table", "only", "copy");
  private static final Set<String> KEYWORDS_AFTER_TABLES =
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
  private static final String STAGING_SCHEMA = "staging";

  private final Map<String, String> fields = new HashMap<>();
  private final byte[] text;
  private final byte[] body;
  private int position;
  private String identifier; // the name just read, in lower case; null for anything else
  private boolean unquoted; // not in quotation marks, so it may be a key word

  private Statement(byte[] text, int from) {
    this.text = text;
    body = Arrays.copyOfRange(text, from, text.length);
    position = from;
  }

  /** Reads the comment at the head of a statement, and its fields. */
  public static Statement parse(byte[] text) throws ProtocolException {
    int from = skipWhitespace(text, 0);
    if (from + 1 >= text.length || text[from] != '/' || text[from + 1] != '*') {
      return new Statement(text, from);
    }
    int to = from + 2;
    while (to + 1 < text.length && !(text[to] == '*' && text[to + 1] == '/')) {
      to++;
    }
    if (to + 1 >= text.length) {
      throw new ProtocolException("comment without an end");
    }
    Statement made = new Statement(text, skipWhitespace(text, to + 2));
    made.fields(from + 2, to);
    return made;
  }

  /** The value of a field in the leading comment, or null. */
  public String field(String name) {
    return fields.get(name);
  }

  /** Is it these words, in any case and with blanks round them? */
  public boolean equalsIgnoringCase(String words) {
    return body.length < 2 * words.length()
        && decode(text.length - body.length, text.length).strip().equalsIgnoreCase(words);
  }

  /** The statement without that comment. */
  public byte[] body() {
    return body;
  }

  private static int skipWhitespace(byte[] text, int from) {
    int at = from;
    while (at < text.length && isWhitespace(text[at])) {
      at++;
    }
    return at;
  }

  private static boolean isWhitespace(byte sign) {
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
        fields.put(decode(i, equals).strip(), decode(equals + 1, end).strip());
      }
      i = end + 1;
    }
  }

  private String decode(int from, int to) {
    return new String(text, from, to - from, java.nio.charset.StandardCharsets.UTF_8);
  }

  /**
   * The number behind the underscore in the name of the schema that is read or written, or -1. A
   * name where a table stands goes before any other: an alias may look like a schema too.
   */
  public long dataSet() {
    long other = -1;
    boolean tables = false; // a list of tables is open
    boolean wanted = false; // a table's name would stand here
    String schema = null; // a name that a dot may follow
    boolean dotted = false;
    while (nextToken()) {
      if (identifier == null) {
        byte sign = text[position - 1];
        wanted = sign == ',' ? tables : (sign == '.' && wanted) || (sign == '(' && wanted);
        dotted = sign == '.' && schema != null;
        schema = dotted ? schema : null;
        continue;
      }
      if (dotted) {
        long group = dataSetOfSchema(schema);
        if (group >= 0 && wanted) {
          return group;
        }
        other = other < 0 ? group : other;
        wanted = false;
        schema = null;
        dotted = false;
      } else if (unquoted && KEYWORDS_BEFORE_TABLES.contains(identifier)) {
        tables = true;
        wanted = true;
        schema = null;
      } else if (unquoted && KEYWORDS_AFTER_TABLES.contains(identifier)) {
        tables = false;
        wanted = false;
        schema = null;
      } else {
        wanted &= schema == null;
        schema = identifier;
      }
    }
    return other;
  }

  private static long dataSetOfSchema(String schema) {
    int under = schema.lastIndexOf('_');
    if (under < 1
        || under == schema.length() - 1
        || schema.length() - under > 16
        || schema.equals(STAGING_SCHEMA)) {
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
    return position + ahead < text.length ? text[position + ahead] : 0;
  }

  /** Reads the next name or sign, past blanks, comments and strings; false at the end. */
  private boolean nextToken() {
    identifier = null;
    while (position < text.length) {
      byte sign = text[position];
      if (isWhitespace(sign)) {
        position++;
      } else if (sign == '-' && peek(1) == '-') {
        while (position < text.length && text[position] != '\n') {
          position++;
        }
      } else if (sign == '/' && peek(1) == '*') {
        skipBlockComment();
      } else if (sign == '\'') {
        skipQuoted('\'', false);
      } else if ((sign == 'e' || sign == 'E') && peek(1) == '\'') {
        position++;
        skipQuoted('\'', true);
      } else if (sign == '$' && skipDollarQuoted()) {

      } else if (sign == '"') {
        int from = position;
        skipQuoted('"', false);
        identifier = decode(from + 1, Math.max(from + 1, position - 1));
        unquoted = false;
        return true;
      } else if (isIdentifierStart(sign)) {
        int from = position;
        while (position < text.length
            && (isIdentifierStart(text[position])
                || isDigit(text[position])
                || text[position] == '$')) {
          position++;
        }
        identifier = decode(from, position).toLowerCase(Locale.ROOT);
        unquoted = true;
        return true;
      } else if (isDigit(sign)) {
        while (position < text.length
            && (isIdentifierStart(text[position])
                || isDigit(text[position])
                || text[position] == '.')) {
          position++;
        }
      } else {
        position++;
        return true;
      }
    }
    return false;
  }

  private static boolean isIdentifierStart(byte sign) {
    return (sign >= 'a' && sign <= 'z') || (sign >= 'A' && sign <= 'Z') || sign == '_' || sign < 0;
  }

  private static boolean isDigit(byte sign) {
    return sign >= '0' && sign <= '9';
  }

  private void skipBlockComment() {
    int depth = 0;
    while (position < text.length) {
      if (text[position] == '/' && peek(1) == '*') {
        depth++;
        position += 2;
      } else if (text[position] == '*' && peek(1) == '/') {
        position += 2;
        if (--depth == 0) {
          return;
        }
      } else {
        position++;
      }
    }
  }

  /** Past a string or a quoted name; a doubled mark stands for itself. */
  private void skipQuoted(char mark, boolean escapes) {
    position++;
    while (position < text.length) {
      if (escapes && text[position] == '\\') {
        position += 2;
      } else if (text[position] != mark) {
        position++;
      } else if (peek(1) == mark) {
        position += 2;
      } else {
        position++;
        return;
      }
    }
    position = Math.min(position, text.length);
  }

  /** Past a string between dollar marks, if one starts here. */
  private boolean skipDollarQuoted() {
    int end = position + 1;
    while (end < text.length
        && (isIdentifierStart(text[end]) || (isDigit(text[end]) && end > position + 1))) {
      end++;
    }
    if (end == text.length || text[end] != '$') {
      return false;
    }
    int length = end + 1 - position;
    for (int i = end + 1; i + length <= text.length; i++) {
      if (Arrays.equals(text, i, i + length, text, position, position + length)) {
        position = i + length;
        return true;
      }
    }
    position = text.length;
    return true;
  }
}

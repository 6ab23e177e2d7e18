package tansytrack.wire;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * An SQL statement as a client writes it. A leading comment carries fields, and the name of a
 * schema carries the number of the data set.
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
  // The identifier or keyword just read, in lower case unless quoted; null for any other token.
  private String identifier;
  // Whether it is not in quotation marks, so that it may be a keyword.
  private boolean unquoted;

  private Statement(byte[] text, int from) {
    this.text = text;
    body = Arrays.copyOfRange(text, from, text.length);
    position = from;
  }

  /** Parses the leading comment of a statement, if there is one, and its fields. */
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
    Statement statement = new Statement(text, skipWhitespace(text, to + 2));
    statement.parseFields(from + 2, to);
    return statement;
  }

  /** Returns the value of a field in the leading comment, or null. */
  public String field(String name) {
    return fields.get(name);
  }

  /** Whether the statement is the given text, ignoring case and surrounding white space. */
  public boolean equalsIgnoringCase(String sql) {
    return body.length < 2 * sql.length()
        && decode(text.length - body.length, text.length).strip().equalsIgnoreCase(sql);
  }

  /** Returns the statement without the leading comment. */
  public byte[] body() {
    return body;
  }

  private static int skipWhitespace(byte[] text, int from) {
    int index = from;
    while (index < text.length && isWhitespace(text[index])) {
      index++;
    }
    return index;
  }

  private static boolean isWhitespace(byte character) {
    return character == ' '
        || character == '\n'
        || character == '\r'
        || character == '\t'
        || character == '\f';
  }

  private void parseFields(int from, int to) {
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
   * Returns the number of the data set: the digits after the underscore in the name of the schema
   * that is read or written; -1 if there are none. A name in the position of a table takes
   * precedence over any other, as an alias may look like a schema too.
   */
  public long dataSet() {
    long fallback = -1;
    boolean inTableList = false; // within a list of tables
    boolean tableExpected = false; // a table's name may follow
    String lastName = null; // the last name, which a dot may follow
    boolean afterDot = false;
    while (nextToken()) {
      if (identifier == null) {
        byte character = text[position - 1];
        tableExpected =
            character == ','
                ? inTableList
                : (character == '.' && tableExpected) || (character == '(' && tableExpected);
        afterDot = character == '.' && lastName != null;
        lastName = afterDot ? lastName : null;
        continue;
      }
      if (afterDot) {
        long dataSet = dataSetOfSchema(lastName);
        if (dataSet >= 0 && tableExpected) {
          return dataSet;
        }
        fallback = fallback < 0 ? dataSet : fallback;
        tableExpected = false;
        lastName = null;
        afterDot = false;
      } else if (unquoted && KEYWORDS_BEFORE_TABLES.contains(identifier)) {
        inTableList = true;
        tableExpected = true;
        lastName = null;
      } else if (unquoted && KEYWORDS_AFTER_TABLES.contains(identifier)) {
        inTableList = false;
        tableExpected = false;
        lastName = null;
      } else {
        tableExpected &= lastName == null;
        lastName = identifier;
      }
    }
    return fallback;
  }

  private static long dataSetOfSchema(String schema) {
    int underscore = schema.lastIndexOf('_');
    if (underscore < 1
        || underscore == schema.length() - 1
        || schema.length() - underscore > 16
        || schema.equals(STAGING_SCHEMA)) {
      return -1;
    }
    long number = 0;
    for (int i = underscore + 1; i < schema.length(); i++) {
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

  /**
   * Reads the next name or sign, skipping white space, comments, strings and numbers; returns false
   * at the end.
   */
  private boolean nextToken() {
    identifier = null;
    while (position < text.length) {
      byte character = text[position];
      if (isWhitespace(character)) {
        position++;
      } else if (character == '-' && peek(1) == '-') {
        while (position < text.length && text[position] != '\n') {
          position++;
        }
      } else if (character == '/' && peek(1) == '*') {
        skipBlockComment();
      } else if (character == '\'') {
        skipQuoted('\'', false);
      } else if ((character == 'e' || character == 'E') && peek(1) == '\'') {
        position++;
        skipQuoted('\'', true);
      } else if (character == '$' && skipDollarQuoted()) {
        // the string has been skipped
      } else if (character == '"') {
        int from = position;
        skipQuoted('"', false);
        identifier = decode(from + 1, Math.max(from + 1, position - 1));
        unquoted = false;
        return true;
      } else if (isIdentifierStart(character)) {
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
      } else if (isDigit(character)) {
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

  private static boolean isIdentifierStart(byte character) {
    return (character >= 'a' && character <= 'z')
        || (character >= 'A' && character <= 'Z')
        || character == '_'
        || character < 0;
  }

  private static boolean isDigit(byte character) {
    return character >= '0' && character <= '9';
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

  /** Skips a string or a quoted name, in which a doubled quotation mark stands for itself. */
  private void skipQuoted(char quotationMark, boolean escapes) {
    position++;
    while (position < text.length) {
      if (escapes && text[position] == '\\') {
        position += 2;
      } else if (text[position] != quotationMark) {
        position++;
      } else if (peek(1) == quotationMark) {
        position += 2;
      } else {
        position++;
        return;
      }
    }
    position = Math.min(position, text.length);
  }

  /** Skips a dollar-quoted string if one starts here. */
  private boolean skipDollarQuoted() {
    int tagEnd = position + 1;
    while (tagEnd < text.length
        && (isIdentifierStart(text[tagEnd]) || (isDigit(text[tagEnd]) && tagEnd > position + 1))) {
      tagEnd++;
    }
    if (tagEnd == text.length || text[tagEnd] != '$') {
      return false;
    }
    int tagLength = tagEnd + 1 - position;
    for (int i = tagEnd + 1; i + tagLength <= text.length; i++) {
      if (Arrays.equals(text, i, i + tagLength, text, position, position + tagLength)) {
        position = i + tagLength;
        return true;
      }
    }
    position = text.length;
    return true;
  }
}

package tansytrack.state;

import java.util.Set;
import tansytrack.api.TaskRequest;
import tansytrack.wire.ProtocolException;
import tansytrack.wire.Statement;

/** Makes a task from the fields of a statement, or rejects it and names the invalid field. */
final class TaskParser {

  private static final double NANOS_PER_MS = 1e6;

  // Upper bound of every amount, which keeps sums of times within the range of a long.
  private static final double MAX_AMOUNT = 1e9;

  // Enough for all digits of a double.
  private static final int MAX_AMOUNT_DIGITS = 24;

  private final Set<String> queryClasses;
  private final Set<String> tenants;

  TaskParser(Set<String> queryClasses, Set<String> tenants) {
    this.queryClasses = queryClasses;
    this.tenants = tenants;
  }

  /** Returns the task of a statement whose last byte was received at the given time. */
  TaskRequest parseTask(Statement statement, long receivedAt) throws ProtocolException {
    String id = requiredField(statement, "id");
    parseHex("id", id);
    String queryClass = requiredField(statement, "class");
    if (!queryClasses.contains(queryClass)) {
      throw new ProtocolException("field class: no such class");
    }
    String tenant = statement.field("tenant");
    if (tenant != null && !tenants.contains(tenant)) {
      throw new ProtocolException("field tenant: no such tenant");
    }
    String key = statement.field("key");
    double maxWaitMs = parseAmount("wait", requiredField(statement, "wait"));
    double costMs = parseAmount("cost", statement.field("cost"));
    double memoryMb = parseAmount("mb", statement.field("mb"));
    return new TaskRequest(
        id,
        queryClass,
        tenant == null ? "" : tenant,
        key == null ? null : parseHex("key", key),
        receivedAt + Math.round(maxWaitMs * NANOS_PER_MS),
        Math.round(costMs * NANOS_PER_MS),
        memoryMb,
        statement.dataSet());
  }

  /**
   * Returns the key by which engines recognise a repeated statement, or null. It is passed on
   * unchanged in a header field, so it may hold only letters, digits, and the characters _, . and
   * -.
   */
  static String idempotencyKey(Statement statement) throws ProtocolException {
    String key = statement.field("once");
    if (key != null && !key.matches("[0-9A-Za-z_.-]{1,64}")) {
      throw new ProtocolException("field once: not a word of 1 to 64 letters and digits");
    }
    return key;
  }

  private static String requiredField(Statement statement, String field) throws ProtocolException {
    String value = statement.field(field);
    if (value == null || value.isEmpty()) {
      throw new ProtocolException("field " + field + ": missing");
    }
    return value;
  }

  private static long parseHex(String field, String value) throws ProtocolException {
    long bits = 0;
    for (int i = 0; i < 16; i++) {
      char character = value.length() == 16 ? value.charAt(i) : 0;
      int digit = character < 128 ? Character.digit(character, 16) : -1;
      if (digit < 0) {
        throw new ProtocolException("field " + field + ": not 16 hex digits");
      }
      bits = bits << 4 | digit;
    }
    return bits;
  }

  /**
   * Parses a non-negative decimal number, 0 if absent. Further forms that {@link
   * Double#parseDouble} accepts (1d, 0x1p3, 1e3) are rejected, as no engine accepts them.
   */
  static double parseAmount(String field, String value) throws ProtocolException {
    if (value == null) {
      return 0;
    }
    boolean valid = !value.isEmpty() && value.length() <= MAX_AMOUNT_DIGITS;
    int points = 0;
    for (int i = 0; i < value.length(); i++) {
      char character = value.charAt(i);
      points += character == '.' ? 1 : 0;
      valid &=
          (character >= '0' && character <= '9')
              || (character == '.' && i > 0 && i < value.length() - 1);
    }
    double amount = valid && points <= 1 ? Double.parseDouble(value) : MAX_AMOUNT;
    if (amount >= MAX_AMOUNT) {
      throw new ProtocolException("field " + field + ": not a number in range");
    }
    return amount;
  }
}

package tansytrack.state;

import java.util.Set;
import tansytrack.api.TaskRequest;
import tansytrack.wire.ProtocolException;
import tansytrack.wire.Statement;

/** Makes a task of a statement's fields, or says which field is of no use. */
final class TaskParser {

  private static final double NANOS_PER_MS = 1e6;
  private static final double MAX_AMOUNT = 1e9; // of any amount: keeps sums of times in range

  private static final int MAX_AMOUNT_DIGITS = 24; // digits of a double, and some

  private final Set<String> queryClasses;
  private final Set<String> tenants;

  TaskParser(Set<String> grades, Set<String> tenants) {
    this.queryClasses = grades;
    this.tenants = tenants;
  }

  /** The task, whose last byte came at that time. */
  TaskRequest parseTask(Statement statement, long at) throws ProtocolException {
    String id = requiredField(statement, "id");
    parseHex("id", id);
    String grade = requiredField(statement, "class");
    if (!queryClasses.contains(grade)) {
      throw new ProtocolException("field class: no such class");
    }
    String tenant = statement.field("tenant");
    if (tenant != null && !tenants.contains(tenant)) {
      throw new ProtocolException("field tenant: no such tenant");
    }
    String key = statement.field("key");
    double wait = parseAmount("wait", requiredField(statement, "wait"));
    double cost = parseAmount("cost", statement.field("cost"));
    double memory = parseAmount("mb", statement.field("mb"));
    return new TaskRequest(
        id,
        grade,
        tenant == null ? "" : tenant,
        key == null ? null : parseHex("key", key),
        at + Math.round(wait * NANOS_PER_MS),
        Math.round(cost * NANOS_PER_MS),
        memory,
        statement.dataSet());
  }

  /**
   * The mark by which engines know a repeat, or null: passed on as it is, so it must be a plain
   * word.
   */
  static String idempotencyKey(Statement statement) throws ProtocolException {
    String stamp = statement.field("once");
    if (stamp != null && !stamp.matches("[0-9A-Za-z_.-]{1,64}")) {
      throw new ProtocolException("field once: not a word of 1 to 64 letters and digits");
    }
    return stamp;
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
      char sign = value.length() == 16 ? value.charAt(i) : 0;
      int digit = sign < 128 ? Character.digit(sign, 16) : -1;
      if (digit < 0) {
        throw new ProtocolException("field " + field + ": not 16 hex digits");
      }
      bits = bits << 4 | digit;
    }
    return bits;
  }

  /**
   * A plain decimal from 0 on: what Java's own reader takes besides (1d, 0x1p3, 1e3) no engine
   * would.
   */
  static double parseAmount(String field, String value) throws ProtocolException {
    if (value == null) {
      return 0;
    }
    boolean plain = !value.isEmpty() && value.length() <= MAX_AMOUNT_DIGITS;
    int points = 0;
    for (int i = 0; i < value.length(); i++) {
      char sign = value.charAt(i);
      points += sign == '.' ? 1 : 0;
      plain &= (sign >= '0' && sign <= '9') || (sign == '.' && i > 0 && i < value.length() - 1);
    }
    double amount = plain && points <= 1 ? Double.parseDouble(value) : MAX_AMOUNT;
    if (amount >= MAX_AMOUNT) {
      throw new ProtocolException("field " + field + ": not a number in range");
    }
    return amount;
  }
}

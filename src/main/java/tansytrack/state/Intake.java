package tansytrack.state;

import java.util.Set;
import tansytrack.api.TaskOffer;
import tansytrack.wire.Junk;
import tansytrack.wire.Statement;

/** Makes a task from the fields of a statement, or rejects it naming the unusable field. */
final class Intake {

  private static final double MS = 1e6;

  // Upper bound of every amount, which keeps sums of times within the range of a long.
  private static final double MOST = 1e9;

  // Enough for all digits of a double.
  private static final int LONGEST_AMOUNT = 24;

  private final Set<String> grades;
  private final Set<String> tenants;

  Intake(Set<String> grades, Set<String> tenants) {
    this.grades = grades;
    this.tenants = tenants;
  }

  /** Returns the task of a statement whose last byte was received at the given time. */
  TaskOffer offer(Statement statement, long at) throws Junk {
    String id = needed(statement, "id");
    hex("id", id);
    String grade = needed(statement, "class");
    if (!grades.contains(grade)) {
      throw new Junk("field class: no such class");
    }
    String tenant = statement.field("tenant");
    if (tenant != null && !tenants.contains(tenant)) {
      throw new Junk("field tenant: no such tenant");
    }
    String key = statement.field("key");
    double wait = amount("wait", needed(statement, "wait"));
    double cost = amount("cost", statement.field("cost"));
    double memory = amount("mb", statement.field("mb"));
    return new TaskOffer(
        id,
        grade,
        tenant == null ? "" : tenant,
        key == null ? null : hex("key", key),
        at + Math.round(wait * MS),
        Math.round(cost * MS),
        memory,
        statement.group());
  }

  /**
   * Returns the key by which engines recognise a repeated statement, or null. It is passed on
   * unchanged in a header field, so it may hold only letters, digits, and the characters _, . and -.
   */
  static String stamp(Statement statement) throws Junk {
    String stamp = statement.field("once");
    if (stamp != null && !stamp.matches("[0-9A-Za-z_.-]{1,64}")) {
      throw new Junk("field once: not a word of 1 to 64 letters and digits");
    }
    return stamp;
  }

  private static String needed(Statement statement, String field) throws Junk {
    String value = statement.field(field);
    if (value == null || value.isEmpty()) {
      throw new Junk("field " + field + ": missing");
    }
    return value;
  }

  private static long hex(String field, String value) throws Junk {
    long bits = 0;
    for (int i = 0; i < 16; i++) {
      char sign = value.length() == 16 ? value.charAt(i) : 0;
      int digit = sign < 128 ? Character.digit(sign, 16) : -1;
      if (digit < 0) {
        throw new Junk("field " + field + ": not 16 hex digits");
      }
      bits = bits << 4 | digit;
    }
    return bits;
  }

  /**
   * Parses a non-negative decimal number, 0 if absent. Further forms that {@link
   * Double#parseDouble} accepts (1d, 0x1p3, 1e3) are rejected, as no engine accepts them.
   */
  static double amount(String field, String value) throws Junk {
    if (value == null) {
      return 0;
    }
    boolean plain = !value.isEmpty() && value.length() <= LONGEST_AMOUNT;
    int points = 0;
    for (int i = 0; i < value.length(); i++) {
      char sign = value.charAt(i);
      points += sign == '.' ? 1 : 0;
      plain &= (sign >= '0' && sign <= '9') || (sign == '.' && i > 0 && i < value.length() - 1);
    }
    double amount = plain && points <= 1 ? Double.parseDouble(value) : MOST;
    if (amount >= MOST) {
      throw new Junk("field " + field + ": not a number in range");
    }
    return amount;
  }
}

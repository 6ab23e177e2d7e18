package tansytrack.state;

import java.util.Set;
import tansytrack.api.TaskOffer;
import tansytrack.wire.Junk;
import tansytrack.wire.Statement;

/** Makes a task of a statement's fields, or says which field is of no use. */
final class Intake {

    private static final double MS = 1e6;
    private static final double MOST = 1e9;             // of any amount: keeps sums of times in range

    private final Set<String> grades;
    private final Set<String> tenants;

    Intake(Set<String> grades, Set<String> tenants) {
        this.grades = grades;
        this.tenants = tenants;
    }

    /** The task, whose last byte came at that time. */
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
        return new TaskOffer(id, grade, tenant == null ? "" : tenant, key == null ? null : hex("key", key),
                at + Math.round(wait * MS), Math.round(cost * MS), memory, statement.group());
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
            int digit = value.length() == 16 ? Character.digit(value.charAt(i), 16) : -1;
            if (digit < 0) {
                throw new Junk("field " + field + ": not 16 hex digits");
            }
            bits = bits << 4 | digit;
        }
        return bits;
    }

    static double amount(String field, String value) throws Junk {
        if (value == null) {
            return 0;
        }
        try {
            double amount = Double.parseDouble(value);
            if (amount >= 0 && amount < MOST) {
                return amount;
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw new Junk("field " + field + ": not a number in range");
    }
}

package tansytrack.ledger;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The bill of one period: a subtotal for each tenant and query class, plus late entries and
 * amendments. The subtotals of a closed period contain only the entries up to its closing position.
 * Later entries and amendments are kept separately, so these subtotals never change.
 */
public final class Bill {

  /** The subtotal of one tenant and query class. */
  public static final class Sum {
    private long tasks;
    private long handled;
    private long bounced;
    private long unresolved;
    private long work;
    private long waste;
    private long bytes;
    private BigDecimal exact = BigDecimal.ZERO;

    /** The number of tasks accepted. */
    public long tasks() {
      return tasks;
    }

    /** The number of tasks answered with their result. */
    public long handled() {
      return handled;
    }

    /** The number of tasks rejected or failed. */
    public long bounced() {
      return bounced;
    }

    /** The number of tasks whose end is unknown because their manager died. */
    public long unresolved() {
      return unresolved;
    }

    /** The work that engines reported, in nanoseconds. */
    public long work() {
      return work;
    }

    /** The part of the work whose result was not used, in nanoseconds. */
    public long waste() {
      return waste;
    }

    /** The number of result bytes sent to clients. */
    public long bytes() {
      return bytes;
    }
  }

  /** The tenant and query class of a subtotal. */
  public record Whose(String tenant, String grade) implements Comparable<Whose> {
    @Override
    public int compareTo(Whose other) {
      int by = tenant.compareTo(other.tenant);
      return by != 0 ? by : grade.compareTo(other.grade);
    }
  }

  private final String period;
  private final Periods periods;
  private final Rates rates;
  // The last position in the subtotals of a closed period; 0 while the period is open.
  private final long closedAt;
  private final TreeMap<Whose, Sum> sums = new TreeMap<>();
  private final TreeMap<Whose, Sum> late = new TreeMap<>();
  private final List<Amendment> amendments = new ArrayList<>();

  /**
   * Creates an empty bill.
   *
   * @param closedAt the position at which the period was closed; 0 while it is open
   */
  public Bill(String period, Periods periods, Rates rates, long closedAt) {
    this.period = period;
    this.periods = periods;
    this.rates = rates;
    this.closedAt = closedAt;
  }

  /**
   * Adds an entry if it belongs to this period. A task belongs to the period in which it was
   * accepted.
   */
  public void take(long position, Entry entry) {
    if (!periods.of(entry.takenAt()).equals(period)) {
      return;
    }
    TreeMap<Whose, Sum> into = closedAt > 0 && position > closedAt ? late : sums;
    Sum sum = into.computeIfAbsent(new Whose(entry.tenant(), entry.grade()), whose -> new Sum());
    sum.tasks++;
    sum.handled += entry.end() == End.HANDLED ? 1 : 0;
    sum.bounced += entry.end() == End.BOUNCED ? 1 : 0;
    sum.unresolved += entry.end() == End.UNRESOLVED ? 1 : 0;
    sum.work += entry.work(true);
    sum.waste += entry.work(true) - entry.work(false);
    sum.bytes += entry.bytes();
    sum.exact = sum.exact.add(rates.price(entry, periods.day(entry.takenAt())));
  }

  /** Adds an amendment if it belongs to this period. */
  public void take(Amendment amendment) {
    if (amendment.period().equals(period)) {
      amendments.add(amendment);
    }
  }

  /** The subtotals by tenant and query class. */
  public Map<Whose, Sum> sums() {
    return sums;
  }

  /** The subtotals of entries that were written after the period was closed. */
  public Map<Whose, Sum> late() {
    return late;
  }

  /** The rounded amount of one subtotal. */
  public BigDecimal amount(Sum sum) {
    return rates.rounded(sum.exact);
  }

  /**
   * The sum of a tenant's amendments. Withdrawn amendments don't count; a withdrawal that was itself
   * withdrawn has no effect.
   */
  public BigDecimal amended(String tenant) {
    Set<Long> stand = standing(amendments);
    BigDecimal sum = BigDecimal.ZERO;
    for (Amendment one : amendments) {
      if (one.tenant().equals(tenant) && !one.withdraws() && stand.contains(one.number())) {
        sum = sum.add(one.amount());
      }
    }
    return sum;
  }

  /**
   * The numbers of the amendments that are in effect. The amendments are evaluated from the latest to
   * the earliest, because each can only withdraw an earlier one.
   */
  public static Set<Long> standing(List<Amendment> all) {
    Map<Long, Boolean> withdrawn = new HashMap<>();
    Set<Long> stand = new HashSet<>();
    List<Amendment> latestFirst = new ArrayList<>(all);
    latestFirst.sort((a, b) -> Long.compare(b.number(), a.number()));
    for (Amendment one : latestFirst) {
      if (!withdrawn.containsKey(one.number())) {
        stand.add(one.number());
        if (one.withdraws()) {
          withdrawn.put(Long.parseLong(one.corrects().substring(2)), true);
        }
      }
    }
    return stand;
  }

  /** All tenants on the bill, sorted by name. */
  public Set<String> tenants() {
    Set<String> tenants = new java.util.TreeSet<>();
    sums.keySet().forEach(whose -> tenants.add(whose.tenant()));
    late.keySet().forEach(whose -> tenants.add(whose.tenant()));
    amendments.forEach(one -> tenants.add(one.tenant()));
    return tenants;
  }

  /** The amount a tenant owes: its rounded subtotals, late ones included, and its amendments. */
  public BigDecimal total(String tenant) {
    BigDecimal total = amended(tenant);
    for (Map<Whose, Sum> part : List.of(sums, late)) {
      for (Map.Entry<Whose, Sum> one : part.entrySet()) {
        if (one.getKey().tenant().equals(tenant)) {
          total = total.add(amount(one.getValue()));
        }
      }
    }
    return total.setScale(Math.max(rates.decimals(), total.scale()));
  }

  /** The subtotals as text in a fixed format; its hash is stored when the period is closed. */
  public String sealed() {
    StringBuilder text = new StringBuilder();
    sums.forEach(
        (whose, sum) ->
            text.append(whose.tenant)
                .append('\t')
                .append(whose.grade)
                .append('\t')
                .append(sum.tasks)
                .append('\t')
                .append(sum.handled)
                .append('\t')
                .append(sum.work)
                .append('\t')
                .append(amount(sum).toPlainString())
                .append('\n'));
    return text.toString();
  }
}

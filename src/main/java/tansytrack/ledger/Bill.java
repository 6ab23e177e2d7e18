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
 * The bill of one period: a sum for each tenant and grade, and what came after the fact. Of a
 * closed period only the entries up to its closing position are in the sums; later ones and
 * corrections stand beside them, so the sums never change.
 */
public final class Bill {

  /** One sum. */
  public static final class Subtotal {
    private long tasks;
    private long handled;
    private long bounced;
    private long unresolved;
    private long workNanos;
    private long wasteNanos;
    private long bytes;
    private BigDecimal exactAmount = BigDecimal.ZERO;

    /** Tasks taken in. */
    public long tasks() {
      return tasks;
    }

    /** Tasks answered with their result. */
    public long handled() {
      return handled;
    }

    /** Tasks refused or failed. */
    public long bounced() {
      return bounced;
    }

    /** Tasks whose end nobody knows, as their manager died. */
    public long unresolved() {
      return unresolved;
    }

    /** Work that engines reported, in nanoseconds. */
    public long workNanos() {
      return workNanos;
    }

    /** Work of forwards whose result was not used, in nanoseconds. */
    public long wasteNanos() {
      return wasteNanos;
    }

    /** Bytes of results sent to clients. */
    public long bytes() {
      return bytes;
    }
  }

  /** Whose sum it is. */
  public record SubtotalKey(String tenant, String grade) implements Comparable<SubtotalKey> {
    @Override
    public int compareTo(SubtotalKey other) {
      int by = tenant.compareTo(other.tenant);
      return by != 0 ? by : grade.compareTo(other.grade);
    }
  }

  private final String period;
  private final BillingPeriods periods;
  private final Rates rates;
  private final long closingPosition; // position; 0: open
  private final TreeMap<SubtotalKey, Subtotal> subtotals = new TreeMap<>();
  private final TreeMap<SubtotalKey, Subtotal> lateSubtotals = new TreeMap<>();
  private final List<Amendment> amendments = new ArrayList<>();

  /** An empty bill of a period; closed at that time, 0 while it is open. */
  public Bill(String period, BillingPeriods periods, Rates rates, long closedAt) {
    this.period = period;
    this.periods = periods;
    this.rates = rates;
    this.closingPosition = closedAt;
  }

  /** Takes an entry, if it belongs here; a task belongs to the period in which it was taken. */
  public void add(long position, Entry entry) {
    if (!periods.periodAt(entry.takenAt()).equals(period)) {
      return;
    }
    TreeMap<SubtotalKey, Subtotal> into =
        closingPosition > 0 && position > closingPosition ? lateSubtotals : subtotals;
    Subtotal sum =
        into.computeIfAbsent(
            new SubtotalKey(entry.tenant(), entry.grade()), whose -> new Subtotal());
    sum.tasks++;
    sum.handled += entry.end() == TaskEnd.HANDLED ? 1 : 0;
    sum.bounced += entry.end() == TaskEnd.BOUNCED ? 1 : 0;
    sum.unresolved += entry.end() == TaskEnd.UNRESOLVED ? 1 : 0;
    sum.workNanos += entry.workNanos(true);
    sum.wasteNanos += entry.workNanos(true) - entry.workNanos(false);
    sum.bytes += entry.bytes();
    sum.exactAmount = sum.exactAmount.add(rates.price(entry, periods.dayAt(entry.takenAt())));
  }

  /** Adds an amendment if it is for this period. */
  public void add(Amendment amendment) {
    if (amendment.period().equals(period)) {
      amendments.add(amendment);
    }
  }

  /** Sums by tenant and query class. */
  public Map<SubtotalKey, Subtotal> subtotals() {
    return subtotals;
  }

  /** What came after the period was closed. */
  public Map<SubtotalKey, Subtotal> lateSubtotals() {
    return lateSubtotals;
  }

  /** The rounded amount of one sum. */
  public BigDecimal roundedAmount(Subtotal sum) {
    return rates.round(sum.exactAmount);
  }

  /**
   * What the amendments come to for a tenant: one that was withdrawn counts for nothing, and
   * neither does a withdrawal that was withdrawn itself.
   */
  public BigDecimal amendedAmount(String tenant) {
    Set<Long> stand = effectiveAmendments(amendments);
    BigDecimal sum = BigDecimal.ZERO;
    for (Amendment one : amendments) {
      if (one.tenant().equals(tenant) && !one.withdraws() && stand.contains(one.number())) {
        sum = sum.add(one.amount());
      }
    }
    return sum;
  }

  /**
   * The numbers of the amendments that stand: judged from the latest back, as each can only
   * withdraw an earlier one.
   */
  public static Set<Long> effectiveAmendments(List<Amendment> all) {
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

  /** All tenants that the bill names, in order. */
  public Set<String> tenants() {
    Set<String> tenants = new java.util.TreeSet<>();
    subtotals.keySet().forEach(whose -> tenants.add(whose.tenant()));
    lateSubtotals.keySet().forEach(whose -> tenants.add(whose.tenant()));
    amendments.forEach(one -> tenants.add(one.tenant()));
    return tenants;
  }

  /** What a tenant owes: its rounded sums, those that came late, and its amendments. */
  public BigDecimal total(String tenant) {
    BigDecimal total = amendedAmount(tenant);
    for (Map<SubtotalKey, Subtotal> part : List.of(subtotals, lateSubtotals)) {
      for (Map.Entry<SubtotalKey, Subtotal> one : part.entrySet()) {
        if (one.getKey().tenant().equals(tenant)) {
          total = total.add(roundedAmount(one.getValue()));
        }
      }
    }
    return total.setScale(Math.max(rates.decimals(), total.scale()));
  }

  /** The sums in one fixed form, of which a closed period keeps the hash. */
  public String canonicalText() {
    StringBuilder text = new StringBuilder();
    subtotals.forEach(
        (whose, sum) ->
            text.append(whose.tenant)
                .append('\t')
                .append(whose.grade)
                .append('\t')
                .append(sum.tasks)
                .append('\t')
                .append(sum.handled)
                .append('\t')
                .append(sum.workNanos)
                .append('\t')
                .append(roundedAmount(sum).toPlainString())
                .append('\n'));
    return text.toString();
  }
}

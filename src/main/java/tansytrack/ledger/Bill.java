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
  public static final class Subtotal {
    private long tasks;
    private long handled;
    private long rejected;
    private long unresolved;
    private long workNanos;
    private long wasteNanos;
    private long bytes;
    private BigDecimal exactAmount = BigDecimal.ZERO;

    /** The number of tasks accepted. */
    public long tasks() {
      return tasks;
    }

    /** The number of tasks answered with their result. */
    public long handled() {
      return handled;
    }

    /** The number of tasks rejected or failed. */
    public long rejected() {
      return rejected;
    }

    /** The number of tasks whose end is unknown because their manager died. */
    public long unresolved() {
      return unresolved;
    }

    /** The work that engines reported, in nanoseconds. */
    public long workNanos() {
      return workNanos;
    }

    /** The part of the work whose result was not used, in nanoseconds. */
    public long wasteNanos() {
      return wasteNanos;
    }

    /** The number of result bytes sent to clients. */
    public long bytes() {
      return bytes;
    }
  }

  /** The tenant and query class of a subtotal. */
  public record SubtotalKey(String tenant, String grade) implements Comparable<SubtotalKey> {
    @Override
    public int compareTo(SubtotalKey other) {
      int byTenant = tenant.compareTo(other.tenant);
      return byTenant != 0 ? byTenant : grade.compareTo(other.grade);
    }
  }

  private final String period;
  private final BillingPeriods periods;
  private final Rates rates;
  // The last position in the subtotals of a closed period; 0 while the period is open.
  private final long closingPosition;
  private final TreeMap<SubtotalKey, Subtotal> subtotals = new TreeMap<>();
  private final TreeMap<SubtotalKey, Subtotal> lateSubtotals = new TreeMap<>();
  private final List<Amendment> amendments = new ArrayList<>();

  /**
   * Creates an empty bill.
   *
   * @param closingPosition the position at which the period was closed; 0 while it is open
   */
  public Bill(String period, BillingPeriods periods, Rates rates, long closingPosition) {
    this.period = period;
    this.periods = periods;
    this.rates = rates;
    this.closingPosition = closingPosition;
  }

  /**
   * Adds an entry if it belongs to this period. A task belongs to the period in which it was
   * accepted.
   */
  public void add(long position, Entry entry) {
    if (!periods.periodAt(entry.takenAt()).equals(period)) {
      return;
    }
    TreeMap<SubtotalKey, Subtotal> target =
        closingPosition > 0 && position > closingPosition ? lateSubtotals : subtotals;
    Subtotal subtotal =
        target.computeIfAbsent(
            new SubtotalKey(entry.tenant(), entry.grade()), key -> new Subtotal());
    subtotal.tasks++;
    subtotal.handled += entry.end() == TaskEnd.HANDLED ? 1 : 0;
    subtotal.rejected += entry.end() == TaskEnd.BOUNCED ? 1 : 0;
    subtotal.unresolved += entry.end() == TaskEnd.UNRESOLVED ? 1 : 0;
    subtotal.workNanos += entry.workNanos(true);
    subtotal.wasteNanos += entry.workNanos(true) - entry.workNanos(false);
    subtotal.bytes += entry.bytes();
    subtotal.exactAmount =
        subtotal.exactAmount.add(rates.price(entry, periods.dayAt(entry.takenAt())));
  }

  /** Adds an amendment if it belongs to this period. */
  public void add(Amendment amendment) {
    if (amendment.period().equals(period)) {
      amendments.add(amendment);
    }
  }

  /** The subtotals by tenant and query class. */
  public Map<SubtotalKey, Subtotal> subtotals() {
    return subtotals;
  }

  /** The subtotals of entries that were written after the period was closed. */
  public Map<SubtotalKey, Subtotal> lateSubtotals() {
    return lateSubtotals;
  }

  /** The rounded amount of one subtotal. */
  public BigDecimal roundedAmount(Subtotal subtotal) {
    return rates.round(subtotal.exactAmount);
  }

  /**
   * The sum of a tenant's amendments. Withdrawn amendments don't count; a withdrawal that was
   * itself withdrawn has no effect.
   */
  public BigDecimal amendedAmount(String tenant) {
    Set<Long> effective = effectiveAmendments(amendments);
    BigDecimal sum = BigDecimal.ZERO;
    for (Amendment amendment : amendments) {
      if (amendment.tenant().equals(tenant)
          && !amendment.withdraws()
          && effective.contains(amendment.number())) {
        sum = sum.add(amendment.amount());
      }
    }
    return sum;
  }

  /**
   * The numbers of the amendments that are in effect. The amendments are evaluated from the latest
   * to the earliest, because each can only withdraw an earlier one.
   */
  public static Set<Long> effectiveAmendments(List<Amendment> amendments) {
    Map<Long, Boolean> withdrawn = new HashMap<>();
    Set<Long> effective = new HashSet<>();
    List<Amendment> latestFirst = new ArrayList<>(amendments);
    latestFirst.sort((a, b) -> Long.compare(b.number(), a.number()));
    for (Amendment amendment : latestFirst) {
      if (!withdrawn.containsKey(amendment.number())) {
        effective.add(amendment.number());
        if (amendment.withdraws()) {
          withdrawn.put(Long.parseLong(amendment.corrects().substring(2)), true);
        }
      }
    }
    return effective;
  }

  /** All tenants on the bill, sorted by name. */
  public Set<String> tenants() {
    Set<String> tenants = new java.util.TreeSet<>();
    subtotals.keySet().forEach(key -> tenants.add(key.tenant()));
    lateSubtotals.keySet().forEach(key -> tenants.add(key.tenant()));
    amendments.forEach(amendment -> tenants.add(amendment.tenant()));
    return tenants;
  }

  /** The amount a tenant owes: its rounded subtotals, late ones included, and its amendments. */
  public BigDecimal total(String tenant) {
    BigDecimal total = amendedAmount(tenant);
    for (Map<SubtotalKey, Subtotal> subtotalMap : List.of(subtotals, lateSubtotals)) {
      for (Map.Entry<SubtotalKey, Subtotal> keyAndSubtotal : subtotalMap.entrySet()) {
        if (keyAndSubtotal.getKey().tenant().equals(tenant)) {
          total = total.add(roundedAmount(keyAndSubtotal.getValue()));
        }
      }
    }
    return total.setScale(Math.max(rates.decimals(), total.scale()));
  }

  /** The subtotals as text in a fixed format; its hash is stored when the period is closed. */
  public String canonicalText() {
    StringBuilder text = new StringBuilder();
    subtotals.forEach(
        (key, subtotal) ->
            text.append(key.tenant)
                .append('\t')
                .append(key.grade)
                .append('\t')
                .append(subtotal.tasks)
                .append('\t')
                .append(subtotal.handled)
                .append('\t')
                .append(subtotal.workNanos)
                .append('\t')
                .append(roundedAmount(subtotal).toPlainString())
                .append('\n'));
    return text.toString();
  }
}

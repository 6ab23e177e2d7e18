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
  public static final class Sum {
    private long tasks;
    private long handled;
    private long bounced;
    private long unresolved;
    private long work;
    private long waste;
    private long bytes;
    private BigDecimal exact = BigDecimal.ZERO;

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
    public long work() {
      return work;
    }

    /** Work of forwards whose result was not used, in nanoseconds. */
    public long waste() {
      return waste;
    }

    /** Bytes of results sent to clients. */
    public long bytes() {
      return bytes;
    }
  }

  /** Whose sum it is. */
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
  private final long closedAt; // position; 0: open
  private final TreeMap<Whose, Sum> sums = new TreeMap<>();
  private final TreeMap<Whose, Sum> late = new TreeMap<>();
  private final List<Amendment> amendments = new ArrayList<>();

  /** An empty bill of a period; closed at that time, 0 while it is open. */
  public Bill(String period, Periods periods, Rates rates, long closedAt) {
    this.period = period;
    this.periods = periods;
    this.rates = rates;
    this.closedAt = closedAt;
  }

  /** Takes an entry, if it belongs here; a task belongs to the period in which it was taken. */
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

  /** Adds an amendment if it is for this period. */
  public void take(Amendment amendment) {
    if (amendment.period().equals(period)) {
      amendments.add(amendment);
    }
  }

  /** Sums by tenant and query class. */
  public Map<Whose, Sum> sums() {
    return sums;
  }

  /** What came after the period was closed. */
  public Map<Whose, Sum> late() {
    return late;
  }

  /** The rounded amount of one sum. */
  public BigDecimal amount(Sum sum) {
    return rates.rounded(sum.exact);
  }

  /**
   * What the amendments come to for a tenant: one that was withdrawn counts for nothing, and
   * neither does a withdrawal that was withdrawn itself.
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
   * The numbers of the amendments that stand: judged from the latest back, as each can only
   * withdraw an earlier one.
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

  /** All tenants that the bill names, in order. */
  public Set<String> tenants() {
    Set<String> tenants = new java.util.TreeSet<>();
    sums.keySet().forEach(whose -> tenants.add(whose.tenant()));
    late.keySet().forEach(whose -> tenants.add(whose.tenant()));
    amendments.forEach(one -> tenants.add(one.tenant()));
    return tenants;
  }

  /** What a tenant owes: its rounded sums, those that came late, and its amendments. */
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

  /** The sums in one fixed form, of which a closed period keeps the hash. */
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

package tansytrack.ledger.disk;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import tansytrack.ledger.Amendment;
import tansytrack.ledger.Bill;
import tansytrack.ledger.BillingPeriods;
import tansytrack.ledger.Entry;
import tansytrack.ledger.EntryResolver;
import tansytrack.ledger.Gap;
import tansytrack.ledger.LedgerChecker;
import tansytrack.ledger.Rates;
import tansytrack.operator.OperatorFile;

/** Computes bills from the lines of a store, closes periods, and verifies stores. */
public final class Billing {

  // Progress of a verification is reported after this many lines.
  private static final long PROGRESS_INTERVAL_LINES = 1_000_000;

  private Billing() {}

  /** Computes the bill of a period: as it was closed, or of all lines so far while it is open. */
  public static Bill computeBill(
      LedgerStore store, BillingPeriods periods, Rates rates, String period) throws IOException {
    long closingPosition =
        store.closedPeriods().stream()
            .filter(closed -> closed.period().equals(period))
            .mapToLong(LedgerStore.ClosedPeriod::lastPosition)
            .findAny()
            .orElse(0);
    return fill(store, new Bill(period, periods, rates, closingPosition));
  }

  private static Bill fill(LedgerStore store, Bill bill) throws IOException {
    store.read(
        1,
        Long.MAX_VALUE,
        new LedgerStore.LineVisitor() {
          @Override
          public void entry(long position, Entry entry) {
            bill.add(position, entry);
          }

          @Override
          public void amendment(long position, Amendment amendment) {
            bill.add(amendment);
          }
        });
    return bill;
  }

  /** The number of complete tasks by period. */
  public static Map<String, Long> taskCounts(LedgerStore store, BillingPeriods periods)
      throws IOException {
    Map<String, Long> counts = new TreeMap<>();
    store.read(
        1,
        Long.MAX_VALUE,
        new LedgerStore.LineVisitor() {
          @Override
          public void entry(long position, Entry entry) {
            counts.merge(periods.periodAt(entry.takenAt()), 1L, Long::sum);
          }
        });
    return counts;
  }

  /**
   * Closes a period at the current position of the store. Later entries appear as late subtotals on
   * its bill.
   */
  public static LedgerStore.ClosedPeriod closePeriod(
      LedgerStore store, OperatorFile.LedgerSection section, String period, String author, long now)
      throws IOException {
    long lastPosition = store.lastPosition();
    Bill bill = fill(store, new Bill(period, section.periods(), section.rates(), lastPosition));
    LedgerStore.ClosedPeriod closed =
        new LedgerStore.ClosedPeriod(
            period, lastPosition, now, author, subtotalsHash(bill), section.billingText());
    store.close(closed);
    return closed;
  }

  /** Closes the periods whose grace period is over, and returns their names. */
  public static List<String> closeDuePeriods(
      LedgerStore store, OperatorFile.LedgerSection section, long now) throws IOException {
    List<String> closed = new ArrayList<>();
    for (String period :
        section
            .closingPolicy()
            .duePeriods(
                now,
                taskCounts(store, section.periods()).keySet(),
                store.closedPeriods().stream().map(LedgerStore.ClosedPeriod::period).toList())) {
      closePeriod(store, section, period, "its grace", now);
      closed.add(period);
    }
    return closed;
  }

  private static String subtotalsHash(Bill bill) {
    Exporter.Sha256OutputStream hashing =
        new Exporter.Sha256OutputStream(java.io.OutputStream.nullOutputStream());
    byte[] text = bill.canonicalText().getBytes(StandardCharsets.UTF_8);
    try {
      hashing.write(text, 0, text.length);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return hashing.hex();
  }

  /** Writes an amendment for each entry that is resolved, and returns these amendments. */
  public static List<Amendment> resolve(
      LedgerStore store, EntryResolver resolver, String author, long now) throws IOException {
    List<Amendment> amendments = new ArrayList<>();
    store.read(
        1,
        Long.MAX_VALUE,
        new LedgerStore.LineVisitor() {
          @Override
          public void entry(long position, Entry entry) {
            Amendment one = resolver.resolve(entry, author, now);
            if (one != null) {
              amendments.add(one);
            }
          }
        });
    List<Amendment> written = new ArrayList<>();
    for (Amendment amendment : amendments) {
      written.add(store.addAmendment(amendment));
    }
    return written;
  }

  /** Returns "over" or "within" for a tenant with a quota, and "-" for one without. */
  public static String quotaStatus(
      Bill bill, String tenant, List<OperatorFile.TenantQuota> quotas) {
    long tasks = 0;
    long work = 0;
    for (Map.Entry<Bill.SubtotalKey, Bill.Subtotal> keyAndSubtotal : bill.subtotals().entrySet()) {
      if (keyAndSubtotal.getKey().tenant().equals(tenant)) {
        tasks += keyAndSubtotal.getValue().tasks() - keyAndSubtotal.getValue().rejected();
        work += keyAndSubtotal.getValue().workNanos();
      }
    }
    for (OperatorFile.TenantQuota quota : quotas) {
      if (quota.tenant().equals(tenant)) {
        boolean over =
            (quota.tasks() > 0 && tasks > quota.tasks())
                || (quota.workNanos() > 0 && work > quota.workNanos());
        return over ? "over" : "within";
      }
    }
    return "-";
  }

  /** Checks all invariants of a store and returns the first violation, or null. */
  public static String verify(
      LedgerStore store, OperatorFile.LedgerSection section, LongConsumer progress)
      throws IOException {
    String damage = store.findDamage();
    if (damage != null) {
      return "the file is damaged: " + damage;
    }
    LedgerChecker checker = new LedgerChecker();
    store.read(
        1,
        Long.MAX_VALUE,
        new LedgerStore.LineVisitor() {
          private void told(long position) {
            if (position % PROGRESS_INTERVAL_LINES == 0) {
              progress.accept(position);
            }
          }

          @Override
          public void entry(long position, Entry entry) {
            checker.checkLine(position, entry);
            told(position);
          }

          @Override
          public void amendment(long position, Amendment amendment) {
            checker.checkLine(position);
          }

          @Override
          public void gap(long position, Gap gap) {
            checker.checkLine(position);
          }
        });
    for (LedgerStore.Batch one : store.batches()) {
      checker.checkBatch(
          one.number(),
          one.firstPosition(),
          one.lastPosition(),
          one.sha256(),
          Exporter.hash(store, one));
    }
    for (LedgerStore.ClosedPeriod one : store.closedPeriods()) {
      // A changed billing section legitimately gives other subtotals, so only periods that were
      // closed with the present one can be checked.
      if (section.billingText().equals(one.billing())) {
        Bill bill = computeBill(store, section.periods(), section.rates(), one.period());
        checker.checkClosedPeriod(one.period(), one.sha256(), subtotalsHash(bill));
      }
    }
    return checker.firstViolation();
  }
}

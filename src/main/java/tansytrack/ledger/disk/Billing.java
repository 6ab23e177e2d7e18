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
import tansytrack.ledger.Entry;
import tansytrack.ledger.Gap;
import tansytrack.ledger.Invariants;
import tansytrack.ledger.Periods;
import tansytrack.ledger.Rates;
import tansytrack.ledger.Resolutions;
import tansytrack.operator.OperatorFile;

/** Computes bills from the lines of a store, closes periods, and verifies stores. */
public final class Billing {

  // Progress of a verification is reported after this many lines.
  private static final long TOLD_EVERY = 1_000_000;

  private Billing() {}

  /** Computes the bill of a period: as it was closed, or of all lines so far while it is open. */
  public static Bill bill(Store store, Periods periods, Rates rates, String period)
      throws IOException {
    long upTo =
        store.closed().stream()
            .filter(one -> one.period().equals(period))
            .mapToLong(Store.Closed::upTo)
            .findAny()
            .orElse(0);
    return filled(store, new Bill(period, periods, rates, upTo));
  }

  private static Bill filled(Store store, Bill bill) throws IOException {
    store.read(
        1,
        Long.MAX_VALUE,
        new Store.Lines() {
          @Override
          public void entry(long position, Entry entry) {
            bill.take(position, entry);
          }

          @Override
          public void amendment(long position, Amendment amendment) {
            bill.take(amendment);
          }
        });
    return bill;
  }

  /** The number of complete tasks by period. */
  public static Map<String, Long> counts(Store store, Periods periods) throws IOException {
    Map<String, Long> counts = new TreeMap<>();
    store.read(
        1,
        Long.MAX_VALUE,
        new Store.Lines() {
          @Override
          public void entry(long position, Entry entry) {
            counts.merge(periods.of(entry.takenAt()), 1L, Long::sum);
          }
        });
    return counts;
  }

  /**
   * Closes a period at the current position of the store. Later entries appear as late subtotals on
   * its bill.
   */
  public static Store.Closed close(
      Store store, OperatorFile.LedgerSection section, String period, String author, long now)
      throws IOException {
    long upTo = store.last();
    Bill bill = filled(store, new Bill(period, section.periods(), section.rates(), upTo));
    Store.Closed closed =
        new Store.Closed(period, upTo, now, author, hash(bill), section.billingText());
    store.close(closed);
    return closed;
  }

  /** Closes the periods whose grace period is over, and returns their names. */
  public static List<String> closeDue(Store store, OperatorFile.LedgerSection section, long now)
      throws IOException {
    List<String> closed = new ArrayList<>();
    for (String period :
        section
            .closing()
            .due(
                now,
                counts(store, section.periods()).keySet(),
                store.closed().stream().map(Store.Closed::period).toList())) {
      close(store, section, period, "its grace", now);
      closed.add(period);
    }
    return closed;
  }

  private static String hash(Bill bill) {
    Exporter.Sha sha = new Exporter.Sha(java.io.OutputStream.nullOutputStream());
    byte[] text = bill.sealed().getBytes(StandardCharsets.UTF_8);
    try {
      sha.write(text, 0, text.length);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return sha.hex();
  }

  /** Writes an amendment for each entry that is resolved, and returns these amendments. */
  public static List<Amendment> resolve(Store store, Resolutions by, String author, long now)
      throws IOException {
    List<Amendment> wanted = new ArrayList<>();
    store.read(
        1,
        Long.MAX_VALUE,
        new Store.Lines() {
          @Override
          public void entry(long position, Entry entry) {
            Amendment one = by.of(entry, author, now);
            if (one != null) {
              wanted.add(one);
            }
          }
        });
    List<Amendment> written = new ArrayList<>();
    for (Amendment one : wanted) {
      written.add(store.amend(one));
    }
    return written;
  }

  /** Returns "over" or "within" for a tenant with a quota, and "-" for one without. */
  public static String quota(Bill bill, String tenant, List<OperatorFile.QuotaLine> quotas) {
    long tasks = 0;
    long work = 0;
    for (Map.Entry<Bill.Whose, Bill.Sum> one : bill.sums().entrySet()) {
      if (one.getKey().tenant().equals(tenant)) {
        tasks += one.getValue().tasks() - one.getValue().bounced();
        work += one.getValue().work();
      }
    }
    for (OperatorFile.QuotaLine quota : quotas) {
      if (quota.tenant().equals(tenant)) {
        boolean over =
            (quota.tasks() > 0 && tasks > quota.tasks())
                || (quota.work() > 0 && work > quota.work());
        return over ? "over" : "within";
      }
    }
    return "-";
  }

  /** Checks all invariants of a store and returns the first violation, or null. */
  public static String verify(
      Store store, OperatorFile.LedgerSection section, LongConsumer progress) throws IOException {
    String damage = store.damage();
    if (damage != null) {
      return "the file is damaged: " + damage;
    }
    Invariants checks = new Invariants();
    store.read(
        1,
        Long.MAX_VALUE,
        new Store.Lines() {
          private void told(long position) {
            if (position % TOLD_EVERY == 0) {
              progress.accept(position);
            }
          }

          @Override
          public void entry(long position, Entry entry) {
            checks.line(position, entry);
            told(position);
          }

          @Override
          public void amendment(long position, Amendment amendment) {
            checks.line(position);
          }

          @Override
          public void gap(long position, Gap gap) {
            checks.line(position);
          }
        });
    for (Store.Batch one : store.batches()) {
      checks.batch(one.number(), one.first(), one.last(), one.sha(), Exporter.hash(store, one));
    }
    for (Store.Closed one : store.closed()) {
      // A changed billing section legitimately gives other subtotals, so only periods that were
      // closed with the present one can be checked.
      if (section.billingText().equals(one.billing())) {
        Bill bill = bill(store, section.periods(), section.rates(), one.period());
        checks.closed(one.period(), one.sha(), hash(bill));
      }
    }
    return checks.breach();
  }
}

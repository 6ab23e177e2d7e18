package tansytrack.ledger;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What engines' statements say of entries whose end nobody told: an amendment each, in the period
 * that the task belongs to, which says what the engines ran. Nobody got an answer, so the work is
 * waste, and by the rule on waste the house's or the tenant's. What was resolved before is left
 * alone, so a statement may be read in again.
 */
public final class EntryResolver {

  private static final String REASON_PREFIX = "resolved: ";

  private final Rates rates;
  private final BillingPeriods periods;
  private final Map<String, List<Reconciliation.Run>> runs = new HashMap<>();
  private final Set<String> resolved = new HashSet<>();

  /** Resolutions that leave out what the amendments made before already say. */
  public EntryResolver(Rates rates, BillingPeriods periods, List<Amendment> before) {
    this.rates = rates;
    this.periods = periods;
    for (Amendment one : before) {
      if (one.reason().startsWith(REASON_PREFIX)) {
        resolved.add(one.corrects());
      }
    }
  }

  /** Takes a run that an engine states; the same statement twice counts once. */
  public void addRun(Reconciliation.Run run) {
    List<Reconciliation.Run> known = runs.computeIfAbsent(run.task(), task -> new ArrayList<>(1));
    if (!known.contains(run)) {
      known.add(run); // told at a start and again in a statement
    }
  }

  /** The amendment that resolves an entry, not yet numbered, or null. */
  public Amendment resolve(Entry entry, String author, long now) {
    String name = "e:" + entry.epoch() + ':' + entry.sequence();
    List<Reconciliation.Run> ran = runs.getOrDefault(entry.task(), List.of());
    if (entry.end() != TaskEnd.UNRESOLVED || ran.isEmpty() || !resolved.add(name)) {
      return null;
    }
    List<Use> uses = new ArrayList<>();
    StringBuilder said = new StringBuilder(REASON_PREFIX);
    for (Use use : entry.uses()) {
      for (Reconciliation.Run run : ran) {
        if (run.engine().equals(use.engine())) {
          said.append(said.length() > REASON_PREFIX.length() ? ", " : "")
              .append(run.engine())
              .append(run.done() ? " ran it, " + run.work() + " ns" : " dropped it");
          uses.add(wastedUse(use, run));
        }
      }
    }
    if (uses.isEmpty()) {
      resolved.remove(name);
      return null; // the runs are another manager's, at engines that this one did not ask
    }
    Entry known = asAbandoned(entry, uses);
    BigDecimal amount = rates.round(rates.price(known, periods.dayAt(entry.takenAt())));
    return new Amendment(
        0,
        periods.periodAt(entry.takenAt()),
        entry.tenant(),
        amount,
        author,
        said.toString(),
        name,
        now,
        false);
  }

  private static Use wastedUse(Use use, Reconciliation.Run run) {
    return new Use(
        use.index(),
        use.engine(),
        use.sentAt(),
        0,
        use.outcome(),
        run.done() ? run.work() : 0,
        0,
        use.grantedMb(),
        true);
  }

  /** The entry as if its client had left it with those uses. */
  private static Entry asAbandoned(Entry entry, List<Use> uses) {
    return new Entry(
        entry.epoch(),
        entry.sequence(),
        entry.task(),
        entry.tenant(),
        entry.grade(),
        entry.takenAt(),
        entry.endedAt(),
        TaskEnd.ABANDONED,
        0,
        0,
        uses);
  }
}

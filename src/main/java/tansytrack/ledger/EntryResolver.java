package tansytrack.ledger;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Resolves entries with an unknown end from engines' statements. Each resolved entry gets an
 * amendment in the period of its task that says what the engines ran. No client got an answer, so
 * the work is waste, which is billed to the tenant only if the rates bill waste. Entries that were
 * resolved before are skipped, so that a statement may be read again.
 */
public final class EntryResolver {

  // Start of the reason of every amendment made here; also used to recognize them later.
  private static final String REASON_PREFIX = "resolved: ";

  private final Rates rates;
  private final BillingPeriods periods;
  private final Map<String, List<Reconciliation.Run>> runs = new HashMap<>();
  private final Set<String> resolved = new HashSet<>();

  /** Creates a resolver that skips the entries resolved by the given amendments. */
  public EntryResolver(Rates rates, BillingPeriods periods, List<Amendment> amendments) {
    this.rates = rates;
    this.periods = periods;
    for (Amendment amendment : amendments) {
      if (amendment.reason().startsWith(REASON_PREFIX)) {
        resolved.add(amendment.corrects());
      }
    }
  }

  /** Adds a run that an engine states; a repeated run counts once. */
  public void addRun(Reconciliation.Run run) {
    List<Reconciliation.Run> runsOfTask =
        runs.computeIfAbsent(run.task(), task -> new ArrayList<>(1));
    if (!runsOfTask.contains(run)) {
      // An engine may report a run after a manager's start and again in a statement.
      runsOfTask.add(run);
    }
  }

  /** Returns an amendment without a number that resolves an entry, or null. */
  public Amendment resolve(Entry entry, String author, long now) {
    String reference = "e:" + entry.epoch() + ':' + entry.sequence();
    List<Reconciliation.Run> runsOfTask = runs.getOrDefault(entry.task(), List.of());
    if (entry.end() != TaskEnd.UNRESOLVED || runsOfTask.isEmpty() || !resolved.add(reference)) {
      return null;
    }
    List<Use> uses = new ArrayList<>();
    StringBuilder reason = new StringBuilder(REASON_PREFIX);
    for (Use use : entry.uses()) {
      for (Reconciliation.Run run : runsOfTask) {
        if (run.engine().equals(use.engine())) {
          reason
              .append(reason.length() > REASON_PREFIX.length() ? ", " : "")
              .append(run.engine())
              .append(run.done() ? " ran it, " + run.work() + " ns" : " dropped it");
          uses.add(wastedUse(use, run));
        }
      }
    }
    if (uses.isEmpty()) {
      resolved.remove(reference);
      // The runs belong to another manager's task, at engines that this manager did not use.
      return null;
    }
    Entry resolvedEntry = asAbandoned(entry, uses);
    BigDecimal amount = rates.round(rates.price(resolvedEntry, periods.dayAt(entry.takenAt())));
    return new Amendment(
        0,
        periods.periodAt(entry.takenAt()),
        entry.tenant(),
        amount,
        author,
        reason.toString(),
        reference,
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

  /** Returns the entry as if its client had abandoned the task after those forwards. */
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

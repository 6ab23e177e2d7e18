package tansytrack;

import java.io.IOException;
import java.io.InputStream;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import tansytrack.ledger.Amendment;
import tansytrack.ledger.AmendmentValidator;
import tansytrack.ledger.Bill;
import tansytrack.ledger.EntryResolver;
import tansytrack.ledger.disk.Billing;
import tansytrack.ledger.disk.LedgerFiles;
import tansytrack.ledger.disk.LedgerStore;
import tansytrack.settings.InvalidInputException;

/** The ledger commands for bills: showing, closing, correcting and resolving. */
public final class LedgerBillCommands {

  private LedgerBillCommands() {}

  /** Shows the bill of a period. */
  public static final class Show extends LedgerBillingCommand {
    @Option(name = "--period", metaVar = "PERIOD", usage = "the period; default: the current one")
    private String period;

    @Option(name = "--tenant", metaVar = "NAME", usage = "show only this tenant")
    private String tenant;

    @Override
    public String description() {
      return "ledger show: shows what each tenant used in a period, by query class, with entries"
          + " that came after its closing, and amendments.";
    }

    @Override
    int execute(LedgerStore store) throws IOException {
      String shownPeriod = period == null ? section.periods().periodAt(nowNanos()) : period;
      section.periods().firstDay(shownPeriod);
      Bill bill = Billing.computeBill(store, section.periods(), section.rates(), shownPeriod);
      bill.subtotals()
          .forEach((key, subtotal) -> addSubtotalRow(bill, shownPeriod, key, subtotal, ""));
      bill.lateSubtotals()
          .forEach((key, subtotal) -> addSubtotalRow(bill, shownPeriod, key, subtotal, "late"));
      printTable();
      addTotalRows(bill);
      printTable();
      return 0;
    }

    private void addSubtotalRow(
        Bill bill, String shownPeriod, Bill.SubtotalKey key, Bill.Subtotal subtotal, String late) {
      if (tenant != null && !tenant.equals(key.tenant())) {
        return;
      }
      addRow(
          columns(
              "period",
              shownPeriod,
              "tenant",
              key.tenant(),
              "grade",
              key.grade(),
              "tasks",
              subtotal.tasks(),
              "handled",
              subtotal.handled(),
              "bounced",
              subtotal.rejected(),
              "unresolved",
              subtotal.unresolved(),
              "work ms",
              subtotal.workNanos() / 1_000_000,
              "wasted ms",
              subtotal.wasteNanos() / 1_000_000,
              "bytes",
              subtotal.bytes(),
              "amount",
              bill.roundedAmount(subtotal).toPlainString(),
              "",
              late));
    }

    private void addTotalRows(Bill bill) {
      for (String billedTenant : bill.tenants()) {
        if (tenant == null || tenant.equals(billedTenant)) {
          addRow(
              columns(
                  "tenant",
                  billedTenant,
                  "amended",
                  bill.amendedAmount(billedTenant).toPlainString(),
                  "total",
                  bill.total(billedTenant).toPlainString(),
                  "quota",
                  Billing.quotaStatus(bill, billedTenant, section.quotas())));
        }
      }
    }
  }

  /** Closes the periods whose grace period is over, and lists all periods. */
  public static final class PeriodList extends LedgerBillingCommand {
    @Override
    public String description() {
      return "ledger periods: lists the periods with entries and whether they are closed. First"
          + " closes those whose grace period is over.";
    }

    @Override
    int execute(LedgerStore store) throws IOException {
      for (String closed : Billing.closeDuePeriods(store, section, nowNanos())) {
        System.err.println("closed " + closed + ": its grace period is over");
      }
      Map<String, LedgerStore.ClosedPeriod> closed =
          store.closedPeriods().stream()
              .collect(Collectors.toMap(LedgerStore.ClosedPeriod::period, Function.identity()));
      Map<String, Long> counts = Billing.taskCounts(store, section.periods());
      TreeSet<String> names = new TreeSet<>(counts.keySet());
      names.addAll(closed.keySet());
      for (String name : names) {
        LedgerStore.ClosedPeriod closing = closed.get(name);
        addRow(
            columns(
                "period",
                name,
                "from",
                formatTime(section.periods().startNanos(name)),
                "until",
                formatTime(section.periods().endNanos(name)),
                "tasks",
                counts.getOrDefault(name, 0L),
                "open",
                store.openTasks(
                    section.periods().startNanos(name), section.periods().endNanos(name)),
                "closed",
                closing == null ? "-" : formatTime(closing.closedAt()),
                "by",
                closing == null ? "-" : closing.author()));
      }
      printTable();
      return 0;
    }
  }

  /** Closes a period. */
  public static final class Close extends LedgerBillingCommand {
    @Argument(required = true, metaVar = "PERIOD", usage = "the period")
    private String period;

    @Option(name = "--author", metaVar = "NAME", required = true, usage = "who closes it")
    private String author;

    @Override
    public String description() {
      return "ledger close: closes a period; its subtotals don't change after that.";
    }

    @Override
    int execute(LedgerStore store) throws IOException {
      String rejection =
          section
              .closingPolicy()
              .rejectionReason(
                  period,
                  nowNanos(),
                  store.closedPeriods().stream().map(LedgerStore.ClosedPeriod::period).toList(),
                  store.openTasks(
                      section.periods().startNanos(period), section.periods().endNanos(period)));
      if (rejection != null) {
        throw new InvalidInputException(rejection);
      }
      LedgerStore.ClosedPeriod closed =
          Billing.closePeriod(store, section, period, author, nowNanos());
      addRow(
          columns(
              "period",
              period,
              "positions up to",
              closed.lastPosition(),
              "sha256",
              closed.sha256()));
      printTable();
      return 0;
    }
  }

  /** Adds an amendment to a period, or withdraws one. */
  public static final class Correct extends LedgerBillingCommand {
    @Option(name = "--period", metaVar = "PERIOD", required = true, usage = "the period to correct")
    private String period;

    @Option(
        name = "--tenant",
        metaVar = "NAME",
        required = true,
        usage = "the tenant whose bill is corrected")
    private String tenant;

    @Option(
        name = "--amount",
        metaVar = "DECIMAL",
        usage = "the amount to add to the bill, as in -1.25")
    private String amount;

    @Option(name = "--withdraw", usage = "withdraw the amendment given by --corrects")
    private boolean withdraw;

    @Option(
        name = "--corrects",
        metaVar = "WHAT",
        usage = "e:EPOCH:NUMBER, an entry; a:NUMBER, an amendment; default: the tenant's total")
    private String corrects = "";

    @Option(
        name = "--author",
        metaVar = "NAME",
        required = true,
        usage = "who makes the correction")
    private String author;

    @Option(
        name = "--reason",
        metaVar = "TEXT",
        required = true,
        usage = "the reason for the correction")
    private String reason;

    @Override
    public String description() {
      return "ledger correct: adds an amendment to an open or closed period, or withdraws one."
          + " Existing entries don't change.";
    }

    @Override
    int execute(LedgerStore store) throws IOException {
      section.periods().firstDay(period);
      checkAmount();
      Amendment requested = requestedAmendment();
      String rejection = rejectionReason(store, requested);
      if (rejection != null) {
        throw new InvalidInputException(rejection);
      }
      Amendment stored = store.addAmendment(requested);
      addRow(
          columns(
              "amendment",
              stored.number(),
              "period",
              period,
              "tenant",
              tenant,
              "amount",
              stored.amount().toPlainString()));
      printTable();
      return 0;
    }

    private void checkAmount() {
      if (withdraw == (amount != null)) {
        throw new InvalidInputException("exactly one of --amount and --withdraw is required");
      }
      if (amount != null
          && !amount.matches(
              "-?[0-9]{1,15}(\\.[0-9]{1," + Math.max(1, section.rates().decimals()) + "})?")) {
        throw new InvalidInputException(
            "--amount '"
                + amount
                + "'; allowed: a plain decimal with at most "
                + section.rates().decimals()
                + " digits after the decimal point, as in -1.25");
      }
    }

    private Amendment requestedAmendment() {
      return new Amendment(
          0,
          period,
          tenant,
          amount == null ? BigDecimal.ZERO : new BigDecimal(amount),
          author,
          reason,
          corrects,
          nowNanos(),
          withdraw);
    }

    private static String rejectionReason(LedgerStore store, Amendment requested)
        throws IOException {
      return AmendmentValidator.rejectionReason(
          requested,
          store.amendments(),
          (epoch, number) -> {
            try {
              return store.containsEntry(epoch, number);
            } catch (IOException e) {
              throw new InvalidInputException(e.getMessage());
            }
          });
    }
  }

  /** Resolves tasks with an unknown end from engines' statements. */
  public static final class Resolve extends LedgerBillingCommand {
    @Option(
        name = "--statement",
        metaVar = "FILE",
        usage =
            "a statement of engines as CSV: engine,task,work_ns,done; used in addition to what"
                + " engines reported when the manager started")
    private List<String> statements = new ArrayList<>();

    @Option(name = "--author", metaVar = "NAME", required = true, usage = "who resolves the tasks")
    private String author;

    @Override
    public String description() {
      return "ledger resolve: adds an amendment for each task with an unknown end whose runs are in"
          + " the engines' statements.\n"
          + "Tasks that are resolved already are skipped, so a statement may be read again.";
    }

    @Override
    int execute(LedgerStore store) throws IOException {
      EntryResolver resolver =
          new EntryResolver(section.rates(), section.periods(), store.amendments());
      store.reportedRuns().forEach(resolver::addRun);
      for (String file : statements) {
        try (InputStream in = Files.newInputStream(Path.of(file))) {
          LedgerFiles.readStatement(file, in, engine -> {}, resolver::addRun);
        }
      }
      for (Amendment amendment : Billing.resolve(store, resolver, author, nowNanos())) {
        addRow(
            columns(
                "amendment",
                amendment.number(),
                "period",
                amendment.period(),
                "tenant",
                amendment.tenant(),
                "corrects",
                amendment.corrects(),
                "amount",
                amendment.amount().toPlainString(),
                "reason",
                amendment.reason()));
      }
      printTable();
      return 0;
    }
  }
}

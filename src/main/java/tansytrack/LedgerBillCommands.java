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
import tansytrack.ledger.Bill;
import tansytrack.ledger.Corrections;
import tansytrack.ledger.Resolutions;
import tansytrack.ledger.disk.Billing;
import tansytrack.ledger.disk.LedgerFiles;
import tansytrack.ledger.disk.Store;
import tansytrack.settings.Unusable;

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
    public String about() {
      return "ledger show: shows what each tenant used in a period, by query class, with entries"
          + " that came after its closing, and amendments.";
    }

    @Override
    int work(Store store) throws IOException {
      String of = period == null ? section.periods().of(now()) : period;
      section.periods().first(of);
      Bill bill = Billing.bill(store, section.periods(), section.rates(), of);
      bill.sums().forEach((whose, sum) -> sum(bill, of, whose, sum, ""));
      bill.late().forEach((whose, sum) -> sum(bill, of, whose, sum, "late"));
      table();
      totals(bill);
      table();
      return 0;
    }

    private void sum(Bill bill, String of, Bill.Whose whose, Bill.Sum sum, String late) {
      if (tenant != null && !tenant.equals(whose.tenant())) {
        return;
      }
      row(
          columns(
              "period",
              of,
              "tenant",
              whose.tenant(),
              "grade",
              whose.grade(),
              "tasks",
              sum.tasks(),
              "handled",
              sum.handled(),
              "bounced",
              sum.bounced(),
              "unresolved",
              sum.unresolved(),
              "work ms",
              sum.work() / 1_000_000,
              "wasted ms",
              sum.waste() / 1_000_000,
              "bytes",
              sum.bytes(),
              "amount",
              bill.amount(sum).toPlainString(),
              "",
              late));
    }

    private void totals(Bill bill) {
      for (String one : bill.tenants()) {
        if (tenant == null || tenant.equals(one)) {
          row(
              columns(
                  "tenant",
                  one,
                  "amended",
                  bill.amended(one).toPlainString(),
                  "total",
                  bill.total(one).toPlainString(),
                  "quota",
                  Billing.quota(bill, one, section.quotas())));
        }
      }
    }
  }

  /** Closes the periods whose grace period is over, and lists all periods. */
  public static final class PeriodList extends LedgerBillingCommand {
    @Override
    public String about() {
      return "ledger periods: lists the periods with entries and whether they are closed. First"
          + " closes those whose grace period is over.";
    }

    @Override
    int work(Store store) throws IOException {
      for (String closed : Billing.closeDue(store, section, now())) {
        System.err.println("closed " + closed + ": its grace period is over");
      }
      Map<String, Store.Closed> closed =
          store.closed().stream()
              .collect(Collectors.toMap(Store.Closed::period, Function.identity()));
      Map<String, Long> counts = Billing.counts(store, section.periods());
      TreeSet<String> all = new TreeSet<>(counts.keySet());
      all.addAll(closed.keySet());
      for (String one : all) {
        Store.Closed was = closed.get(one);
        row(
            columns(
                "period",
                one,
                "from",
                time(section.periods().start(one)),
                "until",
                time(section.periods().end(one)),
                "tasks",
                counts.getOrDefault(one, 0L),
                "open",
                store.openTasks(section.periods().start(one), section.periods().end(one)),
                "closed",
                was == null ? "-" : time(was.at()),
                "by",
                was == null ? "-" : was.author()));
      }
      table();
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
    public String about() {
      return "ledger close: closes a period; its subtotals don't change after that.";
    }

    @Override
    int work(Store store) throws IOException {
      String refused =
          section
              .closing()
              .refused(
                  period,
                  now(),
                  store.closed().stream().map(Store.Closed::period).toList(),
                  store.openTasks(section.periods().start(period), section.periods().end(period)));
      if (refused != null) {
        throw new Unusable(refused);
      }
      Store.Closed closed = Billing.close(store, section, period, author, now());
      row(columns("period", period, "positions up to", closed.upTo(), "sha256", closed.sha()));
      table();
      return 0;
    }
  }

  /** Adds an amendment to a period, or withdraws one. */
  public static final class Correct extends LedgerBillingCommand {
    @Option(
        name = "--period",
        metaVar = "PERIOD",
        required = true,
        usage = "the period to correct")
    private String period;

    @Option(name = "--tenant", metaVar = "NAME", required = true, usage = "the tenant whose bill is corrected")
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

    @Option(name = "--author", metaVar = "NAME", required = true, usage = "who makes the correction")
    private String author;

    @Option(name = "--reason", metaVar = "TEXT", required = true, usage = "the reason for the correction")
    private String reason;

    @Override
    public String about() {
      return "ledger correct: adds an amendment to an open or closed period, or withdraws one."
          + " Existing entries don't change.";
    }

    @Override
    int work(Store store) throws IOException {
      section.periods().first(period);
      checkAmount();
      Amendment wanted = wanted();
      String refused = refused(store, wanted);
      if (refused != null) {
        throw new Unusable(refused);
      }
      Amendment made = store.amend(wanted);
      row(
          columns(
              "amendment",
              made.number(),
              "period",
              period,
              "tenant",
              tenant,
              "amount",
              made.amount().toPlainString()));
      table();
      return 0;
    }

    private void checkAmount() {
      if (withdraw == (amount != null)) {
        throw new Unusable("exactly one of --amount and --withdraw is required");
      }
      if (amount != null
          && !amount.matches(
              "-?[0-9]{1,15}(\\.[0-9]{1," + Math.max(1, section.rates().decimals()) + "})?")) {
        throw new Unusable(
            "--amount '"
                + amount
                + "'; allowed: a plain decimal with at most "
                + section.rates().decimals()
                + " digits after the decimal point, as in -1.25");
      }
    }

    private Amendment wanted() {
      return new Amendment(
          0,
          period,
          tenant,
          amount == null ? BigDecimal.ZERO : new BigDecimal(amount),
          author,
          reason,
          corrects,
          now(),
          withdraw);
    }

    private static String refused(Store store, Amendment wanted) throws IOException {
      return Corrections.refused(
          wanted,
          store.amendments(),
          (epoch, number) -> {
            try {
              return store.holds(epoch, number);
            } catch (IOException e) {
              throw new Unusable(e.getMessage());
            }
          });
    }
  }

  /** Resolves tasks with an unknown end from engines' statements. */
  public static final class Resolve extends LedgerBillingCommand {
    @Option(
        name = "--statement",
        metaVar = "FILE",
        usage = "a statement of engines as CSV: engine,task,work_ns,done; used in addition to what"
                + " engines reported when the manager started")
    private List<String> statements = new ArrayList<>();

    @Option(name = "--author", metaVar = "NAME", required = true, usage = "who resolves the tasks")
    private String author;

    @Override
    public String about() {
      return "ledger resolve: adds an amendment for each task with an unknown end whose runs are in"
          + " the engines' statements.\n"
          + "Tasks that are resolved already are skipped, so a statement may be read again.";
    }

    @Override
    int work(Store store) throws IOException {
      Resolutions by = new Resolutions(section.rates(), section.periods(), store.amendments());
      store.told().forEach(by::take);
      for (String one : statements) {
        try (InputStream in = Files.newInputStream(Path.of(one))) {
          LedgerFiles.statement(one, in, engine -> {}, by::take);
        }
      }
      for (Amendment one : Billing.resolve(store, by, author, now())) {
        row(
            columns(
                "amendment",
                one.number(),
                "period",
                one.period(),
                "tenant",
                one.tenant(),
                "corrects",
                one.corrects(),
                "amount",
                one.amount().toPlainString(),
                "reason",
                one.reason()));
      }
      table();
      return 0;
    }
  }
}

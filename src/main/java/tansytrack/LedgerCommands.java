package tansytrack;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import tansytrack.command.Command;
import tansytrack.command.Group;
import tansytrack.command.Guarded;
import tansytrack.ledger.Amendment;
import tansytrack.ledger.Bill;
import tansytrack.ledger.Corrections;
import tansytrack.ledger.Entry;
import tansytrack.ledger.Gap;
import tansytrack.ledger.Merged;
import tansytrack.ledger.Reconciliation;
import tansytrack.ledger.Resolutions;
import tansytrack.ledger.disk.Billing;
import tansytrack.ledger.disk.Exporter;
import tansytrack.ledger.disk.Faults;
import tansytrack.ledger.disk.LedgerFiles;
import tansytrack.ledger.disk.Store;
import tansytrack.log.JsonLinesWriter;
import tansytrack.operator.OperatorFile;
import tansytrack.settings.Unusable;

/** The command group `ledger`: what operators see of ledgers and do to them. */
public final class LedgerCommands {

  private LedgerCommands() {}

  /** The group. */
  public static final class All extends Group {
    @Argument(
        required = true,
        metaVar = "COMMAND",
        handler = SubCommandHandler.class,
        usage = "show, periods, close, correct, export, ack, merge, reconcile, resolve or verify")
    @SubCommands({
      @SubCommand(name = "show", impl = Show.class),
      @SubCommand(name = "periods", impl = PeriodList.class),
      @SubCommand(name = "close", impl = Close.class),
      @SubCommand(name = "correct", impl = Correct.class),
      @SubCommand(name = "export", impl = Export.class),
      @SubCommand(name = "ack", impl = Ack.class),
      @SubCommand(name = "merge", impl = Merge.class),
      @SubCommand(name = "reconcile", impl = Reconcile.class),
      @SubCommand(name = "resolve", impl = Resolve.class),
      @SubCommand(name = "verify", impl = Verify.class)
    })
    private Command command;

    @Override
    public String about() {
      return "ledger: what each tenant used. Commands: show, periods, close, correct, export, ack,"
          + " merge, reconcile,\n"
          + "resolve, verify. Exit code 1: done, but what was found is not as it should be;"
          + " 2: cannot be used, nothing was written.";
    }

    @Override
    protected Command inner() {
      return command;
    }
  }

  /** A command that prints rows. */
  abstract static class One extends Guarded {
    @Option(name = "--json", usage = "print for programs: one JSON object a line")
    boolean json;

    PrintStream out = System.out;

    /** One row, by column. */
    void row(Map<String, Object> columns) {
      if (json) {
        out.println(
            columns.entrySet().stream()
                .map(
                    one ->
                        JsonLinesWriter.quoted(one.getKey())
                            + ':'
                            + (one.getValue() instanceof Long || one.getValue() instanceof Boolean
                                ? one.getValue().toString()
                                : JsonLinesWriter.quoted(one.getValue().toString())))
                .collect(Collectors.joining(",", "{", "}")));
      } else {
        rows.add(columns.values().stream().map(Object::toString).toList());
        names = List.copyOf(columns.keySet());
      }
    }

    private List<String> names;
    private final List<List<String>> rows = new ArrayList<>();

    /** Prints the rows so far as one table. */
    void table() {
      if (names == null) {
        return;
      }
      rows.add(0, names);
      int[] widths = new int[names.size()];
      rows.forEach(
          one -> {
            for (int i = 0; i < widths.length; i++) {
              widths[i] = Math.max(widths[i], one.get(i).length());
            }
          });
      for (List<String> one : rows) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < widths.length; i++) {
          line.append(one.get(i)).append(" ".repeat(widths[i] - one.get(i).length() + 2));
        }
        out.println(line.toString().stripTrailing());
      }
      rows.clear();
      names = null;
    }

    static Map<String, Object> columns(Object... pairs) {
      Map<String, Object> made = new java.util.LinkedHashMap<>();
      for (int i = 0; i < pairs.length; i += 2) {
        made.put((String) pairs[i], pairs[i + 1]);
      }
      return made;
    }

    static long now() {
      Instant now = Instant.now();
      return now.getEpochSecond() * 1_000_000_000L + now.getNano();
    }

    static String time(long at) {
      return at == 0 ? "-" : Instant.ofEpochSecond(at / 1_000_000_000L).toString();
    }
  }

  /** A command that needs to know how is billed. */
  abstract static class Billed extends One {
    @Option(
        name = "--operator",
        metaVar = "FILE",
        required = true,
        usage = "the operators' file that names the ledger and its billing")
    String operator;

    OperatorFile.LedgerSection section;

    abstract int work(Store store) throws IOException;

    @Override
    protected final int work() throws IOException {
      section = OperatorFile.read(operator).ledger();
      if (section == null) {
        throw new Unusable(
            operator + ": ledger: missing; allowed: a section that names the ledger's folder");
      }
      try (Store store = Store.forCommand(section.folder(), Faults.NONE)) {
        return work(store);
      }
    }
  }

  /** A command on the ledger itself. */
  abstract static class Plain extends One {
    @Option(
        name = "--ledger",
        metaVar = "FOLDER",
        required = true,
        usage = "the folder that holds the ledger")
    String folder;

    abstract int work(Store store) throws IOException;

    @Override
    protected final int work() throws IOException {
      try (Store store = Store.forCommand(Path.of(folder), Faults.NONE)) {
        return work(store);
      }
    }
  }

  /** The bill of a period. */
  public static final class Show extends Billed {
    @Option(name = "--period", metaVar = "PERIOD", usage = "the period; absent: the present one")
    private String period;

    @Option(name = "--tenant", metaVar = "NAME", usage = "of that tenant alone")
    private String tenant;

    @Override
    public String about() {
      return "ledger show: what each tenant used in a period, by service grade, what came after it"
          + " was closed, and amendments.";
    }

    @Override
    int work(Store store) throws IOException {
      String of = period == null ? section.periods().of(now()) : period;
      section.periods().first(of);
      Bill bill = Billing.bill(store, section.periods(), section.rates(), of);
      for (String late : List.of("", "late")) {
        (late.isEmpty() ? bill.sums() : bill.late())
            .forEach(
                (whose, sum) -> {
                  if (tenant == null || tenant.equals(whose.tenant())) {
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
                });
      }
      table();
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
      table();
      return 0;
    }
  }

  /** The periods. */
  public static final class PeriodList extends Billed {
    @Override
    public String about() {
      return "ledger periods: each period with entries, and whether it is closed. Those whose grace"
          + " is over are closed first.";
    }

    @Override
    int work(Store store) throws IOException {
      for (String closed : Billing.closeDue(store, section, now())) {
        System.err.println("closed " + closed + ": its grace is over");
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
  public static final class Close extends Billed {
    @Argument(required = true, metaVar = "PERIOD", usage = "the period")
    private String period;

    @Option(name = "--author", metaVar = "NAME", required = true, usage = "who closes it")
    private String author;

    @Override
    public String about() {
      return "ledger close: closes a period; its sums stay as they are from then on.";
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

  /** Corrects. */
  public static final class Correct extends Billed {
    @Option(
        name = "--period",
        metaVar = "PERIOD",
        required = true,
        usage = "the period that it belongs to")
    private String period;

    @Option(name = "--tenant", metaVar = "NAME", required = true, usage = "whose bill")
    private String tenant;

    @Option(
        name = "--amount",
        metaVar = "DECIMAL",
        usage = "what is added to the bill, as in -1.25")
    private String amount;

    @Option(name = "--withdraw", usage = "takes back the amendment that --corrects names")
    private boolean withdraw;

    @Option(
        name = "--corrects",
        metaVar = "WHAT",
        usage = "e:EPOCH:NUMBER, an entry; a:NUMBER, an amendment; absent: the tenant's sum")
    private String corrects = "";

    @Option(name = "--author", metaVar = "NAME", required = true, usage = "who corrects")
    private String author;

    @Option(name = "--reason", metaVar = "TEXT", required = true, usage = "why")
    private String reason;

    @Override
    public String about() {
      return "ledger correct: adds an amendment to a period, open or closed, or withdraws one."
          + " Nothing is rewritten.";
    }

    @Override
    int work(Store store) throws IOException {
      section.periods().first(period);
      if (withdraw == (amount != null)) {
        throw new Unusable("one of --amount and --withdraw is needed");
      }
      if (amount != null
          && !amount.matches(
              "-?[0-9]{1,15}(\\.[0-9]{1," + Math.max(1, section.rates().decimals()) + "})?")) {
        throw new Unusable(
            "--amount '"
                + amount
                + "'; allowed: a plain decimal with at most "
                + section.rates().decimals()
                + " digits behind the point, as in -1.25");
      }
      Amendment wanted =
          new Amendment(
              0,
              period,
              tenant,
              amount == null ? BigDecimal.ZERO : new BigDecimal(amount),
              author,
              reason,
              corrects,
              now(),
              withdraw);
      String refused =
          Corrections.refused(
              wanted,
              store.amendments(),
              (epoch, number) -> {
                try {
                  return store.holds(epoch, number);
                } catch (IOException e) {
                  throw new Unusable(e.getMessage());
                }
              });
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
  }

  /** Exports. */
  public static final class Export extends Plain {
    @Option(name = "--to", metaVar = "FOLDER", required = true, usage = "where batches are placed")
    private String to;

    @Option(name = "--form", metaVar = "FORM", usage = "protobuf (delimited, ledger.proto) or csv")
    private String form = "protobuf";

    @Option(name = "--lines", metaVar = "N", usage = "lines in a batch at most")
    private long lines = 1_000_000;

    @Option(
        name = "--again",
        metaVar = "NUMBER",
        usage = "writes a batch that was placed before once more, as the same bytes")
    private long again;

    @Override
    public String about() {
      return "ledger export: finishes what was begun, then places all new lines in numbered"
          + " batches. A number always has the same bytes.";
    }

    @Override
    int work(Store store) throws IOException {
      if (!form.equals("protobuf") && !form.equals("csv")) {
        throw new Unusable("--form '" + form + "'; allowed: protobuf, csv");
      }
      if (lines < 1) {
        throw new Unusable("--lines " + lines + "; allowed: 1 and more");
      }
      Exporter exporter = new Exporter(store, Path.of(to), Faults.NONE);
      if (again > 0) {
        exporter.again(again);
      } else {
        long before = store.batches().stream().filter(one -> one.placedAt() > 0).count();
        exporter.run(form, lines, now());
        long after = store.batches().size();
        System.err.println((after - before) + " batches placed in " + to);
      }
      for (Store.Batch one : store.batches()) {
        row(
            columns(
                "batch",
                one.number(),
                "file",
                Exporter.name(one),
                "lines",
                one.last() - one.first() + 1,
                "bytes",
                one.size(),
                "sha256",
                one.sha(),
                "placed",
                time(one.placedAt()),
                "acknowledged",
                time(one.ackedAt())));
      }
      table();
      return 0;
    }
  }

  /** Acknowledges. */
  public static final class Ack extends Plain {
    @Argument(required = true, metaVar = "NUMBER", usage = "the batch that the consumer has")
    private long number;

    @Option(
        name = "--sha256",
        metaVar = "HASH",
        usage = "what the consumer got; refused if it is not what was sealed")
    private String sha;

    @Override
    public String about() {
      return "ledger ack: notes that the consumer has a batch. Once more does no harm.";
    }

    @Override
    int work(Store store) throws IOException {
      for (Store.Batch one : store.batches()) {
        if (one.number() == number && one.placedAt() > 0) {
          if (sha != null && !sha.equalsIgnoreCase(one.sha())) {
            throw new Unusable(
                "batch " + number + " was sealed as " + one.sha() + ", not as " + sha);
          }
          store.acked(number, now());
          return 0;
        }
      }
      throw new Unusable("batch " + number + " does not exist, or was not yet placed");
    }
  }

  /** Merges. */
  public static final class Merge extends One {
    @Argument(
        required = true,
        multiValued = true,
        metaVar = "PLACE",
        usage = "folders of ledgers, exported batches (.pb), or folders of such")
    private List<String> places = new ArrayList<>();

    @Override
    public String about() {
      return "ledger merge: several managers' ledgers as one: tasks by manager, numbers that are"
          + " missing, contradictions.\n"
          + "Exit code 1: numbers are missing, or two ledgers say different things.";
    }

    @Override
    protected int work() throws IOException {
      Merged merged = LedgerFiles.merged(places.stream().map(Path::of).toList());
      TreeMap<String, Long> counts = new TreeMap<>();
      merged.entries().keySet().forEach(key -> counts.merge(key.manager(), 1L, Long::sum));
      counts.forEach((manager, count) -> row(columns("manager", manager, "tasks", count)));
      table();
      for (Gap gap : merged.gaps()) {
        row(
            columns(
                "gap of epoch",
                gap.epoch(),
                "number",
                gap.number(),
                "tasks",
                gap.firstSequence() + "-" + gap.lastSequence(),
                "lines",
                gap.lines(),
                "cause",
                gap.cause()));
      }
      table();
      for (Merged.Hole hole : merged.holes()) {
        row(
            columns(
                "missing from",
                hole.manager(),
                "epoch",
                hole.epoch(),
                "first",
                hole.first(),
                "last",
                hole.last()));
      }
      table();
      for (Merged.Key key : merged.contradictions()) {
        for (Object said : merged.entries().getOrDefault(key, java.util.Set.of())) {
          row(columns("contradiction", key, "said", said));
        }
      }
      table();
      return merged.holes().isEmpty() && merged.contradictions().isEmpty() ? 0 : DIFFERS;
    }
  }

  /** Reconciles. */
  public static final class Reconcile extends One {
    @Argument(
        required = true,
        multiValued = true,
        metaVar = "PLACE",
        usage = "folders of ledgers, exported batches (.pb), or folders of such")
    private List<String> places = new ArrayList<>();

    @Option(
        name = "--statement",
        metaVar = "FILE",
        required = true,
        usage = "CSV of the engines: engine,task,work_ns,done")
    private List<String> statements = new ArrayList<>();

    @Override
    public String about() {
      return "ledger reconcile: ledgers against the engines' statements; what stands on one side"
          + " only, with its likely cause.\n"
          + "Exit code 1: something stands on one side only without an innocent cause.";
    }

    @Override
    protected int work() throws IOException {
      Merged merged = LedgerFiles.merged(places.stream().map(Path::of).toList());
      Reconciliation all = new Reconciliation();
      merged.entries().values().forEach(said -> said.forEach((Entry entry) -> all.take(entry)));
      for (String one : statements) {
        try (InputStream in = Files.newInputStream(Path.of(one))) {
          LedgerFiles.statement(one, in, all);
        }
      }
      List<Reconciliation.Finding> findings = all.findings();
      for (Reconciliation.Finding one : findings) {
        row(
            columns(
                "finding",
                one.kind(),
                "engine",
                one.engine(),
                "task",
                one.task(),
                "cause",
                one.cause(),
                "fault",
                one.fault() ? "yes" : "no"));
      }
      table();
      long faults = findings.stream().filter(Reconciliation.Finding::fault).count();
      row(
          columns(
              "agreed", all.agreed(), "without fault", findings.size() - faults, "faults", faults));
      table();
      return faults == 0 ? 0 : DIFFERS;
    }
  }

  /** Resolves. */
  public static final class Resolve extends Billed {
    @Option(
        name = "--statement",
        metaVar = "FILE",
        usage = "CSV of the engines: engine,task,work_ns,done; beside what they said at starts")
    private List<String> statements = new ArrayList<>();

    @Option(name = "--author", metaVar = "NAME", required = true, usage = "who resolves")
    private String author;

    @Override
    public String about() {
      return "ledger resolve: an amendment for each task whose end nobody told and of which the"
          + " engines' statements tell what ran.\n"
          + "A statement may be read in again.";
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

  /** Verifies. */
  public static final class Verify extends Billed {
    @Override
    public String about() {
      return "ledger verify: checks every invariant of a ledger and says the first breach. Exit"
          + " code 1: one is broken.";
    }

    @Override
    int work(Store store) throws IOException {
      String breach =
          Billing.verify(store, section, seen -> System.err.println(seen + " positions read"));
      row(
          columns(
              "positions",
              store.last(),
              "batches",
              (long) store.batches().size(),
              "closed periods",
              (long) store.closed().size(),
              "open tasks",
              store.openTasks(),
              "breach",
              breach == null ? "none" : breach));
      table();
      return breach == null ? 0 : DIFFERS;
    }
  }
}

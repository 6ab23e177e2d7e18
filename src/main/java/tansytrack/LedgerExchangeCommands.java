package tansytrack;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import tansytrack.ledger.Entry;
import tansytrack.ledger.Gap;
import tansytrack.ledger.MergedLedger;
import tansytrack.ledger.Reconciliation;
import tansytrack.ledger.disk.Billing;
import tansytrack.ledger.disk.Exporter;
import tansytrack.ledger.disk.FaultInjector;
import tansytrack.ledger.disk.LedgerFiles;
import tansytrack.ledger.disk.LedgerStore;
import tansytrack.settings.InvalidInputException;

/**
 * The ledger commands on what goes out and comes together: exports, merging, reconciliation,
 * checks.
 */
public final class LedgerExchangeCommands {

  private LedgerExchangeCommands() {}

  /** Exports new lines in numbered batches. */
  public static final class Export extends LedgerFolderCommand {
    @Option(name = "--to", metaVar = "FOLDER", required = true, usage = "where batches are placed")
    private String to;

    @Option(name = "--form", metaVar = "FORM", usage = "protobuf (delimited, ledger.proto) or csv")
    private String format = "protobuf";

    @Option(name = "--lines", metaVar = "N", usage = "lines in a batch at most")
    private long maxLines = 1_000_000;

    @Option(
        name = "--again",
        metaVar = "NUMBER",
        usage = "writes a batch that was placed before once more, as the same bytes")
    private long batchToRewrite;

    @Override
    public String description() {
      return "ledger export: finishes what was begun, then places all new lines in numbered"
          + " batches. A number always has the same bytes.";
    }

    @Override
    int work(LedgerStore store) throws IOException {
      if (!format.equals("protobuf") && !format.equals("csv")) {
        throw new InvalidInputException("--form '" + format + "'; allowed: protobuf, csv");
      }
      if (maxLines < 1) {
        throw new InvalidInputException("--lines " + maxLines + "; allowed: 1 and more");
      }
      Exporter exporter = new Exporter(store, Path.of(to), FaultInjector.NONE);
      if (batchToRewrite > 0) {
        exporter.exportAgain(batchToRewrite);
      } else {
        long before = store.batches().stream().filter(one -> one.placedAt() > 0).count();
        exporter.export(format, maxLines, nowNanos());
        long after = store.batches().size();
        System.err.println((after - before) + " batches placed in " + to);
      }
      for (LedgerStore.Batch one : store.batches()) {
        addRow(
            columns(
                "batch",
                one.number(),
                "file",
                Exporter.fileName(one),
                "lines",
                one.lastPosition() - one.firstPosition() + 1,
                "bytes",
                one.size(),
                "sha256",
                one.sha256(),
                "placed",
                formatTime(one.placedAt()),
                "acknowledged",
                formatTime(one.ackedAt())));
      }
      printTable();
      return 0;
    }
  }

  /** Notes that the consumer has a batch. */
  public static final class Ack extends LedgerFolderCommand {
    @Argument(required = true, metaVar = "NUMBER", usage = "the batch that the consumer has")
    private long number;

    @Option(
        name = "--sha256",
        metaVar = "HASH",
        usage = "what the consumer got; refused if it is not what was sealed")
    private String sha;

    @Override
    public String description() {
      return "ledger ack: notes that the consumer has a batch. Once more does no harm.";
    }

    @Override
    int work(LedgerStore store) throws IOException {
      for (LedgerStore.Batch one : store.batches()) {
        if (one.number() == number && one.placedAt() > 0) {
          if (sha != null && !sha.equalsIgnoreCase(one.sha256())) {
            throw new InvalidInputException(
                "batch " + number + " was sealed as " + one.sha256() + ", not as " + sha);
          }
          store.markAcknowledged(number, nowNanos());
          return 0;
        }
      }
      throw new InvalidInputException("batch " + number + " does not exist, or was not yet placed");
    }
  }

  /** Merges several managers' ledgers and names what is missing or contradicts. */
  public static final class Merge extends LedgerRowsCommand {
    @Argument(
        required = true,
        multiValued = true,
        metaVar = "PLACE",
        usage = "folders of ledgers, exported batches (.pb), or folders of such")
    private List<String> places = new ArrayList<>();

    @Override
    public String description() {
      return "ledger merge: several managers' ledgers as one: tasks by manager, numbers that are"
          + " missing, contradictions.\n"
          + "Exit code 1: numbers are missing, or two ledgers say different things.";
    }

    @Override
    protected int execute() throws IOException {
      MergedLedger merged = LedgerFiles.readMerged(places.stream().map(Path::of).toList());
      TreeMap<String, Long> counts = new TreeMap<>();
      merged.entries().keySet().forEach(key -> counts.merge(key.manager(), 1L, Long::sum));
      counts.forEach((manager, count) -> addRow(columns("manager", manager, "tasks", count)));
      printTable();
      for (Gap gap : merged.gaps()) {
        addRow(
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
      printTable();
      for (MergedLedger.MissingRange hole : merged.missingRanges()) {
        addRow(
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
      printTable();
      for (MergedLedger.Key key : merged.contradictions()) {
        for (Object said : merged.entries().getOrDefault(key, Set.of())) {
          addRow(columns("contradiction", key, "said", said));
        }
      }
      printTable();
      return merged.missingRanges().isEmpty() && merged.contradictions().isEmpty()
          ? 0
          : EXIT_DIFFERENCE;
    }
  }

  /** Compares ledgers with the engines' statements. */
  public static final class Reconcile extends LedgerRowsCommand {
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
    public String description() {
      return "ledger reconcile: ledgers against the engines' statements; what stands on one side"
          + " only, with its likely cause.\n"
          + "Exit code 1: something stands on one side only without an innocent cause.";
    }

    @Override
    protected int execute() throws IOException {
      MergedLedger merged = LedgerFiles.readMerged(places.stream().map(Path::of).toList());
      Reconciliation all = new Reconciliation();
      merged.entries().values().forEach(said -> said.forEach((Entry entry) -> all.add(entry)));
      for (String one : statements) {
        try (InputStream in = Files.newInputStream(Path.of(one))) {
          LedgerFiles.readStatement(one, in, all);
        }
      }
      List<Reconciliation.Finding> findings = all.findings();
      for (Reconciliation.Finding one : findings) {
        addRow(
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
      printTable();
      long faults = findings.stream().filter(Reconciliation.Finding::fault).count();
      addRow(
          columns(
              "agreed",
              all.matchedForwards(),
              "without fault",
              findings.size() - faults,
              "faults",
              faults));
      printTable();
      return faults == 0 ? 0 : EXIT_DIFFERENCE;
    }
  }

  /** Checks every invariant of a ledger. */
  public static final class Verify extends LedgerBillingCommand {
    @Override
    public String description() {
      return "ledger verify: checks every invariant of a ledger and says the first breach. Exit"
          + " code 1: one is broken.";
    }

    @Override
    int work(LedgerStore store) throws IOException {
      String breach =
          Billing.verify(store, section, seen -> System.err.println(seen + " positions read"));
      addRow(
          columns(
              "positions",
              store.lastPosition(),
              "batches",
              (long) store.batches().size(),
              "closed periods",
              (long) store.closedPeriods().size(),
              "open tasks",
              store.openTasks(),
              "breach",
              breach == null ? "none" : breach));
      printTable();
      return breach == null ? 0 : EXIT_DIFFERENCE;
    }
  }
}

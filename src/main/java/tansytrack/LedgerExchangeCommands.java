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

/** The ledger commands for exporting, merging, reconciling and verifying ledgers. */
public final class LedgerExchangeCommands {

  private LedgerExchangeCommands() {}

  /** Exports new lines in numbered batches. */
  public static final class Export extends LedgerFolderCommand {
    @Option(
        name = "--to",
        metaVar = "FOLDER",
        required = true,
        usage = "the folder for the batches")
    private String to;

    @Option(name = "--form", metaVar = "FORM", usage = "protobuf (delimited, ledger.proto) or csv")
    private String format = "protobuf";

    @Option(name = "--lines", metaVar = "N", usage = "the maximum number of lines in a batch")
    private long maxLines = 1_000_000;

    @Option(
        name = "--again",
        metaVar = "NUMBER",
        usage = "write a batch that was placed before again, with the same bytes")
    private long batchToRewrite;

    @Override
    public String description() {
      return "ledger export: completes an interrupted export, then writes all new lines in numbered"
          + " batches. A batch always has the same bytes.";
    }

    @Override
    int execute(LedgerStore store) throws IOException {
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
        long before = store.batches().stream().filter(batch -> batch.placedAt() > 0).count();
        exporter.export(format, maxLines, nowNanos());
        long after = store.batches().size();
        System.err.println((after - before) + " batches placed in " + to);
      }
      for (LedgerStore.Batch batch : store.batches()) {
        addRow(
            columns(
                "batch",
                batch.number(),
                "file",
                Exporter.fileName(batch),
                "lines",
                batch.lastPosition() - batch.firstPosition() + 1,
                "bytes",
                batch.size(),
                "sha256",
                batch.sha256(),
                "placed",
                formatTime(batch.placedAt()),
                "acknowledged",
                formatTime(batch.ackedAt())));
      }
      printTable();
      return 0;
    }
  }

  /** Stores that the consumer has received a batch. */
  public static final class Ack extends LedgerFolderCommand {
    @Argument(
        required = true,
        metaVar = "NUMBER",
        usage = "the batch that the consumer has received")
    private long number;

    @Option(
        name = "--sha256",
        metaVar = "HASH",
        usage = "the hash of what the consumer received; must be that of the sealed batch")
    private String sha256;

    @Override
    public String description() {
      return "ledger ack: stores that the consumer has received a batch. May be repeated.";
    }

    @Override
    int execute(LedgerStore store) throws IOException {
      for (LedgerStore.Batch batch : store.batches()) {
        if (batch.number() == number && batch.placedAt() > 0) {
          if (sha256 != null && !sha256.equalsIgnoreCase(batch.sha256())) {
            throw new InvalidInputException(
                "batch "
                    + number
                    + " was sealed with SHA-256 "
                    + batch.sha256()
                    + ", not "
                    + sha256);
          }
          store.markAcknowledged(number, nowNanos());
          return 0;
        }
      }
      throw new InvalidInputException("batch " + number + " does not exist, or was not yet placed");
    }
  }

  /** Merges several managers' ledgers and reports missing and contradicting entries. */
  public static final class Merge extends LedgerRowsCommand {
    @Argument(
        required = true,
        multiValued = true,
        metaVar = "PLACE",
        usage = "ledger folders, exported batches (.pb), or folders of batches")
    private List<String> places = new ArrayList<>();

    @Override
    public String description() {
      return "ledger merge: merges several managers' ledgers; shows the number of tasks by manager,"
          + " missing task numbers, and contradictions.\n"
          + "Exit code 1: numbers are missing, or two ledgers contradict each other.";
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
      for (MergedLedger.MissingRange range : merged.missingRanges()) {
        addRow(
            columns(
                "missing from",
                range.manager(),
                "epoch",
                range.epoch(),
                "first",
                range.first(),
                "last",
                range.last()));
      }
      printTable();
      for (MergedLedger.Key key : merged.contradictions()) {
        for (Object entry : merged.entries().getOrDefault(key, Set.of())) {
          addRow(columns("contradiction", key, "said", entry));
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
        usage = "ledger folders, exported batches (.pb), or folders of batches")
    private List<String> places = new ArrayList<>();

    @Option(
        name = "--statement",
        metaVar = "FILE",
        required = true,
        usage = "a statement of engines as CSV: engine,task,work_ns,done")
    private List<String> statements = new ArrayList<>();

    @Override
    public String description() {
      return "ledger reconcile: compares ledgers with the engines' statements; shows the"
          + " differences with their likely causes.\n"
          + "Exit code 1: a difference is a fault, not an expected one.";
    }

    @Override
    protected int execute() throws IOException {
      MergedLedger merged = LedgerFiles.readMerged(places.stream().map(Path::of).toList());
      Reconciliation reconciliation = new Reconciliation();
      merged
          .entries()
          .values()
          .forEach(versions -> versions.forEach((Entry entry) -> reconciliation.add(entry)));
      for (String file : statements) {
        try (InputStream in = Files.newInputStream(Path.of(file))) {
          LedgerFiles.readStatement(file, in, reconciliation);
        }
      }
      List<Reconciliation.Finding> findings = reconciliation.findings();
      for (Reconciliation.Finding finding : findings) {
        addRow(
            columns(
                "finding",
                finding.kind(),
                "engine",
                finding.engine(),
                "task",
                finding.task(),
                "cause",
                finding.cause(),
                "fault",
                finding.fault() ? "yes" : "no"));
      }
      printTable();
      long faults = findings.stream().filter(Reconciliation.Finding::fault).count();
      addRow(
          columns(
              "agreed",
              reconciliation.matchedForwards(),
              "without fault",
              findings.size() - faults,
              "faults",
              faults));
      printTable();
      return faults == 0 ? 0 : EXIT_DIFFERENCE;
    }
  }

  /** Checks all invariants of a ledger. */
  public static final class Verify extends LedgerBillingCommand {
    @Override
    public String description() {
      return "ledger verify: checks all invariants of a ledger and shows the first violation. Exit"
          + " code 1: one is violated.";
    }

    @Override
    int execute(LedgerStore store) throws IOException {
      String violation =
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
              violation == null ? "none" : violation));
      printTable();
      return violation == null ? 0 : EXIT_DIFFERENCE;
    }
  }
}

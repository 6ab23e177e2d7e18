package tansytrack.lab;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import tansytrack.ledger.Entry;
import tansytrack.ledger.MergedLedger;
import tansytrack.ledger.Reconciliation;
import tansytrack.ledger.TaskEnd;
import tansytrack.ledger.disk.FaultInjector;
import tansytrack.ledger.disk.LedgerFiles;
import tansytrack.ledger.disk.LedgerStore;
import tansytrack.ledger.proto.BatchHead;

/**
 * Compares the ledgers and exports of a run with the engines' own records, and with the batches
 * that a consumer read during the run.
 */
final class LedgerAudit {

  private final Map<String, byte[]> batchContents = new HashMap<>();
  private long changedBatches;

  /** Reads the exported batches as a consumer does; a batch must not change once it is there. */
  synchronized void inspectBatches(List<ManagerProcess> managers) throws IOException {
    for (ManagerProcess manager : managers) {
      for (Path file : batches(manager.exportFolder())) {
        byte[] bytes = Files.readAllBytes(file);
        byte[] previous = batchContents.putIfAbsent(file.toString(), bytes);
        if (previous != null && !java.util.Arrays.equals(previous, bytes)) {
          changedBatches++;
        }
      }
    }
  }

  private static List<Path> batches(Path folder) throws IOException {
    if (!Files.isDirectory(folder)) {
      return List.of();
    }
    try (Stream<Path> files = Files.list(folder)) {
      return files.filter(file -> file.toString().endsWith(".pb")).sorted().toList();
    }
  }

  /** Compares all records; returns the figures by name. */
  Map<String, Double> figures(List<ManagerProcess> managers, List<FakeEngine> engines)
      throws IOException {
    inspectBatches(managers);
    Map<String, Double> figures = new TreeMap<>();
    MergedLedger ledgers =
        LedgerFiles.readMerged(managers.stream().map(ManagerProcess::ledgerFolder).toList());
    MergedLedger exported =
        LedgerFiles.readMerged(managers.stream().map(ManagerProcess::exportFolder).toList());
    batches(managers, figures);
    Reconciliation reconciliation = new Reconciliation();
    long unresolved = 0;
    for (var entries : ledgers.entries().values()) {
      for (Entry entry : entries) {
        reconciliation.add(entry);
        unresolved += entry.end() == TaskEnd.UNRESOLVED ? 1 : 0;
      }
    }
    for (FakeEngine engine : engines) {
      try (InputStream in =
          new java.io.ByteArrayInputStream(
              String.join("\n", engine.statement())
                  .getBytes(java.nio.charset.StandardCharsets.UTF_8))) {
        LedgerFiles.readStatement(engine.name(), in, reconciliation);
      }
    }
    Map<String, Long> findings = new TreeMap<>();
    reconciliation.findings().forEach(finding -> findings.merge(finding.kind(), 1L, Long::sum));
    figures.put("entries", (double) ledgers.entries().size());
    figures.put("entries.missing", (double) findings.getOrDefault("at the engine only", 0L));
    figures.put(
        "entries.twice",
        (double) findings.getOrDefault("in the ledger only", 0L) + ledgers.contradictions().size());
    figures.put("entries.work_differs", (double) findings.getOrDefault("work differs", 0L));
    figures.put("entries.unresolved", (double) unresolved);
    figures.put(
        "entries.resolved_by_engines",
        (double) findings.getOrDefault("resolved by the engine", 0L));
    figures.put("entries.told_at_start", (double) reportedRuns(managers));
    figures.put(
        "entries.holes",
        (double)
            ledgers.missingRanges().stream()
                .mapToLong(range -> range.last() - range.first() + 1)
                .sum());
    figures.put("gaps", (double) ledgers.gaps().size());
    figures.put("export.differs", exported.equals(ledgers) ? 0.0 : 1.0);
    figures.put("forwards.agreed", (double) reconciliation.matchedForwards());
    figures.put("engines.runs", (double) engines.stream().mapToLong(FakeEngine::queryCount).sum());
    return figures;
  }

  private static long reportedRuns(List<ManagerProcess> managers) throws IOException {
    long reportedRuns = 0;
    for (ManagerProcess manager : managers) {
      try (LedgerStore store =
          LedgerStore.openForCommand(manager.ledgerFolder(), FaultInjector.NONE)) {
        reportedRuns += store.reportedRuns().size();
      }
    }
    return reportedRuns;
  }

  private void batches(List<ManagerProcess> managers, Map<String, Double> figures)
      throws IOException {
    long repeated = changedBatches;
    long skipped = 0;
    long count = 0;
    for (ManagerProcess manager : managers) {
      long number = 0;
      long position = 0;
      for (Path file : batches(manager.exportFolder())) {
        BatchHead head;
        try (InputStream in = Files.newInputStream(file)) {
          head = BatchHead.parseDelimitedFrom(in);
        }
        count++;
        skipped +=
            Math.max(0, head.getNumber() - number - 1)
                + Math.max(0, head.getFirstPosition() - position - 1);
        repeated += head.getNumber() <= number || head.getFirstPosition() <= position ? 1 : 0;
        number = head.getNumber();
        position = head.getLastPosition();
      }
    }
    figures.put("batches", (double) count);
    figures.put("batches.twice", (double) repeated);
    figures.put("batches.skipped", (double) skipped);
  }
}

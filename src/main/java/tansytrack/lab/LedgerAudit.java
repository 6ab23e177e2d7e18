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
 * Holds the ledgers and exports of a run against the engines' own count, and against what a
 * consumer saw meanwhile.
 */
final class LedgerAudit {

  private final Map<String, byte[]> batchContents = new HashMap<>();
  private long changedBatches;

  /** A consumer's look at the batches in place: a number must not come again with other bytes. */
  synchronized void inspectBatches(List<ManagerProcess> managers) throws IOException {
    for (ManagerProcess one : managers) {
      for (Path file : batches(one.exportFolder())) {
        byte[] bytes = Files.readAllBytes(file);
        byte[] before = batchContents.putIfAbsent(file.toString(), bytes);
        if (before != null && !java.util.Arrays.equals(before, bytes)) {
          changedBatches++;
        }
      }
    }
  }

  private static List<Path> batches(Path folder) throws IOException {
    if (!Files.isDirectory(folder)) {
      return List.of();
    }
    try (Stream<Path> all = Files.list(folder)) {
      return all.filter(one -> one.toString().endsWith(".pb")).sorted().toList();
    }
  }

  Map<String, Double> figures(List<ManagerProcess> managers, List<FakeEngine> engines)
      throws IOException {
    inspectBatches(managers);
    Map<String, Double> figures = new TreeMap<>();
    MergedLedger ledgers =
        LedgerFiles.readMerged(managers.stream().map(ManagerProcess::ledgerFolder).toList());
    MergedLedger exported =
        LedgerFiles.readMerged(managers.stream().map(ManagerProcess::exportFolder).toList());
    batches(managers, figures);
    Reconciliation sides = new Reconciliation();
    long unresolved = 0;
    for (var said : ledgers.entries().values()) {
      for (Entry entry : said) {
        sides.add(entry);
        unresolved += entry.end() == TaskEnd.UNRESOLVED ? 1 : 0;
      }
    }
    for (FakeEngine engine : engines) {
      try (InputStream in =
          new java.io.ByteArrayInputStream(
              String.join("\n", engine.statement())
                  .getBytes(java.nio.charset.StandardCharsets.UTF_8))) {
        LedgerFiles.readStatement(engine.name(), in, sides);
      }
    }
    Map<String, Long> kinds = new TreeMap<>();
    sides.findings().forEach(one -> kinds.merge(one.kind(), 1L, Long::sum));
    figures.put("entries", (double) ledgers.entries().size());
    figures.put("entries.missing", (double) kinds.getOrDefault("at the engine only", 0L));
    figures.put(
        "entries.twice",
        (double) kinds.getOrDefault("in the ledger only", 0L) + ledgers.contradictions().size());
    figures.put("entries.work_differs", (double) kinds.getOrDefault("work differs", 0L));
    figures.put("entries.unresolved", (double) unresolved);
    figures.put(
        "entries.resolved_by_engines", (double) kinds.getOrDefault("resolved by the engine", 0L));
    long told = 0;
    for (ManagerProcess one : managers) {
      try (LedgerStore store = LedgerStore.openForCommand(one.ledgerFolder(), FaultInjector.NONE)) {
        told += store.reportedRuns().size();
      }
    }
    figures.put("entries.told_at_start", (double) told);
    figures.put(
        "entries.holes",
        (double)
            ledgers.missingRanges().stream()
                .mapToLong(hole -> hole.last() - hole.first() + 1)
                .sum());
    figures.put("gaps", (double) ledgers.gaps().size());
    figures.put("export.differs", exported.equals(ledgers) ? 0.0 : 1.0);
    figures.put("forwards.agreed", (double) sides.matchedForwards());
    figures.put("engines.runs", (double) engines.stream().mapToLong(FakeEngine::queryCount).sum());
    return figures;
  }

  private void batches(List<ManagerProcess> managers, Map<String, Double> figures)
      throws IOException {
    long twice = changedBatches;
    long skipped = 0;
    long all = 0;
    for (ManagerProcess one : managers) {
      long number = 0;
      long position = 0;
      for (Path file : batches(one.exportFolder())) {
        BatchHead head;
        try (InputStream in = Files.newInputStream(file)) {
          head = BatchHead.parseDelimitedFrom(in);
        }
        all++;
        skipped +=
            Math.max(0, head.getNumber() - number - 1)
                + Math.max(0, head.getFirstPosition() - position - 1);
        twice += head.getNumber() <= number || head.getFirstPosition() <= position ? 1 : 0;
        number = head.getNumber();
        position = head.getLastPosition();
      }
    }
    figures.put("batches", (double) all);
    figures.put("batches.twice", (double) twice);
    figures.put("batches.skipped", (double) skipped);
  }
}

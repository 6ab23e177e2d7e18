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
 * Compares the ledgers and exports of a run with the engines' own records, and with the batches that
 * a consumer read during the run.
 */
final class LedgerCheck {

  private final Map<String, byte[]> seen = new HashMap<>();
  private long changed;

  /** Reads the exported batches as a consumer does; a batch must not change once it is there. */
  synchronized void look(List<ManagerProcess> managers) throws IOException {
    for (ManagerProcess one : managers) {
      for (Path file : batches(one.exports())) {
        byte[] bytes = Files.readAllBytes(file);
        byte[] before = seen.putIfAbsent(file.toString(), bytes);
        if (before != null && !java.util.Arrays.equals(before, bytes)) {
          changed++;
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

  /** Compares all records; returns the figures by name. */
  Map<String, Double> figures(List<ManagerProcess> managers, List<StandInEngine> engines)
      throws IOException {
    look(managers);
    Map<String, Double> figures = new TreeMap<>();
    MergedLedger ledgers =
        LedgerFiles.readMerged(managers.stream().map(ManagerProcess::ledger).toList());
    MergedLedger exported =
        LedgerFiles.readMerged(managers.stream().map(ManagerProcess::exports).toList());
    batches(managers, figures);
    Reconciliation sides = new Reconciliation();
    long unresolved = 0;
    for (var said : ledgers.entries().values()) {
      for (Entry entry : said) {
        sides.add(entry);
        unresolved += entry.end() == TaskEnd.UNRESOLVED ? 1 : 0;
      }
    }
    for (StandInEngine engine : engines) {
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
      try (LedgerStore store = LedgerStore.openForCommand(one.ledger(), FaultInjector.NONE)) {
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
    figures.put("engines.runs", (double) engines.stream().mapToLong(StandInEngine::runs).sum());
    return figures;
  }

  private void batches(List<ManagerProcess> managers, Map<String, Double> figures)
      throws IOException {
    long twice = changed;
    long skipped = 0;
    long all = 0;
    for (ManagerProcess one : managers) {
      long number = 0;
      long position = 0;
      for (Path file : batches(one.exports())) {
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

package tansytrack.ledger.disk;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVRecord;
import tansytrack.ledger.Entry;
import tansytrack.ledger.Gap;
import tansytrack.ledger.MergedLedger;
import tansytrack.ledger.Reconciliation;

/** Reads ledgers, exported batches and engines' statements from files and folders. */
public final class LedgerFiles {

  private LedgerFiles() {}

  /**
   * Reads and merges ledgers and exported batches.
   *
   * @param places folders with a ledger, folders with batches (*.pb), or batches
   */
  public static MergedLedger readMerged(List<Path> places) throws IOException {
    MergedLedger merged = new MergedLedger();
    for (Path place : places) {
      if (Files.isDirectory(place) && Files.exists(place.resolve("ledger.sqlite"))) {
        try (LedgerStore store = LedgerStore.openForCommand(place, FaultInjector.NONE)) {
          store.read(1, Long.MAX_VALUE, addingTo(merged, store.manager()));
        }
      } else if (Files.isDirectory(place)) {
        List<Path> files;
        try (Stream<Path> children = Files.list(place)) {
          files = children.filter(path -> path.toString().endsWith(".pb")).sorted().toList();
        }
        if (files.isEmpty()) {
          throw new IOException(place + " contains neither a ledger nor a batch (*.pb)");
        }
        for (Path file : files) {
          readBatch(file, merged);
        }
      } else {
        readBatch(place, merged);
      }
    }
    return merged;
  }

  private static void readBatch(Path file, MergedLedger merged) throws IOException {
    try (InputStream in = new BufferedInputStream(Files.newInputStream(file), 1 << 16)) {
      MergedLedger batch = new MergedLedger();
      ExportFormats.readBatch(in, manager -> addingTo(batch, manager));
      // Added only after the whole batch was read, so that a damaged one adds nothing.
      merged.add(batch);
    } catch (IOException e) {
      throw new IOException(file + ": " + e.getMessage(), e);
    }
  }

  private static LedgerStore.LineVisitor addingTo(MergedLedger merged, String manager) {
    return new LedgerStore.LineVisitor() {
      @Override
      public void entry(long position, Entry entry) {
        merged.add(manager, entry);
      }

      @Override
      public void gap(long position, Gap gap) {
        merged.add(manager, gap);
      }
    };
  }

  /**
   * Adds an engine's statement to a reconciliation. A statement is CSV with the columns engine,
   * task, work_ns and done; a row without a task says that the statement of the engine is complete.
   */
  public static void readStatement(String name, InputStream input, Reconciliation reconciliation)
      throws IOException {
    readStatement(name, input, reconciliation::addEngine, reconciliation::add);
  }

  /**
   * Reads an engine's statement.
   *
   * @param name the name of the statement in error messages
   * @param engineConsumer receives the engines whose statements are complete
   * @param runConsumer receives the runs
   */
  public static void readStatement(
      String name,
      InputStream input,
      Consumer<String> engineConsumer,
      Consumer<Reconciliation.Run> runConsumer)
      throws IOException {
    for (CSVRecord row :
        CSVFormat.RFC4180.parse(new InputStreamReader(input, StandardCharsets.UTF_8))) {
      if (row.getRecordNumber() == 1 && row.get(0).equals("engine")) {
        continue;
      }
      try {
        if (row.size() == 1 || row.get(1).isEmpty()) {
          engineConsumer.accept(row.get(0));
        } else if (row.size() == 4 && (row.get(3).equals("true") || row.get(3).equals("false"))) {
          runConsumer.accept(
              new Reconciliation.Run(
                  row.get(0), row.get(1), Long.parseLong(row.get(2)), row.get(3).equals("true")));
        } else {
          throw new NumberFormatException();
        }
      } catch (NumberFormatException e) {
        throw new IOException(
            name
                + ", line "
                + row.getRecordNumber()
                + ": '"
                + String.join(",", row.values())
                + "'; allowed: engine,task,work_ns,true|false",
            e);
      }
    }
  }
}

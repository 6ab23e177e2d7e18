package tansytrack;

import java.io.IOException;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;
import tansytrack.ledger.disk.Faults;
import tansytrack.ledger.disk.Store;

/** A ledger command that only needs the ledger's folder. */
abstract class LedgerFolderCommand extends LedgerRowsCommand {
  @Option(
      name = "--ledger",
      metaVar = "FOLDER",
      required = true,
      usage = "the folder that holds the ledger")
  String folder;

  /** Runs the command on an open store and returns the exit code. */
  abstract int work(Store store) throws IOException;

  @Override
  protected final int work() throws IOException {
    try (Store store = Store.forCommand(Path.of(folder), Faults.NONE)) {
      return work(store);
    }
  }
}

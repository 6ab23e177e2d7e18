package tansytrack;

import java.io.IOException;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;
import tansytrack.ledger.disk.FaultInjector;
import tansytrack.ledger.disk.LedgerStore;

/** A ledger command that only needs the ledger's folder. */
abstract class LedgerFolderCommand extends LedgerRowsCommand {
  @Option(
      name = "--ledger",
      metaVar = "FOLDER",
      required = true,
      usage = "the folder that holds the ledger")
  String folder;

  /** Runs the command on an open store and returns the exit code. */
  abstract int execute(LedgerStore store) throws IOException;

  @Override
  protected final int execute() throws IOException {
    try (LedgerStore store = LedgerStore.openForCommand(Path.of(folder), FaultInjector.NONE)) {
      return execute(store);
    }
  }
}

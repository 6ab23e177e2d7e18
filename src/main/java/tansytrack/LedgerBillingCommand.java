package tansytrack;

import java.io.IOException;
import org.kohsuke.args4j.Option;
import tansytrack.ledger.disk.FaultInjector;
import tansytrack.ledger.disk.LedgerStore;
import tansytrack.operator.OperatorFile;
import tansytrack.settings.InvalidInputException;

/** A ledger command that reads the operator file, because it needs the billing section. */
abstract class LedgerBillingCommand extends LedgerRowsCommand {
  @Option(
      name = "--operator",
      metaVar = "FILE",
      required = true,
      usage = "the operator file with the ledger section")
  String operator;

  OperatorFile.LedgerSection section;

  /** Runs the command on an open store and returns the exit code. */
  abstract int execute(LedgerStore store) throws IOException;

  @Override
  protected final int execute() throws IOException {
    section = OperatorFile.read(operator).ledger();
    if (section == null) {
      throw new InvalidInputException(
          operator + ": ledger: missing; allowed: a section with the ledger's folder");
    }
    try (LedgerStore store = LedgerStore.openForCommand(section.folder(), FaultInjector.NONE)) {
      return execute(store);
    }
  }
}

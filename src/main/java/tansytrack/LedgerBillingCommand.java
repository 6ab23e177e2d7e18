package tansytrack;

import java.io.IOException;
import org.kohsuke.args4j.Option;
import tansytrack.ledger.disk.FaultInjector;
import tansytrack.ledger.disk.LedgerStore;
import tansytrack.operator.OperatorFile;
import tansytrack.settings.InvalidInputException;

/** A ledger command that needs the operators' file, as it must know how is billed. */
abstract class LedgerBillingCommand extends LedgerRowsCommand {
  @Option(
      name = "--operator",
      metaVar = "FILE",
      required = true,
      usage = "the operators' file that names the ledger and its billing")
  String operator;

  OperatorFile.LedgerSection section;

  abstract int work(LedgerStore store) throws IOException;

  @Override
  protected final int execute() throws IOException {
    section = OperatorFile.read(operator).ledger();
    if (section == null) {
      throw new InvalidInputException(
          operator + ": ledger: missing; allowed: a section that names the ledger's folder");
    }
    try (LedgerStore store = LedgerStore.openForCommand(section.folder(), FaultInjector.NONE)) {
      return work(store);
    }
  }
}

package tansytrack;

import java.io.IOException;
import org.kohsuke.args4j.Option;
import tansytrack.ledger.disk.Faults;
import tansytrack.ledger.disk.Store;
import tansytrack.operator.OperatorFile;
import tansytrack.settings.Unusable;

/** A ledger command that needs the operators' file, as it must know how is billed. */
abstract class LedgerBillingCommand extends LedgerRowsCommand {
  @Option(
      name = "--operator",
      metaVar = "FILE",
      required = true,
      usage = "the operators' file that names the ledger and its billing")
  String operator;

  OperatorFile.LedgerSection section;

  abstract int work(Store store) throws IOException;

  @Override
  protected final int work() throws IOException {
    section = OperatorFile.read(operator).ledger();
    if (section == null) {
      throw new Unusable(
          operator + ": ledger: missing; allowed: a section that names the ledger's folder");
    }
    try (Store store = Store.forCommand(section.folder(), Faults.NONE)) {
      return work(store);
    }
  }
}

package tansytrack;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import tansytrack.command.Command;
import tansytrack.command.CommandGroup;

/** The command group {@code ledger}. */
public final class LedgerCommands {

  private LedgerCommands() {}

  /** All ledger commands by name. */
  public static final class All extends CommandGroup {
    @Argument(
        required = true,
        metaVar = "COMMAND",
        handler = SubCommandHandler.class,
        usage = "show, periods, close, correct, export, ack, merge, reconcile, resolve or verify")
    @SubCommands({
      @SubCommand(name = "show", impl = LedgerBillCommands.Show.class),
      @SubCommand(name = "periods", impl = LedgerBillCommands.PeriodList.class),
      @SubCommand(name = "close", impl = LedgerBillCommands.Close.class),
      @SubCommand(name = "correct", impl = LedgerBillCommands.Correct.class),
      @SubCommand(name = "export", impl = LedgerExchangeCommands.Export.class),
      @SubCommand(name = "ack", impl = LedgerExchangeCommands.Ack.class),
      @SubCommand(name = "merge", impl = LedgerExchangeCommands.Merge.class),
      @SubCommand(name = "reconcile", impl = LedgerExchangeCommands.Reconcile.class),
      @SubCommand(name = "resolve", impl = LedgerBillCommands.Resolve.class),
      @SubCommand(name = "verify", impl = LedgerExchangeCommands.Verify.class)
    })
    private Command command;

    @Override
    public String description() {
      return "ledger: shows, bills, exports and checks what each tenant used. Commands: show,"
          + " periods, close, correct, export, ack,\n"
          + "merge, reconcile, resolve, verify. Exit code 1: the command ran and found errors in"
          + " the data;\n"
          + "2: the input is invalid, nothing was written.";
    }

    @Override
    protected Command subcommand() {
      return command;
    }
  }
}

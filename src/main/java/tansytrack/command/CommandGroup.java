package tansytrack.command;

import java.io.IOException;

/** A command that consists of subcommands. */
public abstract class CommandGroup extends Command {

  /** Returns the subcommand that the arguments name. */
  protected abstract Command subcommand();

  @Override
  public final Command selected() {
    return helpRequested() ? this : subcommand().selected();
  }

  @Override
  public final int run() throws IOException {
    return subcommand().run();
  }
}

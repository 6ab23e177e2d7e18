package tansytrack.command;

import java.io.IOException;

/** Commands under one name. */
public abstract class CommandGroup extends Command {

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

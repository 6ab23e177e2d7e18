package tansytrack.command;

import java.io.IOException;

/** A command that consists of subcommands. */
public abstract class Group extends Command {

  /** Returns the subcommand that the arguments name. */
  protected abstract Command inner();

  @Override
  public final Command asked() {
    return helpAsked() ? this : inner().asked();
  }

  @Override
  public final int run() throws IOException {
    return inner().run();
  }
}

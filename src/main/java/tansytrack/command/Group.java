package tansytrack.command;

import java.io.IOException;

/** Commands under one name. */
public abstract class Group extends Command {

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

package tansytrack.command;

import java.io.IOException;
import tansytrack.settings.Unusable;

/** A command that reports unusable input in one line and exits with {@link Command#UNUSABLE}. */
public abstract class Guarded extends Command {

  /** Does the work of the command and returns its exit code. */
  protected abstract int work() throws IOException;

  @Override
  public final int run() {
    try {
      return work();
    } catch (IOException | Unusable | IllegalArgumentException e) {
      System.err.println("tansytrack: " + e.getMessage());
      return UNUSABLE;
    }
  }
}

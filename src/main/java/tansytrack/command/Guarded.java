package tansytrack.command;

import java.io.IOException;
import tansytrack.settings.Unusable;

/** A command that says in one line what cannot be used, and ends with code 2. */
public abstract class Guarded extends Command {

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

package tansytrack.command;

import java.io.IOException;
import tansytrack.settings.InvalidInputException;

/** A command that says in one line what cannot be used, and ends with code 2. */
public abstract class ErrorReportingCommand extends Command {

  protected abstract int execute() throws IOException;

  @Override
  public final int run() {
    try {
      return execute();
    } catch (IOException | InvalidInputException | IllegalArgumentException e) {
      System.err.println("tansytrack: " + e.getMessage());
      return EXIT_UNUSABLE_INPUT;
    }
  }
}

package tansytrack.command;

import java.io.IOException;
import tansytrack.settings.InvalidInputException;

/**
 * A command that reports unusable input in one line and exits with {@link
 * Command#EXIT_UNUSABLE_INPUT}.
 */
public abstract class ErrorReportingCommand extends Command {

  /** Does the work of the command and returns its exit code. */
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

package tansytrack.command;

import java.io.IOException;
import org.kohsuke.args4j.Option;

/** A command of the command line, with its help text. */
public abstract class Command {

  /** Exit code of a command that ran, but found something missing or different. */
  public static final int EXIT_DIFFERENCE = 1;

  /** Exit code for input that cannot be used. */
  public static final int EXIT_UNUSABLE_INPUT = 2;

  @Option(name = "--help", aliases = "-h", help = true, usage = "print what this command does")
  private boolean helpOption;

  /** Returns the text that `--help` prints before the options. */
  public abstract String description();

  /** Runs the command and returns its exit code. */
  public abstract int run() throws IOException;

  /** Returns whether `--help` was among the options. */
  public final boolean helpRequested() {
    return helpOption;
  }

  /**
   * Returns the command whose help was requested or that is to run: this one, or a subcommand of
   * it.
   */
  public Command selected() {
    return this;
  }
}

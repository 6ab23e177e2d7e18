package tansytrack.command;

import java.io.IOException;
import org.kohsuke.args4j.Option;

/** A sub-command, with its help. */
public abstract class Command {

  /** Exit codes that all share: done, but something is missing or differs; and cannot be used. */
  public static final int EXIT_DIFFERENCE = 1;

  public static final int EXIT_UNUSABLE_INPUT = 2;

  @Option(name = "--help", aliases = "-h", help = true, usage = "say what this command does")
  private boolean helpOption;

  /** What `--help` prints before the options. */
  public abstract String description();

  /** Runs the command and gives its exit code. */
  public abstract int run() throws IOException;

  /** Whether `--help` was among the options. */
  public final boolean helpRequested() {
    return helpOption;
  }

  /** The one whose help is asked for, or that is to run. */
  public Command selected() {
    return this;
  }
}

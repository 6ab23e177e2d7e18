package tansytrack.command;

import java.io.IOException;
import org.kohsuke.args4j.Option;

/** A sub-command, with its help. */
public abstract class Command {

  /** Exit codes that all share: done, but something is missing or differs; and cannot be used. */
  public static final int DIFFERS = 1;

  public static final int UNUSABLE = 2;

  @Option(name = "--help", aliases = "-h", help = true, usage = "say what this command does")
  private boolean help;

  /** What `--help` prints before the options. */
  public abstract String about();

  /** Runs the command and gives its exit code. */
  public abstract int run() throws IOException;

  /** Whether `--help` was among the options. */
  public final boolean helpAsked() {
    return help;
  }

  /** The one whose help is asked for, or that is to run. */
  public Command asked() {
    return this;
  }
}

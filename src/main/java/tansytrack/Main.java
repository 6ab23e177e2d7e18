package tansytrack;

import java.io.IOException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import tansytrack.adapter.SimulatorAdapter;
import tansytrack.command.Command;
import tansytrack.service.Service;

/** The command line. */
public final class Main {

  private static final String PROGRAM_PREFIX = "java -jar tansytrack.jar ";

  @Argument(
      required = true,
      metaVar = "COMMAND",
      usage = "serve, adapter, check, rehearse, ledger, fleet, lab or version",
      handler = SubCommandHandler.class)
  @SubCommands({
    @SubCommand(name = "serve", impl = ServeCommand.class),
    @SubCommand(name = "adapter", impl = AdapterCommand.class),
    @SubCommand(name = "check", impl = CheckCommand.class),
    @SubCommand(name = "rehearse", impl = RehearseCommand.class),
    @SubCommand(name = "ledger", impl = LedgerCommands.All.class),
    @SubCommand(name = "lab", impl = LabCommands.All.class),
    @SubCommand(name = "fleet", impl = FleetCommands.All.class),
    @SubCommand(name = "version", impl = VersionCommand.class)
  })
  private Command command;

  private Main() {}

  /** The workload manager. */
  public static final class ServeCommand extends Command {
    @Option(
        name = "--operator",
        metaVar = "FILE",
        usage = "the operators' file (protobuf text format): what is switched on besides")
    private String operator;

    @Override
    public String description() {
      return "serve: runs one workload manager as the file that ROUTER_CONFIG names says, until"
          + " SIGTERM.\n"
          + "Exit code 2: the configuration cannot be used; 3: a failure inside.";
    }

    @Override
    public int run() {
      return Service.serve(System.getenv("ROUTER_CONFIG"), operator);
    }
  }

  /** The decisions on the simulator's wire. */
  public static final class AdapterCommand extends Command {
    @Override
    public String description() {
      return "adapter: the same decisions on the simulator's wire, on standard input and output.";
    }

    @Override
    public int run() throws IOException {
      return new SimulatorAdapter(System.in, System.out, System.err).run();
    }
  }

  /** Reads a configuration. */
  public static final class CheckCommand extends Command {
    @Argument(
        metaVar = "FILE",
        usage = "the configuration; absent: the one that ROUTER_CONFIG names")
    private String file = System.getenv("ROUTER_CONFIG");

    @Option(
        name = "--operator",
        metaVar = "FILE",
        usage = "the operators' file, to be checked as well")
    private String operator;

    @Override
    public String description() {
      return "check: reads a configuration and says what is wrong with it. Exit code 2: it cannot"
          + " be used.";
    }

    @Override
    public int run() {
      return Service.check(file, operator, System.out);
    }
  }

  /** Runs the whole manager on loopback for a moment. */
  public static final class RehearseCommand extends Command {
    @Argument(
        metaVar = "FILE",
        usage = "the configuration; absent: the one that ROUTER_CONFIG names")
    private String file = System.getenv("ROUTER_CONFIG");

    @Override
    public String description() {
      return "rehearse: serves some made-up tasks on loopback with the settings of a configuration,"
          + " and ends. The\n"
          + "build makes its class-data archive of this. Exit code 2: the configuration"
          + " cannot be used.";
    }

    @Override
    public int run() {
      return Service.rehearse(file, System.out);
    }
  }

  /** Names the version. */
  public static final class VersionCommand extends Command {
    @Override
    public String description() {
      return "version: names the program and its version.";
    }

    @Override
    public int run() {
      String version = Main.class.getPackage().getImplementationVersion();
      System.out.println("tansytrack " + (version == null ? "(not packaged)" : version));
      return 0;
    }
  }

  /** Runs the command that the arguments name and ends with its exit code. */
  public static void main(String[] args) throws IOException {
    System.exit(run(args));
  }

  static int run(String... args) throws IOException {
    Main main = new Main();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      System.err.println("tansytrack: " + e.getMessage());
      System.err.println(
          "usage: "
              + PROGRAM_PREFIX
              + "serve | adapter | check [FILE] | rehearse [FILE] | ledger ... | fleet ... | lab"
              + " ... | version   (each with --help)");
      return Command.EXIT_UNUSABLE_INPUT;
    }
    Command selected = main.command.selected();
    if (selected.helpRequested()) {
      System.out.println(selected.description());
      new CmdLineParser(selected).printUsage(System.out);
      return 0;
    }
    return selected.run();
  }
}

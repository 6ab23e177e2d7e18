package tansytrack;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import tansytrack.command.Command;
import tansytrack.command.CommandGroup;
import tansytrack.command.ErrorReportingCommand;
import tansytrack.lab.FleetTable;
import tansytrack.lab.Laboratory;
import tansytrack.lab.LedgerBench;
import tansytrack.lab.LoadCommand;
import tansytrack.lab.ScaleTable;
import tansytrack.lab.StandIns;
import tansytrack.lab.footprint.FootprintOptions;
import tansytrack.lab.footprint.FootprintTable;
import tansytrack.lab.proto.Experiment;
import tansytrack.lab.scale.FailureSchedule;
import tansytrack.lab.scale.ScalePlan;
import tansytrack.lab.simulation.MembershipModelChecker;
import tansytrack.settings.InvalidInputException;

/** The command group `lab`: stand-ins and experiments, all on loopback. */
public final class LabCommands {

  private LabCommands() {}

  /** The group. */
  public static final class All extends CommandGroup {
    @Argument(
        required = true,
        metaVar = "COMMAND",
        handler = SubCommandHandler.class,
        usage = "engines, run, load, fleet, scale, footprint, explore or ledger-bench")
    @SubCommands({
      @SubCommand(name = "engines", impl = Engines.class),
      @SubCommand(name = "run", impl = Run.class),
      @SubCommand(name = "load", impl = Load.class),
      @SubCommand(name = "fleet", impl = Fleet.class),
      @SubCommand(name = "scale", impl = Scale.class),
      @SubCommand(name = "footprint", impl = Footprint.class),
      @SubCommand(name = "explore", impl = Explore.class),
      @SubCommand(name = "ledger-bench", impl = Bench.class)
    })
    private Command command;

    @Override
    public String description() {
      return "lab: stand-ins and experiments on loopback. Commands: engines, run, load, fleet, scale,\n"
          + "footprint, explore, ledger-bench.";
    }

    @Override
    protected Command subcommand() {
      return command;
    }
  }

  /** Plays a file with a seed and leaves results. */
  abstract static class Playing extends ErrorReportingCommand {
    @Option(name = "--seed", metaVar = "N", usage = "of the first run")
    private long seed = 1;

    @Option(
        name = "--out",
        metaVar = "FOLDER",
        usage = "where results are left; absent: a new temporary folder")
    private String out;

    /** Whether all that was claimed holds. */
    abstract boolean played(long from, Path to) throws IOException, InterruptedException;

    @Override
    protected final int execute() throws IOException {
      Path to = out == null ? Files.createTempDirectory("tansytrack-lab") : Path.of(out);
      try {
        boolean held = played(seed, to);
        System.out.println("results in " + to);
        return held ? 0 : EXIT_DIFFERENCE;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return EXIT_DIFFERENCE;
      }
    }
  }

  /** Stand-ins for what a configuration names. */
  public static final class Engines extends ErrorReportingCommand {
    @Argument(
        required = true,
        metaVar = "FILE",
        usage = "the configuration whose engines and command channel are stood in for")
    private String file;

    @Option(name = "--work-ms", metaVar = "N", usage = "work on a task, in milliseconds")
    private int work = 20;

    @Override
    public String description() {
      return "lab engines: stand-ins for the engines and the command channel that a configuration names, until ended.";
    }

    @Override
    protected int execute() throws IOException {
      StandIns.of(file, work, System.out);
      try {
        Thread.sleep(Long.MAX_VALUE);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      return 0;
    }
  }

  /** An experiment. */
  public static final class Run extends Playing {
    @Argument(
        required = true,
        metaVar = "FILE",
        usage = "the experiment (protobuf text format, lab.proto)")
    private String file;

    @Override
    public String description() {
      return "lab run: plays an experiment and judges its claims. Exit code 1: one is not held, or a run ended early; 2: the file\n"
          + "cannot be used.";
    }

    @Override
    boolean played(long from, Path to) throws IOException, InterruptedException {
      Experiment experiment = Laboratory.read(file);
      try {
        return Laboratory.run(experiment, from, to, Decide::new, System.out);
      } catch (IOException e) {
        System.err.println("tansytrack: the experiment ended early: " + e);
        return false;
      }
    }
  }

  /** An open-loop load. */
  public static final class Load extends Playing {
    @Argument(
        required = true,
        metaVar = "FILE",
        usage = "the load (protobuf text format, lab.proto)")
    private String file;

    @Option(
        name = "--to",
        metaVar = "ADDRESS",
        required = true,
        usage = "a manager's listener, on loopback")
    private String to;

    @Override
    public String description() {
      return "lab load: sends a load made beforehand, each task at its intended time, and counts latency from that time.\n"
          + "Exit code 1: a claim is not held, or the generator fell behind and the run is void; 2: the file cannot be used.";
    }

    @Override
    boolean played(long from, Path out) throws IOException, InterruptedException {
      return LoadCommand.run(file, to, from, out, System.out);
    }
  }

  /** The membership's measurement. */
  public static final class Fleet extends Playing {
    @Option(name = "--members", metaVar = "N,N", usage = "sizes to play")
    private String members = "10,100,300";

    @Option(name = "--loss", metaVar = "X,X", usage = "shares of letters lost")
    private String loss = "0,0.1,0.3";

    @Option(
        name = "--runs",
        metaVar = "N",
        usage = "of each size and loss, each with the next seed")
    private int runs = 5;

    @Override
    public String description() {
      return "lab fleet: memberships in virtual time: how soon a killed member is known dead, how often the living are accused,\n"
          + "bytes a second, how soon a place that was cut off comes together. Leaves a table and charts.";
    }

    @Override
    boolean played(long from, Path to) throws IOException {
      return FleetTable.run(members, loss, runs, from, to, System.out);
    }
  }

  /** What a manager's process costs. */
  public static final class Footprint extends ErrorReportingCommand {
    @Option(name = "--managers", metaVar = "N", usage = "processes")
    private int managers = 1;

    @Option(name = "--engines", metaVar = "N", usage = "engines listed")
    private int engines = 100;

    @Option(
        name = "--siblings",
        metaVar = "N",
        usage = "managers that each process is told of; 0: as many as there are processes")
    private int siblings;

    @Option(
        name = "--settle",
        metaVar = "SECONDS",
        usage = "between the last start and the first reading")
    private int settle = 4;

    @Option(name = "--seconds", metaVar = "N", usage = "of each reading")
    private int seconds = 5;

    @Option(
        name = "--rate",
        metaVar = "N",
        usage = "statements a second to each manager in the reading under load; 0: none")
    private int rate = 20;

    @Option(name = "--jar", metaVar = "FILE", usage = "what runs; absent: this program")
    private String jar;

    @Option(
        name = "--jvm",
        metaVar = "FLAGS",
        usage = "flags of the java command; absent: those of the run line")
    private String jvm = FootprintOptions.DEPLOYED_JVM_FLAGS;

    @Option(
        name = "--out",
        metaVar = "FOLDER",
        usage = "where results are left; absent: a new temporary folder")
    private String out;

    @Override
    public String description() {
      return """
          lab footprint: real managers before a stand-in channel with a long list: memory, processor
          time at rest and under a light load, control bytes, start, how soon a change has reached
          all. Leaves result.csv, a row a manager. Exit code 1: a change did not reach all; 2: cannot
          be used, or a manager does not come up.""";
    }

    @Override
    protected int execute() throws IOException {
      FootprintOptions options =
          new FootprintOptions(managers, engines, siblings, settle, seconds, rate, jar, jvm);
      Path to = out == null ? Files.createTempDirectory("tansytrack-lab") : Path.of(out);
      try {
        boolean reached = FootprintTable.run(options, to, System.out);
        System.out.println("results in " + to);
        return reached ? 0 : EXIT_DIFFERENCE;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return EXIT_DIFFERENCE;
      }
    }
  }

  /** Hollow managers at scale. */
  public static final class Scale extends Playing {
    @Option(name = "--managers", metaVar = "N", required = true, usage = "real decision modules")
    private int managers;

    @Option(name = "--engines", metaVar = "N", required = true, usage = "hollow engines")
    private int engines;

    @Option(name = "--zones", metaVar = "N", usage = "that both are spread over in turn")
    private int zones = 1;

    @Option(name = "--seconds", metaVar = "N", usage = "in which statements come, virtual")
    private int seconds = 20;

    @Option(name = "--rate", metaVar = "X", usage = "statements a second to each manager, thinned")
    private double rate = 8;

    @Option(name = "--schedule", metaVar = "NAME", usage = "the failures to play")
    private String schedule = FailureSchedule.NO_FAILURE.scheduleName();

    @Option(name = "--sizes", metaVar = "N", usage = "5 or more: a ladder of sizes with slopes")
    private int sizes = 1;

    @Option(name = "--factor", metaVar = "N", usage = "between two sizes of the ladder")
    private int factor = 2;

    @Option(
        name = "--threads",
        metaVar = "N",
        usage = "to play on; the table does not depend on it")
    private int threads = 1;

    @Option(name = "--grow", metaVar = "WHAT", usage = "along the ladder")
    private ScaleTable.Grows grows = ScaleTable.Grows.BOTH;

    @Override
    public String description() {
      return "lab scale: real decision modules of many managers before hollow engines, in one process on virtual time, without\n"
          + "sockets and clients. Leaves a table, CSV and charts; the same seed, the same table. Schedules: "
          + FailureSchedule.names()
          + ".\nExit code 2: a size or option cannot be used.";
    }

    @Override
    boolean played(long from, Path to) throws IOException {
      FailureSchedule failures = ScaleTable.schedule("--schedule", schedule);
      ScalePlan plan = new ScalePlan(managers, engines, zones, seconds, rate, failures, from);
      ScaleTable.checked(plan);
      ScaleTable.Ladder ladder = new ScaleTable.Ladder(sizes, factor, grows);
      ScaleTable.run(plan, ladder, Decide::new, threads, to, System.out, System.err);
      return true;
    }
  }

  /** The search through states. */
  public static final class Explore extends ErrorReportingCommand {
    @Option(name = "--depth", metaVar = "N", usage = "choices in a row")
    private int depth = 9;

    @Option(name = "--states", metaVar = "N", usage = "the most to look at")
    private int states = 100_000;

    @Override
    public String description() {
      return "lab explore: three memberships, every order, loss and doubling of letters, a cut, a kill, a restart, breadth first.\n"
          + "Exit code 1: from some state they do not come to agree.";
    }

    @Override
    protected int execute() {
      MembershipModelChecker.Result found =
          new MembershipModelChecker((to, letter) -> letter).explore(depth, states);
      System.out.println(
          found.states()
              + " states, up to "
              + found.depth()
              + " choices deep; "
              + (found.counterexample() == null
                  ? "from each they come to agree"
                  : "no agreement behind choices " + found.counterexample()));
      return found.counterexample() == null ? 0 : EXIT_DIFFERENCE;
    }
  }

  /** The ledger's measurement. */
  public static final class Bench extends ErrorReportingCommand {
    @Option(
        name = "--folder",
        metaVar = "FOLDER",
        required = true,
        usage = "a new folder for its ledgers")
    private String folder;

    @Option(name = "--entries", metaVar = "N", usage = "entries, as fast as the disk takes them")
    private int entries = 200_000;

    @Option(name = "--seconds", metaVar = "N", usage = "of each paced part")
    private int seconds = 5;

    @Override
    public String description() {
      return "lab ledger-bench: the loop's cost of a ledger's entry, durable entries a second, waits for the commit, a start after\n"
          + "a kill. The larger ledger stays in FOLDER/full, to measure `ledger export` on.";
    }

    @Override
    protected int execute() throws IOException {
      Path to = Path.of(folder);
      if (Files.exists(to)) {
        throw new InvalidInputException("--folder '" + folder + "' exists; allowed: a new one");
      }
      LedgerBench bench = new LedgerBench(System.out);
      bench.throughput(to.resolve("full"), entries);
      for (String wait : List.of("AT_ONCE", "AFTER_COMMIT")) {
        bench.paced(to.resolve(wait), 500, seconds, wait);
      }
      bench.restart(to.resolve("full"), to.resolve("copy"));
      return 0;
    }
  }
}

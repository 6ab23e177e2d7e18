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
import tansytrack.lab.ExperimentRunner;
import tansytrack.lab.FakeDeployment;
import tansytrack.lab.LedgerBenchmark;
import tansytrack.lab.LoadCommand;
import tansytrack.lab.MembershipTable;
import tansytrack.lab.ScaleTable;
import tansytrack.lab.SoakRun;
import tansytrack.lab.footprint.FootprintOptions;
import tansytrack.lab.footprint.FootprintTable;
import tansytrack.lab.proto.Experiment;
import tansytrack.lab.scale.FailureSchedule;
import tansytrack.lab.scale.ScalePlan;
import tansytrack.lab.simulation.MembershipModelChecker;
import tansytrack.settings.InvalidInputException;

/** The command group {@code lab}: fake engines and experiments, all on loopback. */
public final class LabCommands {

  private LabCommands() {}

  /** The command group. */
  public static final class All extends CommandGroup {
    @Argument(
        required = true,
        metaVar = "COMMAND",
        handler = SubCommandHandler.class,
        usage = "engines, run, soak, load, fleet, scale, footprint, explore or ledger-bench")
    @SubCommands({
      @SubCommand(name = "engines", impl = Engines.class),
      @SubCommand(name = "run", impl = Run.class),
      @SubCommand(name = "soak", impl = Soak.class),
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
      return "lab: fake engines and experiments on loopback. Commands: engines, run, soak, load,\n"
          + "fleet, scale, footprint, explore, ledger-bench.";
    }

    @Override
    protected Command subcommand() {
      return command;
    }
  }

  /** A command that runs with a seed and writes results to a folder. */
  abstract static class SeededRun extends ErrorReportingCommand {
    @Option(name = "--seed", metaVar = "N", usage = "seed of the first run")
    private long seed = 1;

    @Option(
        name = "--out",
        metaVar = "FOLDER",
        usage = "folder for the results; absent: a new temporary folder")
    private String outputFolder;

    /** Runs and writes the results; returns whether all claims hold. */
    abstract boolean runWithSeed(long firstSeed, Path folder)
        throws IOException, InterruptedException;

    @Override
    protected final int execute() throws IOException {
      Path folder =
          outputFolder == null
              ? Files.createTempDirectory("tansytrack-lab")
              : Path.of(outputFolder);
      try {
        boolean claimsHold = runWithSeed(seed, folder);
        System.out.println("results in " + folder);
        return claimsHold ? 0 : EXIT_DIFFERENCE;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return EXIT_DIFFERENCE;
      }
    }
  }

  /** Fakes of the engines and the command channel of a configuration. */
  public static final class Engines extends ErrorReportingCommand {
    @Argument(
        required = true,
        metaVar = "FILE",
        usage = "the configuration whose engines and command channel are faked")
    private String file;

    @Option(name = "--work-ms", metaVar = "N", usage = "minimum work of a task, in milliseconds")
    private int workMs = 20;

    @Override
    public String description() {
      return "lab engines: runs fakes of the engines and the command channel of a configuration,\n"
          + "until the process ends.";
    }

    @Override
    protected int execute() throws IOException {
      FakeDeployment.start(file, workMs, System.out);
      try {
        Thread.sleep(Long.MAX_VALUE);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      return 0;
    }
  }

  /** Runs an experiment. */
  public static final class Run extends SeededRun {
    @Argument(
        required = true,
        metaVar = "FILE",
        usage = "the experiment (protobuf text format, lab.proto)")
    private String file;

    @Override
    public String description() {
      return "lab run: runs an experiment and evaluates its claims.\n"
          + "Exit code 1: a claim does not hold, or a run failed; 2: the file cannot be used.";
    }

    @Override
    boolean runWithSeed(long firstSeed, Path folder) throws IOException, InterruptedException {
      Experiment experiment = ExperimentRunner.read(file);
      try {
        return ExperimentRunner.run(experiment, firstSeed, folder, Decide::new, System.out);
      } catch (IOException e) {
        System.err.println("tansytrack: the experiment failed: " + e);
        return false;
      }
    }
  }

  /** Runs seeded fault schedules. */
  public static final class Soak extends ErrorReportingCommand {
    @Option(name = "--seeds", metaVar = "N..N", usage = "the seeds, each with its own schedule")
    private String seeds = "1..3";

    @Option(
        name = "--out",
        metaVar = "FOLDER",
        usage = "folder for the results; absent: a new temporary folder")
    private String outputFolder;

    @Override
    public String description() {
      return """
          lab soak: runs manager processes under seeded schedules of faults, and checks the
          rules over all managers. Exit code 1: a seed failed; 2: wrong usage.""";
    }

    @Override
    protected int execute() throws IOException {
      Path folder =
          outputFolder == null
              ? Files.createTempDirectory("tansytrack-soak")
              : Path.of(outputFolder);
      try {
        boolean held = SoakRun.run(seeds, folder, Decide::new, System.out);
        System.out.println("results in " + folder);
        return held ? 0 : EXIT_DIFFERENCE;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return EXIT_DIFFERENCE;
      }
    }
  }

  /** Sends an open-loop load. */
  public static final class Load extends SeededRun {
    @Argument(
        required = true,
        metaVar = "FILE",
        usage = "the load (protobuf text format, lab.proto)")
    private String file;

    @Option(
        name = "--to",
        metaVar = "ADDRESS",
        required = true,
        usage = "the client address of a manager, on loopback")
    private String to;

    @Override
    public String description() {
      return """
          lab load: sends an open-loop load, each task at its intended time, and measures
          latency from that time. Exit code 1: a claim does not hold, or the generator fell
          behind and the run is void; 2: the file cannot be used.""";
    }

    @Override
    boolean runWithSeed(long firstSeed, Path folder) throws IOException, InterruptedException {
      return LoadCommand.run(file, to, firstSeed, folder, System.out);
    }
  }

  /** Measures the membership protocol. */
  public static final class Fleet extends SeededRun {
    @Option(name = "--members", metaVar = "N,N", usage = "numbers of members")
    private String members = "10,100,300";

    @Option(name = "--loss", metaVar = "X,X", usage = "shares of messages lost")
    private String loss = "0,0.1,0.3";

    @Option(
        name = "--runs",
        metaVar = "N",
        usage = "runs of each size and loss, each with the next seed")
    private int runs = 5;

    @Override
    public String description() {
      return """
          lab fleet: measures the membership protocol in virtual time: detection time of a
          killed member, false accusations, bytes a second, time to heal after the partition
          of a zone. Writes a table and charts.""";
    }

    @Override
    boolean runWithSeed(long firstSeed, Path folder) throws IOException {
      return MembershipTable.run(members, loss, runs, firstSeed, folder, System.out);
    }
  }

  /** Measures the resources that a manager process uses. */
  public static final class Footprint extends ErrorReportingCommand {
    @Option(name = "--managers", metaVar = "N", usage = "number of processes")
    private int managers = 1;

    @Option(name = "--engines", metaVar = "N", usage = "number of listed engines")
    private int engines = 100;

    @Option(
        name = "--siblings",
        metaVar = "N",
        usage = "number of managers in the settings; 0: as many as there are processes")
    private int managerCount;

    @Option(
        name = "--settle",
        metaVar = "SECONDS",
        usage = "time between the last start and the first measurement")
    private int settleSeconds = 4;

    @Option(name = "--seconds", metaVar = "N", usage = "duration of each measurement")
    private int seconds = 5;

    @Option(
        name = "--rate",
        metaVar = "N",
        usage = "statements a second to each manager when measured under load; 0: no load")
    private int rate = 20;

    @Option(name = "--jar", metaVar = "FILE", usage = "jar of the managers; absent: this program")
    private String jar;

    @Option(
        name = "--jvm",
        metaVar = "FLAGS",
        usage = "flags of the java command; absent: those of the deploy file")
    private String jvm = FootprintOptions.DEPLOYED_JVM_FLAGS;

    @Option(
        name = "--out",
        metaVar = "FOLDER",
        usage = "folder for the results; absent: a new temporary folder")
    private String outputFolder;

    @Override
    public String description() {
      return """
          lab footprint: measures manager processes with a fake command channel and many
          engines: memory, CPU time when idle and under a light load, control bytes, start-up
          time, time until a change has reached all managers. Writes result.csv with a row for
          each manager. Exit code 1: a change did not reach all; 2: an option cannot be used, or
          a manager does not start.""";
    }

    @Override
    protected int execute() throws IOException {
      FootprintOptions options =
          new FootprintOptions(
              managers, engines, managerCount, settleSeconds, seconds, rate, jar, jvm);
      Path folder =
          outputFolder == null
              ? Files.createTempDirectory("tansytrack-lab")
              : Path.of(outputFolder);
      try {
        boolean allReached = FootprintTable.run(options, folder, System.out);
        System.out.println("results in " + folder);
        return allReached ? 0 : EXIT_DIFFERENCE;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return EXIT_DIFFERENCE;
      }
    }
  }

  /** Simulates hollow managers at scale. */
  public static final class Scale extends SeededRun {
    @Option(name = "--managers", metaVar = "N", required = true, usage = "number of managers")
    private int managers;

    @Option(name = "--engines", metaVar = "N", required = true, usage = "number of engines")
    private int engines;

    @Option(name = "--zones", metaVar = "N", usage = "zones, to which both are assigned in turn")
    private int zones = 1;

    @Option(name = "--seconds", metaVar = "N", usage = "duration of the load, in virtual time")
    private int seconds = 20;

    @Option(name = "--rate", metaVar = "X", usage = "statements a second to each manager (thinned)")
    private double rate = 8;

    @Option(name = "--schedule", metaVar = "NAME", usage = "the failures to simulate")
    private String schedule = FailureSchedule.NO_FAILURE.scheduleName();

    @Option(name = "--sizes", metaVar = "N", usage = "number of sizes; 5 or more: with slopes")
    private int sizes = 1;

    @Option(name = "--factor", metaVar = "N", usage = "ratio of two successive sizes")
    private int factor = 2;

    @Option(
        name = "--threads",
        metaVar = "N",
        usage = "number of threads; does not change the table")
    private int threads = 1;

    @Option(name = "--grow", metaVar = "WHAT", usage = "what grows from size to size")
    private ScaleTable.Dimension dimension = ScaleTable.Dimension.BOTH;

    @Override
    public String description() {
      return "lab scale: simulates many managers, with their real decision modules, and hollow\n"
          + "engines in one process in virtual time, without sockets and clients. Writes a table,\n"
          + "CSV files and charts; the same seed gives the same table. Schedules: "
          + FailureSchedule.names()
          + ".\nExit code 2: a size or option cannot be used.";
    }

    @Override
    boolean runWithSeed(long firstSeed, Path folder) throws IOException {
      FailureSchedule failures = ScaleTable.schedule("--schedule", schedule);
      ScalePlan plan = new ScalePlan(managers, engines, zones, seconds, rate, failures, firstSeed);
      ScaleTable.validate(plan);
      ScaleTable.SizeSeries series = new ScaleTable.SizeSeries(sizes, factor, dimension);
      ScaleTable.run(plan, series, Decide::new, threads, folder, System.out, System.err);
      return true;
    }
  }

  /** Checks the membership protocol by a search of its states. */
  public static final class Explore extends ErrorReportingCommand {
    @Option(name = "--depth", metaVar = "N", usage = "maximum number of steps")
    private int depth = 9;

    @Option(name = "--states", metaVar = "N", usage = "maximum number of states")
    private int states = 100_000;

    @Override
    public String description() {
      return """
          lab explore: checks the membership protocol of three members by breadth-first
          search: every order, loss and duplication of messages, a partition, a kill, a
          restart. Exit code 1: from some state the members do not reach agreement.""";
    }

    @Override
    protected int execute() {
      MembershipModelChecker.Result result =
          new MembershipModelChecker((to, message) -> message).explore(depth, states);
      System.out.println(
          result.states()
              + " states, up to "
              + result.depth()
              + " steps deep; "
              + (result.counterexample() == null
                  ? "the members reach agreement from each"
                  : "no agreement after steps " + result.counterexample()));
      return result.counterexample() == null ? 0 : EXIT_DIFFERENCE;
    }
  }

  /** Benchmarks the ledger. */
  public static final class Bench extends ErrorReportingCommand {
    @Option(
        name = "--folder",
        metaVar = "FOLDER",
        required = true,
        usage = "a new folder for the ledgers")
    private String folder;

    @Option(name = "--entries", metaVar = "N", usage = "number of entries at full speed")
    private int entries = 200_000;

    @Option(name = "--seconds", metaVar = "N", usage = "duration of each part at a fixed rate")
    private int seconds = 5;

    @Override
    public String description() {
      return """
          lab ledger-bench: measures the loop time of a ledger entry, durable entries a
          second, waits for the commit, and the start after a kill. The larger ledger stays in
          FOLDER/full, for measurements of `ledger export`.""";
    }

    @Override
    protected int execute() throws IOException {
      Path to = Path.of(folder);
      if (Files.exists(to)) {
        throw new InvalidInputException("--folder '" + folder + "' exists; allowed: a new one");
      }
      LedgerBenchmark bench = new LedgerBenchmark(System.out);
      bench.throughput(to.resolve("full"), entries);
      for (String wait : List.of("AT_ONCE", "AFTER_COMMIT")) {
        bench.fixedRate(to.resolve(wait), 500, seconds, wait);
      }
      bench.restart(to.resolve("full"), to.resolve("copy"));
      return 0;
    }
  }
}

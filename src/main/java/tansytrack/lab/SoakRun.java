package tansytrack.lab;

import com.google.protobuf.TextFormat;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import tansytrack.lab.proto.Experiment;
import tansytrack.lab.scale.ModuleFactory;
import tansytrack.settings.InvalidInputException;

/** Runs the experiments of consecutive soak seeds, one after the other. */
public final class SoakRun {

  private static final long MAX_SEEDS = 10_000;
  private static final double NANOS_PER_SECOND = 1e9;

  private final long firstSeed;
  private final long lastSeed;
  private final Path folder;
  private final PrintStream console;
  private final List<Long> failedSeeds = new ArrayList<>();

  private SoakRun(long firstSeed, long lastSeed, Path folder, PrintStream console) {
    this.firstSeed = firstSeed;
    this.lastSeed = lastSeed;
    this.folder = folder;
    this.console = console;
  }

  /**
   * Runs the seeds of a range such as {@code 1..50} or a single one; returns whether all claims
   * hold for each of them. Each seed leaves its experiment and its results in the folder.
   */
  public static boolean run(String seeds, Path folder, ModuleFactory factory, PrintStream console)
      throws IOException, InterruptedException {
    if (!seeds.matches("\\d{1,9}(\\.\\.\\d{1,9})?")) {
      throw new InvalidInputException("--seeds: '" + seeds + "'; allowed: N or N..N");
    }
    String[] ends = seeds.split("\\.\\.");
    long first = Long.parseLong(ends[0]);
    long last = Long.parseLong(ends[ends.length - 1]);
    if (last < first || last - first >= MAX_SEEDS) {
      throw new InvalidInputException(
          "--seeds: '" + seeds + "'; allowed: ascending, at most " + MAX_SEEDS + " seeds");
    }
    return new SoakRun(first, last, folder, console).run(factory);
  }

  private boolean run(ModuleFactory factory) throws IOException, InterruptedException {
    long startNanos = System.nanoTime();
    for (long seed = firstSeed; seed <= lastSeed; seed++) {
      runSeed(seed, factory);
      long done = seed - firstSeed + 1;
      double secondsPerSeed = (System.nanoTime() - startNanos) / NANOS_PER_SECOND / done;
      console.printf(
          Locale.ROOT,
          "%d of %d seeds done, %d failed, %.0f s left%n",
          done,
          lastSeed - firstSeed + 1,
          failedSeeds.size(),
          secondsPerSeed * (lastSeed - seed));
    }
    failedSeeds.forEach(
        seed ->
            console.println(
                "seed "
                    + seed
                    + " failed; to run it alone: lab run "
                    + experimentFile(seed)
                    + " --seed "
                    + seed));
    return failedSeeds.isEmpty();
  }

  private Path experimentFile(long seed) {
    return folder.resolve("seed-" + seed).resolve("experiment.textproto");
  }

  private void runSeed(long seed, ModuleFactory factory) throws IOException, InterruptedException {
    Experiment experiment = SoakSchedule.experiment(seed);
    Path file = experimentFile(seed);
    Files.createDirectories(file.getParent());
    Files.writeString(file, TextFormat.printer().printToString(experiment));
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    boolean held;
    try (PrintStream out = new PrintStream(output, true, StandardCharsets.UTF_8)) {
      held = ExperimentRunner.run(experiment, seed, file.getParent(), factory, out);
    } catch (IOException e) {
      console.println("seed " + seed + ": " + e);
      held = false;
    }
    if (!held) {
      failedSeeds.add(seed);
      console.println("seed " + seed + ":\n" + output.toString(StandardCharsets.UTF_8));
    }
  }
}

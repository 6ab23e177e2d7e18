package tansytrack.lab.footprint;

import java.nio.file.Files;
import java.nio.file.Path;
import tansytrack.settings.InvalidInputException;

/**
 * The options of a footprint measurement.
 *
 * @param managers number of manager processes
 * @param engines number of engines in the engine list
 * @param siblings the manager count in the settings of each process; 0: the number of processes
 * @param settleSeconds time between the last start and the first reading
 * @param seconds duration of each of the idle and the load measurement
 * @param rate statements a second for each manager in the load measurement; 0: no load
 * @param jar the jar to run the processes from; null: the class path of this program
 * @param jvmFlags JVM flags of the processes
 */
public record FootprintOptions(
    int managers,
    int engines,
    int siblings,
    int settleSeconds,
    int seconds,
    int rate,
    String jar,
    String jvmFlags) {

  /**
   * The JVM flags of the {@code run} line in deploy/balancer.toml, except that for the class data
   * sharing archive.
   */
  public static final String RUN_LINE_FLAGS =
      "-XX:+ExitOnOutOfMemoryError -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData"
          + " -Xshare:auto -Xms48m -Xmx64m -Xss512k -XX:MaxMetaspaceSize=24m"
          + " -XX:ReservedCodeCacheSize=16m -XX:MaxDirectMemorySize=8m"
          + " -Djdk.nio.maxCachedBufferSize=32768";

  private static final int MOST_MANAGERS = 200;
  private static final int MOST_ENGINES = 20_000;
  private static final int MOST_SIBLINGS = 100_000;
  private static final int MOST_SECONDS = 600;
  private static final int MOST_RATE = 2000;

  /** Validates the options; a failure names the option, its value and what is allowed. */
  public FootprintOptions {
    bounded("--managers", managers, 1, MOST_MANAGERS);
    bounded("--engines", engines, 1, MOST_ENGINES);
    bounded("--siblings", siblings, 0, MOST_SIBLINGS);
    bounded("--settle", settleSeconds, 0, MOST_SECONDS);
    bounded("--seconds", seconds, 1, MOST_SECONDS);
    bounded("--rate", rate, 0, MOST_RATE);
    if (jar != null && !Files.isRegularFile(Path.of(jar))) {
      throw new InvalidInputException("--jar '" + jar + "'; allowed: a file that exists");
    }
    if (jvmFlags.isBlank()) {
      throw new InvalidInputException(
          "--jvm ''; allowed: flags of the java command, separated by blanks");
    }
  }

  private static void bounded(String option, int value, int least, int most) {
    if (value < least || value > most) {
      throw new InvalidInputException(
          option + " '" + value + "'; allowed: " + least + " to " + most);
    }
  }

  /** The manager count that each process is configured with, itself included. */
  int siblingsTold() {
    return siblings == 0 ? managers : siblings;
  }
}

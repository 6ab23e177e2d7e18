package tansytrack.lab.footprint;

import java.nio.file.Files;
import java.nio.file.Path;
import tansytrack.settings.InvalidInputException;

/**
 * The options of a footprint measurement.
 *
 * @param managers number of manager processes
 * @param engines number of engines in the engine list
 * @param configuredManagerCount the manager count in the settings of each process; 0: the number of
 *     processes
 * @param settleSeconds time between the last start and the first reading
 * @param seconds duration of each of the idle and the load measurement
 * @param rate statements a second for each manager in the load measurement; 0: no load
 * @param jar the jar to run the processes from; null: the class path of this program
 * @param jvmFlags JVM flags of the processes
 */
public record FootprintOptions(
    int managers,
    int engines,
    int configuredManagerCount,
    int settleSeconds,
    int seconds,
    int rate,
    String jar,
    String jvmFlags) {

  /**
   * The JVM flags of the {@code run} line in deploy/balancer.toml, except that for the class data
   * sharing archive.
   */
  public static final String DEPLOYED_JVM_FLAGS =
      "-XX:+ExitOnOutOfMemoryError -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData"
          + " -Xshare:auto -Xms48m -Xmx64m -Xss512k -XX:MaxMetaspaceSize=24m"
          + " -XX:ReservedCodeCacheSize=16m -XX:MaxDirectMemorySize=8m"
          + " -Djdk.nio.maxCachedBufferSize=32768";

  private static final int MAX_MANAGERS = 200;
  private static final int MAX_ENGINES = 20_000;
  private static final int MAX_CONFIGURED_MANAGER_COUNT = 100_000;
  private static final int MAX_SECONDS = 600;
  private static final int MAX_STATEMENTS_PER_SECOND = 2000;

  /** Validates the options; a failure names the option, its value and what is allowed. */
  public FootprintOptions {
    requireInRange("--managers", managers, 1, MAX_MANAGERS);
    requireInRange("--engines", engines, 1, MAX_ENGINES);
    requireInRange("--siblings", configuredManagerCount, 0, MAX_CONFIGURED_MANAGER_COUNT);
    requireInRange("--settle", settleSeconds, 0, MAX_SECONDS);
    requireInRange("--seconds", seconds, 1, MAX_SECONDS);
    requireInRange("--rate", rate, 0, MAX_STATEMENTS_PER_SECOND);
    if (jar != null && !Files.isRegularFile(Path.of(jar))) {
      throw new InvalidInputException("--jar '" + jar + "'; allowed: a file that exists");
    }
    if (jvmFlags.isBlank()) {
      throw new InvalidInputException(
          "--jvm ''; allowed: flags of the java command, separated by blanks");
    }
  }

  private static void requireInRange(String option, int value, int min, int max) {
    if (value < min || value > max) {
      throw new InvalidInputException(option + " '" + value + "'; allowed: " + min + " to " + max);
    }
  }

  /** The manager count that each process is configured with, itself included. */
  int effectiveManagerCount() {
    return configuredManagerCount == 0 ? managers : configuredManagerCount;
  }
}

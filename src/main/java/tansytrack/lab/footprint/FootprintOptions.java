package tansytrack.lab.footprint;

import java.nio.file.Files;
import java.nio.file.Path;
import tansytrack.settings.InvalidInputException;

/**
 * What is measured.
 *
 * @param managers processes
 * @param engines listed
 * @param siblings managers that each process reckons with; 0: as many as there are processes
 * @param settleSeconds between the last start and the first reading
 * @param seconds of each reading
 * @param rate statements a second that each manager gets in the reading under load; 0: none
 * @param jar that the processes run from; null: this program
 * @param jvmFlags of the processes
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

  /** The flags of the `run` line in deploy/balancer.toml, without the class-data archive. */
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

  /** Refuses what is out of bounds, with the option, the value and what is allowed. */
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
          "--jvm ''; allowed: flags of the java command, apart by blanks");
    }
  }

  private static void requireInRange(String option, int value, int min, int max) {
    if (value < min || value > max) {
      throw new InvalidInputException(option + " '" + value + "'; allowed: " + min + " to " + max);
    }
  }

  /** How many managers each process is told to share the engines with, itself among them. */
  int effectiveManagerCount() {
    return configuredManagerCount == 0 ? managers : configuredManagerCount;
  }
}

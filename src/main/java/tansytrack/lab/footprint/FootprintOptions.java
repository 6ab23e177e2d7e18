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
    int siblings,
    int settleSeconds,
    int seconds,
    int rate,
    String jar,
    String jvmFlags) {

  /** The flags of the `run` line in deploy/balancer.toml, without the class-data archive. */
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

  /** Refuses what is out of bounds, with the option, the value and what is allowed. */
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
          "--jvm ''; allowed: flags of the java command, apart by blanks");
    }
  }

  private static void bounded(String option, int value, int least, int most) {
    if (value < least || value > most) {
      throw new InvalidInputException(
          option + " '" + value + "'; allowed: " + least + " to " + most);
    }
  }

  /** How many managers each process is told to share the engines with, itself among them. */
  int siblingsTold() {
    return siblings == 0 ? managers : siblings;
  }
}

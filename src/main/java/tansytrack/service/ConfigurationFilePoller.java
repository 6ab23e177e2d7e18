package tansytrack.service;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;
import org.tinylog.Logger;

/**
 * Looks at the configuration file in place of SIGHUP. Guards against a start under nohup or the
 * like: a signal that was ignored when a JVM started stays ignored, so that a manager would go on
 * asking a command channel that has moved, and send to engines drained since. Harm: a file that is
 * replaced is taken without a word from whoever replaced it.
 */
final class ConfigurationFilePoller implements Runnable {

  private static final long POLL_INTERVAL_NANOS =
      250_000_000L; // between two looks; the platform counts 4 s from the signal on

  private final Path path;
  private final Runnable onChange;
  private List<Object> lastFingerprint;

  /** What changes from now on counts. */
  ConfigurationFilePoller(String path, Runnable changed) {
    this.path = Path.of(path);
    this.onChange = changed;
    lastFingerprint = fingerprint();
  }

  /** What tells one state of the file from the next; empty where there is none. */
  private List<Object> fingerprint() {
    try {
      BasicFileAttributes now = Files.readAttributes(path, BasicFileAttributes.class);
      return List.of(now.lastModifiedTime(), now.size(), String.valueOf(now.fileKey()));
    } catch (IOException e) {
      return List.of();
    }
  }

  void start() {
    Logger.warn(
        "SIGHUP was ignored when this program was started (nohup?) and stays so; {} is looked at"
            + " every {} ms instead",
        path,
        POLL_INTERVAL_NANOS / 1_000_000L);
    Thread thread = new Thread(this, "looks");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void run() {
    try {
      while (true) {
        ConfigFile.sleepNanos(POLL_INTERVAL_NANOS);
        List<Object> now = fingerprint();
        if (!now.equals(lastFingerprint)) {
          lastFingerprint = now;
          if (!now.isEmpty()) {
            onChange.run();
          }
        }
      }
    } catch (IOException e) {
      // told to end
    }
  }
}

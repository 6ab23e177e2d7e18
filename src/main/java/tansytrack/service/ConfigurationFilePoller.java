package tansytrack.service;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;
import org.tinylog.Logger;

/**
 * Polls the configuration file, in place of SIGHUP, when the process was started under nohup or the
 * like. A signal that is ignored when a JVM starts stays ignored, so the manager would keep polling
 * a command channel that has moved, and send to engines drained since. The disadvantage: a replaced
 * file takes effect without a signal from the operator.
 */
final class ConfigurationFilePoller implements Runnable {

  /** Far below the 4 s after the signal in which the platform expects the change to take effect. */
  private static final long POLL_INTERVAL_NANOS = 250_000_000L;

  private final Path path;
  private final Runnable onChange;
  private List<Object> lastFingerprint;

  /** Creates a poller that reports changes of the file from now on. */
  ConfigurationFilePoller(String path, Runnable onChange) {
    this.path = Path.of(path);
    this.onChange = onChange;
    lastFingerprint = fingerprint();
  }

  /** Returns attributes that differ between versions of the file; empty if it does not exist. */
  private List<Object> fingerprint() {
    try {
      BasicFileAttributes attributes = Files.readAttributes(path, BasicFileAttributes.class);
      return List.of(
          attributes.lastModifiedTime(), attributes.size(), String.valueOf(attributes.fileKey()));
    } catch (IOException e) {
      return List.of();
    }
  }

  /** Starts polling on a daemon thread. */
  void start() {
    Logger.warn(
        "SIGHUP was ignored when this process was started (nohup?) and stays ignored; {} is polled"
            + " every {} ms instead",
        path,
        POLL_INTERVAL_NANOS / 1_000_000L);
    Thread thread = new Thread(this, "config-poller");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void run() {
    try {
      while (true) {
        ConfigFile.sleepNanos(POLL_INTERVAL_NANOS);
        List<Object> current = fingerprint();
        if (!current.equals(lastFingerprint)) {
          lastFingerprint = current;
          if (!current.isEmpty()) {
            onChange.run();
          }
        }
      }
    } catch (IOException e) {
      // interrupted: the process is exiting
    }
  }
}

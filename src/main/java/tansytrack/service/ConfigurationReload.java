package tansytrack.service;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.tinylog.Logger;
import tansytrack.settings.InvalidInputException;

/**
 * Reloads the configuration on SIGHUP. The file is read on the thread that the JVM starts for each
 * signal; the results are handed to the event loop in the order read. The last complete file wins:
 * signals that arrive while the file is being read cause one more read after it, however many there
 * are.
 */
final class ConfigurationReload {

  /**
   * How long an incomplete file is read again; the platform expects the change to take effect
   * within 4 s.
   */
  static final long READ_TIMEOUT_NANOS = 2_000_000_000L;

  private final ConfigFile file;
  private final AtomicBoolean readPending = new AtomicBoolean();

  /** Receives configurations; null until a manager listens. */
  private Consumer<ConfigFile.LoadedConfig> consumer;

  /** Whether a signal arrived while there was no consumer. */
  private boolean missedSignal;

  ConfigurationReload(ConfigFile file) {
    this.file = file;
  }

  /** Reads the file and hands it on; called on the thread of a signal or of the poller. */
  void onSignal() {
    if (readPending.getAndSet(true)) {
      return; // another thread waits to read the file, and will see this change as well
    }
    synchronized (this) {
      readPending.set(false);
      if (consumer == null) {
        missedSignal = true;
        return;
      }
      try {
        consumer.accept(file.read(System.nanoTime() + READ_TIMEOUT_NANOS));
      } catch (IOException | InvalidInputException e) {
        Logger.warn(
            "the new configuration cannot be used, the old one stays in effect: {}",
            e.getMessage());
      }
    }
  }

  /**
   * Sets the consumer of new configurations. If a signal arrived before, the file is read now, on a
   * new thread.
   */
  void setConsumer(Consumer<ConfigFile.LoadedConfig> newConsumer) {
    synchronized (this) {
      consumer = newConsumer;
      if (!missedSignal) {
        return;
      }
    }
    Thread thread = new Thread(this::onSignal, "config-reload");
    thread.setDaemon(true);
    thread.start();
  }
}

package tansytrack.service;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.tinylog.Logger;
import tansytrack.settings.InvalidInputException;

/**
 * What SIGHUP sets off, on the thread that the machine starts for each signal: the file is read
 * there, the loop gets what was made of it, in the order read. The last whole file wins: a signal
 * that comes while the file is being read has it read once more behind that, however many come.
 */
final class ConfigurationReload {

  static final long READ_TIMEOUT_NANOS =
      2_000_000_000L; // for a file that is not settled; the platform counts 4 s

  private final ConfigFile file;
  private final AtomicBoolean readPending = new AtomicBoolean();
  private Consumer<ConfigFile.LoadedConfig> consumer; // null until there is a manager
  private boolean missedSignal;

  ConfigurationReload(ConfigFile file) {
    this.file = file;
  }

  void onSignal() {
    if (readPending.getAndSet(true)) {
      return; // one that waits its turn will read what this one asks for
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
        Logger.warn("the new configuration cannot be used, the old one stays: {}", e.getMessage());
      }
    }
  }

  /**
   * From here on there is a manager that can take a new one; what was signalled before is made up
   * for.
   */
  void setConsumer(Consumer<ConfigFile.LoadedConfig> manager) {
    synchronized (this) {
      consumer = manager;
      if (!missedSignal) {
        return;
      }
    }
    Thread thread = new Thread(this::onSignal, "reread");
    thread.setDaemon(true);
    thread.start();
  }
}

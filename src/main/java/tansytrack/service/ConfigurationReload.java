package tansytrack.service;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.tinylog.Logger;
import tansytrack.settings.Unusable;

/**
 * What SIGHUP sets off, on the thread that the machine starts for each signal: the file is read
 * there, the loop gets what was made of it, in the order read. The last whole file wins: a signal
 * that comes while the file is being read has it read once more behind that, however many come.
 */
final class ConfigurationReload {

  static final long PATIENCE =
      2_000_000_000L; // for a file that is not settled; the platform counts 4 s

  private final ConfigFile file;
  private final AtomicBoolean asked = new AtomicBoolean();
  private Consumer<ConfigFile.Whole> to; // null until there is a manager
  private boolean missed;

  ConfigurationReload(ConfigFile file) {
    this.file = file;
  }

  void signalled() {
    if (asked.getAndSet(true)) {
      return; // one that waits its turn will read what this one asks for
    }
    synchronized (this) {
      asked.set(false);
      if (to == null) {
        missed = true;
        return;
      }
      try {
        to.accept(file.read(System.nanoTime() + PATIENCE));
      } catch (IOException | Unusable e) {
        Logger.warn("the new configuration cannot be used, the old one stays: {}", e.getMessage());
      }
    }
  }

  /**
   * From here on there is a manager that can take a new one; what was signalled before is made up
   * for.
   */
  void to(Consumer<ConfigFile.Whole> manager) {
    synchronized (this) {
      to = manager;
      if (!missed) {
        return;
      }
    }
    Thread thread = new Thread(this::signalled, "reread");
    thread.setDaemon(true);
    thread.start();
  }
}

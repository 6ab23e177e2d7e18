package tansytrack.service;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import org.tinylog.Logger;
import tansytrack.settings.Config;
import tansytrack.settings.Unusable;
import tansytrack.wire.Json;
import tansytrack.wire.Junk;

/**
 * The configuration file, which may be replaced by others while managers start and run. While it is
 * missing, empty, truncated or changing, it is read again until a timeout; a wrong value in a
 * complete file is an error at once. The disadvantage: a file that stays missing or truncated is
 * reported only after the timeout.
 */
final class ConfigFile {

  private static final long MS = 1_000_000L;

  /** Time between two attempts to read the file. */
  private static final long PAUSE = 20 * MS;

  private final Path path;

  ConfigFile(String path) {
    if (path == null || path.isEmpty()) {
      throw new Unusable("ROUTER_CONFIG names no configuration");
    }
    this.path = Path.of(path);
  }

  /**
   * A configuration that was read completely, with the resolved address of the command channel, and
   * the file and its size for error messages.
   */
  record Whole(Config config, InetSocketAddress channel, String from) {}

  /** The file cannot be used now, but may be complete a moment later. */
  static final class Unsettled extends IOException {
    private static final long serialVersionUID = 1L;

    Unsettled(String what) {
      super(what);
    }
  }

  /**
   * Reads the file, repeatedly while it is incomplete, until `until`, a value of {@link
   * System#nanoTime}.
   */
  Whole read(long until) throws IOException {
    boolean said = false;
    while (true) {
      try {
        return readOnce();
      } catch (Unsettled e) {
        long left = until - System.nanoTime();
        if (left <= 0) {
          throw e;
        }
        if (!said) {
          said = true;
          Logger.warn("{}; retrying for up to {} ms", e.getMessage(), left / MS);
        }
        nap(Math.min(PAUSE, left));
      }
    }
  }

  /** Sleeps; must not be called by the event loop's thread. */
  static void nap(long time) throws IOException {
    try {
      Thread.sleep(time / MS, (int) (time % MS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while waiting", e);
    }
  }

  /**
   * Reads the file once. Throws {@link Unsettled} if the file is missing, empty, truncated or
   * changing, and another exception if its content is wrong or it may not be read.
   */
  Whole readOnce() throws IOException {
    BasicFileAttributes before;
    byte[] bytes;
    BasicFileAttributes after;
    try {
      before = Files.readAttributes(path, BasicFileAttributes.class);
      if (before.isDirectory()) {
        throw new Unusable(path + " is a directory");
      }
      bytes = Files.readAllBytes(path);
      after = Files.readAttributes(path, BasicFileAttributes.class);
    } catch (NoSuchFileException e) {
      throw new Unsettled(path + " is missing");
    } catch (AccessDeniedException e) {
      throw new Unusable(path + " cannot be read: permission denied");
    } catch (IOException e) {
      throw new Unsettled(path + " cannot be read: " + e.getMessage());
    }
    String what = path + " (" + bytes.length + " bytes)";
    if (bytes.length == 0) {
      throw new Unsettled(what + " is empty");
    }
    try {
      Config config = Config.of(Json.read(bytes));
      address("listen", config.listen());
      return new Whole(config, address("channel", config.channel()), what);
    } catch (Junk e) {
      throw unusable(what, e, e.cutOff(), before, after, bytes.length);
    } catch (Unusable e) {
      throw unusable(what, e, false, before, after, bytes.length);
    }
  }

  /** Returns the error of a file that may be whole later; throws that of a file that is wrong. */
  private static IOException unusable(
      String what,
      Exception why,
      boolean cutOff,
      BasicFileAttributes before,
      BasicFileAttributes after,
      int size) {
    if (cutOff) {
      return new Unsettled(what + " is truncated: " + why.getMessage());
    }
    if (before.size() != size
        || after.size() != size
        || !before.lastModifiedTime().equals(after.lastModifiedTime())) {
      return new Unsettled(what + " changed while it was read: " + why.getMessage());
    }
    throw new Unusable(what + ": " + why.getMessage());
  }

  private static InetSocketAddress address(String field, String text) {
    try {
      return Service.address(text);
    } catch (Junk e) {
      throw new Unusable(field + ": " + e.getMessage());
    }
  }
}

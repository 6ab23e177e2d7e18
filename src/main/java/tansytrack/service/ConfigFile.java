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
 * The file that holds the configuration, which others replace while managers start and run. Guards
 * against the moment in which it is missing, empty, cut off or changing: it is read again for a
 * while. A wrong value in a whole file is final at once. Harm: where the file is wrong for good in
 * one of those ways, that is said only after the while.
 */
final class ConfigFile {

  private static final long MS = 1_000_000L;
  private static final long PAUSE = 20 * MS; // between two looks

  private final Path path;

  ConfigFile(String path) {
    if (path == null || path.isEmpty()) {
      throw new Unusable("ROUTER_CONFIG names no configuration");
    }
    this.path = Path.of(path);
  }

  /** A configuration that was read whole, where its channel is, and what was read. */
  record Whole(Config config, InetSocketAddress channel, String from) {}

  /** It cannot be used, but may be whole a moment later. */
  static final class Unsettled extends IOException {
    private static final long serialVersionUID = 1L;

    Unsettled(String what) {
      super(what);
    }
  }

  /** Reads it, again and again where it is not settled, until that time of the steady clock. */
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
          Logger.warn("{}; read again for up to {} ms", e.getMessage(), left / MS);
        }
        nap(Math.min(PAUSE, left));
      }
    }
  }

  /** Waits on a thread that is not the loop's. */
  static void nap(long time) throws IOException {
    try {
      Thread.sleep(time / MS, (int) (time % MS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("told to end while waiting", e);
    }
  }

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
      throw new Unusable(path + " may not be read");
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

  private static IOException unusable(
      String what,
      Exception why,
      boolean cutOff,
      BasicFileAttributes before,
      BasicFileAttributes after,
      int size) {
    if (cutOff) {
      return new Unsettled(what + " is cut off: " + why.getMessage());
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

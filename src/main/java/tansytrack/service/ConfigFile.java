package tansytrack.service;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import org.tinylog.Logger;
import tansytrack.settings.InvalidInputException;
import tansytrack.settings.ManagerConfig;
import tansytrack.wire.Json;
import tansytrack.wire.ProtocolException;

/**
 * The file that holds the configuration, which others replace while managers start and run. Guards
 * against the moment in which it is missing, empty, cut off or changing: it is read again for a
 * while. A wrong value in a whole file is final at once. Harm: where the file is wrong for good in
 * one of those ways, that is said only after the while.
 */
final class ConfigFile {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final long RETRY_INTERVAL_NANOS = 20 * NANOS_PER_MS; // between two looks

  private final Path path;

  ConfigFile(String path) {
    if (path == null || path.isEmpty()) {
      throw new InvalidInputException("ROUTER_CONFIG names no configuration");
    }
    this.path = Path.of(path);
  }

  /** A configuration that was read whole, where its channel is, and what was read. */
  record LoadedConfig(ManagerConfig config, InetSocketAddress channel, String source) {}

  /** It cannot be used, but may be whole a moment later. */
  static final class TransientFileException extends IOException {
    private static final long serialVersionUID = 1L;

    TransientFileException(String what) {
      super(what);
    }
  }

  /** Reads it, again and again where it is not settled, until that time of the steady clock. */
  LoadedConfig read(long until) throws IOException {
    boolean said = false;
    while (true) {
      try {
        return readOnce();
      } catch (TransientFileException e) {
        long left = until - System.nanoTime();
        if (left <= 0) {
          throw e;
        }
        if (!said) {
          said = true;
          Logger.warn("{}; read again for up to {} ms", e.getMessage(), left / NANOS_PER_MS);
        }
        sleepNanos(Math.min(RETRY_INTERVAL_NANOS, left));
      }
    }
  }

  /** Waits on a thread that is not the loop's. */
  static void sleepNanos(long time) throws IOException {
    try {
      Thread.sleep(time / NANOS_PER_MS, (int) (time % NANOS_PER_MS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("told to end while waiting", e);
    }
  }

  LoadedConfig readOnce() throws IOException {
    BasicFileAttributes before;
    byte[] bytes;
    BasicFileAttributes after;
    try {
      before = Files.readAttributes(path, BasicFileAttributes.class);
      if (before.isDirectory()) {
        throw new InvalidInputException(path + " is a directory");
      }
      bytes = Files.readAllBytes(path);
      after = Files.readAttributes(path, BasicFileAttributes.class);
    } catch (NoSuchFileException e) {
      throw new TransientFileException(path + " is missing");
    } catch (AccessDeniedException e) {
      throw new InvalidInputException(path + " may not be read");
    } catch (IOException e) {
      throw new TransientFileException(path + " cannot be read: " + e.getMessage());
    }
    String what = path + " (" + bytes.length + " bytes)";
    if (bytes.length == 0) {
      throw new TransientFileException(what + " is empty");
    }
    try {
      ManagerConfig config = ManagerConfig.fromJson(Json.parse(bytes));
      address("listen", config.listenAddress());
      return new LoadedConfig(config, address("channel", config.channelAddress()), what);
    } catch (ProtocolException e) {
      throw transientErrorOrThrow(what, e, e.truncated(), before, after, bytes.length);
    } catch (InvalidInputException e) {
      throw transientErrorOrThrow(what, e, false, before, after, bytes.length);
    }
  }

  private static IOException transientErrorOrThrow(
      String what,
      Exception why,
      boolean cutOff,
      BasicFileAttributes before,
      BasicFileAttributes after,
      int size) {
    if (cutOff) {
      return new TransientFileException(what + " is cut off: " + why.getMessage());
    }
    if (before.size() != size
        || after.size() != size
        || !before.lastModifiedTime().equals(after.lastModifiedTime())) {
      return new TransientFileException(what + " changed while it was read: " + why.getMessage());
    }
    throw new InvalidInputException(what + ": " + why.getMessage());
  }

  private static InetSocketAddress address(String field, String text) {
    try {
      return Service.parseAddress(text);
    } catch (ProtocolException e) {
      throw new InvalidInputException(field + ": " + e.getMessage());
    }
  }
}

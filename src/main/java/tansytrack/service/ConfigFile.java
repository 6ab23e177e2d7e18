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
 * The configuration file, which may be replaced by others while managers start and run. While it is
 * missing, empty, truncated or changing, it is read again until a timeout; a wrong value in a
 * complete file is an error at once. The disadvantage: a file that stays missing or truncated is
 * reported only after the timeout.
 */
final class ConfigFile {

  private static final long NANOS_PER_MS = 1_000_000L;

  /** Time between two attempts to read the file. */
  private static final long RETRY_INTERVAL_NANOS = 20 * NANOS_PER_MS;

  private final Path path;

  ConfigFile(String path) {
    if (path == null || path.isEmpty()) {
      throw new InvalidInputException("ROUTER_CONFIG names no configuration");
    }
    this.path = Path.of(path);
  }

  /**
   * A configuration that was read completely, with the resolved address of the command channel, and
   * the file and its size for error messages.
   */
  record LoadedConfig(ManagerConfig config, InetSocketAddress channel, String source) {}

  /** The file cannot be used now, but may be complete a moment later. */
  static final class TransientFileException extends IOException {
    private static final long serialVersionUID = 1L;

    TransientFileException(String message) {
      super(message);
    }
  }

  /**
   * Reads the file, repeatedly while it is incomplete, until the deadline, which is a value of
   * {@link System#nanoTime}.
   */
  LoadedConfig read(long deadlineNanos) throws IOException {
    boolean warned = false;
    while (true) {
      try {
        return readOnce();
      } catch (TransientFileException e) {
        long remainingNanos = deadlineNanos - System.nanoTime();
        if (remainingNanos <= 0) {
          throw e;
        }
        if (!warned) {
          warned = true;
          Logger.warn(
              "{}; retrying for up to {} ms", e.getMessage(), remainingNanos / NANOS_PER_MS);
        }
        sleepNanos(Math.min(RETRY_INTERVAL_NANOS, remainingNanos));
      }
    }
  }

  /** Sleeps; must not be called by the event loop's thread. */
  static void sleepNanos(long durationNanos) throws IOException {
    try {
      Thread.sleep(durationNanos / NANOS_PER_MS, (int) (durationNanos % NANOS_PER_MS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while waiting", e);
    }
  }

  /**
   * Reads the file once. Throws {@link TransientFileException} if the file is missing, empty,
   * truncated or changing, and another exception if its content is wrong or it may not be read.
   */
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
      throw new InvalidInputException(path + " cannot be read: permission denied");
    } catch (IOException e) {
      throw new TransientFileException(path + " cannot be read: " + e.getMessage());
    }
    String description = path + " (" + bytes.length + " bytes)";
    if (bytes.length == 0) {
      throw new TransientFileException(description + " is empty");
    }
    try {
      ManagerConfig config = ManagerConfig.fromJson(Json.parse(bytes));
      address("listen", config.listenAddress());
      return new LoadedConfig(config, address("channel", config.channelAddress()), description);
    } catch (ProtocolException e) {
      throw transientErrorOrThrow(description, e, e.truncated(), before, after, bytes.length);
    } catch (InvalidInputException e) {
      throw transientErrorOrThrow(description, e, false, before, after, bytes.length);
    }
  }

  /** Returns the error of a file that may be whole later; throws that of a file that is wrong. */
  private static IOException transientErrorOrThrow(
      String description,
      Exception cause,
      boolean truncated,
      BasicFileAttributes before,
      BasicFileAttributes after,
      int size) {
    if (truncated) {
      return new TransientFileException(description + " is cut off: " + cause.getMessage());
    }
    if (before.size() != size
        || after.size() != size
        || !before.lastModifiedTime().equals(after.lastModifiedTime())) {
      return new TransientFileException(
          description + " changed while it was read: " + cause.getMessage());
    }
    throw new InvalidInputException(description + ": " + cause.getMessage());
  }

  private static InetSocketAddress address(String field, String text) {
    try {
      return Service.parseAddress(text);
    } catch (ProtocolException e) {
      throw new InvalidInputException(field + ": " + e.getMessage());
    }
  }
}

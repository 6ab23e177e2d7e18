package tansytrack.ledger.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** The lock file that prevents two managers from writing the same ledger. */
final class LedgerLock {

  private static final String LOCK_FILE = "ledger.lock";
  // A previous process may still be shutting down.
  private static final long LOCK_TIMEOUT_NANOS = 2_000_000_000L;
  private static final long LOCK_RETRY_DELAY_NANOS = 50_000_000L;

  private LedgerLock() {}

  /**
   * Acquires the lock and writes the manager and its process id to the file.
   *
   * @throws IOException if another process keeps the lock; the message has that process
   */
  static FileChannel acquire(Path folder, String manager) throws IOException {
    FileChannel channel =
        FileChannel.open(
            folder.resolve(LOCK_FILE),
            StandardOpenOption.CREATE,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE);
    long deadline = System.nanoTime() + LOCK_TIMEOUT_NANOS;
    try {
      while (true) {
        FileLock lock = tryLock(channel);
        if (lock != null) {
          channel.truncate(0);
          channel.write(
              ByteBuffer.wrap(
                  (manager + ", process " + ProcessHandle.current().pid())
                      .getBytes(StandardCharsets.UTF_8)),
              0);
          return channel;
        }
        if (System.nanoTime() > deadline) {
          ByteBuffer holder = ByteBuffer.allocate(256);
          channel.read(holder, 0);
          throw new IOException(
              folder
                  + " is held by "
                  + new String(holder.array(), 0, holder.position(), StandardCharsets.UTF_8));
        }
        Thread.sleep(LOCK_RETRY_DELAY_NANOS / 1_000_000);
      }
    } catch (IOException | InterruptedException e) {
      channel.close();
      throw e instanceof IOException io ? io : new IOException(e);
    }
  }

  private static FileLock tryLock(FileChannel channel) throws IOException {
    try {
      return channel.tryLock();
    } catch (OverlappingFileLockException e) {
      return null;
    }
  }
}

package tansytrack.ledger.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** The lock file that keeps a second manager from writing the same ledger. */
final class LedgerLock {

  private static final String LOCK_FILE = "ledger.lock";
  private static final long LOCK_TIMEOUT_NANOS =
      2_000_000_000L; // for the process before, which may be ending
  private static final long LOCK_RETRY_DELAY_NANOS = 50_000_000L;

  private LedgerLock() {}

  /** Takes the lock, or fails with the name of the process that holds it. */
  static FileChannel acquire(Path folder, String manager) throws IOException {
    FileChannel channel =
        FileChannel.open(
            folder.resolve(LOCK_FILE),
            StandardOpenOption.CREATE,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE);
    long until = System.nanoTime() + LOCK_TIMEOUT_NANOS;
    try {
      while (true) {
        FileLock held = tryLock(channel);
        if (held != null) {
          channel.truncate(0);
          channel.write(
              ByteBuffer.wrap(
                  (manager + ", process " + ProcessHandle.current().pid())
                      .getBytes(StandardCharsets.UTF_8)),
              0);
          return channel;
        }
        if (System.nanoTime() > until) {
          ByteBuffer text = ByteBuffer.allocate(256);
          channel.read(text, 0);
          throw new IOException(
              folder
                  + " is held by "
                  + new String(text.array(), 0, text.position(), StandardCharsets.UTF_8));
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

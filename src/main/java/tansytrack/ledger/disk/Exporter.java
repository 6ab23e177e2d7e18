package tansytrack.ledger.disk;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.security.DigestOutputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import tansytrack.ledger.ExportSteps;

/**
 * Exports the lines of a ledger as numbered batch files, in the steps given by {@link ExportSteps}.
 * A lock file allows only one export of a ledger at a time.
 */
public final class Exporter {

  private static final String LOCK_FILE = "export.lock";

  private final LedgerStore store;
  private final Path folder;
  private final FaultInjector faults;

  /** Creates an exporter that places the files of a store's batches in a folder. */
  public Exporter(LedgerStore store, Path folder, FaultInjector faults) {
    this.store = store;
    this.folder = folder;
    this.faults = faults;
  }

  /** The name of a batch's file, made of its number and its format. */
  public static String fileName(LedgerStore.Batch batch) {
    return String.format(
        "batch-%08d.%s", batch.number(), ExportFormats.fileExtension(batch.format()));
  }

  /**
   * Completes an interrupted export, then exports all new lines in batches of at most the given
   * number of lines. Returns the last batch placed by this call, or null if there was none.
   */
  public LedgerStore.Batch export(String format, long maxLines, long now) throws IOException {
    Files.createDirectories(folder);
    try (FileChannel channel =
            FileChannel.open(
                store.folder().resolve(LOCK_FILE),
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE);
        FileLock held = lock(channel)) {
      assert held.isValid();
      return runSteps(format, maxLines, now);
    }
  }

  private FileLock lock(FileChannel channel) throws IOException {
    FileLock held = null;
    try {
      held = channel.tryLock();
    } catch (OverlappingFileLockException e) {
      // Another thread of this process holds the lock; reported below.
    }
    if (held == null) {
      throw new IOException("another export of " + store.folder() + " is running");
    }
    return held;
  }

  private LedgerStore.Batch runSteps(String format, long maxLines, long now) throws IOException {
    Progress progress = new Progress();
    while (true) {
      List<LedgerStore.Batch> batches = store.batches();
      LedgerStore.Batch last = batches.isEmpty() ? null : batches.get(batches.size() - 1);
      LedgerStore.Batch open = last != null && last.placedAt() == 0 ? last : null;
      long lastSealedPosition = last == null ? 0 : last.lastPosition();
      ExportSteps.Step step =
          ExportSteps.next(progress.state(open, store.lastPosition() > lastSealedPosition));
      faults.beforeStep(step.name());
      switch (step) {
        case SEAL ->
            progress.temporaryFileHash =
                seal(
                    last == null ? 1 : last.number() + 1,
                    lastSealedPosition + 1,
                    Math.min(store.lastPosition(), lastSealedPosition + maxLines),
                    format,
                    now);
        case DONE -> {
          return progress.lastPlaced;
        }
        default -> progress.perform(step, open, now);
      }
    }
  }

  /**
   * The progress of this process with the open batch. What this process did not write itself is
   * read from the files.
   */
  private final class Progress {
    // The hashes of the temporary and of the final file; null unless this process wrote them.
    private String temporaryFileHash;
    private String finalFileHash;
    private boolean temporaryFileSynced;
    private boolean folderSynced;
    private LedgerStore.Batch lastPlaced;

    ExportSteps.ExportState state(LedgerStore.Batch open, boolean linesLeft) throws IOException {
      return new ExportSteps.ExportState(
          linesLeft,
          open == null ? null : open.sha256(),
          temporaryFileHash != null
              ? temporaryFileHash
              : hash(open == null ? null : temporaryFile(open)),
          temporaryFileSynced,
          finalFileHash != null ? finalFileHash : hash(open == null ? null : finalFile(open)),
          folderSynced);
    }

    void perform(ExportSteps.Step step, LedgerStore.Batch open, long now) throws IOException {
      switch (step) {
        case WRITE -> {
          write(open, temporaryFile(open));
          temporaryFileHash = open.sha256();
        }
        case SYNC -> {
          forceToDisk(temporaryFile(open), StandardOpenOption.WRITE);
          temporaryFileSynced = true;
        }
        case RENAME -> {
          Files.move(
              temporaryFile(open),
              finalFile(open),
              StandardCopyOption.ATOMIC_MOVE,
              StandardCopyOption.REPLACE_EXISTING);
          finalFileHash = temporaryFileHash;
        }
        case SYNC_FOLDER -> {
          forceToDisk(folder, StandardOpenOption.READ);
          folderSynced = true;
        }
        case MARK -> {
          store.markPlaced(open.number(), now);
          Files.deleteIfExists(temporaryFile(open));
          lastPlaced = open;
          temporaryFileHash = null;
          finalFileHash = null;
          temporaryFileSynced = false;
          folderSynced = false;
        }
        default -> throw new IllegalStateException(step.name());
      }
    }
  }

  private Path finalFile(LedgerStore.Batch batch) {
    return folder.resolve(fileName(batch));
  }

  private Path temporaryFile(LedgerStore.Batch batch) {
    return folder.resolve(fileName(batch) + ".tmp");
  }

  /**
   * Writes lines to a temporary file, then stores the range and the hash of the batch. A temporary
   * file without a stored batch is overwritten by the next export.
   */
  private String seal(long number, long first, long last, String format, long now)
      throws IOException {
    LedgerStore.Batch batch = new LedgerStore.Batch(number, first, last, format, "", 0, now, 0, 0);
    try (OutputStream out = Files.newOutputStream(folder.resolve(fileName(batch) + ".tmp"))) {
      Sha256OutputStream hashing = new Sha256OutputStream(out);
      ExportFormats.writeBatch(store, number, first, last, format, hashing);
      store.addBatch(
          new LedgerStore.Batch(
              number, first, last, format, hashing.hex(), hashing.size, now, 0, 0));
      return hashing.hex();
    }
  }

  private void write(LedgerStore.Batch batch, Path file) throws IOException {
    try (OutputStream out = Files.newOutputStream(file)) {
      Sha256OutputStream hashing = new Sha256OutputStream(out);
      ExportFormats.writeBatch(
          store,
          batch.number(),
          batch.firstPosition(),
          batch.lastPosition(),
          batch.format(),
          hashing);
      if (!hashing.hex().equals(batch.sha256())) {
        throw new IOException(
            "batch "
                + batch.number()
                + " was sealed with SHA-256 "
                + batch.sha256()
                + ", but that of its lines now is "
                + hashing.hex()
                + ": the ledger is damaged");
      }
    }
  }

  /** Writes the file of a batch that was placed before again, with the same bytes. */
  public void exportAgain(long number) throws IOException {
    for (LedgerStore.Batch batch : store.batches()) {
      if (batch.number() == number && batch.placedAt() > 0) {
        Path temporaryFile = folder.resolve(fileName(batch) + ".tmp");
        Files.createDirectories(folder);
        write(batch, temporaryFile);
        forceToDisk(temporaryFile, StandardOpenOption.WRITE);
        Files.move(
            temporaryFile,
            folder.resolve(fileName(batch)),
            StandardCopyOption.ATOMIC_MOVE,
            StandardCopyOption.REPLACE_EXISTING);
        forceToDisk(folder, StandardOpenOption.READ);
        return;
      }
    }
    throw new IllegalArgumentException(
        "batch " + number + " does not exist, or was not yet placed");
  }

  /** Computes the hash of a batch from its lines as they are now. */
  public static String hash(LedgerStore store, LedgerStore.Batch batch) throws IOException {
    Sha256OutputStream hashing = new Sha256OutputStream(OutputStream.nullOutputStream());
    ExportFormats.writeBatch(
        store,
        batch.number(),
        batch.firstPosition(),
        batch.lastPosition(),
        batch.format(),
        hashing);
    return hashing.hex();
  }

  private static void forceToDisk(Path path, StandardOpenOption option) throws IOException {
    try (FileChannel channel = FileChannel.open(path, option)) {
      channel.force(true);
    }
  }

  /** Computes the hash of a file; null if there is no such file. */
  static String hash(Path file) throws IOException {
    if (file == null || !Files.exists(file)) {
      return null;
    }
    Sha256OutputStream hashing = new Sha256OutputStream(OutputStream.nullOutputStream());
    try (InputStream in = Files.newInputStream(file)) {
      in.transferTo(hashing);
    }
    return hashing.hex();
  }

  /** Hashes and counts the bytes that are written to it. */
  static final class Sha256OutputStream extends DigestOutputStream {
    private long size;
    // Set by the first call of hex(); nothing may be written after that.
    private String hex;

    Sha256OutputStream(OutputStream to) {
      super(to, sha256());
    }

    private static MessageDigest sha256() {
      try {
        return MessageDigest.getInstance("SHA-256");
      } catch (NoSuchAlgorithmException e) {
        throw new IllegalStateException(e);
      }
    }

    @Override
    public void write(int octet) throws IOException {
      super.write(octet);
      size++;
    }

    @Override
    public void write(byte[] from, int off, int len) throws IOException {
      super.write(from, off, len);
      size += len;
    }

    String hex() {
      if (hex == null) {
        hex = HexFormat.of().formatHex(digest.digest());
      }
      return hex;
    }
  }
}

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
 * Exports the lines of a ledger as numbered batch files, in the steps given by {@link ExportSteps}. A
 * lock file allows only one export of a ledger at a time.
 */
public final class Exporter {

  private static final String LOCK = "export.lock";

  private final Store store;
  private final Path folder;
  private final Faults faults;

  /** Creates an exporter that places the files of a store's batches in a folder. */
  public Exporter(Store store, Path folder, Faults faults) {
    this.store = store;
    this.folder = folder;
    this.faults = faults;
  }

  /** The name of a batch's file, made of its number and its format. */
  public static String name(Store.Batch batch) {
    return String.format("batch-%08d.%s", batch.number(), Forms.suffix(batch.form()));
  }

  /**
   * Completes an interrupted export, then exports all new lines in batches of at most the given
   * number of lines. Returns the last batch placed by this call, or null if there was none.
   */
  public Store.Batch run(String form, long most, long now) throws IOException {
    Files.createDirectories(folder);
    try (FileChannel channel =
            FileChannel.open(
                store.folder().resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock held = lock(channel)) {
      assert held.isValid();
      return steps(form, most, now);
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

  private Store.Batch steps(String form, long most, long now) throws IOException {
    Progress progress = new Progress();
    while (true) {
      List<Store.Batch> batches = store.batches();
      Store.Batch last = batches.isEmpty() ? null : batches.get(batches.size() - 1);
      Store.Batch open = last != null && last.placedAt() == 0 ? last : null;
      long behind = last == null ? 0 : last.last();
      ExportSteps.Step step = ExportSteps.next(progress.found(open, store.last() > behind));
      faults.before(step.name());
      switch (step) {
        case SEAL ->
            progress.written =
                seal(
                    last == null ? 1 : last.number() + 1,
                    behind + 1,
                    Math.min(store.last(), behind + most),
                    form,
                    now);
        case DONE -> {
          return progress.placed;
        }
        default -> progress.take(step, open, now);
      }
    }
  }

  /**
   * The progress of this process with the open batch. What this process did not write itself is read
   * from the files.
   */
  private final class Progress {
    // The hashes of the temporary and of the final file; null unless this process wrote them.
    private String written;
    private String moved;
    private boolean synced;
    private boolean folderSynced;
    private Store.Batch placed;

    ExportSteps.Found found(Store.Batch open, boolean linesLeft) throws IOException {
      return new ExportSteps.Found(
          linesLeft,
          open == null ? null : open.sha(),
          written != null ? written : hash(open == null ? null : temporary(open)),
          synced,
          moved != null ? moved : hash(open == null ? null : place(open)),
          folderSynced);
    }

    void take(ExportSteps.Step step, Store.Batch open, long now) throws IOException {
      switch (step) {
        case WRITE -> {
          write(open, temporary(open));
          written = open.sha();
        }
        case SYNC -> {
          sync(temporary(open), StandardOpenOption.WRITE);
          synced = true;
        }
        case RENAME -> {
          Files.move(
              temporary(open),
              place(open),
              StandardCopyOption.ATOMIC_MOVE,
              StandardCopyOption.REPLACE_EXISTING);
          moved = written;
        }
        case SYNC_FOLDER -> {
          sync(folder, StandardOpenOption.READ);
          folderSynced = true;
        }
        case MARK -> {
          store.placed(open.number(), now);
          Files.deleteIfExists(temporary(open));
          placed = open;
          written = null;
          moved = null;
          synced = false;
          folderSynced = false;
        }
        default -> throw new IllegalStateException(step.name());
      }
    }
  }

  private Path place(Store.Batch batch) {
    return folder.resolve(name(batch));
  }

  private Path temporary(Store.Batch batch) {
    return folder.resolve(name(batch) + ".tmp");
  }

  /**
   * Writes lines to a temporary file, then stores the range and the hash of the batch. A temporary
   * file without a stored batch is overwritten by the next export.
   */
  private String seal(long number, long first, long last, String form, long now)
      throws IOException {
    Store.Batch batch = new Store.Batch(number, first, last, form, "", 0, now, 0, 0);
    try (OutputStream out = Files.newOutputStream(folder.resolve(name(batch) + ".tmp"))) {
      Sha sha = new Sha(out);
      Forms.write(store, number, first, last, form, sha);
      store.seal(new Store.Batch(number, first, last, form, sha.hex(), sha.size, now, 0, 0));
      return sha.hex();
    }
  }

  private void write(Store.Batch batch, Path to) throws IOException {
    try (OutputStream out = Files.newOutputStream(to)) {
      Sha sha = new Sha(out);
      Forms.write(store, batch.number(), batch.first(), batch.last(), batch.form(), sha);
      if (!sha.hex().equals(batch.sha())) {
        throw new IOException(
            "batch "
                + batch.number()
                + " was sealed with SHA-256 "
                + batch.sha()
                + ", but that of its lines now is "
                + sha.hex()
                + ": the ledger is damaged");
      }
    }
  }

  /** Writes the file of a batch that was placed before again, with the same bytes. */
  public void again(long number) throws IOException {
    for (Store.Batch batch : store.batches()) {
      if (batch.number() == number && batch.placedAt() > 0) {
        Path temporary = folder.resolve(name(batch) + ".tmp");
        Files.createDirectories(folder);
        write(batch, temporary);
        sync(temporary, StandardOpenOption.WRITE);
        Files.move(
            temporary,
            folder.resolve(name(batch)),
            StandardCopyOption.ATOMIC_MOVE,
            StandardCopyOption.REPLACE_EXISTING);
        sync(folder, StandardOpenOption.READ);
        return;
      }
    }
    throw new IllegalArgumentException(
        "batch " + number + " does not exist, or was not yet placed");
  }

  /** Computes the hash of a batch from its lines as they are now. */
  public static String hash(Store store, Store.Batch batch) throws IOException {
    Sha sha = new Sha(OutputStream.nullOutputStream());
    Forms.write(store, batch.number(), batch.first(), batch.last(), batch.form(), sha);
    return sha.hex();
  }

  private static void sync(Path what, StandardOpenOption how) throws IOException {
    try (FileChannel channel = FileChannel.open(what, how)) {
      channel.force(true);
    }
  }

  /** Computes the hash of a file; null if there is no such file. */
  static String hash(Path file) throws IOException {
    if (file == null || !Files.exists(file)) {
      return null;
    }
    Sha sha = new Sha(OutputStream.nullOutputStream());
    try (InputStream in = Files.newInputStream(file)) {
      in.transferTo(sha);
    }
    return sha.hex();
  }

  /** Hashes and counts the bytes that are written to it. */
  static final class Sha extends DigestOutputStream {
    private long size;
    // Set by the first call of hex(); nothing may be written after that.
    private String hex;

    Sha(OutputStream to) {
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

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

/** Does the steps of an export as {@link ExportSteps} says; one export of a ledger at a time. */
public final class Exporter {

  private static final String LOCK = "export.lock";

  private final Store store;
  private final Path folder;
  private final Faults faults;

  /** Exports a store's lines as files into a folder. */
  public Exporter(Store store, Path folder, Faults faults) {
    this.store = store;
    this.folder = folder;
    this.faults = faults;
  }

  /** The name of a batch's file, which has its number and form. */
  public static String name(Store.Batch batch) {
    return String.format("batch-%08d.%s", batch.number(), Forms.suffix(batch.form()));
  }

  /**
   * Finishes what was begun, then seals and places what is new, at most so many lines a batch.
   * Gives the last batch placed, or null.
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
      // said below
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

  /** How far this process has come with the open batch; what it did not do itself is looked up. */
  private final class Progress {
    private String written; // the hash of the temporary file, where this process wrote it
    private String moved; // and of the file in place
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
   * Writes the lines to the temporary file and fixes range and hash; before that the file counts
   * for nothing.
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
                + " was sealed as "
                + batch.sha()
                + " and its lines now give "
                + sha.hex()
                + ": the ledger is damaged");
      }
    }
  }

  /** Writes a batch that was placed before once more, as the same bytes. */
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

  /** The hash that a batch's lines give now. */
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

  /** Hashes and counts what goes through. */
  static final class Sha extends DigestOutputStream {
    private long size;
    private String hex; // once it is asked for, nothing more may come

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

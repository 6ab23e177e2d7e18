package tansytrack.ledger;

/**
 * Derives the next step of an export from the state of the store and the files. After a crash
 * between any two steps the next step is derived in the same way, so that no line is skipped and no
 * batch number is used twice. Sealing a batch fixes its range of positions and the hash of its
 * bytes in the store. Nobody is told of a batch's file before the batch is marked as placed, so a
 * file whose bytes differ from the sealed ones can be written again.
 */
public final class ExportSteps {

  /** The steps of exporting one batch, in their order. */
  public enum Step {
    SEAL,
    WRITE,
    SYNC,
    RENAME,
    SYNC_FOLDER,
    MARK,
    DONE
  }

  /**
   * The state of an export.
   *
   * @param hasNewLines whether the store has lines after the last batch
   * @param sealedHash the hash of the batch that is sealed and not marked as placed; null if there
   *     is none
   * @param temporaryFileHash the hash of its temporary file; null if there is no such file
   * @param temporaryFileSynced whether this process forced the temporary file to the disk
   * @param finalFileHash the hash of its file under the final name; null if there is no such file
   * @param folderSynced whether this process forced the folder to the disk after the renaming
   */
  public record ExportState(
      boolean hasNewLines,
      String sealedHash,
      String temporaryFileHash,
      boolean temporaryFileSynced,
      String finalFileHash,
      boolean folderSynced) {}

  private ExportSteps() {}

  /** Returns the next step. */
  public static Step next(ExportState found) {
    if (found.sealedHash == null) {
      return found.hasNewLines ? Step.SEAL : Step.DONE;
    }
    if (found.sealedHash.equals(found.finalFileHash)) {
      return found.folderSynced ? Step.MARK : Step.SYNC_FOLDER;
    }
    if (!found.sealedHash.equals(found.temporaryFileHash)) {
      return Step.WRITE;
    }
    return found.temporaryFileSynced ? Step.RENAME : Step.SYNC;
  }
}

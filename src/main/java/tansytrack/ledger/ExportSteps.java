package tansytrack.ledger;

/**
 * The steps of an export, from what is found: a crash between any two is followed by the same
 * question, so nothing is skipped and nothing numbered twice. A sealed batch is fixed in the store,
 * by its range of positions and the hash of its bytes; until it is marked as placed nobody was told
 * of its file, so a file that is not the sealed bytes is written anew.
 */
public final class ExportSteps {

  /** What to do next with one batch, in the order of their happening. */
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
   * What there is: lines behind the last batch; the hash of a batch that is sealed and not yet
   * marked (null: none); the hash of its temporary file and of its file in place (null: no file);
   * and what was synced since the start.
   */
  public record ExportState(
      boolean hasNewLines,
      String sealedHash,
      String temporaryFileHash,
      boolean temporaryFileSynced,
      String finalFileHash,
      boolean folderSynced) {}

  private ExportSteps() {}

  /** The step that follows from what is found on disk and in the store. */
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

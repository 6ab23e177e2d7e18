package tansytrack.ledger;

/**
 * Checks the invariants of a ledger while its lines are read in the order of their positions, and
 * keeps the first violation. Positions run from 1 without a missing one, the times of each task are
 * in order, no complete task has a forward in flight, and batches are contiguous.
 */
public final class LedgerChecker {

  private long lastPosition;
  private long lastBatch;
  private long lastExportedPosition;
  private String firstViolation;

  /** Checks the entry at the next position. */
  public void checkLine(long position, Entry entry) {
    checkPosition(position);
    String name = "entry " + entry.epoch() + ':' + entry.sequence();
    if (entry.end() == null) {
      recordViolation(name + " is complete but has no end");
    } else if (entry.endedAt() != 0 && entry.endedAt() < entry.takenAt()) {
      recordViolation(name + " ended before it was taken");
    } else if (entry.end() == TaskEnd.BOUNCED && entry.workNanos(false) > 0) {
      recordViolation(name + " was rejected but has work that is not wasted");
    }
    int served = 0;
    for (Use use : entry.uses()) {
      if (use.inFlight()) {
        recordViolation(name + " is complete but forward " + use.index() + " is in flight");
      }
      if (use.endedAt() != 0 && use.endedAt() < use.sentAt()) {
        recordViolation(name + ": forward " + use.index() + " ended before it was sent");
      }
      served += use.wasted() ? 0 : 1;
    }
    if (entry.end() != TaskEnd.UNRESOLVED && served > 1) {
      recordViolation(name + " was served by " + served + " forwards");
    }
  }

  /** Checks the position of an amendment or a gap. */
  public void checkLine(long position) {
    checkPosition(position);
  }

  private void checkPosition(long position) {
    if (position != ++lastPosition) {
      recordViolation("position " + lastPosition + " is missing; the next is " + position);
      lastPosition = position;
    }
  }

  /**
   * Checks the next batch in the order of numbers.
   *
   * @param sealedHash the hash of the batch when it was sealed
   * @param currentHash the hash of the bytes that its lines give now
   */
  public void checkBatch(
      long number, long first, long last, String sealedHash, String currentHash) {
    if (number != ++lastBatch) {
      recordViolation("batch " + lastBatch + " is missing; the next is " + number);
      lastBatch = number;
    }
    if (first != lastExportedPosition + 1 || last < first) {
      recordViolation(
          "batch "
              + number
              + " has positions "
              + first
              + " to "
              + last
              + "; the batch before ended at "
              + lastExportedPosition);
    }
    lastExportedPosition = last;
    if (!sealedHash.equals(currentHash)) {
      recordViolation(
          "batch "
              + number
              + " was sealed with hash "
              + sealedHash
              + "; its hash now is "
              + currentHash);
    }
    if (last > lastPosition) {
      recordViolation(
          "batch " + number + " has position " + last + "; the last one is " + lastPosition);
    }
  }

  /** Checks a closed period by the hashes of its subtotals when it was closed and now. */
  public void checkClosedPeriod(String period, String closedHash, String currentHash) {
    if (!closedHash.equals(currentHash)) {
      recordViolation(
          "period "
              + period
              + " was closed with hash "
              + closedHash
              + "; the hash of its subtotals now is "
              + currentHash);
    }
  }

  private void recordViolation(String violation) {
    if (firstViolation == null) {
      firstViolation = violation;
    }
  }

  /** The first violation, or null. */
  public String firstViolation() {
    return firstViolation;
  }

  /** The last position that was checked. */
  public long lastCheckedPosition() {
    return lastPosition;
  }

  /** The number of the last batch that was checked. */
  public long lastCheckedBatch() {
    return lastBatch;
  }
}

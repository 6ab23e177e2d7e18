package tansytrack.ledger;

/**
 * What must hold of every ledger, checked as it is read in the order of positions; the first breach
 * is said. Positions run from 1 without a hole, each task's times are in order, nothing complete
 * has a forward out, and batches follow each other.
 */
public final class LedgerChecker {

  private long lastPosition;
  private long checkBatch;
  private long lastExportedPosition;
  private String firstViolation;

  /** Checks the entry at the next position. */
  public void checkLine(long at, Entry entry) {
    checkPosition(at);
    String name = "entry " + entry.epoch() + ':' + entry.sequence();
    if (entry.end() == null) {
      recordViolation(name + " is complete and has no end");
    } else if (entry.endedAt() != 0 && entry.endedAt() < entry.takenAt()) {
      recordViolation(name + " ended before it was taken");
    } else if (entry.end() == TaskEnd.BOUNCED && entry.workNanos(false) > 0) {
      recordViolation(name + " was bounced and has work that somebody got");
    }
    int served = 0;
    for (Use use : entry.uses()) {
      if (use.inFlight()) {
        recordViolation(name + " is complete with forward " + use.index() + " out");
      }
      if (use.endedAt() != 0 && use.endedAt() < use.sentAt()) {
        recordViolation(name + ", forward " + use.index() + " ended before it was sent");
      }
      served += use.wasted() ? 0 : 1;
    }
    if (entry.end() != TaskEnd.UNRESOLVED && served > 1) {
      recordViolation(name + " was served by " + served + " forwards");
    }
  }

  /** Checks the position of a line that is no entry. */
  public void checkLine(long at) {
    checkPosition(at);
  }

  private void checkPosition(long at) {
    if (at != ++lastPosition) {
      recordViolation("position " + lastPosition + " is missing; the next is " + at);
      lastPosition = at;
    }
  }

  /**
   * A batch, in the order of numbers, with the hash it was sealed with and that of its bytes made
   * again.
   */
  public void checkBatch(long number, long first, long last, String sealed, String again) {
    if (number != ++checkBatch) {
      recordViolation("batch " + checkBatch + " is missing; the next is " + number);
      checkBatch = number;
    }
    if (first != lastExportedPosition + 1 || last < first) {
      recordViolation(
          "batch "
              + number
              + " holds positions "
              + first
              + " to "
              + last
              + ", behind "
              + lastExportedPosition);
    }
    lastExportedPosition = last;
    if (!sealed.equals(again)) {
      recordViolation(
          "batch " + number + " was sealed as " + sealed + ", its lines now give " + again);
    }
    if (last > lastPosition) {
      recordViolation(
          "batch " + number + " holds position " + last + ", the last is " + lastPosition);
    }
  }

  /** A closed period, with the hash of its sums as it was closed and now. */
  public void checkClosedPeriod(String period, String then, String now) {
    if (!then.equals(now)) {
      recordViolation(
          "closed period " + period + " was closed as " + then + ", its sums now give " + now);
    }
  }

  private void recordViolation(String what) {
    if (firstViolation == null) {
      firstViolation = what;
    }
  }

  /** The first breach, or null. */
  public String firstViolation() {
    return firstViolation;
  }

  /** The last position that was seen. */
  public long positions() {
    return lastPosition;
  }

  /** The number of the last batch that was seen. */
  public long batches() {
    return checkBatch;
  }
}

package tansytrack.ledger;

/**
 * Checks the invariants of a ledger while its lines are read in the order of their positions, and
 * keeps the first violation. Positions run from 1 without a missing one, the times of each task are
 * in order, no complete task has a forward in flight, and batches are contiguous.
 */
public final class Invariants {

  private long position;
  private long batch;
  private long exported;
  private String breach;

  /** Checks the entry at the next position. */
  public void line(long at, Entry entry) {
    positioned(at);
    String name = "entry " + entry.epoch() + ':' + entry.sequence();
    if (entry.end() == null) {
      broken(name + " is complete but has no end");
    } else if (entry.endedAt() != 0 && entry.endedAt() < entry.takenAt()) {
      broken(name + " ended before it was taken");
    } else if (entry.end() == End.BOUNCED && entry.work(false) > 0) {
      broken(name + " was rejected but has work that is not wasted");
    }
    int served = 0;
    for (Use use : entry.uses()) {
      if (use.out()) {
        broken(name + " is complete but forward " + use.index() + " is in flight");
      }
      if (use.endedAt() != 0 && use.endedAt() < use.sentAt()) {
        broken(name + ": forward " + use.index() + " ended before it was sent");
      }
      served += use.wasted() ? 0 : 1;
    }
    if (entry.end() != End.UNRESOLVED && served > 1) {
      broken(name + " was served by " + served + " forwards");
    }
  }

  /** Checks the position of an amendment or a gap. */
  public void line(long at) {
    positioned(at);
  }

  private void positioned(long at) {
    if (at != ++position) {
      broken("position " + position + " is missing; the next is " + at);
      position = at;
    }
  }

  /**
   * Checks the next batch in the order of numbers.
   *
   * @param sealed the hash of the batch when it was sealed
   * @param again the hash of the bytes that its lines give now
   */
  public void batch(long number, long first, long last, String sealed, String again) {
    if (number != ++batch) {
      broken("batch " + batch + " is missing; the next is " + number);
      batch = number;
    }
    if (first != exported + 1 || last < first) {
      broken(
          "batch "
              + number
              + " has positions "
              + first
              + " to "
              + last
              + "; the batch before ended at "
              + exported);
    }
    exported = last;
    if (!sealed.equals(again)) {
      broken("batch " + number + " was sealed with hash " + sealed + "; its hash now is " + again);
    }
    if (last > position) {
      broken("batch " + number + " has position " + last + "; the last one is " + position);
    }
  }

  /** Checks a closed period by the hashes of its subtotals when it was closed and now. */
  public void closed(String period, String then, String now) {
    if (!then.equals(now)) {
      broken(
          "period "
              + period
              + " was closed with hash "
              + then
              + "; the hash of its subtotals now is "
              + now);
    }
  }

  private void broken(String what) {
    if (breach == null) {
      breach = what;
    }
  }

  /** The first violation, or null. */
  public String breach() {
    return breach;
  }

  /** The last position that was checked. */
  public long positions() {
    return position;
  }

  /** The number of the last batch that was checked. */
  public long batches() {
    return batch;
  }
}

package tansytrack.ledger;

/**
 * What must hold of every ledger, checked as it is read in the order of positions; the first breach
 * is said. Positions run from 1 without a hole, each task's times are in order, nothing complete
 * has a forward out, and batches follow each other.
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
      broken(name + " is complete and has no end");
    } else if (entry.endedAt() != 0 && entry.endedAt() < entry.takenAt()) {
      broken(name + " ended before it was taken");
    } else if (entry.end() == End.BOUNCED && entry.work(false) > 0) {
      broken(name + " was bounced and has work that somebody got");
    }
    int served = 0;
    for (Use use : entry.uses()) {
      if (use.out()) {
        broken(name + " is complete with forward " + use.index() + " out");
      }
      if (use.endedAt() != 0 && use.endedAt() < use.sentAt()) {
        broken(name + ", forward " + use.index() + " ended before it was sent");
      }
      served += use.wasted() ? 0 : 1;
    }
    if (entry.end() != End.UNRESOLVED && served > 1) {
      broken(name + " was served by " + served + " forwards");
    }
  }

  /** Checks the position of a line that is no entry. */
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
   * A batch, in the order of numbers, with the hash it was sealed with and that of its bytes made
   * again.
   */
  public void batch(long number, long first, long last, String sealed, String again) {
    if (number != ++batch) {
      broken("batch " + batch + " is missing; the next is " + number);
      batch = number;
    }
    if (first != exported + 1 || last < first) {
      broken(
          "batch " + number + " holds positions " + first + " to " + last + ", behind " + exported);
    }
    exported = last;
    if (!sealed.equals(again)) {
      broken("batch " + number + " was sealed as " + sealed + ", its lines now give " + again);
    }
    if (last > position) {
      broken("batch " + number + " holds position " + last + ", the last is " + position);
    }
  }

  /** A closed period, with the hash of its sums as it was closed and now. */
  public void closed(String period, String then, String now) {
    if (!then.equals(now)) {
      broken("closed period " + period + " was closed as " + then + ", its sums now give " + now);
    }
  }

  private void broken(String what) {
    if (breach == null) {
      breach = what;
    }
  }

  /** The first breach, or null. */
  public String breach() {
    return breach;
  }

  /** The last position that was seen. */
  public long positions() {
    return position;
  }

  /** The number of the last batch that was seen. */
  public long batches() {
    return batch;
  }
}

package tansytrack.ledger;

/**
 * Lines that could not be kept: how many, of which tasks at most (first to last number), from when
 * to when, and why. It is itself a numbered line, so nothing goes unseen.
 */
public record Gap(
    long epoch,
    long number,
    long firstSequence,
    long lastSequence,
    long from,
    long until,
    long lines,
    String cause) {

  /** Whether a task's number falls into the gap. */
  public boolean covers(long sequence) {
    return firstSequence <= sequence && sequence <= lastSequence;
  }
}

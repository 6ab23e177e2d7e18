package tansytrack.ledger;

/**
 * Updates that could not be written. A gap is itself a numbered line of the ledger, so that every
 * loss is visible.
 *
 * @param firstSequence the lowest number of a task that lost an update; 0 if none has a number
 * @param lastSequence the highest number of a task that lost an update; tasks between the two may
 *     be complete
 * @param from the time of the first lost update in nanoseconds of the Unix clock
 * @param until the time at which updates were accepted again
 * @param lines the number of lost updates
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

  /** Whether the number of a task lies within the gap. */
  public boolean covers(long sequence) {
    return firstSequence <= sequence && sequence <= lastSequence;
  }
}

package tansytrack.ledger;

/**
 * How a task ended, as far as its client is concerned; unresolved: its manager died, and nothing
 * told the end.
 */
public enum TaskEnd {
  HANDLED,
  BOUNCED,
  ABORTED,
  ABANDONED,
  TIME_UP,
  UNRESOLVED
}

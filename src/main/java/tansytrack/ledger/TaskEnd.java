package tansytrack.ledger;

/**
 * How a task ended from its client's point of view. {@code UNRESOLVED} means that the manager died
 * before it recorded an end, {@code BOUNCED} that the task was rejected or failed. The names are
 * stored in ledgers and exports.
 */
public enum TaskEnd {
  HANDLED,
  BOUNCED,
  ABORTED,
  ABANDONED,
  TIME_UP,
  UNRESOLVED
}

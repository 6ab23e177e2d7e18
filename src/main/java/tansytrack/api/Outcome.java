package tansytrack.api;

/** The outcome of a forward or a probe. */
public enum Outcome {
  /** The engine answered with a result. */
  OK,
  /** The engine answered with an error; it may have executed the task. */
  ERROR,
  /** The engine rejected the task for lack of capacity and did not execute it. */
  FULL,
  /** The deadline passed before an answer; the engine may have executed the task. */
  TIME_OUT,
  /** No connection could be opened; the engine did not execute the task. */
  UNREACHED,
  /** The connection broke; the engine may have executed the task. */
  RESET,
  /** The forward was cancelled; the engine may have executed the task. */
  CANCELLED,
  /** The request was not sent. */
  NEVER_SENT
}

package tansytrack.api;

/** How a forward, or a probe, ended. */
public enum Outcome {
  OK,
  ERROR,
  FULL,
  TIME_OUT,
  UNREACHED,
  RESET,
  CANCELLED,
  NEVER_SENT
}

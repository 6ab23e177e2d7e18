package tansytrack.fleet;

/** The lifecycle stage that a member announces of itself. */
public enum Stage {
  STARTING,
  SERVING,
  LEAVING
}

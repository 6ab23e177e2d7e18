package tansytrack.fleet;

/** What a member says that it does. */
public enum Stage {
  STARTING,
  SERVING,
  LEAVING
}

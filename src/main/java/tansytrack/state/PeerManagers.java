package tansytrack.state;

import java.util.List;
import java.util.Map;

/**
 * The group of managers that share the engines, as known to this one. Called on the event loop's
 * thread; no method blocks.
 */
public interface PeerManagers extends AutoCloseable {

  /** Used where the membership protocol is not configured. */
  PeerManagers NONE = new PeerManagers() {};

  /** The columns of SHOW FLEET. Not to be modified; the session sends it without a copy. */
  @SuppressWarnings("MutablePublicArray")
  String[] MEMBER_COLUMNS = {
    "name", "place", "standing", "stage", "since_s", "incarnation", "version", "settings", "facts"
  };

  /** Tells the others that this manager accepts tasks from now on. */
  default void markServing() {}

  /** Tells the others that this manager is stopping. */
  default void markLeaving() {}

  /** Returns the counters of the membership for SHOW STATS, by name. */
  default Map<String, Long> counts() {
    return Map.of();
  }

  /**
   * Returns one row for each member for SHOW FLEET, this manager first; null if the membership
   * protocol is not configured.
   */
  default List<String[]> members() {
    return null;
  }

  @Override
  default void close() {}
}

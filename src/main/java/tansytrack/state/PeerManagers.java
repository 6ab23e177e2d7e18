package tansytrack.state;

import java.util.List;
import java.util.Map;

/**
 * The other managers, as far as this one keeps in touch with them. Called on the loop; none of it
 * waits.
 */
public interface PeerManagers extends AutoCloseable {

  /** Where nothing is switched on. */
  PeerManagers NONE = new PeerManagers() {};

  /** Columns of what is shown of members; read only, handed as it is to the rows' writer. */
  @SuppressWarnings("MutablePublicArray")
  String[] MEMBER_COLUMNS = {
    "name", "place", "standing", "stage", "since_s", "incarnation", "version", "settings", "facts"
  };

  /** It takes tasks from now on. */
  default void markServing() {}

  /** It is told to end. */
  default void markLeaving() {}

  /** Counts for SHOW STATS, by name. */
  default Map<String, Long> counts() {
    return Map.of();
  }

  /** A row a member for SHOW FLEET, itself first; null: nothing is switched on. */
  default List<String[]> members() {
    return null;
  }

  @Override
  default void close() {}
}

package tansytrack.state;

import java.util.List;
import java.util.Map;

/**
 * The other managers, as far as this one keeps in touch with them. Called on the loop; none of it
 * waits.
 */
public interface Siblings extends AutoCloseable {

  /** Where nothing is switched on. */
  Siblings NONE = new Siblings() {};

  /** Columns of what is shown of members; read only, handed as it is to the rows' writer. */
  @SuppressWarnings("MutablePublicArray")
  String[] COLUMNS = {
    "name", "place", "standing", "stage", "since_s", "incarnation", "version", "settings", "facts"
  };

  /** It takes tasks from now on. */
  default void serving() {}

  /** It is told to end. */
  default void ending() {}

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

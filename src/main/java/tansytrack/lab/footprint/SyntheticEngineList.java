package tansytrack.lab.footprint;

import java.util.List;
import java.util.Locale;

/**
 * Generates the engine list of a large deployment in the JSON form of the command channel: many
 * engines that share a few addresses, each with a zone, an engine type and a distinct cell. The
 * same size gives the same text.
 */
public final class SyntheticEngineList {

  /** The engine type of all engines in the list, as in the settings of a measured manager. */
  public static final String ENGINE_TYPE = "eight-core-standard";

  /** The zone of the first engine of each list. */
  public static final String FIRST_ZONE = "region-0-zone-00";

  private static final int REGIONS = 6;
  private static final int ZONES = 15;

  /** Multiplicative hash constant, so that the suffixes of the ids look random. */
  private static final int ID_HASH_MULTIPLIER = 0x9E3779B9;

  /** Long ago, so that no engine is cold. */
  private static final long UP_SINCE_MS = 0;

  private final int engines;
  private final List<String> addresses;

  /** A list of engines, to which the addresses (host and port) are assigned round-robin. */
  public SyntheticEngineList(int engines, List<String> addresses) {
    this.engines = engines;
    this.addresses = List.copyOf(addresses);
  }

  /** The complete list, as the value of {@code nodes} in a channel event. */
  public String completeList() {
    StringBuilder nodes = new StringBuilder("{\"revision\":1,\"complete\":true,\"members\":[");
    for (int number = 0; number < engines; number++) {
      nodes.append(number == 0 ? "" : ",").append(member(number, "ready"));
    }
    return nodes.append("]}").toString();
  }

  /** A change of a single engine to the given phase, as the value of {@code nodes}. */
  public String change(int number, String phase) {
    return "{\"revision\":2,\"complete\":false,\"members\":[" + member(number, phase) + "]}";
  }

  /** The id of the engine with this number. */
  public static String engineId(int number) {
    return String.format(Locale.ROOT, "engine-%06d-%08x", number, number * ID_HASH_MULTIPLIER);
  }

  private String member(int number, String phase) {
    int zone = number % ZONES;
    return String.format(
        Locale.ROOT,
        "{\"id\":\"%s\",\"host_port\":\"%s\",\"locality\":\"region-%d-zone-%02d\","
            + "\"flavor\":\"%s\",\"cell\":%d,\"phase\":\"%s\",\"size\":1,\"up_since_ms\":%d}",
        engineId(number),
        addresses.get(number % addresses.size()),
        zone % REGIONS,
        zone,
        ENGINE_TYPE,
        number,
        phase,
        UP_SINCE_MS);
  }
}

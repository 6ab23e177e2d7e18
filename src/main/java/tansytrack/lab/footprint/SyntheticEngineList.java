package tansytrack.lab.footprint;

import java.util.List;
import java.util.Locale;

/**
 * The engine list of a large deployment as the command channel tells it: so many engines over a few
 * addresses, each with a place, a kind and a cell of its own. The same size gives the same text.
 */
public final class SyntheticEngineList {

  /** The one kind of engine in the list, as the settings of a measured manager name it. */
  public static final String ENGINE_TYPE = "eight-core-standard";

  /** The place of the first engine of each list. */
  public static final String FIRST_ZONE = "region-0-zone-00";

  private static final int REGIONS = 6;
  private static final int ZONES = 15;
  private static final int ID_HASH_MULTIPLIER = 0x9E3779B9; // makes the ends of the ids look drawn
  private static final long UP_SINCE_MS = 0; // long past: no engine is cold

  private final int engines;
  private final List<String> addresses;

  /** A list of so many engines, which take the addresses (host and port) in turn. */
  public SyntheticEngineList(int engines, List<String> addresses) {
    this.engines = engines;
    this.addresses = List.copyOf(addresses);
  }

  /** The whole list, as the channel's `nodes`. */
  public String completeList() {
    StringBuilder nodes = new StringBuilder("{\"revision\":1,\"complete\":true,\"members\":[");
    for (int number = 0; number < engines; number++) {
      nodes.append(number == 0 ? "" : ",").append(member(number, "ready"));
    }
    return nodes.append("]}").toString();
  }

  /** A change of one engine: it is listed with that phase. */
  public String change(int number, String phase) {
    return "{\"revision\":2,\"complete\":false,\"members\":[" + member(number, phase) + "]}";
  }

  /** The id of an engine. */
  public static String engineId(int number) {
    return String.format(Locale.ROOT, "engine-%06d-%08x", number, number * ID_HASH_MULTIPLIER);
  }

  private String member(int number, String phase) {
    int zone = number % ZONES;
    return String.format(
        Locale.ROOT,
        "{\"id\":\"%s\",\"host_port\":\"%s\",\"locality\":\"region-%d-zone-%02d\",\"flavor\":\"%s\","
            + "\"cell\":%d,\"phase\":\"%s\",\"size\":1,\"up_since_ms\":%d}",
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

package tansytrack.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import tansytrack.settings.InvalidInputException;
import tansytrack.wire.Json;
import tansytrack.wire.ProtocolException;

/**
 * Stand-ins for all that a configuration names, at the addresses that it gives, on loopback alone.
 */
public final class FakeDeployment {

  private FakeDeployment() {}

  /**
   * Starts a stand-in for every engine of a configuration, and for its command channel, until
   * ended.
   */
  public static void start(String file, int workMs, PrintStream out) throws IOException {
    try {
      Map<String, Object> all =
          Json.asObject(
              Json.parse(LabInput.read(file).getBytes(StandardCharsets.UTF_8)),
              "the configuration");
      FakeCommandChannel channel =
          new FakeCommandChannel(
              LabInput.loopbackAddress("channel", Json.asString(all.get("channel"), "channel")));
      for (Object event :
          Json.asList(Json.asObject(all.get("known"), "known").get("cmds"), "cmds")) {
        Map<String, Object> nodes =
            Json.asObject(Json.asObject(event, "an event").get("nodes"), "nodes");
        for (Object member : Json.asList(nodes.get("members"), "members")) {
          Map<String, Object> one = Json.asObject(member, "a member");
          FakeEngine engine =
              new FakeEngine(
                  Json.asString(one.get("id"), "id"),
                  LabInput.loopbackAddress(
                      "host_port", Json.asString(one.get("host_port"), "host_port")),
                  workMs,
                  workMs);
          out.println(engine.name() + " at " + engine.address());
        }
        // The numbers of the file's own events are taken; those who have them are told nothing
        // more.
        channel.publish("{\"revision\":1,\"complete\":false,\"members\":[]}");
      }
      out.println("command channel at " + channel.address());
    } catch (ProtocolException e) {
      throw new InvalidInputException(file + ": " + e.getMessage());
    }
  }
}

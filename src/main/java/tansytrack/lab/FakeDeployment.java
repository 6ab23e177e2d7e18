package tansytrack.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import tansytrack.settings.InvalidInputException;
import tansytrack.wire.Json;
import tansytrack.wire.ProtocolException;

/** Fake engines and a fake command channel for a configuration, on loopback only. */
public final class FakeDeployment {

  private FakeDeployment() {}

  /**
   * Starts a fake of every engine of a configuration and of its command channel, at the addresses
   * in it. They run until the process ends.
   *
   * @param file the configuration file
   * @param workMs minimum work of a query; up to the same again is added
   * @param out stream for the addresses
   */
  public static void start(String file, int workMs, PrintStream out) throws IOException {
    try {
      Map<String, Object> configuration =
          Json.asObject(
              Json.parse(LabInput.read(file).getBytes(StandardCharsets.UTF_8)),
              "the configuration");
      FakeCommandChannel channel =
          new FakeCommandChannel(
              LabInput.loopbackAddress(
                  "channel", Json.asString(configuration.get("channel"), "channel")));
      for (Object event :
          Json.asList(Json.asObject(configuration.get("known"), "known").get("cmds"), "cmds")) {
        Map<String, Object> nodes =
            Json.asObject(Json.asObject(event, "an event").get("nodes"), "nodes");
        for (Object member : Json.asList(nodes.get("members"), "members")) {
          Map<String, Object> fields = Json.asObject(member, "a member");
          FakeEngine engine =
              new FakeEngine(
                  Json.asString(fields.get("id"), "id"),
                  LabInput.loopbackAddress(
                      "host_port", Json.asString(fields.get("host_port"), "host_port")),
                  workMs,
                  workMs);
          out.println(engine.name() + " at " + engine.address());
        }
        // Takes the number of an event in the file, so that managers that read the file get no
        // event twice.
        channel.publish("{\"revision\":1,\"complete\":false,\"members\":[]}");
      }
      out.println("command channel at " + channel.address());
    } catch (ProtocolException e) {
      throw new InvalidInputException(file + ": " + e.getMessage());
    }
  }
}

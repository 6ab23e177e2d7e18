package tansytrack.service;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tinylog.Logger;
import tansytrack.api.EngineEntry;
import tansytrack.state.Manager;
import tansytrack.state.Timers;
import tansytrack.wire.HttpCodec;
import tansytrack.wire.HttpConnection;
import tansytrack.wire.HttpRequest;
import tansytrack.wire.Json;
import tansytrack.wire.ProtocolException;
import tansytrack.wire.Sockets;

/**
 * Client of the command channel, which reports the engine list: sends one long poll after another,
 * each of which resumes behind the last event that was applied.
 */
final class CommandChannel implements HttpConnection.Pool, HttpConnection.ResponseHandler {

  private static final long NANOS_PER_MS = 1_000_000L;

  /** How long the server may hold a poll; short, so that a dead connection is noticed soon. */
  private static final long POLL_BLOCK_MS = 1000;

  /** The first poll asks only for the events since the configuration was written. */
  private static final long FIRST_POLL_BLOCK_MS = 1;

  /** Time without a response beyond the block after which the connection is dropped. */
  private static final long SILENCE_MARGIN_NANOS = 500 * NANOS_PER_MS;

  /**
   * Delay before the next poll after repeated failures, or after an early response without events.
   */
  private static final long RETRY_DELAY_NANOS = 50 * NANOS_PER_MS;

  /**
   * Size limit of the receive ring. An engine list may take half of it, 2 MiB, which is some 11,000
   * engines of 190 bytes each. The ring grows only as far as a list fills it.
   */
  private static final int MAX_RING_BYTES = 1 << 22;

  private final Sockets sockets;
  private final Timers timers;
  private final Manager manager;
  private InetSocketAddress address;
  private HttpConnection connection;
  private Timers.Timer timer;
  private long cursor;
  private long polledAtNanos;

  /** Failures since the last usable response. */
  private int consecutiveFailures;

  /** Whether a warning was logged since the last usable response. */
  private boolean warned;

  /** Whether the channel has answered a poll since the start. */
  private boolean upToDate;

  CommandChannel(Sockets sockets, Timers timers, InetSocketAddress address, Manager manager) {
    this.sockets = sockets;
    this.timers = timers;
    this.address = address;
    this.manager = manager;
  }

  /**
   * Applies the events of a response or of the configuration's `known` field; events up to the
   * cursor are skipped.
   */
  void apply(Object message) throws ProtocolException {
    Map<String, Object> fields = Json.asObject(message, "the channel's answer");
    for (Object event : Json.asList(fields.get("cmds"), "cmds")) {
      Map<String, Object> eventFields = Json.asObject(event, "an event");
      long number = (long) Json.asDouble(eventFields.get("cursor"), "cursor");
      if (number <= cursor) {
        continue;
      }
      if (eventFields.get("nodes") != null) {
        applyNodes(Json.asObject(eventFields.get("nodes"), "nodes"));
      }
      cursor = number;
    }
    cursor = Math.max(cursor, (long) Json.asDouble(fields.get("cursor"), "cursor"));
  }

  private void applyNodes(Map<String, Object> nodes) throws ProtocolException {
    List<EngineEntry> entries = new ArrayList<>();
    Map<String, InetSocketAddress> addresses = new HashMap<>();
    // Shares one string among all engines of the same zone or engine type.
    Map<String, String> sharedStrings = new HashMap<>();
    for (Object member : Json.asList(nodes.get("members"), "members")) {
      Map<String, Object> engine = Json.asObject(member, "a member");
      String id = Json.asString(engine.get("id"), "id");
      EngineEntry.State state =
          switch (Json.asString(engine.get("phase"), "phase")) {
            case "ready" -> EngineEntry.State.READY;
            case "draining" -> EngineEntry.State.DRAINING;
            case "gone" -> EngineEntry.State.GONE;
            default -> throw new ProtocolException("unknown phase");
          };
      if (state != EngineEntry.State.GONE) {
        addresses.put(
            id, Service.parseAddress(Json.asString(engine.get("host_port"), "host_port")));
      }
      entries.add(
          new EngineEntry(
              id,
              numberOrDefault(engine, "size", 1),
              sharedStrings.computeIfAbsent(textOrEmpty(engine, "locality"), text -> text),
              sharedStrings.computeIfAbsent(textOrEmpty(engine, "flavor"), text -> text),
              (int) numberOrDefault(engine, "cell", 0),
              state,
              Math.round(numberOrDefault(engine, "up_since_ms", 0) * NANOS_PER_MS)));
    }
    manager.engines(Boolean.TRUE.equals(nodes.get("complete")), entries, addresses);
  }

  private static double numberOrDefault(
      Map<String, Object> fields, String name, double defaultValue) throws ProtocolException {
    return fields.get(name) == null ? defaultValue : Json.asDouble(fields.get(name), name);
  }

  private static String textOrEmpty(Map<String, Object> fields, String name)
      throws ProtocolException {
    return fields.get(name) == null ? "" : Json.asString(fields.get(name), name);
  }

  /**
   * Switches to another address of the channel. Polling resumes behind the last event applied: the
   * new address continues the numbering, and repeats what the old one had not yet delivered.
   */
  void moveTo(InetSocketAddress newAddress, Object known) {
    try {
      applyFollowingEvents(known);
    } catch (ProtocolException e) {
      reportFailure(e.getMessage());
    }
    address = newAddress;
    close();
    poll();
  }

  /**
   * Applies the events of a configuration file that directly follow the last one applied. After a
   * gap in the numbers the rest is left to the channel, which delivers all events.
   */
  private void applyFollowingEvents(Object known) throws ProtocolException {
    for (Object event : Json.asList(Json.asObject(known, "known").get("cmds"), "cmds")) {
      if ((long) Json.asDouble(Json.asObject(event, "an event").get("cursor"), "cursor")
          == cursor + 1) {
        apply(Map.of("cursor", cursor + 1, "cmds", List.of(event)));
      }
    }
  }

  /**
   * Returns whether the channel has answered since the start, so that the engine list is not only
   * that of the configuration file.
   */
  boolean upToDate() {
    return upToDate;
  }

  /** Sends the next poll, on a new connection if there is none. */
  void poll() {
    if (connection == null) {
      connection = new HttpConnection(sockets, address, MAX_RING_BYTES, null, this);
    }
    polledAtNanos = timers.now();
    long blockMs = upToDate ? POLL_BLOCK_MS : FIRST_POLL_BLOCK_MS;
    timer =
        timers.schedule(
            polledAtNanos + blockMs * NANOS_PER_MS + SILENCE_MARGIN_NANOS, this::pollTimedOut);
    connection.send(HttpRequest.get("/cmd/next?resume=" + cursor + "&block=" + blockMs), this);
  }

  /** Stops polling and closes the connection. */
  void close() {
    timer.cancel();
    if (connection != null) {
      connection.abort();
    }
  }

  private void pollTimedOut() {
    connection.abort();
    manager.counters().increment("channel.silent");
    poll();
  }

  @Override
  public void responseReceived(HttpCodec.Response response) throws ProtocolException {
    if (response.status() != 200) {
      throw new ProtocolException("status " + response.status());
    }
    long previousCursor = cursor;
    apply(Json.parse(response.body()));
    timer.cancel();
    // A channel that answers at once without new events would otherwise be polled in a busy loop.
    boolean earlyResponseWithoutEvents =
        upToDate && cursor == previousCursor && timers.now() - polledAtNanos < RETRY_DELAY_NANOS;
    upToDate = true;
    consecutiveFailures = 0;
    warned = false;
    manager.counters().increment("channel.answers");
    // Not within this call: the connection accepts the next request only after it returns.
    timer =
        timers.schedule(
            timers.now() + (earlyResponseWithoutEvents ? RETRY_DELAY_NANOS : 0), this::poll);
  }

  /** Restarts the timeout: a list that is still arriving may take any time. */
  @Override
  public void responsePartReceived() {
    timer.cancel();
    timer =
        timers.schedule(
            timers.now() + POLL_BLOCK_MS * NANOS_PER_MS + SILENCE_MARGIN_NANOS, this::pollTimedOut);
  }

  /**
   * Polls again at once after a first failure, because events count as delivered soon after a
   * disconnect; a failure that directly follows another is retried after a delay.
   */
  @Override
  public void requestFailed(HttpConnection.Failure failure) {
    timer.cancel();
    reportFailure("connection lost or unusable response");
    timer =
        timers.schedule(
            timers.now() + (consecutiveFailures++ == 0 ? 0 : RETRY_DELAY_NANOS), this::poll);
  }

  /** Counts a failure; warns only on the first one since the last usable response. */
  private void reportFailure(String reason) {
    manager.counters().increment("channel.failed");
    if (!warned) {
      Logger.warn("command channel: {}; polling again, the known engine list is kept", reason);
    }
    warned = true;
  }

  @Override
  public void connectionIdle(HttpConnection idleConnection) {}

  @Override
  public void connectionClosed(HttpConnection closedConnection) {
    connection = null;
  }
}

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
import tansytrack.wire.Json;
import tansytrack.wire.ProtocolException;
import tansytrack.wire.Sockets;

/** The command channel: one long poll after the other, resumed by number. */
final class CommandChannel implements HttpConnection.Pool, HttpConnection.ResponseHandler {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final long POLL_BLOCK_MS =
      1000; // short, so that a silent connection is soon noticed
  private static final long FIRST_POLL_BLOCK_MS =
      1; // the first one: what has come since the known list was written
  private static final long SILENCE_MARGIN_NANOS =
      500 * NANOS_PER_MS; // over the block: then the connection is given up
  private static final long RETRY_DELAY_NANOS =
      50 * NANOS_PER_MS; // before a new connection after one that failed

  /**
   * Bytes of the ring; a list may take half of it: 2 MiB, some 11,000 engines of 190 bytes each.
   * The ring grows only as far as a list fills it.
   */
  private static final int MAX_RING_BYTES = 1 << 22;

  private final Sockets sockets;
  private final Timers timers;
  private final Manager manager;
  private InetSocketAddress address;
  private HttpConnection connection;
  private Timers.Timer timer;
  private long cursor;
  private long polledAt;
  private int consecutiveFailures; // running
  private boolean warned;
  private boolean upToDate; // it has answered since the start

  CommandChannel(Sockets sockets, Timers timers, InetSocketAddress address, Manager manager) {
    this.sockets = sockets;
    this.timers = timers;
    this.address = address;
    this.manager = manager;
  }

  /** Applies events; those known already are skipped. */
  void apply(Object told) throws ProtocolException {
    Map<String, Object> all = Json.asObject(told, "the channel's answer");
    for (Object event : Json.asList(all.get("cmds"), "cmds")) {
      Map<String, Object> one = Json.asObject(event, "an event");
      long number = (long) Json.asDouble(one.get("cursor"), "cursor");
      if (number <= cursor) {
        continue;
      }
      if (one.get("nodes") != null) {
        applyNodes(Json.asObject(one.get("nodes"), "nodes"));
      }
      cursor = number;
    }
    cursor = Math.max(cursor, (long) Json.asDouble(all.get("cursor"), "cursor"));
  }

  private void applyNodes(Map<String, Object> nodes) throws ProtocolException {
    List<EngineEntry> entries = new ArrayList<>();
    Map<String, InetSocketAddress> addresses = new HashMap<>();
    Map<String, String> words = new HashMap<>(); // places and kinds: each once in memory
    for (Object member : Json.asList(nodes.get("members"), "members")) {
      Map<String, Object> one = Json.asObject(member, "a member");
      String id = Json.asString(one.get("id"), "id");
      EngineEntry.State state =
          switch (Json.asString(one.get("phase"), "phase")) {
            case "ready" -> EngineEntry.State.READY;
            case "draining" -> EngineEntry.State.DRAINING;
            case "gone" -> EngineEntry.State.GONE;
            default -> throw new ProtocolException("unknown phase");
          };
      if (state != EngineEntry.State.GONE) {
        addresses.put(id, Service.parseAddress(Json.asString(one.get("host_port"), "host_port")));
      }
      entries.add(
          new EngineEntry(
              id,
              numberOrDefault(one, "size", 1),
              words.computeIfAbsent(textOrEmpty(one, "locality"), same -> same),
              words.computeIfAbsent(textOrEmpty(one, "flavor"), same -> same),
              (int) numberOrDefault(one, "cell", 0),
              state,
              Math.round(numberOrDefault(one, "up_since_ms", 0) * NANOS_PER_MS)));
    }
    manager.engines(Boolean.TRUE.equals(nodes.get("complete")), entries, addresses);
  }

  private static double numberOrDefault(Map<String, Object> from, String name, double otherwise)
      throws ProtocolException {
    return from.get(name) == null ? otherwise : Json.asDouble(from.get(name), name);
  }

  private static String textOrEmpty(Map<String, Object> from, String name)
      throws ProtocolException {
    return from.get(name) == null ? "" : Json.asString(from.get(name), name);
  }

  /**
   * Asks there from now on, for what follows the last event that it has: the numbers go on, and
   * what the old address was about to tell is told again by the new one.
   */
  void moveTo(InetSocketAddress to, Object known) {
    try {
      applyFollowingEvents(known);
    } catch (ProtocolException e) {
      reportFailure(e.getMessage());
    }
    address = to;
    close();
    poll();
  }

  /**
   * Takes the events that a file holds and that follow on from the last one; behind a gap the
   * channel tells all.
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
   * Does the manager know what the channel had to tell by now, and not only what its file held at
   * the start?
   */
  boolean upToDate() {
    return upToDate;
  }

  void poll() {
    if (connection == null) {
      connection = new HttpConnection(sockets, address, MAX_RING_BYTES, this);
    }
    polledAt = timers.now();
    long block = upToDate ? POLL_BLOCK_MS : FIRST_POLL_BLOCK_MS;
    timer =
        timers.schedule(polledAt + block * NANOS_PER_MS + SILENCE_MARGIN_NANOS, this::pollTimedOut);
    connection.send("GET", "/cmd/next?resume=" + cursor + "&block=" + block, "", new byte[0], this);
  }

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
  public void responseReceived(HttpCodec.Response answer) throws ProtocolException {
    if (answer.status() != 200) {
      throw new ProtocolException("status " + answer.status());
    }
    long before = cursor;
    apply(Json.parse(answer.body()));
    timer.cancel();
    // Guards against a channel that answers at once with nothing: asking it again at once would
    // never end.
    boolean early = upToDate && cursor == before && timers.now() - polledAt < RETRY_DELAY_NANOS;
    upToDate = true;
    consecutiveFailures = 0;
    warned = false;
    manager.counters().increment("channel.answers");
    // Not within this call: the connection is free for the next one only behind it.
    timer = timers.schedule(timers.now() + (early ? RETRY_DELAY_NANOS : 0), this::poll);
  }

  /** A list that is still coming is no silence, however long it takes. */
  @Override
  public void responsePartReceived() {
    timer.cancel();
    timer =
        timers.schedule(
            timers.now() + POLL_BLOCK_MS * NANOS_PER_MS + SILENCE_MARGIN_NANOS, this::pollTimedOut);
  }

  /**
   * Asked again at once, as what breaks counts as told soon; a failure right behind another waits a
   * little.
   */
  @Override
  public void requestFailed(HttpConnection.Failure why) {
    timer.cancel();
    reportFailure("connection lost, or an answer of no use");
    timer =
        timers.schedule(
            timers.now() + (consecutiveFailures++ == 0 ? 0 : RETRY_DELAY_NANOS), this::poll);
  }

  /** Once for each time that it goes wrong. */
  private void reportFailure(String what) {
    manager.counters().increment("channel.failed");
    if (!warned) {
      Logger.warn("command channel: {}; asking again, the known list stays", what);
    }
    warned = true;
  }

  @Override
  public void connectionIdle(HttpConnection free) {}

  @Override
  public void connectionClosed(HttpConnection lost) {
    connection = null;
  }
}

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
import tansytrack.wire.Http;
import tansytrack.wire.HttpLine;
import tansytrack.wire.Json;
import tansytrack.wire.Junk;
import tansytrack.wire.Sockets;

/**
 * Client of the command channel, which reports the engine list: sends one long poll after another,
 * each of which resumes behind the last event that was applied.
 */
final class Channel implements HttpLine.Holder, HttpLine.Caller {

  private static final long MS = 1_000_000L;

  /** How long the server may hold a poll; short, so that a dead connection is noticed soon. */
  private static final long BLOCK = 1000;

  /** The first poll asks only for the events since the configuration was written. */
  private static final long AT_ONCE = 1;

  /** Time without an answer beyond the block after which the connection is dropped. */
  private static final long SILENT = 500 * MS;

  /**
   * Delay before the next poll after repeated failures, or after an early answer without events.
   */
  private static final long PAUSE = 50 * MS;

  /**
   * Size limit of the receive ring. An engine list may take half of it, 2 MiB, which is some 11,000
   * engines of 190 bytes each. The ring grows only as far as a list fills it.
   */
  private static final int LONGEST = 1 << 22;

  private final Sockets sockets;
  private final Timers timers;
  private final Manager manager;
  private InetSocketAddress address;
  private HttpLine line;
  private Timers.Timer timer;
  private long cursor;
  private long askedAt;

  /** Failures since the last usable answer. */
  private int failures;

  /** Whether a warning was logged since the last usable answer. */
  private boolean complained;

  /** Whether the channel has answered a poll since the start. */
  private boolean current;

  Channel(Sockets sockets, Timers timers, InetSocketAddress address, Manager manager) {
    this.sockets = sockets;
    this.timers = timers;
    this.address = address;
    this.manager = manager;
  }

  /**
   * Applies the events of an answer or of the configuration's `known` field; events up to the
   * cursor are skipped.
   */
  void take(Object told) throws Junk {
    Map<String, Object> all = Json.map(told, "the channel's answer");
    for (Object event : Json.list(all.get("cmds"), "cmds")) {
      Map<String, Object> one = Json.map(event, "an event");
      long number = (long) Json.number(one.get("cursor"), "cursor");
      if (number <= cursor) {
        continue;
      }
      if (one.get("nodes") != null) {
        nodes(Json.map(one.get("nodes"), "nodes"));
      }
      cursor = number;
    }
    cursor = Math.max(cursor, (long) Json.number(all.get("cursor"), "cursor"));
  }

  private void nodes(Map<String, Object> nodes) throws Junk {
    List<EngineEntry> entries = new ArrayList<>();
    Map<String, InetSocketAddress> addresses = new HashMap<>();
    // Shares one string among all engines of the same zone or engine type.
    Map<String, String> words = new HashMap<>();
    for (Object member : Json.list(nodes.get("members"), "members")) {
      Map<String, Object> one = Json.map(member, "a member");
      String id = Json.text(one.get("id"), "id");
      EngineEntry.State state =
          switch (Json.text(one.get("phase"), "phase")) {
            case "ready" -> EngineEntry.State.READY;
            case "draining" -> EngineEntry.State.DRAINING;
            case "gone" -> EngineEntry.State.GONE;
            default -> throw new Junk("unknown phase");
          };
      if (state != EngineEntry.State.GONE) {
        addresses.put(id, Service.address(Json.text(one.get("host_port"), "host_port")));
      }
      entries.add(
          new EngineEntry(
              id,
              amount(one, "size", 1),
              words.computeIfAbsent(word(one, "locality"), same -> same),
              words.computeIfAbsent(word(one, "flavor"), same -> same),
              (int) amount(one, "cell", 0),
              state,
              Math.round(amount(one, "up_since_ms", 0) * MS)));
    }
    manager.engines(Boolean.TRUE.equals(nodes.get("complete")), entries, addresses);
  }

  private static double amount(Map<String, Object> from, String name, double otherwise)
      throws Junk {
    return from.get(name) == null ? otherwise : Json.number(from.get(name), name);
  }

  private static String word(Map<String, Object> from, String name) throws Junk {
    return from.get(name) == null ? "" : Json.text(from.get(name), name);
  }

  /**
   * Switches to another address of the channel. Polling resumes behind the last event applied: the
   * new address continues the numbering, and repeats what the old one had not yet delivered.
   */
  void move(InetSocketAddress to, Object known) {
    try {
      follow(known);
    } catch (Junk e) {
      complain(e.getMessage());
    }
    address = to;
    close();
    ask();
  }

  /**
   * Applies the events of a configuration file that directly follow the last one applied. After a
   * gap in the numbers the rest is left to the channel, which delivers all events.
   */
  private void follow(Object known) throws Junk {
    for (Object event : Json.list(Json.map(known, "known").get("cmds"), "cmds")) {
      if ((long) Json.number(Json.map(event, "an event").get("cursor"), "cursor") == cursor + 1) {
        take(Map.of("cursor", cursor + 1, "cmds", List.of(event)));
      }
    }
  }

  /**
   * Returns whether the channel has answered since the start, so that the engine list is not only
   * that of the configuration file.
   */
  boolean current() {
    return current;
  }

  /** Sends the next poll, on a new connection if there is none. */
  void ask() {
    if (line == null) {
      line = new HttpLine(sockets, address, LONGEST, this);
    }
    askedAt = timers.now();
    long block = current ? BLOCK : AT_ONCE;
    timer = timers.at(askedAt + block * MS + SILENT, this::silent);
    line.call("GET", "/cmd/next?resume=" + cursor + "&block=" + block, "", new byte[0], this);
  }

  /** Stops polling and closes the connection. */
  void close() {
    timer.cancel();
    if (line != null) {
      line.drop();
    }
  }

  private void silent() {
    line.drop();
    manager.counters().add("channel.silent");
    ask();
  }

  @Override
  public void answered(Http.Answer answer) throws Junk {
    if (answer.status() != 200) {
      throw new Junk("status " + answer.status());
    }
    long before = cursor;
    take(Json.read(answer.body()));
    timer.cancel();
    // A channel that answers at once without new events would otherwise be polled in a busy loop.
    boolean early = current && cursor == before && timers.now() - askedAt < PAUSE;
    current = true;
    failures = 0;
    complained = false;
    manager.counters().add("channel.answers");
    // Not within this call: the connection accepts the next request only after it returns.
    timer = timers.at(timers.now() + (early ? PAUSE : 0), this::ask);
  }

  /** Restarts the timeout: a list that is still arriving may take any time. */
  @Override
  public void part() {
    timer.cancel();
    timer = timers.at(timers.now() + BLOCK * MS + SILENT, this::silent);
  }

  /**
   * Polls again at once after a first failure, because events count as delivered soon after a
   * break; a failure that directly follows another is retried after a delay.
   */
  @Override
  public void failed(HttpLine.Failure why) {
    timer.cancel();
    complain("connection lost or unusable answer");
    timer = timers.at(timers.now() + (failures++ == 0 ? 0 : PAUSE), this::ask);
  }

  /** Counts a failure; warns only on the first one since the last usable answer. */
  private void complain(String what) {
    manager.counters().add("channel.failed");
    if (!complained) {
      Logger.warn("command channel: {}; polling again, the known engine list stays in use", what);
    }
    complained = true;
  }

  @Override
  public void free(HttpLine free) {}

  @Override
  public void lost(HttpLine lost) {
    line = null;
  }
}

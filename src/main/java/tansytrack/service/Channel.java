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

/** The command channel: one long poll after the other, resumed by number. */
final class Channel implements HttpLine.Holder, HttpLine.Caller {

  private static final long MS = 1_000_000L;
  private static final long BLOCK = 1000; // short, so that a silent connection is soon noticed
  private static final long AT_ONCE =
      1; // the first one: what has come since the known list was written
  private static final long SILENT = 500 * MS; // over the block: then the connection is given up
  private static final long PAUSE = 50 * MS; // before a new connection after one that failed

  /**
   * Bytes of the ring; a list may take half of it: 2 MiB, some 11,000 engines of 190 bytes each.
   * The ring grows only as far as a list fills it.
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
  private int failures; // running
  private boolean complained;
  private boolean current; // it has answered since the start

  Channel(Sockets sockets, Timers timers, InetSocketAddress address, Manager manager) {
    this.sockets = sockets;
    this.timers = timers;
    this.address = address;
    this.manager = manager;
  }

  /** Applies events; those known already are skipped. */
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
    Map<String, String> words = new HashMap<>(); // places and kinds: each once in memory
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
   * Asks there from now on, for what follows the last event that it has: the numbers go on, and
   * what the old address was about to tell is told again by the new one.
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
   * Takes the events that a file holds and that follow on from the last one; behind a gap the
   * channel tells all.
   */
  private void follow(Object known) throws Junk {
    for (Object event : Json.list(Json.map(known, "known").get("cmds"), "cmds")) {
      if ((long) Json.number(Json.map(event, "an event").get("cursor"), "cursor") == cursor + 1) {
        take(Map.of("cursor", cursor + 1, "cmds", List.of(event)));
      }
    }
  }

  /**
   * Does the manager know what the channel had to tell by now, and not only what its file held at
   * the start?
   */
  boolean current() {
    return current;
  }

  void ask() {
    if (line == null) {
      line = new HttpLine(sockets, address, LONGEST, this);
    }
    askedAt = timers.now();
    long block = current ? BLOCK : AT_ONCE;
    timer = timers.at(askedAt + block * MS + SILENT, this::silent);
    line.call("GET", "/cmd/next?resume=" + cursor + "&block=" + block, "", new byte[0], this);
  }

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
    // Guards against a channel that answers at once with nothing: asking it again at once would
    // never end.
    boolean early = current && cursor == before && timers.now() - askedAt < PAUSE;
    current = true;
    failures = 0;
    complained = false;
    manager.counters().add("channel.answers");
    // Not within this call: the connection is free for the next one only behind it.
    timer = timers.at(timers.now() + (early ? PAUSE : 0), this::ask);
  }

  /** A list that is still coming is no silence, however long it takes. */
  @Override
  public void part() {
    timer.cancel();
    timer = timers.at(timers.now() + BLOCK * MS + SILENT, this::silent);
  }

  /**
   * Asked again at once, as what breaks counts as told soon; a failure right behind another waits a
   * little.
   */
  @Override
  public void failed(HttpLine.Failure why) {
    timer.cancel();
    complain("connection lost, or an answer of no use");
    timer = timers.at(timers.now() + (failures++ == 0 ? 0 : PAUSE), this::ask);
  }

  /** Once for each time that it goes wrong. */
  private void complain(String what) {
    manager.counters().add("channel.failed");
    if (!complained) {
      Logger.warn("command channel: {}; asking again, the known list stays", what);
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

package tansytrack.lab.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import tansytrack.fleet.Action;
import tansytrack.fleet.Fleet;
import tansytrack.fleet.Letter;
import tansytrack.fleet.Rules;
import tansytrack.fleet.Stage;
import tansytrack.fleet.Standing;
import tansytrack.fleet.Word;

/**
 * Simulates many members in virtual time: the same membership as on sockets, links that lose,
 * delay, duplicate and reorder messages or are partitioned, and members that are killed, paused,
 * restarted or have their clocks stepped. All randomness and the order of events derive from one
 * seed.
 */
public final class FleetWorld {

  private static final long MS = 1_000_000L;

  private final Rules rules;
  private final SplittableRandom chance;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  // By address.
  private final TreeMap<String, Node> nodes = new TreeMap<>();
  private final Map<String, LinkModel> links = new HashMap<>();
  private final List<Letter> wiretap = new ArrayList<>();
  private final List<Seen> seen = new ArrayList<>();
  private Weather weather = Weather.FINE;
  // Null if all links have the same conditions.
  private Faults faults;
  private long faultsFrom;
  private BiPredicate<Node, Node> cut = (from, to) -> false;
  private long now;
  private long order;
  private long lives = 1;
  private long digest;

  /** A status that a member has assigned to another one. */
  public record Seen(long at, String by, String of, long life, Standing standing) {}

  /** The process at an address. */
  public static final class Node {
    final String address;
    final String name;
    final String place;
    // Null while the process does not run.
    Fleet fleet;
    // Difference of the process's monotonic clock from the virtual time.
    long clockOff;
    long stoppedUntil = -1;
    long life;
    long wakesAt = Long.MAX_VALUE;
    final List<Runnable> held = new ArrayList<>();
    /** Bytes of the messages sent, by their size estimate. */
    public long bytesSent;

    /** Number of messages sent. */
    public long lettersSent;

    /** Number of name conflicts reported. */
    public long twins;

    Node(String address, String name, String place) {
      this.address = address;
      this.name = name;
      this.place = place;
    }

    /** The address, which stays the same across restarts. */
    public String address() {
      return address;
    }

    /** The name of the member. */
    public String name() {
      return name;
    }

    /** The zone of the member. */
    public String place() {
      return place;
    }

    /** Whether the process is running. */
    public boolean running() {
      return fleet != null;
    }

    /** The membership of the running instance, or null. */
    public Fleet fleet() {
      return fleet;
    }
  }

  private record Event(long at, long order, Runnable what) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  /** A simulation without nodes. All randomness is derived from the seed. */
  public FleetWorld(Rules rules, long seed) {
    this.rules = rules;
    chance = new SplittableRandom(seed);
  }

  // ---- Virtual time and schedule ----

  /** The virtual time. */
  public long now() {
    return now;
  }

  /** Schedules an action at a virtual time, or at once if that has passed. */
  public void at(long time, Runnable what) {
    events.add(new Event(Math.max(now, time), order++, what));
  }

  /** Processes all events up to a virtual time. */
  public void run(long until) {
    while (!events.isEmpty() && events.peek().at <= until) {
      Event next = events.poll();
      now = next.at;
      next.what.run();
    }
    now = until;
  }

  /** Sets the conditions of all links from now on. */
  public void weather(Weather next) {
    weather = next;
  }

  /** Drops all messages for which the predicate on sender and recipient holds. */
  public void cut(BiPredicate<Node, Node> which) {
    cut = which;
  }

  /** Starts a schedule of faults now; it names members by their names, not by addresses. */
  public void play(Faults schedule) {
    faults = schedule;
    faultsFrom = now;
    for (Faults.ProcessTrouble one : schedule.processes()) {
      String address =
          nodes.values().stream()
              .filter(node -> node.name.equals(one.member()))
              .findFirst()
              .orElseThrow()
              .address;
      at(
          now + one.at(),
          () -> {
            switch (one.kind()) {
              case STOP -> stop(address, one.lasts());
              case KILL -> kill(address);
              case END -> end(address);
              default -> throw new IllegalStateException();
            }
          });
      if (one.kind() != Faults.Kind.STOP && one.lasts() > 0) {
        at(now + one.at() + one.lasts(), () -> start(address));
      }
    }
  }

  // ---- Members ----

  /** The node at an address, created but not started if there is none. */
  public Node node(String address, String name, String place) {
    return nodes.computeIfAbsent(address, at -> new Node(at, name, place));
  }

  /** The node at an address, or null if there is none. */
  public Node node(String address) {
    return nodes.get(address);
  }

  /** Replaces the node at an address by one with another name, as if a new process took it over. */
  public void rename(String address, String name) {
    Node before = nodes.get(address);
    nodes.put(address, new Node(address, name, before.place));
  }

  /** Publishes a fact on a node that runs and is not paused. */
  public void tell(Node node, String kind, String subject, long value, long lasts) {
    if (node.fleet != null && node.stoppedUntil < 0) {
      act(node, node.fleet.tell(now + node.clockOff, kind, subject, new long[] {value}, lasts));
    }
  }

  /** All nodes, running or not, ordered by address. */
  public Iterable<Node> nodes() {
    return nodes.values();
  }

  /** Starts a new instance, which knows nothing but the seeds. */
  public Node start(String address) {
    Node node = nodes.get(address);
    node.life = lives++;
    node.stoppedUntil = -1;
    node.held.clear();
    node.wakesAt = Long.MAX_VALUE;
    node.fleet =
        new Fleet(
            rules,
            Word.first(node.name, address, node.place, node.life, "1", "s"),
            chance.nextLong(),
            now + node.clockOff);
    act(node, node.fleet.stage(now + node.clockOff, Stage.SERVING));
    return node;
  }

  /** Ends a process without announcing that it leaves. */
  public void kill(String address) {
    nodes.get(address).fleet = null;
  }

  /** Ends a process that announces before that it leaves. */
  public void end(String address) {
    Node node = nodes.get(address);
    act(node, node.fleet.leave(now + node.clockOff));
    node.fleet = null;
  }

  /** Pauses a process as SIGSTOP does; messages that arrive meanwhile wait. */
  public void stop(String address, long length) {
    Node node = nodes.get(address);
    node.stoppedUntil = now + length;
    at(
        now + length,
        () -> {
          if (node.stoppedUntil == now && node.fleet != null) {
            node.stoppedUntil = -1;
            List<Runnable> waiting = new ArrayList<>(node.held);
            node.held.clear();
            waiting.forEach(Runnable::run);
            wake(node, node.life);
          }
        });
  }

  /** Steps the clock of a node. */
  public void step(String address, long by) {
    nodes.get(address).clockOff += by;
  }

  private void wake(Node node, long life) {
    if (node.fleet == null || node.life != life || node.stoppedUntil >= 0) {
      return;
    }
    if (node.wakesAt <= now) {
      node.wakesAt = Long.MAX_VALUE;
    }
    act(node, node.fleet.tick(now + node.clockOff));
  }

  private void act(Node node, List<Action> actions) {
    for (Action action : actions) {
      if (action instanceof Action.Send send) {
        send(node, send);
      } else if (action instanceof Action.Changed changed) {
        Standing before = changed.before() == null ? null : changed.before().standing();
        if (before != changed.after().standing()) {
          seen.add(
              new Seen(
                  now,
                  node.name,
                  changed.after().name(),
                  changed.after().life(),
                  changed.after().standing()));
          digest = digest * 31 + seen.get(seen.size() - 1).hashCode();
        }
      } else if (action instanceof Action.Twin) {
        node.twins++;
      }
    }
    long due =
        node.fleet == null ? Long.MAX_VALUE : Math.max(now, node.fleet.due() - node.clockOff);
    if (due < node.wakesAt) {
      node.wakesAt = due;
      long life = node.life;
      at(due, () -> wake(node, life));
    }
  }

  // ---- Links ----

  private void send(Node from, Action.Send send) {
    from.bytesSent += send.letter().bytes();
    from.lettersSent++;
    digest = digest * 31 + send.letter().bytes() + now;
    Node to = nodes.get(send.address());
    if (to == null || cut.test(from, to)) {
      return;
    }
    Weather here =
        faults == null
            ? weather
            : faults.weather(now - faultsFrom, from.name, from.place, to.name, to.place);
    LinkModel link =
        links.computeIfAbsent(
            from.address + '>' + to.address, key -> new LinkModel(chance.nextLong()));
    for (long takes : link.next(here)) {
      if (wiretap.size() < 1 << 16) {
        wiretap.add(send.letter());
      }
      at(now + takes, () -> deliver(from.address, to, send.letter()));
    }
  }

  /** Delivers a message to the instance that runs on the node, if any. */
  public void deliver(String from, Node to, Letter letter) {
    if (to.fleet == null) {
      return;
    }
    if (to.stoppedUntil >= 0) {
      // Limited, as the receive buffer of a socket is.
      if (to.held.size() < 256) {
        to.held.add(() -> deliver(from, to, letter));
      }
      return;
    }
    act(to, to.fleet.heard(now + to.clockOff, from, letter));
  }

  // ---- Results ----

  /** The first 65,536 message copies put on a link. */
  public List<Letter> wiretap() {
    return wiretap;
  }

  /** All changes of status that members have observed, in order. */
  public List<Seen> seen() {
    return seen;
  }

  /** A digest of all messages and observations in order; equal for equal runs. */
  public long digest() {
    return digest;
  }

  /** Whether each running member knows exactly the running instances as live, and suspects none. */
  public boolean agreed() {
    Map<String, Long> running = new TreeMap<>();
    nodes.values().stream().filter(Node::running).forEach(one -> running.put(one.name, one.life));
    for (Node one : nodes.values()) {
      if (one.running()) {
        Map<String, Long> held = new TreeMap<>();
        held.put(one.name, one.life);
        one.fleet.others().stream()
            .filter(word -> word.standing().there())
            .forEach(word -> held.put(word.name(), word.life()));
        if (!held.equals(running)
            || one.fleet.others().stream().anyMatch(word -> word.standing() == Standing.SUSPECT)) {
          return false;
        }
      }
    }
    return true;
  }

  /** Runs until the members converge; returns the time taken, or -1 if it exceeds the limit. */
  public long untilAgreed(long most) {
    long from = now;
    while (now - from <= most) {
      if (agreed()) {
        return now - from;
      }
      run(now + 100 * MS);
    }
    return -1;
  }

  /** Starts members in three zones within 500 ms, and runs until they converge. */
  public static FleetWorld of(int members, Rules rules, long seed, Weather weather) {
    FleetWorld world = new FleetWorld(rules, seed);
    for (int i = 0; i < members; i++) {
      String address = "m" + i;
      world.node(address, "n" + i, "place-" + i % 3);
      world.at(world.chance.nextLong(500 * MS), () -> world.start(address));
    }
    world.run(500 * MS);
    if (world.untilAgreed(120_000 * MS) < 0) {
      throw new IllegalStateException(members + " members did not converge within 120 s");
    }
    world.weather(weather);
    return world;
  }
}

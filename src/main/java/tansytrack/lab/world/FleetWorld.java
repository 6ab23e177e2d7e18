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
 * Many memberships in one process and virtual time: the pure module as it runs on sockets, links
 * that lose, delay, double and reorder letters or are cut, members that are killed, stopped,
 * started again and whose clocks step. All chance and all order come from one seed.
 */
public final class FleetWorld {

  private static final long MS = 1_000_000L;

  private final Rules rules;
  private final SplittableRandom chance;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final TreeMap<String, Node> nodes = new TreeMap<>(); // by address
  private final Map<String, LinkModel> links = new HashMap<>();
  private final List<Letter> wiretap = new ArrayList<>();
  private final List<Seen> seen = new ArrayList<>();
  private Weather weather = Weather.FINE;
  private Faults faults; // null: the weather is the same everywhere
  private long faultsFrom;
  private BiPredicate<Node, Node> cut = (from, to) -> false;
  private long now;
  private long order;
  private long lives = 1;
  private long digest;

  /** Something that a member came to hold of another. */
  public record Seen(long at, String by, String of, long life, Standing standing) {}

  /** One process: what runs at an address. */
  public static final class Node {
    final String address;
    final String name;
    final String place;
    Fleet fleet; // null: it is not running
    long clockOff; // its steady clock against the world's
    long stoppedUntil = -1;
    long life;
    long wakesAt = Long.MAX_VALUE;
    final List<Runnable> held = new ArrayList<>(); // what came while it was stopped
    public long bytesSent;
    public long lettersSent;
    public long twins;

    Node(String address, String name, String place) {
      this.address = address;
      this.name = name;
      this.place = place;
    }

    /** The address that it has across all its lives. */
    public String address() {
      return address;
    }

    /** The name under which it is a member. */
    public String name() {
      return name;
    }

    /** The place that it stands in. */
    public String place() {
      return place;
    }

    /** Whether its process runs now. */
    public boolean running() {
      return fleet != null;
    }

    /** Its membership in this life, null while it does not run. */
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

  /** An empty world; everything random in it comes from the seed. */
  public FleetWorld(Rules rules, long seed) {
    this.rules = rules;
    chance = new SplittableRandom(seed);
  }

  // ---- The world's schedule ----

  /** The virtual time. */
  public long now() {
    return now;
  }

  /** Runs something at a virtual time, at once if that has passed. */
  public void at(long time, Runnable what) {
    events.add(new Event(Math.max(now, time), order++, what));
  }

  /** Plays all events up to a virtual time. */
  public void run(long until) {
    while (!events.isEmpty() && events.peek().at <= until) {
      Event next = events.poll();
      now = next.at;
      next.what.run();
    }
    now = until;
  }

  /** Changes what all links do from now on. */
  public void weather(Weather next) {
    weather = next;
  }

  /** Which letters never arrive, by who sends and who is to get them. */
  public void cut(BiPredicate<Node, Node> which) {
    cut = which;
  }

  /** Plays a schedule from now on; members are named as their addresses are, with 'n' for 'm'. */
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

  /** The node at an address, made where there is none; it is not started. */
  public Node node(String address, String name, String place) {
    return nodes.computeIfAbsent(address, at -> new Node(at, name, place));
  }

  /** The node at an address, or null. */
  public Node node(String address) {
    return nodes.get(address);
  }

  /** Another process takes that address over; what runs there next has that name. */
  public void rename(String address, String name) {
    Node before = nodes.get(address);
    nodes.put(address, new Node(address, name, before.place));
  }

  /** It says that of a subject from now on. */
  public void tell(Node node, String kind, String subject, long value, long lasts) {
    if (node.fleet != null && node.stoppedUntil < 0) {
      act(node, node.fleet.tell(now + node.clockOff, kind, subject, new long[] {value}, lasts));
    }
  }

  /** All nodes, running or not, by address. */
  public Iterable<Node> nodes() {
    return nodes.values();
  }

  /** Starts it, knowing nothing but the seeds. */
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

  /** Ends a node's process without a farewell. */
  public void kill(String address) {
    nodes.get(address).fleet = null;
  }

  /** Told to end: it says so, and ends. */
  public void end(String address) {
    Node node = nodes.get(address);
    act(node, node.fleet.leave(now + node.clockOff));
    node.fleet = null;
  }

  /** As SIGSTOP does: what comes meanwhile waits for it. */
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

  /** Moves a node's clock by a step. */
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

  /** A letter comes to whatever runs there by then. */
  public void deliver(String from, Node to, Letter letter) {
    if (to.fleet == null) {
      return;
    }
    if (to.stoppedUntil >= 0) {
      if (to.held.size() < 256) { // as a socket's buffer holds no more
        to.held.add(() -> deliver(from, to, letter));
      }
      return;
    }
    act(to, to.fleet.heard(now + to.clockOff, from, letter));
  }

  // ---- What came of it ----

  /** Letters that were on their way, the first 65,536. */
  public List<Letter> wiretap() {
    return wiretap;
  }

  /** What members saw of each other, in order. */
  public List<Seen> seen() {
    return seen;
  }

  /** Of all that was sent and held, in order. */
  public long digest() {
    return digest;
  }

  /** Do all that run hold each other to be there, and nobody else, in the lives that run? */
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

  /** Runs on until they agree; how long that took, or -1 if it did not come by then. */
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

  /** A fleet of so many in three places, all started within a moment and run until they agree. */
  public static FleetWorld of(int members, Rules rules, long seed, Weather weather) {
    FleetWorld world = new FleetWorld(rules, seed);
    for (int i = 0; i < members; i++) {
      String address = "m" + i;
      world.node(address, "n" + i, "place-" + i % 3);
      world.at(world.chance.nextLong(500 * MS), () -> world.start(address));
    }
    world.run(500 * MS);
    if (world.untilAgreed(120_000 * MS) < 0) {
      throw new IllegalStateException("a fleet of " + members + " did not come together in 120 s");
    }
    world.weather(weather);
    return world;
  }
}

package tansytrack.lab.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import tansytrack.fleet.Action;
import tansytrack.fleet.MemberState;
import tansytrack.fleet.MemberStatus;
import tansytrack.fleet.Membership;
import tansytrack.fleet.MembershipConfig;
import tansytrack.fleet.Message;
import tansytrack.fleet.Stage;

/**
 * Many memberships in one process and virtual time: the pure module as it runs on sockets, links
 * that lose, delay, double and reorder letters or are cut, members that are killed, stopped,
 * started again and whose clocks step. All chance and all order come from one seed.
 */
public final class MembershipSimulation {

  private static final long NANOS_PER_MS = 1_000_000L;

  private final MembershipConfig config;
  private final SplittableRandom random;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final TreeMap<String, Node> nodes = new TreeMap<>(); // by address
  private final Map<String, LinkModel> links = new HashMap<>();
  private final List<Message> capturedMessages = new ArrayList<>();
  private final List<Observation> observations = new ArrayList<>();
  private LinkConditions linkConditions = LinkConditions.GOOD;
  private FaultSchedule faults; // null: the weather is the same everywhere
  private long faultsStartedAt;
  private BiPredicate<Node, Node> partition = (from, to) -> false;
  private long now;
  private long nextEventOrder;
  private long nextInstanceId = 1;
  private long digest;

  /** Something that a member came to hold of another. */
  public record Observation(
      long at, String observer, String member, long instanceId, MemberStatus status) {}

  /** One process: what runs at an address. */
  public static final class Node {
    final String address;
    final String name;
    final String zone;
    Membership membership; // null: it is not running
    long clockOffsetNanos; // its steady clock against the world's
    long pausedUntil = -1;
    long instanceId;
    long wakesAt = Long.MAX_VALUE;
    final List<Runnable> receivedWhilePaused = new ArrayList<>(); // what came while it was stopped
    public long bytesSent;
    public long messagesSent;
    public long nameConflicts;

    Node(String address, String name, String place) {
      this.address = address;
      this.name = name;
      this.zone = place;
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
    public String zone() {
      return zone;
    }

    /** Whether its process runs now. */
    public boolean running() {
      return membership != null;
    }

    /** Its membership in this life, null while it does not run. */
    public Membership membership() {
      return membership;
    }
  }

  private record Event(long at, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  /** An empty world; everything random in it comes from the seed. */
  public MembershipSimulation(MembershipConfig rules, long seed) {
    this.config = rules;
    random = new SplittableRandom(seed);
  }

  // ---- The world's schedule ----

  /** The virtual time. */
  public long now() {
    return now;
  }

  /** Runs something at a virtual time, at once if that has passed. */
  public void schedule(long time, Runnable what) {
    events.add(new Event(Math.max(now, time), nextEventOrder++, what));
  }

  /** Plays all events up to a virtual time. */
  public void runUntil(long until) {
    while (!events.isEmpty() && events.peek().at <= until) {
      Event next = events.poll();
      now = next.at;
      next.action.run();
    }
    now = until;
  }

  /** Changes what all links do from now on. */
  public void linkConditions(LinkConditions next) {
    linkConditions = next;
  }

  /** Which letters never arrive, by who sends and who is to get them. */
  public void partition(BiPredicate<Node, Node> which) {
    partition = which;
  }

  /** Plays a schedule from now on; members are named as their addresses are, with 'n' for 'm'. */
  public void injectFaults(FaultSchedule schedule) {
    faults = schedule;
    faultsStartedAt = now;
    for (FaultSchedule.ProcessFault one : schedule.processes()) {
      String address =
          nodes.values().stream()
              .filter(node -> node.name.equals(one.member()))
              .findFirst()
              .orElseThrow()
              .address;
      schedule(
          now + one.startNanos(),
          () -> {
            switch (one.kind()) {
              case STOP -> pause(address, one.durationNanos());
              case KILL -> kill(address);
              case END -> shutDown(address);
              default -> throw new IllegalStateException();
            }
          });
      if (one.kind() != FaultSchedule.ProcessFaultKind.STOP && one.durationNanos() > 0) {
        schedule(now + one.startNanos() + one.durationNanos(), () -> start(address));
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
  public void replaceNode(String address, String name) {
    Node before = nodes.get(address);
    nodes.put(address, new Node(address, name, before.zone));
  }

  /** It says that of a subject from now on. */
  public void publishFact(Node node, String kind, String subject, long value, long lasts) {
    if (node.membership != null && node.pausedUntil < 0) {
      execute(
          node,
          node.membership.publishFact(
              now + node.clockOffsetNanos, kind, subject, new long[] {value}, lasts));
    }
  }

  /** All nodes, running or not, by address. */
  public Iterable<Node> nodes() {
    return nodes.values();
  }

  /** Starts it, knowing nothing but the seeds. */
  public Node start(String address) {
    Node node = nodes.get(address);
    node.instanceId = nextInstanceId++;
    node.pausedUntil = -1;
    node.receivedWhilePaused.clear();
    node.wakesAt = Long.MAX_VALUE;
    node.membership =
        new Membership(
            config,
            MemberState.initial(node.name, address, node.zone, node.instanceId, "1", "s"),
            random.nextLong(),
            now + node.clockOffsetNanos);
    execute(node, node.membership.setStage(now + node.clockOffsetNanos, Stage.SERVING));
    return node;
  }

  /** Ends a node's process without a farewell. */
  public void kill(String address) {
    nodes.get(address).membership = null;
  }

  /** Told to end: it says so, and ends. */
  public void shutDown(String address) {
    Node node = nodes.get(address);
    execute(node, node.membership.leave(now + node.clockOffsetNanos));
    node.membership = null;
  }

  /** As SIGSTOP does: what comes meanwhile waits for it. */
  public void pause(String address, long length) {
    Node node = nodes.get(address);
    node.pausedUntil = now + length;
    schedule(
        now + length,
        () -> {
          if (node.pausedUntil == now && node.membership != null) {
            node.pausedUntil = -1;
            List<Runnable> waiting = new ArrayList<>(node.receivedWhilePaused);
            node.receivedWhilePaused.clear();
            waiting.forEach(Runnable::run);
            wake(node, node.instanceId);
          }
        });
  }

  /** Moves a node's clock by a step. */
  public void stepClock(String address, long by) {
    nodes.get(address).clockOffsetNanos += by;
  }

  private void wake(Node node, long life) {
    if (node.membership == null || node.instanceId != life || node.pausedUntil >= 0) {
      return;
    }
    if (node.wakesAt <= now) {
      node.wakesAt = Long.MAX_VALUE;
    }
    execute(node, node.membership.tick(now + node.clockOffsetNanos));
  }

  private void execute(Node node, List<Action> actions) {
    for (Action action : actions) {
      if (action instanceof Action.Send send) {
        send(node, send);
      } else if (action instanceof Action.MemberChanged changed) {
        MemberStatus before = changed.before() == null ? null : changed.before().status();
        if (before != changed.after().status()) {
          observations.add(
              new Observation(
                  now,
                  node.name,
                  changed.after().name(),
                  changed.after().instanceId(),
                  changed.after().status()));
          digest = digest * 31 + observations.get(observations.size() - 1).hashCode();
        }
      } else if (action instanceof Action.NameConflict) {
        node.nameConflicts++;
      }
    }
    long due =
        node.membership == null
            ? Long.MAX_VALUE
            : Math.max(now, node.membership.nextDeadline() - node.clockOffsetNanos);
    if (due < node.wakesAt) {
      node.wakesAt = due;
      long life = node.instanceId;
      schedule(due, () -> wake(node, life));
    }
  }

  // ---- Links ----

  private void send(Node from, Action.Send send) {
    from.bytesSent += send.message().maxEncodedBytes();
    from.messagesSent++;
    digest = digest * 31 + send.message().maxEncodedBytes() + now;
    Node to = nodes.get(send.address());
    if (to == null || partition.test(from, to)) {
      return;
    }
    LinkConditions here =
        faults == null
            ? linkConditions
            : faults.linkConditions(now - faultsStartedAt, from.name, from.zone, to.name, to.zone);
    LinkModel link =
        links.computeIfAbsent(
            from.address + '>' + to.address, key -> new LinkModel(random.nextLong()));
    for (long takes : link.deliveryDelays(here)) {
      if (capturedMessages.size() < 1 << 16) {
        capturedMessages.add(send.message());
      }
      schedule(now + takes, () -> deliver(from.address, to, send.message()));
    }
  }

  /** A letter comes to whatever runs there by then. */
  public void deliver(String from, Node to, Message letter) {
    if (to.membership == null) {
      return;
    }
    if (to.pausedUntil >= 0) {
      if (to.receivedWhilePaused.size() < 256) { // as a socket's buffer holds no more
        to.receivedWhilePaused.add(() -> deliver(from, to, letter));
      }
      return;
    }
    execute(to, to.membership.receive(now + to.clockOffsetNanos, from, letter));
  }

  // ---- What came of it ----

  /** Letters that were on their way, the first 65,536. */
  public List<Message> capturedMessages() {
    return capturedMessages;
  }

  /** What members saw of each other, in order. */
  public List<Observation> observations() {
    return observations;
  }

  /** Of all that was sent and held, in order. */
  public long digest() {
    return digest;
  }

  /** Do all that run hold each other to be there, and nobody else, in the lives that run? */
  public boolean hasConverged() {
    Map<String, Long> running = new TreeMap<>();
    nodes.values().stream()
        .filter(Node::running)
        .forEach(one -> running.put(one.name, one.instanceId));
    for (Node one : nodes.values()) {
      if (one.running()) {
        Map<String, Long> held = new TreeMap<>();
        held.put(one.name, one.instanceId);
        one.membership.others().stream()
            .filter(word -> word.status().isLive())
            .forEach(word -> held.put(word.name(), word.instanceId()));
        if (!held.equals(running)
            || one.membership.others().stream()
                .anyMatch(word -> word.status() == MemberStatus.SUSPECT)) {
          return false;
        }
      }
    }
    return true;
  }

  /** Runs on until they agree; how long that took, or -1 if it did not come by then. */
  public long runUntilConverged(long most) {
    long from = now;
    while (now - from <= most) {
      if (hasConverged()) {
        return now - from;
      }
      runUntil(now + 100 * NANOS_PER_MS);
    }
    return -1;
  }

  /** A fleet of so many in three places, all started within a moment and run until they agree. */
  public static MembershipSimulation startConverged(
      int members, MembershipConfig rules, long seed, LinkConditions weather) {
    MembershipSimulation world = new MembershipSimulation(rules, seed);
    for (int i = 0; i < members; i++) {
      String address = "m" + i;
      world.node(address, "n" + i, "place-" + i % 3);
      world.schedule(world.random.nextLong(500 * NANOS_PER_MS), () -> world.start(address));
    }
    world.runUntil(500 * NANOS_PER_MS);
    if (world.runUntilConverged(120_000 * NANOS_PER_MS) < 0) {
      throw new IllegalStateException("a fleet of " + members + " did not come together in 120 s");
    }
    world.linkConditions(weather);
    return world;
  }
}

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
 * Simulates many members in virtual time: the same membership as on sockets, links that lose,
 * delay, duplicate and reorder messages or are partitioned, and members that are killed, paused,
 * restarted or have their clocks stepped. All randomness and the order of events derive from one
 * seed.
 */
public final class MembershipSimulation {

  private static final long NANOS_PER_MS = 1_000_000L;

  private final MembershipConfig config;
  private final SplittableRandom random;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  // By address.
  private final TreeMap<String, Node> nodes = new TreeMap<>();
  private final Map<String, LinkModel> links = new HashMap<>();
  private final List<Message> capturedMessages = new ArrayList<>();
  private final List<Observation> observations = new ArrayList<>();
  private LinkConditions linkConditions = LinkConditions.GOOD;
  // Null if all links have the same conditions.
  private FaultSchedule faults;
  private long faultsStartedAt;
  private BiPredicate<Node, Node> partition = (from, to) -> false;
  private long now;
  private long nextEventOrder;
  private long nextInstanceId = 1;
  private long digest;

  /** A status that a member has assigned to another one. */
  public record Observation(
      long at, String observer, String member, long instanceId, MemberStatus status) {}

  /** The process at an address. */
  public static final class Node {
    final String address;
    final String name;
    final String zone;
    // Null while the process does not run.
    Membership membership;
    // Difference of the process's monotonic clock from the virtual time.
    long clockOffsetNanos;
    long pausedUntil = -1;
    long instanceId;
    long wakesAt = Long.MAX_VALUE;
    final List<Runnable> receivedWhilePaused = new ArrayList<>();

    /** Bytes of the messages sent, by their size estimate. */
    public long bytesSent;

    /** Number of messages sent. */
    public long messagesSent;

    /** Number of name conflicts reported. */
    public long nameConflicts;

    Node(String address, String name, String zone) {
      this.address = address;
      this.name = name;
      this.zone = zone;
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
    public String zone() {
      return zone;
    }

    /** Whether the process is running. */
    public boolean running() {
      return membership != null;
    }

    /** The membership of the running instance, or null. */
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

  /** A simulation without nodes. All randomness is derived from the seed. */
  public MembershipSimulation(MembershipConfig config, long seed) {
    this.config = config;
    random = new SplittableRandom(seed);
  }

  // ---- Virtual time and schedule ----

  /** The virtual time. */
  public long now() {
    return now;
  }

  /** Schedules an action at a virtual time, or at once if that has passed. */
  public void schedule(long time, Runnable action) {
    events.add(new Event(Math.max(now, time), nextEventOrder++, action));
  }

  /** Processes all events up to a virtual time. */
  public void runUntil(long until) {
    while (!events.isEmpty() && events.peek().at <= until) {
      Event next = events.poll();
      now = next.at;
      next.action.run();
    }
    now = until;
  }

  /** Sets the conditions of all links from now on. */
  public void linkConditions(LinkConditions conditions) {
    linkConditions = conditions;
  }

  /** Drops all messages for which the predicate on sender and recipient holds. */
  public void partition(BiPredicate<Node, Node> dropped) {
    partition = dropped;
  }

  /** Starts a schedule of faults now; it names members by their names, not by addresses. */
  public void injectFaults(FaultSchedule schedule) {
    faults = schedule;
    faultsStartedAt = now;
    for (FaultSchedule.ProcessFault fault : schedule.processes()) {
      String address =
          nodes.values().stream()
              .filter(node -> node.name.equals(fault.member()))
              .findFirst()
              .orElseThrow()
              .address;
      schedule(
          now + fault.startNanos(),
          () -> {
            switch (fault.kind()) {
              case STOP -> pause(address, fault.durationNanos());
              case KILL -> kill(address);
              case END -> shutDown(address);
              default -> throw new IllegalStateException();
            }
          });
      if (fault.kind() != FaultSchedule.ProcessFaultKind.STOP && fault.durationNanos() > 0) {
        schedule(now + fault.startNanos() + fault.durationNanos(), () -> start(address));
      }
    }
  }

  // ---- Members ----

  /** The node at an address, created but not started if there is none. */
  public Node node(String address, String name, String zone) {
    return nodes.computeIfAbsent(address, key -> new Node(key, name, zone));
  }

  /** The node at an address, or null if there is none. */
  public Node node(String address) {
    return nodes.get(address);
  }

  /** Replaces the node at an address by one with another name, as if a new process took it over. */
  public void replaceNode(String address, String name) {
    Node before = nodes.get(address);
    nodes.put(address, new Node(address, name, before.zone));
  }

  /** Publishes a fact on a node that runs and is not paused. */
  public void publishFact(Node node, String kind, String subject, long value, long ttlNanos) {
    if (node.membership != null && node.pausedUntil < 0) {
      execute(
          node,
          node.membership.publishFact(
              now + node.clockOffsetNanos, kind, subject, new long[] {value}, ttlNanos));
    }
  }

  /** All nodes, running or not, ordered by address. */
  public Iterable<Node> nodes() {
    return nodes.values();
  }

  /** Starts a new instance, which knows nothing but the seeds. */
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

  /** Ends a process without announcing that it leaves. */
  public void kill(String address) {
    nodes.get(address).membership = null;
  }

  /** Ends a process that announces before that it leaves. */
  public void shutDown(String address) {
    Node node = nodes.get(address);
    execute(node, node.membership.leave(now + node.clockOffsetNanos));
    node.membership = null;
  }

  /** Pauses a process as SIGSTOP does; messages that arrive meanwhile wait. */
  public void pause(String address, long duration) {
    Node node = nodes.get(address);
    node.pausedUntil = now + duration;
    schedule(
        now + duration,
        () -> {
          if (node.pausedUntil == now && node.membership != null) {
            node.pausedUntil = -1;
            List<Runnable> received = new ArrayList<>(node.receivedWhilePaused);
            node.receivedWhilePaused.clear();
            received.forEach(Runnable::run);
            wake(node, node.instanceId);
          }
        });
  }

  /** Steps the clock of a node. */
  public void stepClock(String address, long offset) {
    nodes.get(address).clockOffsetNanos += offset;
  }

  private void wake(Node node, long instanceId) {
    if (node.membership == null || node.instanceId != instanceId || node.pausedUntil >= 0) {
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
      long instanceId = node.instanceId;
      schedule(due, () -> wake(node, instanceId));
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
    LinkConditions conditions =
        faults == null
            ? linkConditions
            : faults.linkConditions(now - faultsStartedAt, from.name, from.zone, to.name, to.zone);
    LinkModel link =
        links.computeIfAbsent(
            from.address + '>' + to.address, key -> new LinkModel(random.nextLong()));
    for (long delay : link.deliveryDelays(conditions)) {
      if (capturedMessages.size() < 1 << 16) {
        capturedMessages.add(send.message());
      }
      schedule(now + delay, () -> deliver(from.address, to, send.message()));
    }
  }

  /** Delivers a message to the instance that runs on the node, if any. */
  public void deliver(String from, Node to, Message message) {
    if (to.membership == null) {
      return;
    }
    if (to.pausedUntil >= 0) {
      // Limited, as the receive buffer of a socket is.
      if (to.receivedWhilePaused.size() < 256) {
        to.receivedWhilePaused.add(() -> deliver(from, to, message));
      }
      return;
    }
    execute(to, to.membership.receive(now + to.clockOffsetNanos, from, message));
  }

  // ---- Results ----

  /** The first 65,536 message copies put on a link. */
  public List<Message> capturedMessages() {
    return capturedMessages;
  }

  /** All changes of status that members have observed, in order. */
  public List<Observation> observations() {
    return observations;
  }

  /** A digest of all messages and observations in order; equal for equal runs. */
  public long digest() {
    return digest;
  }

  /** Whether each running member knows exactly the running instances as live, and suspects none. */
  public boolean hasConverged() {
    Map<String, Long> running = new TreeMap<>();
    nodes.values().stream()
        .filter(Node::running)
        .forEach(node -> running.put(node.name, node.instanceId));
    for (Node node : nodes.values()) {
      if (node.running()) {
        Map<String, Long> considered = new TreeMap<>();
        considered.put(node.name, node.instanceId);
        node.membership.others().stream()
            .filter(state -> state.status().isLive())
            .forEach(state -> considered.put(state.name(), state.instanceId()));
        if (!considered.equals(running)
            || node.membership.others().stream()
                .anyMatch(state -> state.status() == MemberStatus.SUSPECT)) {
          return false;
        }
      }
    }
    return true;
  }

  /** Runs until the members converge; returns the time taken, or -1 if it exceeds the limit. */
  public long runUntilConverged(long limit) {
    long start = now;
    while (now - start <= limit) {
      if (hasConverged()) {
        return now - start;
      }
      runUntil(now + 100 * NANOS_PER_MS);
    }
    return -1;
  }

  /** Starts members in three zones within 500 ms, and runs until they converge. */
  public static MembershipSimulation startConverged(
      int members, MembershipConfig config, long seed, LinkConditions conditions) {
    MembershipSimulation simulation = new MembershipSimulation(config, seed);
    for (int i = 0; i < members; i++) {
      String address = "m" + i;
      simulation.node(address, "n" + i, "place-" + i % 3);
      simulation.schedule(
          simulation.random.nextLong(500 * NANOS_PER_MS), () -> simulation.start(address));
    }
    simulation.runUntil(500 * NANOS_PER_MS);
    if (simulation.runUntilConverged(120_000 * NANOS_PER_MS) < 0) {
      throw new IllegalStateException(members + " members did not converge within 120 s");
    }
    simulation.linkConditions(conditions);
    return simulation;
  }
}

package tansytrack.fleet.udp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntConsumer;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioDatagramAcceptor;
import org.jctools.queues.MpscArrayQueue;
import org.tinylog.Logger;
import tansytrack.fleet.Action;
import tansytrack.fleet.BudgetDivisor;
import tansytrack.fleet.MemberState;
import tansytrack.fleet.MemberStatus;
import tansytrack.fleet.Membership;
import tansytrack.fleet.MembershipConfig;
import tansytrack.fleet.Message;
import tansytrack.fleet.Stage;
import tansytrack.log.Event;
import tansytrack.operator.OperatorFile;
import tansytrack.state.PeerManagers;

/**
 * Runs the membership over UDP. MINA's thread puts received datagrams into a bounded queue, and one
 * thread owns the membership. For the event loop of the manager that thread publishes counts and
 * rows, and it reports the number of managers through the listener.
 */
public final class UdpMembership implements PeerManagers {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MS;
  private static final int MAX_QUEUED_EVENTS = 4096;
  private static final int RECEIVE_BUFFER_BYTES = 2048;
  // How long close() waits for the thread to announce that this member leaves.
  private static final long LEAVE_TIMEOUT_MS = 200;
  // How long close() waits for MINA's thread to write the last datagrams.
  private static final long FLUSH_MS = 20;

  private final Membership membership;
  private final BudgetDivisor budgetDivisor;
  private final String name;
  private final Map<String, InetSocketAddress> addresses = new HashMap<>();
  private final Map<InetSocketAddress, String> names = new HashMap<>();
  private final NioDatagramAcceptor socket = new NioDatagramAcceptor();
  private final InetSocketAddress localAddress;
  private final MpscArrayQueue<Runnable> eventQueue = new MpscArrayQueue<>(MAX_QUEUED_EVENTS);
  private final IntConsumer divisorListener;
  private final Thread thread = new Thread(this::run, "fleet");
  private final Map<String, Long> counts = new TreeMap<>();
  private volatile Map<String, Long> publishedCounts = Map.of();
  private volatile List<String[]> publishedRows = List.of();
  private volatile long droppedEvents;
  private volatile boolean stopped;
  private long publishedAt;
  private long lastRejectionLoggedAt;
  private int lastDivisor = -1;

  private UdpMembership(
      OperatorFile.FleetSection section,
      String name,
      String version,
      String settingsDigest,
      int configuredManagers,
      IntConsumer divisorListener) {
    this.name = name;
    this.divisorListener = divisorListener;
    localAddress = parseAddress(section.address());
    List<String> seeds = new ArrayList<>();
    boolean hasSeeds = section.peers().stream().anyMatch(OperatorFile.FleetPeer::seed);
    for (OperatorFile.FleetPeer peer : section.peers()) {
      addresses.put(peer.name(), parseAddress(peer.address()));
      names.put(parseAddress(peer.address()), peer.name());
      if (peer.seed() || !hasSeeds) {
        seeds.add(peer.name());
      }
    }
    MembershipConfig config =
        MembershipConfig.defaults(seeds, section.probeIntervalNanos(), section.maxBytesPerSecond());
    SecureRandom random = new SecureRandom();
    long instanceId = random.nextLong();
    membership =
        new Membership(
            config,
            MemberState.initial(
                name,
                name,
                section.zone(),
                instanceId == 0 ? 1 : instanceId,
                version,
                settingsDigest),
            random.nextLong(),
            System.nanoTime());
    budgetDivisor =
        new BudgetDivisor(
            Math.max(section.peers().size(), configuredManagers - 1), section.settleNanos());
  }

  /**
   * Binds the socket and starts the membership. Each change of the number of managers that share a
   * cold engine's budget is passed to the listener on the membership's thread. Managers that are
   * configured but missing in the operator file still count.
   */
  public static UdpMembership start(
      OperatorFile.FleetSection section,
      String name,
      String version,
      String settingsDigest,
      int configuredManagers,
      IntConsumer divisorListener)
      throws IOException {
    UdpMembership membership =
        new UdpMembership(
            section, name, version, settingsDigest, configuredManagers, divisorListener);
    membership.socket.getSessionConfig().setReadBufferSize(RECEIVE_BUFFER_BYTES);
    membership.socket.setHandler(membership.new Handler());
    try {
      membership.socket.bind(membership.localAddress);
    } catch (IOException e) {
      membership.socket.dispose();
      throw new IOException("address " + section.address() + ": " + e.getMessage(), e);
    }
    membership.thread.setDaemon(true);
    membership.thread.start();
    Event.info(
        "fleet",
        name + " gossips with " + section.peers().size() + " peers from " + section.address(),
        "manager",
        name,
        "peers",
        section.peers().size(),
        "address",
        section.address());
    return membership;
  }

  private static InetSocketAddress parseAddress(String text) {
    int colon = text.indexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** Runs on MINA's thread; only enqueues work for the membership's thread. */
  private final class Handler extends IoHandlerAdapter {
    @Override
    public void messageReceived(IoSession session, Object message) {
      IoBuffer buffer = (IoBuffer) message;
      byte[] datagram = new byte[buffer.remaining()];
      buffer.get(datagram);
      InetSocketAddress from = (InetSocketAddress) session.getRemoteAddress();
      String peer = names.get(from);
      if (peer == null) {
        // MINA keeps a session per source address until it is closed; without this, a flood from
        // many addresses would exhaust memory.
        session.closeNow();
        enqueue(
            () -> reject("stranger", from, "the source address is not that of a configured peer"));
      } else {
        enqueue(() -> receive(from, peer, datagram));
      }
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      enqueue(() -> count("socket.failed"));
    }
  }

  /** Never blocks: if the queue is full, the work is dropped and counted. */
  private void enqueue(Runnable event) {
    if (eventQueue.offer(event)) {
      LockSupport.unpark(thread);
    } else {
      countDropped();
    }
  }

  private synchronized void countDropped() {
    droppedEvents++;
  }

  // ---- The membership's thread ----

  private void run() {
    try {
      while (!stopped) {
        for (Runnable event = eventQueue.poll(); event != null; event = eventQueue.poll()) {
          event.run();
        }
        long now = System.nanoTime();
        if (membership.nextDeadline() <= now) {
          execute(membership.tick(now));
        }
        if (now - publishedAt >= NANOS_PER_SECOND) {
          publish(now);
        }
        if (eventQueue.isEmpty()) {
          LockSupport.parkNanos(
              Math.max(
                  NANOS_PER_MS / 4, Math.min(membership.nextDeadline() - now, NANOS_PER_SECOND)));
        }
      }
    } catch (RuntimeException | Error e) {
      // The manager continues without membership and keeps the last number of managers, which is
      // the larger one.
      Logger.error(e, "the membership ended with a failure; this manager goes on without it");
    }
  }

  private void receive(InetSocketAddress from, String peer, byte[] datagram) {
    Message message;
    try {
      message = MessageCodec.decode(datagram);
    } catch (MessageCodec.DecodeException e) {
      reject("unreadable", from, e.getMessage());
      return;
    }
    String claimedName = message.sender().name();
    if (!claimedName.equals(peer) && !claimedName.equals(name)) {
      reject(
          "misnamed",
          from,
          "it claims to be from '"
              + claimedName
              + "', but its source address is that of '"
              + peer
              + "'");
      return;
    }
    // Only the updates about unknown members are dropped. If whole messages were, a manager would
    // look dead to those whose operator files name fewer peers.
    List<MemberState> knownUpdates =
        message.updates().stream()
            .filter(update -> addresses.containsKey(update.name()) || update.name().equals(name))
            .toList();
    if (knownUpdates.size() < message.updates().size()) {
      reject(
          "unknown_name",
          from,
          "it has an update about a manager that is not a configured peer; the rest is accepted");
    }
    count("letters");
    execute(membership.receive(System.nanoTime(), peer, message.withUpdates(knownUpdates)));
  }

  /** Counts a rejected datagram and logs once a second at most; no reply is sent. */
  private void reject(String reason, InetSocketAddress from, String detail) {
    count("refused." + reason);
    long now = System.nanoTime();
    if (now - lastRejectionLoggedAt >= NANOS_PER_SECOND) {
      lastRejectionLoggedAt = now;
      Logger.warn("fleet: rejected all or part of a datagram from {}: {}", from, detail);
    }
  }

  private void execute(List<Action> actions) {
    for (Action action : actions) {
      if (action instanceof Action.Send send) {
        InetSocketAddress to = addresses.get(send.address());
        if (to != null) {
          count("sent");
          socket
              .newSession(to, localAddress)
              .write(IoBuffer.wrap(MessageCodec.encode(send.message())));
        }
      } else if (action instanceof Action.MemberChanged changed) {
        budgetDivisor.memberChanged(changed.after());
        logStatusChange(changed);
        publishedAt = 0;
      } else if (action instanceof Action.NameConflict conflict) {
        Event.warn(
            "fleet.twin",
            "another process uses the name '"
                + conflict.name()
                + "' of this manager; rename one of them",
            "manager",
            conflict.name());
      }
    }
    int divisor = budgetDivisor.update(System.nanoTime(), membership.view().liveMembers());
    if (divisor != lastDivisor) {
      lastDivisor = divisor;
      divisorListener.accept(divisor);
    }
  }

  private void logStatusChange(Action.MemberChanged changed) {
    MemberState after = changed.after();
    boolean wasLive = changed.before() != null && changed.before().status().isLive();
    if (after.status() == MemberStatus.SUSPECT) {
      // Not logged: on lossy links there are many, and most are refuted.
      count("suspicions");
    } else if (wasLive != after.status().isLive()
        || changed.before().instanceId() != after.instanceId()) {
      Event.info(
          "fleet.member",
          "fleet: "
              + after.name()
              + " is "
              + after.status().name().toLowerCase(java.util.Locale.ROOT)
              + (after.reportedBy().isEmpty() ? "" : ", reported by " + after.reportedBy()),
          "member",
          after.name(),
          "standing",
          after.status(),
          "incarnation",
          after.incarnation());
    }
  }

  private void count(String name) {
    counts.merge("fleet." + name, 1L, Long::sum);
  }

  /** Publishes the counts and the rows that the event loop reads. */
  private void publish(long now) {
    publishedAt = now;
    List<String[]> rows = new ArrayList<>();
    rows.add(row(membership.self(), 0));
    for (MemberState state : membership.others()) {
      rows.add(row(state, (now - membership.statusSince(state.name())) / NANOS_PER_SECOND));
    }
    publishedRows = List.copyOf(rows);
    Map<String, Long> snapshot = new TreeMap<>(counts);
    membership.counts().forEach((name, count) -> snapshot.put("fleet." + name, count));
    snapshot.put("fleet.there", (long) membership.view().liveMembers());
    snapshot.put("fleet.in_place", (long) membership.view().liveMembersInZone());
    snapshot.put("fleet.reckoned", (long) Math.max(0, lastDivisor));
    snapshot.put("fleet.health", (long) membership.healthScore());
    snapshot.put("fleet.facts", (long) membership.facts().size());
    snapshot.put("fleet.facts_refused", membership.facts().rejected());
    snapshot.put("fleet.overflow", droppedEvents);
    publishedCounts = Map.copyOf(snapshot);
  }

  private String[] row(MemberState state, long sinceSeconds) {
    return new String[] {
      state.name(),
      state.zone(),
      state.status().name(),
      state.stage().name(),
      Long.toString(sinceSeconds),
      Long.toString(state.incarnation()),
      state.version(),
      state.settingsDigest(),
      Long.toString(membership.facts().countOwnedBy(state.name()))
    };
  }

  // ---- Called on the manager's event loop ----

  @Override
  public void markServing() {
    enqueue(() -> execute(membership.setStage(System.nanoTime(), Stage.SERVING)));
  }

  @Override
  public void markLeaving() {
    enqueue(() -> execute(membership.setStage(System.nanoTime(), Stage.LEAVING)));
  }

  @Override
  public Map<String, Long> counts() {
    return publishedCounts;
  }

  @Override
  public List<String[]> members() {
    return publishedRows;
  }

  /** Announces that this member leaves, and stops. */
  @Override
  public void close() {
    enqueue(
        () -> {
          execute(membership.leave(System.nanoTime()));
          stopped = true;
        });
    try {
      thread.join(LEAVE_TIMEOUT_MS);
      Thread.sleep(FLUSH_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    stopped = true;
    socket.dispose();
  }
}

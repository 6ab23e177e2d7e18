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
 * The membership on datagrams: MINA's thread hands over what comes, bounded, and one thread owns
 * the pure module. What the loop wants to know lies ready for it; what it is to hear goes into its
 * inbox.
 */
public final class UdpMembership implements PeerManagers {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MS;
  private static final int MAX_QUEUED_EVENTS = 4096;
  private static final int RECEIVE_BUFFER_BYTES = 2048; // a datagram; letters are shorter
  private static final long LEAVE_TIMEOUT_MS =
      200; // ms that the end waits for the thread to say them

  private static final long FLUSH_MS = 20; // ms

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
  private long lastRefusalLoggedAt;
  private int lastDivisor = -1;

  private UdpMembership(
      OperatorFile.FleetSection section,
      String name,
      String version,
      String settings,
      int configured,
      IntConsumer siblings) {
    this.name = name;
    this.divisorListener = siblings;
    localAddress = parseAddress(section.address());
    List<String> seeds = new ArrayList<>();
    boolean any = section.peers().stream().anyMatch(OperatorFile.FleetPeer::seed);
    for (OperatorFile.FleetPeer peer : section.peers()) {
      addresses.put(peer.name(), parseAddress(peer.address()));
      names.put(parseAddress(peer.address()), peer.name());
      if (peer.seed() || !any) {
        seeds.add(peer.name());
      }
    }
    MembershipConfig rules =
        MembershipConfig.defaults(seeds, section.probeIntervalNanos(), section.maxBytesPerSecond());
    SecureRandom chance = new SecureRandom();
    long life = chance.nextLong();
    membership =
        new Membership(
            rules,
            MemberState.initial(
                name, name, section.zone(), life == 0 ? 1 : life, version, settings),
            chance.nextLong(),
            System.nanoTime());
    budgetDivisor =
        new BudgetDivisor(Math.max(section.peers().size(), configured - 1), section.settleNanos());
  }

  /**
   * Binds and starts it. The number of managers to reckon by is said on its thread, whenever it is
   * another; a file that names fewer than were configured lowers it by nobody.
   */
  public static UdpMembership start(
      OperatorFile.FleetSection section,
      String name,
      String version,
      String settings,
      int configured,
      IntConsumer siblings)
      throws IOException {
    UdpMembership link = new UdpMembership(section, name, version, settings, configured, siblings);
    link.socket.getSessionConfig().setReadBufferSize(RECEIVE_BUFFER_BYTES);
    link.socket.setHandler(link.new Handler());
    try {
      link.socket.bind(link.localAddress);
    } catch (IOException e) {
      link.socket.dispose();
      throw new IOException("address " + section.address() + ": " + e.getMessage(), e);
    }
    link.thread.setDaemon(true);
    link.thread.start();
    Event.info(
        "fleet",
        name + " speaks to " + section.peers().size() + " peers from " + section.address(),
        "manager",
        name,
        "peers",
        section.peers().size(),
        "address",
        section.address());
    return link;
  }

  private static InetSocketAddress parseAddress(String text) {
    int colon = text.indexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** Runs on MINA's thread: nothing here but handing over. */
  private final class Handler extends IoHandlerAdapter {
    @Override
    public void messageReceived(IoSession session, Object message) {
      IoBuffer buffer = (IoBuffer) message;
      byte[] datagram = new byte[buffer.remaining()];
      buffer.get(datagram);
      InetSocketAddress from = (InetSocketAddress) session.getRemoteAddress();
      String peer = names.get(from);
      if (peer == null) {
        // Guards against a flood from ever new addresses: MINA keeps something for each until it is
        // closed.
        session.closeNow();
        enqueue(() -> reject("stranger", from, "its address is not that of a peer"));
      } else {
        enqueue(() -> receive(from, peer, datagram));
      }
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      enqueue(() -> count("socket.failed"));
    }
  }

  /** Never waits: what is too much is counted and lost, as datagrams may be. */
  private void enqueue(Runnable what) {
    if (eventQueue.offer(what)) {
      LockSupport.unpark(thread);
    } else {
      countDropped();
    }
  }

  private synchronized void countDropped() {
    droppedEvents++;
  }

  // ---- The one thread ----

  private void run() {
    try {
      while (!stopped) {
        for (Runnable next = eventQueue.poll(); next != null; next = eventQueue.poll()) {
          next.run();
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
      // The manager goes on alone: the number that was told last stays, which is the larger one.
      Logger.error(e, "the membership ended with a failure; this manager goes on without it");
    }
  }

  private void receive(InetSocketAddress from, String peer, byte[] datagram) {
    Message letter;
    try {
      letter = MessageCodec.decode(datagram);
    } catch (MessageCodec.DecodeException e) {
      reject("unreadable", from, e.getMessage());
      return;
    }
    String who = letter.sender().name();
    if (!who.equals(peer) && !who.equals(name)) {
      reject(
          "misnamed", from, "it says it is '" + who + "', its address is that of '" + peer + "'");
      return;
    }
    // Guards against managers that look dead to those whose files name fewer: only what is said of
    // unknown ones is passed over.
    List<MemberState> known =
        letter.updates().stream()
            .filter(word -> addresses.containsKey(word.name()) || word.name().equals(name))
            .toList();
    if (known.size() < letter.updates().size()) {
      reject(
          "unknown_name", from, "it speaks of a manager that is no peer here; the rest is taken");
    }
    count("letters");
    execute(membership.receive(System.nanoTime(), peer, letter.withUpdates(known)));
  }

  /** Counted each time, said once a second at most, never answered. */
  private void reject(String why, InetSocketAddress from, String said) {
    count("refused." + why);
    long now = System.nanoTime();
    if (now - lastRefusalLoggedAt >= NANOS_PER_SECOND) {
      lastRefusalLoggedAt = now;
      Logger.warn("fleet: a datagram from {} cannot be used: {}", from, said);
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
      } else if (action instanceof Action.NameConflict twin) {
        Event.warn(
            "fleet.twin",
            "another process uses the name '"
                + twin.name()
                + "' of this manager; give one of them another",
            "manager",
            twin.name());
      }
    }
    int next = budgetDivisor.update(System.nanoTime(), membership.view().liveMembers());
    if (next != lastDivisor) {
      lastDivisor = next;
      divisorListener.accept(next);
    }
  }

  private void logStatusChange(Action.MemberChanged changed) {
    MemberState after = changed.after();
    boolean was = changed.before() != null && changed.before().status().isLive();
    if (after.status() == MemberStatus.SUSPECT) {
      count("suspicions"); // not said: over bad links there are many, and most are refuted
    } else if (was != after.status().isLive()
        || changed.before().instanceId() != after.instanceId()) {
      Event.info(
          "fleet.member",
          "fleet: "
              + after.name()
              + " is "
              + after.status().name().toLowerCase(java.util.Locale.ROOT)
              + (after.reportedBy().isEmpty() ? "" : ", says " + after.reportedBy()),
          "member",
          after.name(),
          "standing",
          after.status(),
          "incarnation",
          after.incarnation());
    }
  }

  private void count(String what) {
    counts.merge("fleet." + what, 1L, Long::sum);
  }

  /** Lays ready what the loop may be asked for. */
  private void publish(long now) {
    publishedAt = now;
    List<String[]> rows = new ArrayList<>();
    rows.add(row(membership.self(), 0));
    for (MemberState word : membership.others()) {
      rows.add(row(word, (now - membership.statusSince(word.name())) / NANOS_PER_SECOND));
    }
    publishedRows = List.copyOf(rows);
    Map<String, Long> all = new TreeMap<>(counts);
    membership.counts().forEach((what, times) -> all.put("fleet." + what, times));
    all.put("fleet.there", (long) membership.view().liveMembers());
    all.put("fleet.in_place", (long) membership.view().liveMembersInZone());
    all.put("fleet.reckoned", (long) Math.max(0, lastDivisor));
    all.put("fleet.health", (long) membership.healthScore());
    all.put("fleet.facts", (long) membership.facts().size());
    all.put("fleet.facts_refused", membership.facts().refused());
    all.put("fleet.overflow", droppedEvents);
    publishedCounts = Map.copyOf(all);
  }

  private String[] row(MemberState word, long since) {
    return new String[] {
      word.name(),
      word.zone(),
      word.status().name(),
      word.stage().name(),
      Long.toString(since),
      Long.toString(word.incarnation()),
      word.version(),
      word.settingsDigest(),
      Long.toString(membership.facts().countOwnedBy(word.name()))
    };
  }

  // ---- The loop's side ----

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

  /** Says that it leaves, and ends. */
  @Override
  public void close() {
    enqueue(
        () -> {
          execute(membership.leave(System.nanoTime()));
          stopped = true;
        });
    try {
      thread.join(LEAVE_TIMEOUT_MS);
      Thread.sleep(FLUSH_MS); // MINA's thread writes behind this one
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    stopped = true;
    socket.dispose();
  }
}

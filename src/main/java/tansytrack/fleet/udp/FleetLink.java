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
import tansytrack.fleet.Fleet;
import tansytrack.fleet.Letter;
import tansytrack.fleet.Reckoning;
import tansytrack.fleet.Rules;
import tansytrack.fleet.Stage;
import tansytrack.fleet.Standing;
import tansytrack.fleet.Word;
import tansytrack.log.Event;
import tansytrack.operator.OperatorFile;
import tansytrack.state.Siblings;

/**
 * Runs the membership over UDP. MINA's thread puts received datagrams into a bounded queue, and one
 * thread owns the membership. For the event loop of the manager that thread publishes counts and
 * rows, and it reports the number of managers through the listener.
 */
public final class FleetLink implements Siblings {

  private static final long MS = 1_000_000L;
  private static final long SECOND = 1000 * MS;
  private static final int MOST_WAITING = 4096;
  private static final int LONGEST = 2048;
  // How long close() waits for the thread to announce that this member leaves.
  private static final long LAST_WORDS = 200;
  // How long close() waits for MINA's thread to write the last datagrams.
  private static final long FLUSH = 20;

  private final Fleet fleet;
  private final Reckoning reckoning;
  private final String name;
  private final Map<String, InetSocketAddress> addresses = new HashMap<>();
  private final Map<InetSocketAddress, String> names = new HashMap<>();
  private final NioDatagramAcceptor socket = new NioDatagramAcceptor();
  private final InetSocketAddress own;
  private final MpscArrayQueue<Runnable> waiting = new MpscArrayQueue<>(MOST_WAITING);
  private final IntConsumer siblings;
  private final Thread thread = new Thread(this::run, "fleet");
  private final Map<String, Long> counts = new TreeMap<>();
  private volatile Map<String, Long> shownCounts = Map.of();
  private volatile List<String[]> shown = List.of();
  private volatile long overflow;
  private volatile boolean over;
  private long shownAt;
  private long saidAt;
  private int used = -1;

  private FleetLink(
      OperatorFile.FleetSection section,
      String name,
      String version,
      String settings,
      int configured,
      IntConsumer siblings) {
    this.name = name;
    this.siblings = siblings;
    own = address(section.address());
    List<String> seeds = new ArrayList<>();
    boolean any = section.peers().stream().anyMatch(OperatorFile.PeerLine::seed);
    for (OperatorFile.PeerLine peer : section.peers()) {
      addresses.put(peer.name(), address(peer.address()));
      names.put(address(peer.address()), peer.name());
      if (peer.seed() || !any) {
        seeds.add(peer.name());
      }
    }
    Rules rules = Rules.usual(seeds, section.probeEvery(), section.mostBytes());
    SecureRandom chance = new SecureRandom();
    long life = chance.nextLong();
    fleet =
        new Fleet(
            rules,
            Word.first(name, name, section.place(), life == 0 ? 1 : life, version, settings),
            chance.nextLong(),
            System.nanoTime());
    reckoning = new Reckoning(Math.max(section.peers().size(), configured - 1), section.settle());
  }

  /**
   * Binds the socket and starts the membership. Each change of the number of managers that share a
   * cold engine's budget is passed to the listener on the membership's thread. Managers that are
   * configured but missing in the operator's file still count.
   */
  public static FleetLink start(
      OperatorFile.FleetSection section,
      String name,
      String version,
      String settings,
      int configured,
      IntConsumer siblings)
      throws IOException {
    FleetLink link = new FleetLink(section, name, version, settings, configured, siblings);
    link.socket.getSessionConfig().setReadBufferSize(LONGEST);
    link.socket.setHandler(link.new Handler());
    try {
      link.socket.bind(link.own);
    } catch (IOException e) {
      link.socket.dispose();
      throw new IOException("address " + section.address() + ": " + e.getMessage(), e);
    }
    link.thread.setDaemon(true);
    link.thread.start();
    Event.info(
        "fleet",
        name + " gossips with " + section.peers().size() + " peers from " + section.address(),
        "manager",
        name,
        "peers",
        section.peers().size(),
        "address",
        section.address());
    return link;
  }

  private static InetSocketAddress address(String text) {
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
        hand(
            () -> refused("stranger", from, "the source address is not that of a configured peer"));
      } else {
        hand(() -> came(from, peer, datagram));
      }
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
      hand(() -> count("socket.failed"));
    }
  }

  /** Never blocks: if the queue is full, the work is dropped and counted. */
  private void hand(Runnable what) {
    if (waiting.offer(what)) {
      LockSupport.unpark(thread);
    } else {
      lostOne();
    }
  }

  private synchronized void lostOne() {
    overflow++;
  }

  // ---- The membership's thread ----

  private void run() {
    try {
      while (!over) {
        for (Runnable next = waiting.poll(); next != null; next = waiting.poll()) {
          next.run();
        }
        long now = System.nanoTime();
        if (fleet.due() <= now) {
          act(fleet.tick(now));
        }
        if (now - shownAt >= SECOND) {
          show(now);
        }
        if (waiting.isEmpty()) {
          LockSupport.parkNanos(Math.max(MS / 4, Math.min(fleet.due() - now, SECOND)));
        }
      }
    } catch (RuntimeException | Error e) {
      // The manager continues without membership and keeps the last number of managers, which is
      // the larger one.
      Logger.error(e, "the membership ended with a failure; this manager goes on without it");
    }
  }

  private void came(InetSocketAddress from, String peer, byte[] datagram) {
    Letter letter;
    try {
      letter = Forms.letter(datagram);
    } catch (Forms.Unreadable e) {
      refused("unreadable", from, e.getMessage());
      return;
    }
    String who = letter.from().name();
    if (!who.equals(peer) && !who.equals(name)) {
      refused(
          "misnamed",
          from,
          "it claims to be from '" + who + "', but its source address is that of '" + peer + "'");
      return;
    }
    // Only the updates about unknown members are dropped. If whole messages were, a manager would
    // look dead to those whose operator's files name fewer peers.
    List<Word> known =
        letter.words().stream()
            .filter(word -> addresses.containsKey(word.name()) || word.name().equals(name))
            .toList();
    if (known.size() < letter.words().size()) {
      refused(
          "unknown_name",
          from,
          "it has an update about a manager that is not a configured peer; the rest is accepted");
    }
    count("letters");
    act(fleet.heard(System.nanoTime(), peer, letter.with(known)));
  }

  /** Counts a rejected datagram and logs once a second at most; no reply is sent. */
  private void refused(String why, InetSocketAddress from, String said) {
    count("refused." + why);
    long now = System.nanoTime();
    if (now - saidAt >= SECOND) {
      saidAt = now;
      Logger.warn("fleet: rejected all or part of a datagram from {}: {}", from, said);
    }
  }

  private void act(List<Action> actions) {
    for (Action action : actions) {
      if (action instanceof Action.Send send) {
        InetSocketAddress to = addresses.get(send.address());
        if (to != null) {
          count("sent");
          socket.newSession(to, own).write(IoBuffer.wrap(Forms.bytes(send.letter())));
        }
      } else if (action instanceof Action.Changed changed) {
        reckoning.changed(changed.after());
        said(changed);
        shownAt = 0;
      } else if (action instanceof Action.Twin twin) {
        Event.warn(
            "fleet.twin",
            "another process uses the name '"
                + twin.name()
                + "' of this manager; rename one of them",
            "manager",
            twin.name());
      }
    }
    int next = reckoning.used(System.nanoTime(), fleet.view().there());
    if (next != used) {
      used = next;
      siblings.accept(next);
    }
  }

  private void said(Action.Changed changed) {
    Word after = changed.after();
    boolean was = changed.before() != null && changed.before().standing().there();
    if (after.standing() == Standing.SUSPECT) {
      // Not logged: on lossy links there are many, and most are refuted.
      count("suspicions");
    } else if (was != after.standing().there() || changed.before().life() != after.life()) {
      Event.info(
          "fleet.member",
          "fleet: "
              + after.name()
              + " is "
              + after.standing().name().toLowerCase(java.util.Locale.ROOT)
              + (after.by().isEmpty() ? "" : ", reported by " + after.by()),
          "member",
          after.name(),
          "standing",
          after.standing(),
          "incarnation",
          after.incarnation());
    }
  }

  private void count(String what) {
    counts.merge("fleet." + what, 1L, Long::sum);
  }

  /** Publishes the counts and the rows that the event loop reads. */
  private void show(long now) {
    shownAt = now;
    List<String[]> rows = new ArrayList<>();
    rows.add(row(fleet.self(), 0));
    for (Word word : fleet.others()) {
      rows.add(row(word, (now - fleet.since(word.name())) / SECOND));
    }
    shown = List.copyOf(rows);
    Map<String, Long> all = new TreeMap<>(counts);
    fleet.counts().forEach((what, times) -> all.put("fleet." + what, times));
    all.put("fleet.there", (long) fleet.view().there());
    all.put("fleet.in_place", (long) fleet.view().inPlace());
    all.put("fleet.reckoned", (long) Math.max(0, used));
    all.put("fleet.health", (long) fleet.health());
    all.put("fleet.facts", (long) fleet.facts().size());
    all.put("fleet.facts_refused", fleet.facts().refused());
    all.put("fleet.overflow", overflow);
    shownCounts = Map.copyOf(all);
  }

  private String[] row(Word word, long since) {
    return new String[] {
      word.name(),
      word.place(),
      word.standing().name(),
      word.stage().name(),
      Long.toString(since),
      Long.toString(word.incarnation()),
      word.version(),
      word.settings(),
      Long.toString(fleet.facts().ownedBy(word.name()))
    };
  }

  // ---- Called on the manager's event loop ----

  @Override
  public void serving() {
    hand(() -> act(fleet.stage(System.nanoTime(), Stage.SERVING)));
  }

  @Override
  public void ending() {
    hand(() -> act(fleet.stage(System.nanoTime(), Stage.LEAVING)));
  }

  @Override
  public Map<String, Long> counts() {
    return shownCounts;
  }

  @Override
  public List<String[]> members() {
    return shown;
  }

  /** Announces that this member leaves, and stops. */
  @Override
  public void close() {
    hand(
        () -> {
          act(fleet.leave(System.nanoTime()));
          over = true;
        });
    try {
      thread.join(LAST_WORDS);
      Thread.sleep(FLUSH);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    over = true;
    socket.dispose();
  }
}

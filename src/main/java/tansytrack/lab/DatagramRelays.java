package tansytrack.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import tansytrack.lab.simulation.FaultSchedule;
import tansytrack.lab.simulation.LinkModel;

/**
 * Datagrams between managers, each way through a socket of its own: a manager knows each peer by
 * the relay's address for the two, and gets that peer's datagrams from there. What becomes of them
 * follows the schedule of faults and a seed.
 */
final class DatagramRelays implements AutoCloseable {

  private static final int MAX_DATAGRAM_BYTES = 2048;

  private final FaultSchedule faults;
  private final List<String> names;
  private final List<String> zones;
  private final List<InetSocketAddress> managers;
  private final Selector selector = Selector.open();
  private final RelaySocket[][] sockets; // [whom it is known to][whom it stands for]
  private final PriorityQueue<DelayedDatagram> delayed = new PriorityQueue<>();
  private long nextSequence;
  private volatile long startNanos;
  private volatile boolean closed;
  private long forwarded;
  private long lost;

  private final class RelaySocket {
    final int owner;
    final int peer;
    final DatagramChannel channel;
    final LinkModel link;

    RelaySocket(int at, int of, long seed) throws IOException {
      this.owner = at;
      this.peer = of;
      link = new LinkModel(seed);
      channel = DatagramChannel.open();
      channel.configureBlocking(false);
      channel.bind(new InetSocketAddress("127.21." + at + '.' + (of + 1), 0));
      channel.register(selector, SelectionKey.OP_READ, this);
    }
  }

  private record DelayedDatagram(
      long dueNanos, long sequence, RelaySocket receivedOn, byte[] datagram)
      implements Comparable<DelayedDatagram> {
    @Override
    public int compareTo(DelayedDatagram other) {
      return dueNanos != other.dueNanos
          ? Long.compare(dueNanos, other.dueNanos)
          : Long.compare(sequence, other.sequence);
    }
  }

  DatagramRelays(
      FaultSchedule faults,
      List<String> names,
      List<String> places,
      List<InetSocketAddress> managers,
      long seed)
      throws IOException {
    this.faults = faults;
    this.names = names;
    this.zones = places;
    this.managers = managers;
    SplittableRandom chance = new SplittableRandom(seed);
    sockets = new RelaySocket[names.size()][names.size()];
    for (int at = 0; at < names.size(); at++) {
      for (int of = 0; of < names.size(); of++) {
        sockets[at][of] = at == of ? null : new RelaySocket(at, of, chance.nextLong());
      }
    }
    startNanos = System.nanoTime();
    FakeEngine.daemonThread(this::relayDatagrams).start();
  }

  /** Where the one sends to reach the other. */
  String address(int at, int of) {
    try {
      InetSocketAddress where = (InetSocketAddress) sockets[at][of].channel.getLocalAddress();
      return where.getAddress().getHostAddress() + ':' + where.getPort();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The schedule begins now. */
  void startSchedule() {
    startNanos = System.nanoTime();
  }

  long forwarded() {
    return forwarded;
  }

  long lost() {
    return lost;
  }

  private void relayDatagrams() {
    ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
    List<SelectionKey> ready = new ArrayList<>();
    try {
      while (!closed) {
        long wait =
            delayed.isEmpty()
                ? 100
                : Math.max(1, (delayed.peek().dueNanos - System.nanoTime()) / 1_000_000);
        selector.select(Math.min(wait, 100));
        ready.addAll(selector.selectedKeys());
        selector.selectedKeys().clear();
        for (SelectionKey key : ready) {
          receive((RelaySocket) key.attachment(), buffer);
        }
        ready.clear();
        long now = System.nanoTime();
        while (!delayed.isEmpty() && delayed.peek().dueNanos <= now) {
          DelayedDatagram one = delayed.poll();
          // The other end's socket for the sender: its address is the one that the receiver knows
          // the sender by.
          RelaySocket out = sockets[one.receivedOn.peer][one.receivedOn.owner];
          out.channel.send(ByteBuffer.wrap(one.datagram), managers.get(one.receivedOn.peer));
          forwarded++;
        }
      }
    } catch (IOException | ClosedSelectorException e) {
      // closed, or a receiver that is not there
    }
  }

  private void receive(RelaySocket leg, ByteBuffer buffer) throws IOException {
    buffer.clear();
    while (leg.channel.receive(buffer) != null) {
      buffer.flip();
      byte[] datagram = new byte[buffer.remaining()];
      buffer.get(datagram);
      buffer.clear();
      long now = System.nanoTime();
      long[] copies =
          leg.link.deliveryDelays(
              faults.linkConditions(
                  now - startNanos,
                  names.get(leg.owner),
                  zones.get(leg.owner),
                  names.get(leg.peer),
                  zones.get(leg.peer)));
      lost += copies.length == 0 ? 1 : 0;
      for (long takes : copies) {
        delayed.add(new DelayedDatagram(now + takes, nextSequence++, leg, datagram));
      }
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    selector.close();
    for (RelaySocket[] row : sockets) {
      for (RelaySocket leg : row) {
        if (leg != null) {
          leg.channel.close();
        }
      }
    }
  }
}

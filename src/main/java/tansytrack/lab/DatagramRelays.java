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
 * Relays the datagrams between managers, with one socket for each ordered pair of managers. A
 * manager knows each peer by the address of such a socket: it sends to it, and receives that peer's
 * datagrams from it. The fault schedule and a seed decide which datagrams are lost, delayed or
 * duplicated.
 */
final class DatagramRelays implements AutoCloseable {

  private static final int MAX_DATAGRAM_BYTES = 2048;

  private final FaultSchedule faults;
  private final List<String> names;
  private final List<String> zones;
  private final List<InetSocketAddress> managers;
  private final Selector selector = Selector.open();

  // By the manager that uses the socket, then by the peer that it represents.
  private final RelaySocket[][] sockets;

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

    RelaySocket(int owner, int peer, long seed) throws IOException {
      this.owner = owner;
      this.peer = peer;
      link = new LinkModel(seed);
      channel = DatagramChannel.open();
      channel.configureBlocking(false);
      channel.bind(new InetSocketAddress("127.21." + owner + '.' + (peer + 1), 0));
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
      List<String> zones,
      List<InetSocketAddress> managers,
      long seed)
      throws IOException {
    this.faults = faults;
    this.names = names;
    this.zones = zones;
    this.managers = managers;
    SplittableRandom random = new SplittableRandom(seed);
    sockets = new RelaySocket[names.size()][names.size()];
    for (int owner = 0; owner < names.size(); owner++) {
      for (int peer = 0; peer < names.size(); peer++) {
        sockets[owner][peer] =
            owner == peer ? null : new RelaySocket(owner, peer, random.nextLong());
      }
    }
    startNanos = System.nanoTime();
    FakeEngine.daemonThread(this::relayDatagrams).start();
  }

  /** The address that manager {@code owner} uses for its peer {@code peer}. */
  String address(int owner, int peer) {
    try {
      InetSocketAddress address =
          (InetSocketAddress) sockets[owner][peer].channel.getLocalAddress();
      return address.getAddress().getHostAddress() + ':' + address.getPort();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Starts the fault schedule: its times count from this call. */
  void startSchedule() {
    startNanos = System.nanoTime();
  }

  /** Number of datagrams that were passed on. */
  long forwarded() {
    return forwarded;
  }

  /** Number of datagrams that were dropped. */
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
          DelayedDatagram datagram = delayed.poll();
          // Sent from the receiver's socket for the sender, as the receiver knows the sender by
          // that address.
          RelaySocket socket = sockets[datagram.receivedOn.peer][datagram.receivedOn.owner];
          socket.channel.send(
              ByteBuffer.wrap(datagram.datagram), managers.get(datagram.receivedOn.peer));
          forwarded++;
        }
      }
    } catch (IOException | ClosedSelectorException e) {
      // The relay was closed, or the receiver does not exist.
    }
  }

  private void receive(RelaySocket socket, ByteBuffer buffer) throws IOException {
    buffer.clear();
    while (socket.channel.receive(buffer) != null) {
      buffer.flip();
      byte[] datagram = new byte[buffer.remaining()];
      buffer.get(datagram);
      buffer.clear();
      long now = System.nanoTime();
      long[] copies =
          socket.link.deliveryDelays(
              faults.linkConditions(
                  now - startNanos,
                  names.get(socket.owner),
                  zones.get(socket.owner),
                  names.get(socket.peer),
                  zones.get(socket.peer)));
      lost += copies.length == 0 ? 1 : 0;
      for (long delay : copies) {
        delayed.add(new DelayedDatagram(now + delay, nextSequence++, socket, datagram));
      }
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    selector.close();
    for (RelaySocket[] row : sockets) {
      for (RelaySocket socket : row) {
        if (socket != null) {
          socket.channel.close();
        }
      }
    }
  }
}

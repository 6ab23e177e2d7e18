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

  private static final int LONGEST = 2048;

  private final FaultSchedule faults;
  private final List<String> names;
  private final List<String> places;
  private final List<InetSocketAddress> managers;
  private final Selector selector = Selector.open();

  // By the manager that uses the socket, then by the peer that it represents.
  private final Leg[][] legs;

  private final PriorityQueue<Late> late = new PriorityQueue<>();
  private long order;
  private volatile long start;
  private volatile boolean over;
  private long forwarded;
  private long lost;

  private final class Leg {
    final int at;
    final int of;
    final DatagramChannel channel;
    final LinkModel link;

    Leg(int owner, int peer, long seed) throws IOException {
      this.at = owner;
      this.of = peer;
      link = new LinkModel(seed);
      channel = DatagramChannel.open();
      channel.configureBlocking(false);
      channel.bind(new InetSocketAddress("127.21." + owner + '.' + (peer + 1), 0));
      channel.register(selector, SelectionKey.OP_READ, this);
    }
  }

  private record Late(long at, long order, Leg by, byte[] datagram) implements Comparable<Late> {
    @Override
    public int compareTo(Late other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
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
    this.places = zones;
    this.managers = managers;
    SplittableRandom random = new SplittableRandom(seed);
    legs = new Leg[names.size()][names.size()];
    for (int owner = 0; owner < names.size(); owner++) {
      for (int peer = 0; peer < names.size(); peer++) {
        legs[owner][peer] = owner == peer ? null : new Leg(owner, peer, random.nextLong());
      }
    }
    start = System.nanoTime();
    StandInEngine.thread(this::run).start();
  }

  /** The address that manager {@code owner} uses for its peer {@code peer}. */
  String address(int owner, int peer) {
    try {
      InetSocketAddress address = (InetSocketAddress) legs[owner][peer].channel.getLocalAddress();
      return address.getAddress().getHostAddress() + ':' + address.getPort();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Starts the fault schedule: its times count from this call. */
  void begin() {
    start = System.nanoTime();
  }

  /** Number of datagrams that were passed on. */
  long forwarded() {
    return forwarded;
  }

  /** Number of datagrams that were dropped. */
  long lost() {
    return lost;
  }

  private void run() {
    ByteBuffer buffer = ByteBuffer.allocate(LONGEST);
    List<SelectionKey> ready = new ArrayList<>();
    try {
      while (!over) {
        long wait =
            late.isEmpty() ? 100 : Math.max(1, (late.peek().at - System.nanoTime()) / 1_000_000);
        selector.select(Math.min(wait, 100));
        ready.addAll(selector.selectedKeys());
        selector.selectedKeys().clear();
        for (SelectionKey key : ready) {
          take((Leg) key.attachment(), buffer);
        }
        ready.clear();
        long now = System.nanoTime();
        while (!late.isEmpty() && late.peek().at <= now) {
          Late datagram = late.poll();
          // Sent from the receiver's socket for the sender, as the receiver knows the sender by
          // that address.
          Leg socket = legs[datagram.by.of][datagram.by.at];
          socket.channel.send(ByteBuffer.wrap(datagram.datagram), managers.get(datagram.by.of));
          forwarded++;
        }
      }
    } catch (IOException | ClosedSelectorException e) {
      // The relay was closed, or the receiver does not exist.
    }
  }

  private void take(Leg socket, ByteBuffer buffer) throws IOException {
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
                  now - start,
                  names.get(socket.at),
                  places.get(socket.at),
                  names.get(socket.of),
                  places.get(socket.of)));
      lost += copies.length == 0 ? 1 : 0;
      for (long delay : copies) {
        late.add(new Late(now + delay, order++, socket, datagram));
      }
    }
  }

  @Override
  public void close() throws IOException {
    over = true;
    selector.close();
    for (Leg[] row : legs) {
      for (Leg socket : row) {
        if (socket != null) {
          socket.channel.close();
        }
      }
    }
  }
}

package tansytrack.fleet.udp;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import tansytrack.fleet.Fact;
import tansytrack.fleet.MemberState;
import tansytrack.fleet.MemberStatus;
import tansytrack.fleet.Message;
import tansytrack.fleet.Stage;
import tansytrack.fleet.proto.GossipMessage;
import tansytrack.operator.OperatorFile;

/** Tests the membership over real UDP sockets, and the encoding of its messages. */
class UdpMembershipTest {

  private static final long NANOS_PER_MS = 1_000_000L;

  private final List<String> addresses = new ArrayList<>();
  private final List<UdpMembership> memberships = new ArrayList<>();
  private final AtomicInteger[] divisors = new AtomicInteger[4];

  UdpMembershipTest() throws IOException {
    List<DatagramSocket> sockets = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      sockets.add(new DatagramSocket(0, InetAddress.getLoopbackAddress()));
      addresses.add("127.0.0.1:" + sockets.get(i).getLocalPort());
      divisors[i] = new AtomicInteger();
    }
    sockets.forEach(DatagramSocket::close);
  }

  private UdpMembership start(int index, long settleTimeNanos) throws IOException {
    return start(index, settleTimeNanos, 1);
  }

  private UdpMembership start(int index, long settleTimeNanos, int configuredManagers)
      throws IOException {
    List<OperatorFile.FleetPeer> peers = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      if (i != index) {
        peers.add(new OperatorFile.FleetPeer("m" + i, addresses.get(i), i == 0));
      }
    }
    UdpMembership membership =
        UdpMembership.start(
            new OperatorFile.FleetSection(
                "m" + index,
                "here",
                addresses.get(index),
                peers,
                100 * NANOS_PER_MS,
                16_384,
                settleTimeNanos),
            "m" + index,
            "1",
            "s",
            configuredManagers,
            divisors[index]::set);
    memberships.add(membership);
    return membership;
  }

  @AfterEach
  void closeAll() {
    memberships.forEach(UdpMembership::close);
  }

  private static void await(BooleanSupplier condition) {
    long deadline = System.nanoTime() + 60_000 * NANOS_PER_MS;
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).as("timed out").isLessThan(deadline);
      try {
        Thread.sleep(5);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  private static long countWithStatus(UdpMembership membership, MemberStatus status) {
    return membership.members().stream().filter(row -> row[2].equals(status.name())).count();
  }

  @Test
  void joinsWhenTheSeedStartsLastAndAnnouncesLeaving() throws IOException {
    UdpMembership second = start(1, 50 * NANOS_PER_MS);
    UdpMembership third = start(2, 50 * NANOS_PER_MS);
    // Configured members count even while they are unknown.
    assertThat(divisors[1].get()).isIn(0, 3);
    UdpMembership first = start(0, 50 * NANOS_PER_MS);
    await(
        () ->
            memberships.stream()
                .allMatch(membership -> countWithStatus(membership, MemberStatus.ALIVE) == 3));
    third.markServing();
    await(
        () ->
            first.members().stream()
                .anyMatch(row -> row[0].equals("m2") && row[3].equals("SERVING")));
    third.close();
    await(
        () ->
            countWithStatus(first, MemberStatus.LEFT) == 1
                && countWithStatus(second, MemberStatus.LEFT) == 1);
    await(() -> divisors[0].get() == 2 && divisors[1].get() == 2);
    await(
        () -> first.counts().get("fleet.there") == 2 && first.counts().get("fleet.reckoned") == 2);
  }

  /**
   * An operator's file that names only a few seeds must not divide a cold engine's budget among
   * those few.
   */
  @Test
  void countsConfiguredManagersMissingInTheOperatorsFile() throws IOException {
    UdpMembership first = start(0, NANOS_PER_MS, 100);
    UdpMembership second = start(1, NANOS_PER_MS, 100);
    await(() -> countWithStatus(first, MemberStatus.ALIVE) == 2 && divisors[0].get() == 100);
    second.close();
    await(() -> divisors[0].get() == 99);
  }

  @Test
  void countsRejectedDatagramsByReasonWithoutReply() throws IOException {
    UdpMembership first = start(0, 50 * NANOS_PER_MS);
    String[] host = addresses.get(1).split(":");
    InetSocketAddress to =
        new InetSocketAddress("127.0.0.1", Integer.parseInt(addresses.get(0).split(":")[1]));
    byte[] valid =
        MessageCodec.encode(
            new Message(Message.Kind.PING, 1, 1, state("m2"), "m0", "", List.of(), List.of()));
    byte[] withUnknownMember =
        MessageCodec.encode(
            new Message(
                Message.Kind.PING, 1, 1, state("m1"), "m0", "", List.of(state("x")), List.of()));
    try (DatagramSocket peer =
            new DatagramSocket(Integer.parseInt(host[1]), InetAddress.getLoopbackAddress());
        DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      stranger.send(new DatagramPacket(valid, valid.length, to));
      // A message of m2 from the address of m1.
      peer.send(new DatagramPacket(valid, valid.length, to));
      peer.send(new DatagramPacket(withUnknownMember, withUnknownMember.length, to));
      // A truncated message.
      peer.send(new DatagramPacket(valid, valid.length - 1, to));
      byte[] unknownKind = GossipMessage.newBuilder().setKindValue(99).build().toByteArray();
      peer.send(new DatagramPacket(unknownKind, unknownKind.length, to));
      await(() -> first.counts().getOrDefault("fleet.refused.unreadable", 0L) == 2);
      assertThat(first.counts())
          .containsEntry("fleet.refused.stranger", 1L)
          .containsEntry("fleet.refused.misnamed", 1L)
          .containsEntry("fleet.refused.unknown_name", 1L)
          .containsEntry("fleet.letters", 1L);
      // The state that m1 announces of itself is accepted although the message also has an update
      // about an unknown member.
      assertThat(first.members().stream().map(row -> row[0])).containsExactly("m0", "m1");
      stranger.setSoTimeout(200);
      assertThatThrownBy(() -> stranger.receive(new DatagramPacket(new byte[1], 1)))
          .isInstanceOf(IOException.class);
    }
  }

  @Test
  void reportsAddressInUse() throws IOException {
    start(0, NANOS_PER_MS);
    assertThatThrownBy(() -> start(0, NANOS_PER_MS))
        .isInstanceOf(IOException.class)
        .hasMessageContaining(addresses.get(0));
  }

  private static MemberState state(String name) {
    return new MemberState(
        name, name, "p", 77, 3, MemberStatus.SUSPECT, Stage.LEAVING, "1.2", "abc", "b");
  }

  @Test
  void encodedMessagesDecodeToTheSame() throws MessageCodec.DecodeException {
    for (Message.Kind kind : Message.Kind.values()) {
      Message message =
          new Message(
              kind,
              7,
              8,
              state("a"),
              "b",
              "c",
              List.of(state("d"), state("e")),
              List.of(
                  new Fact(
                      "a", 3, 77, "k", "s", 9, new long[] {-1, 0, Long.MAX_VALUE}, 5000, 7000)));
      assertThat(MessageCodec.decode(MessageCodec.encode(message))).isEqualTo(message);
      assertThat(MessageCodec.encode(message).length)
          .isLessThanOrEqualTo(message.maxEncodedBytes() + 30);
    }
  }

  /**
   * Truncated or corrupted messages are either decoded or rejected with the exception for it; no
   * other exception escapes.
   */
  @Test
  void corruptedMessagesAreDecodedOrRejected() {
    byte[] valid =
        MessageCodec.encode(
            new Message(
                Message.Kind.SYNC_RESPONSE,
                7,
                8,
                state("a"),
                "b",
                "c",
                List.of(state("d")),
                List.of(new Fact("a", 3, 77, "k", "s", 9, new long[] {1}, 5000, 7000))));
    SplittableRandom random = new SplittableRandom(3);
    int decoded = 0;
    int rejected = 0;
    for (int i = 0; i < 200_000; i++) {
      byte[] bytes = Arrays.copyOf(valid, i % 3 == 0 ? random.nextInt(valid.length) : valid.length);
      for (int j = random.nextInt(4); j > 0 && bytes.length > 0; j--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
      }
      if (i % 5 == 0) {
        random.nextBytes(bytes);
      }
      try {
        MessageCodec.decode(bytes);
        decoded++;
      } catch (MessageCodec.DecodeException e) {
        rejected++;
      }
    }
    assertThat(decoded).isPositive();
    assertThat(rejected).isPositive();
  }
}

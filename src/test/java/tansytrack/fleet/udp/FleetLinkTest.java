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
import tansytrack.fleet.proto.LetterForm;
import tansytrack.operator.OperatorFile;

/** The membership on real datagrams, and its letters as bytes. */
class FleetLinkTest {

  private static final long MS = 1_000_000L;

  private final List<String> addresses = new ArrayList<>();
  private final List<UdpMembership> links = new ArrayList<>();
  private final AtomicInteger[] reckoned = new AtomicInteger[4];

  FleetLinkTest() throws IOException {
    List<DatagramSocket> taken = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      taken.add(new DatagramSocket(0, InetAddress.getLoopbackAddress()));
      addresses.add("127.0.0.1:" + taken.get(i).getLocalPort());
      reckoned[i] = new AtomicInteger();
    }
    taken.forEach(DatagramSocket::close);
  }

  private UdpMembership start(int which, long settle) throws IOException {
    return start(which, settle, 1);
  }

  private UdpMembership start(int which, long settle, int configured) throws IOException {
    List<OperatorFile.FleetPeer> peers = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      if (i != which) {
        peers.add(new OperatorFile.FleetPeer("m" + i, addresses.get(i), i == 0));
      }
    }
    UdpMembership link =
        UdpMembership.start(
            new OperatorFile.FleetSection(
                "m" + which, "here", addresses.get(which), peers, 100 * MS, 16_384, settle),
            "m" + which,
            "1",
            "s",
            configured,
            reckoned[which]::set);
    links.add(link);
    return link;
  }

  @AfterEach
  void end() {
    links.forEach(UdpMembership::close);
  }

  private static void await(BooleanSupplier what) {
    long until = System.nanoTime() + 60_000 * MS;
    while (!what.getAsBoolean()) {
      assertThat(System.nanoTime()).as("waited for too long").isLessThan(until);
      try {
        Thread.sleep(5);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  private static long there(UdpMembership link, MemberStatus standing) {
    return link.members().stream().filter(row -> row[2].equals(standing.name())).count();
  }

  @Test
  void threeFindEachOtherThoughTheSeedComesLastAndLeavingIsTold() throws IOException {
    UdpMembership second = start(1, 50 * MS);
    UdpMembership third = start(2, 50 * MS);
    assertThat(reckoned[1].get()).isIn(0, 3); // those it does not know count
    UdpMembership first = start(0, 50 * MS);
    await(() -> links.stream().allMatch(link -> there(link, MemberStatus.ALIVE) == 3));
    third.markServing();
    await(
        () ->
            first.members().stream()
                .anyMatch(row -> row[0].equals("m2") && row[3].equals("SERVING")));
    third.close();
    await(() -> there(first, MemberStatus.LEFT) == 1 && there(second, MemberStatus.LEFT) == 1);
    await(() -> reckoned[0].get() == 2 && reckoned[1].get() == 2);
    await(
        () -> first.counts().get("fleet.there") == 2 && first.counts().get("fleet.reckoned") == 2);
  }

  /**
   * Guards against a file that names a few seeds only, which would deal a cold engine's budget to
   * those few.
   */
  @Test
  void aFileThatNamesFewerThanWereConfiguredLowersTheNumberByNobody() throws IOException {
    UdpMembership first = start(0, MS, 100);
    UdpMembership second = start(1, MS, 100);
    await(() -> there(first, MemberStatus.ALIVE) == 2 && reckoned[0].get() == 100);
    second.close();
    await(() -> reckoned[0].get() == 99);
  }

  @Test
  void whatCannotBeUsedIsCountedByReasonAndNeverAnswered() throws IOException {
    UdpMembership first = start(0, 50 * MS);
    String[] host = addresses.get(1).split(":");
    InetSocketAddress to =
        new InetSocketAddress("127.0.0.1", Integer.parseInt(addresses.get(0).split(":")[1]));
    byte[] good =
        MessageCodec.encode(
            new Message(Message.Kind.PING, 1, 1, word("m2"), "m0", "", List.of(), List.of()));
    byte[] tells =
        MessageCodec.encode(
            new Message(
                Message.Kind.PING, 1, 1, word("m1"), "m0", "", List.of(word("x")), List.of()));
    try (DatagramSocket peer =
            new DatagramSocket(Integer.parseInt(host[1]), InetAddress.getLoopbackAddress());
        DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      stranger.send(new DatagramPacket(good, good.length, to));
      peer.send(new DatagramPacket(good, good.length, to)); // m2's letter from m1's address
      peer.send(new DatagramPacket(tells, tells.length, to));
      peer.send(new DatagramPacket(good, good.length - 1, to)); // a byte short
      byte[] future = LetterForm.newBuilder().setKindValue(99).build().toByteArray();
      peer.send(new DatagramPacket(future, future.length, to));
      await(() -> first.counts().getOrDefault("fleet.refused.unreadable", 0L) == 2);
      assertThat(first.counts())
          .containsEntry("fleet.refused.stranger", 1L)
          .containsEntry("fleet.refused.misnamed", 1L)
          .containsEntry("fleet.refused.unknown_name", 1L)
          .containsEntry("fleet.letters", 1L);
      // What m1 says of itself is taken, though this one's file does not know whom else it speaks
      // of.
      assertThat(first.members().stream().map(row -> row[0])).containsExactly("m0", "m1");
      stranger.setSoTimeout(200);
      assertThatThrownBy(() -> stranger.receive(new DatagramPacket(new byte[1], 1)))
          .isInstanceOf(IOException.class);
    }
  }

  @Test
  void anAddressInUseIsSaid() throws IOException {
    start(0, MS);
    assertThatThrownBy(() -> start(0, MS))
        .isInstanceOf(IOException.class)
        .hasMessageContaining(addresses.get(0));
  }

  private static MemberState word(String name) {
    return new MemberState(
        name, name, "p", 77, 3, MemberStatus.SUSPECT, Stage.LEAVING, "1.2", "abc", "b");
  }

  @Test
  void lettersAreTheSameBehindTheirBytes() throws MessageCodec.DecodeException {
    for (Message.Kind kind : Message.Kind.values()) {
      Message letter =
          new Message(
              kind,
              7,
              8,
              word("a"),
              "b",
              "c",
              List.of(word("d"), word("e")),
              List.of(
                  new Fact(
                      "a", 3, 77, "k", "s", 9, new long[] {-1, 0, Long.MAX_VALUE}, 5000, 7000)));
      assertThat(MessageCodec.decode(MessageCodec.encode(letter))).isEqualTo(letter);
      assertThat(MessageCodec.encode(letter).length)
          .isLessThanOrEqualTo(letter.maxEncodedBytes() + 30);
    }
  }

  /**
   * Fields and stages of the future are passed over; a letter's bytes with each one changed or cut
   * never do more than not to be read.
   */
  @Test
  void bytesOfChanceAreReadOrRefused() {
    byte[] good =
        MessageCodec.encode(
            new Message(
                Message.Kind.SYNC_RESPONSE,
                7,
                8,
                word("a"),
                "b",
                "c",
                List.of(word("d")),
                List.of(new Fact("a", 3, 77, "k", "s", 9, new long[] {1}, 5000, 7000))));
    SplittableRandom chance = new SplittableRandom(3);
    int read = 0;
    int refused = 0;
    for (int i = 0; i < 200_000; i++) {
      byte[] bytes = Arrays.copyOf(good, i % 3 == 0 ? chance.nextInt(good.length) : good.length);
      for (int j = chance.nextInt(4); j > 0 && bytes.length > 0; j--) {
        bytes[chance.nextInt(bytes.length)] = (byte) chance.nextInt(256);
      }
      if (i % 5 == 0) {
        chance.nextBytes(bytes);
      }
      try {
        MessageCodec.decode(bytes);
        read++;
      } catch (MessageCodec.DecodeException e) {
        refused++;
      }
    }
    assertThat(read).isPositive();
    assertThat(refused).isPositive();
  }
}
